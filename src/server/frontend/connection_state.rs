//! The life of a connection: what may be told to it and when it ends. It serves; it is told to send nothing new; it
//! finishes: what is owed goes out, the sending side is shut, and what still comes is read to its end unheard, for a close
//! over unread bytes would reset the connection and take answers with it. It knows no socket and no clock. It must never
//! let a connection finish while an answer is owed on it, except at the program's own end, and never take a request on
//! one that finishes.

/// How long a connection may take to its first whole request, and a message from its first byte to its last, ms. The
/// platform allows three seconds in all; a caller that means well sends within a round trip.
pub const WHOLE_MS: f64 = 2000.0;
/// How long a caller has to close a connection after `shutdown`, before it is closed here, ms.
pub const LEAVE_MS: f64 = 1000.0;
/// How long what still comes is read after the sending side was shut, ms: a caller that reads sees the end within a round
/// trip.
pub const LINGER_MS: f64 = 1000.0;
/// How long at the least, where descriptors are short, ms: the time within which the protocol has a request that crosses a
/// close sent again.
pub const CROSSING_MS: f64 = 50.0;
/// How long a new connection counts as one that is about to send, ms: it makes room for nobody meanwhile.
const NEW_MS: f64 = 50.0;

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Stay,
    /// Its caller is told to send nothing new.
    Tell,
    /// What is owed goes out, and it ends.
    Finish,
}

/// What the list of connections wants of all of them.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// Idle ones are told after this long, ms.
    pub idle_limit: f64,
    /// The program leaves: all are told.
    pub leaving: bool,
    /// It ends: all finish, whatever is owed.
    pub ending: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Serving,
    /// Told then to send nothing new.
    Told(f64),
    /// Nothing more is taken since then.
    Finishing(f64),
}

/// One connection's life.
#[derive(Clone, Debug)]
pub struct Life {
    stage: Stage,
    since: f64,
    spoke: bool,
    half: Option<f64>,
    used: f64,
}

impl Life {
    /// Accepted then.
    pub fn new(now: f64) -> Life {
        Life { stage: Stage::Serving, since: now, spoke: false, half: None, used: now }
    }

    /// What callers sent while the program got no time waits unread: that silence was not theirs.
    pub fn forgive(&mut self, lost: f64) {
        self.since += lost;
        self.used += lost;
        self.half = self.half.map(|since| since + lost);
        match &mut self.stage {
            Stage::Serving => {}
            Stage::Told(at) | Stage::Finishing(at) => *at += lost,
        }
    }

    /// It carried bytes, in either direction.
    pub fn used(&mut self, now: f64) {
        self.used = now;
    }

    /// It asked for something that is answered.
    pub fn spoke(&mut self) {
        self.spoke = true;
    }

    /// All that came was read: whether a message is there in part, and whether a whole one came before it.
    pub fn read(&mut self, partly: bool, whole: bool) {
        let since = self.half.filter(|_| !whole).unwrap_or(self.used);
        self.half = partly.then_some(since);
    }

    /// Whether what is read is still taken.
    pub fn takes(&self) -> bool {
        !matches!(self.stage, Stage::Finishing(_))
    }

    /// Since when nothing is taken any more.
    pub fn finishing_since(&self) -> Option<f64> {
        match self.stage {
            Stage::Finishing(at) => Some(at),
            _ => None,
        }
    }

    /// Nothing more is taken from now on.
    pub fn finish(&mut self, now: f64) {
        if self.takes() {
            self.stage = Stage::Finishing(now);
        }
    }

    /// Time passes; `owed` says whether an answer is.
    pub fn look(&mut self, now: f64, owed: bool, wish: Wish) -> Step {
        let silent = !self.spoke && now - self.since >= WHOLE_MS;
        let half = self.half.is_some_and(|since| now - since >= WHOLE_MS);
        let over = match self.stage {
            Stage::Finishing(_) => return Step::Stay,
            _ if wish.ending => true,
            _ if owed => false,
            // Silence and half messages cost a descriptor and a buffer, and would keep others out: they end in time.
            _ if silent || half => true,
            Stage::Told(at) => now - at.max(self.used) >= LEAVE_MS,
            Stage::Serving => false,
        };
        if over {
            self.finish(now);
            return Step::Finish;
        }
        match &mut self.stage {
            Stage::Serving if wish.leaving || !owed && now - self.used >= wish.idle_limit => {
                self.stage = Stage::Told(now);
                Step::Tell
            }
            Stage::Told(at) if owed => {
                *at = now;
                Step::Stay
            }
            _ => Step::Stay,
        }
    }

    /// How much it would be missed if it had to make room; none while it can't: with an answer owed, or so new that its
    /// request may only just be on its way. One that never sent a request goes first, then the one idle longest.
    pub fn missed(&self, now: f64, owed: bool) -> Option<(bool, f64)> {
        let new = !self.spoke && now - self.since < NEW_MS;
        (self.takes() && !owed && !new).then_some((self.spoke, self.used))
    }
}
