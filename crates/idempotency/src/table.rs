//! The table of keys. It must never let a key run a second time in its window, and never forget one that ran before
//! no try that it covers can be read any longer.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The number of a try, unique for the life of the process.
pub type TryId = u64;

/// Slack on a key's window, ms: stamps are whole milliseconds and the platform allows 50 ms on every time.
const WINDOW_SLACK_MS: f64 = 60.0;

/// A run of a key was asked for in the window of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondRun;

/// What may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Keys, from 1. Past it new ones find no room: [`Table::has_room`].
    pub keys: usize,
    /// Bytes of results, from 0. Past it the oldest results go; their keys stay, as run and failed.
    pub result_bytes: usize,
}

/// The times of a class, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// A try that reaches the machine so long after one that was run may not run.
    pub window_ms: f64,
    /// A try may be read so long after it reached the machine: an entry outlasts its window by as much.
    pub read_late_ms: f64,
}

/// What a try is, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// The first one, or the first since the window ended.
    New,
    /// It repeats this one.
    Repeats(TryId),
    /// It was read so late that of the run in whose window it came nothing else is known: it may not run.
    Covered,
    /// The key is in use with another body: this is no try of the same request.
    OtherBody,
}

/// What a repeat gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reuse<R> {
    /// The result, or the failure, now.
    Now(Option<R>),
    /// It waits; [`Table::ended`] names it.
    Waits,
    /// What it repeats was dropped before it ran.
    Unrun,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending<R> {
    /// With a result.
    Result(R),
    /// It failed, or was stopped: it may have had its effect.
    Failed,
    /// It is proved that it never began.
    NeverRan,
}

/// What follows from the end of a run: those that waited for it, and what all of them get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended<R> {
    /// The tries that waited, in the order in which they came.
    pub waiting: Vec<TryId>,
    /// Their result, or the failure.
    pub result: Option<R>,
}

/// A try that was run.
struct Run<R> {
    id: TryId,
    /// The mark of its body, which all its repeats carry.
    print: u64,
    /// Tries that reached the machine up to then repeat it.
    until: f64,
    /// How it ended: its result, or none for a failure.
    result: Option<Option<R>>,
    /// Tries that wait for that.
    waiting: Vec<TryId>,
}

/// A try that stands for its key and may yet run.
#[derive(Clone, Copy)]
struct Held {
    id: TryId,
    print: u64,
    until: f64,
}

/// What is known of a key. A new try after the window stands beside the run before it, whose window may still cover
/// tries that are read late.
struct Entry<R> {
    class: usize,
    run: Option<Run<R>>,
    held: Option<Held>,
    /// Tries that reached the machine up to then came in the window of a run that another took the place of.
    past: f64,
    /// Tries under way. While there are any the entry stays: one of them might be asked to run however late.
    open: usize,
}

impl<R> Entry<R> {
    fn new(class: usize) -> Self {
        Entry { class, run: None, held: None, past: f64::NEG_INFINITY, open: 0 }
    }

    /// Until when tries may have reached the machine that no longer may run.
    fn covers(&self) -> f64 {
        self.run.as_ref().map_or(self.past, |run| run.until.max(self.past))
    }

    fn is_blank(&self) -> bool {
        self.open == 0 && self.run.is_none() && self.held.is_none() && self.past == f64::NEG_INFINITY
    }
}

/// The table of keys, with their results.
pub struct Table<R> {
    bounds: Bounds,
    spans: Vec<Span>,
    entries: HashMap<Rc<[u8]>, Entry<R>>,
    /// Keys whose results were kept, oldest first, some of them gone since, and the bytes of the results there are.
    results: VecDeque<(Rc<[u8]>, TryId)>,
    result_bytes: usize,
}

impl<R: Clone + AsRef<[u8]>> Table<R> {
    /// An empty table; `spans` are the classes' times, by position.
    pub fn new(bounds: Bounds, spans: Vec<Span>) -> Self {
        Table { bounds, spans, entries: HashMap::new(), results: VecDeque::new(), result_bytes: 0 }
    }

    /// Keys there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the results there are.
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// Whether a try of that key has room: the key is known, or the table is not full.
    pub fn has_room(&self, key: &[u8]) -> bool {
        self.entries.len() < self.bounds.keys || self.entries.contains_key(key)
    }

    /// A try that reached the machine then, with a body of that mark: a new one stands for its key from here on, whatever
    /// becomes of it. New ones and repeats are under way until [`Table::over`].
    pub fn arrive(&mut self, key: &Rc<[u8]>, class: usize, print: u64, id: TryId, reached: f64) -> Known {
        let known = self.look(key, print, reached);
        if matches!(known, Known::New | Known::Repeats(_)) {
            let until = until(&self.spans, class, reached);
            let entry = self.entries.entry(key.clone()).or_insert_with(|| Entry::new(class));
            entry.open += 1;
            if known == Known::New {
                entry.held = Some(Held { id, print, until });
            }
        }
        known
    }

    /// What a try would be that reached the machine then with a body of that mark.
    pub fn look(&self, key: &[u8], print: u64, reached: f64) -> Known {
        let Some(entry) = self.entries.get(key) else { return Known::New };
        let repeats = |id, of| if of == print { Known::Repeats(id) } else { Known::OtherBody };
        match (&entry.run, &entry.held) {
            (Some(run), _) if reached <= run.until => repeats(run.id, run.print),
            _ if reached <= entry.past => Known::Covered,
            // While it may yet run, what is held lasts however long that takes.
            (_, Some(held)) => repeats(held.id, held.print),
            _ => Known::New,
        }
    }

    /// Whether some try of that key was run in whose window a try came that reached the machine then.
    pub fn has_run(&self, key: &[u8], reached: f64) -> bool {
        self.entries.get(key).is_some_and(|entry| reached <= entry.covers())
    }

    /// The try, which is under way, stands for its key until then at least, also as heir of an earlier one. One that came
    /// in the window of a run takes nobody's place.
    pub fn keep(&mut self, key: &[u8], print: u64, id: TryId, reached: f64, until: f64) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let covers = entry.covers();
        match &mut entry.run {
            Some(run) if run.id == id => run.until = run.until.max(until),
            _ if reached <= covers => {}
            _ => {
                let before = entry.held.map_or(until, |held| held.until.max(until));
                entry.held = Some(Held { id, print, until: before });
            }
        }
    }

    /// Gives the place of a try back, unless it was run: that one outlasts everything.
    pub fn forget(&mut self, key: &[u8], id: TryId) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.held.take_if(|held| held.id == id);
        if entry.is_blank() {
            self.entries.remove(key);
        }
    }

    /// Whether the try, which is under way, may be run; if so, it is taken as run from here on. The last guard against a second run:
    /// whatever is asked, a key that ran is not run again while its window lasts. Those that still wait for an older
    /// run, which outlasted its own window, are named: they fail.
    ///
    /// # Errors
    /// If it may not, or nothing is known of the key.
    pub fn run(&mut self, key: &[u8], print: u64, id: TryId, reached: f64) -> Result<Vec<TryId>, SecondRun> {
        let Some(entry) = self.entries.get_mut(key) else { return Err(SecondRun) };
        let mut until = until(&self.spans, entry.class, reached);
        if entry.run.as_ref().is_some_and(|run| run.id == id) {
            return Ok(Vec::new());
        }
        if reached <= entry.covers() {
            return Err(SecondRun);
        }
        if let Some(held) = entry.held.take_if(|held| held.id == id) {
            until = until.max(held.until);
        }
        let run = Run { id, print, until, result: None, waiting: Vec::new() };
        let Some(older) = entry.run.replace(run) else { return Ok(Vec::new()) };
        entry.past = entry.past.max(older.until);
        self.result_bytes -= result_bytes(&older);
        Ok(older.waiting)
    }

    /// A repeat that reached the machine then asks for the result of what it repeats.
    #[must_use]
    pub fn reuse(&mut self, key: &[u8], id: TryId, reached: f64) -> Reuse<R> {
        let Some(entry) = self.entries.get_mut(key) else { return Reuse::Unrun };
        match &mut entry.run {
            Some(run) if reached <= run.until => match &run.result {
                Some(result) => Reuse::Now(result.clone()),
                None => {
                    run.waiting.push(id);
                    Reuse::Waits
                }
            },
            _ if reached <= entry.past => Reuse::Now(None),
            _ => Reuse::Unrun,
        }
    }

    /// The run of a try ended.
    #[must_use]
    pub fn ended(&mut self, key: &Rc<[u8]>, id: TryId, ending: Ending<R>) -> Ended<R> {
        let mut ended = Ended { waiting: Vec::new(), result: None };
        let Some(entry) = self.entries.get_mut(key) else { return ended };
        let Some(run) = entry.run.as_mut().filter(|run| run.id == id) else { return ended };
        ended.waiting = std::mem::take(&mut run.waiting);
        match ending {
            Ending::NeverRan => entry.run = None,
            Ending::Failed => run.result = Some(None),
            Ending::Result(result) => {
                let bytes = result.as_ref().len();
                run.result = Some(Some(result.clone()));
                ended.result = Some(result);
                self.keep_result(key.clone(), id, bytes);
            }
        }
        ended
    }

    /// The try is over, whatever it came to: it waits no longer, and its place goes with it if it never ran.
    pub fn over(&mut self, key: &[u8], id: TryId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.open = entry.open.saturating_sub(1);
            if let Some(run) = &mut entry.run {
                run.waiting.retain(|w| *w != id);
            }
        }
        self.forget(key, id);
    }

    /// Frees what is known of keys once no try that it covers can still be read.
    pub fn sweep(&mut self, now: f64) {
        let spans = &self.spans;
        let late = |class: usize| spans.get(class).map_or(0.0, |s| s.read_late_ms);
        let mut freed = 0;
        self.entries.retain(|_, e| {
            let keep = e.open > 0 || now <= e.covers() + late(e.class);
            if !keep {
                freed += e.run.as_ref().map_or(0, result_bytes);
            }
            keep
        });
        self.result_bytes -= freed;
        let entries = &self.entries;
        let kept = |(key, id): &(Rc<[u8]>, TryId)| {
            let run = entries.get(key).and_then(|e| e.run.as_ref());
            run.is_some_and(|run| run.id == *id && matches!(run.result, Some(Some(_))))
        };
        while self.results.front().is_some_and(|result| !kept(result)) {
            self.results.pop_front();
        }
    }

    /// Past the bytes allowed the oldest results go; a later repeat of one gets a failure, never a second run.
    fn keep_result(&mut self, key: Rc<[u8]>, id: TryId, bytes: usize) {
        self.results.push_back((key, id));
        self.result_bytes += bytes;
        while self.result_bytes > self.bounds.result_bytes {
            let Some((oldest, id)) = self.results.pop_front() else { return };
            let run = self.entries.get_mut(&oldest).and_then(|e| e.run.as_mut());
            if let Some(run) = run.filter(|run| run.id == id) {
                self.result_bytes -= result_bytes(run);
                run.result = Some(None);
            }
        }
    }
}

fn result_bytes<R: AsRef<[u8]>>(run: &Run<R>) -> usize {
    run.result.iter().flatten().map(|body| body.as_ref().len()).sum()
}

/// Until when tries may reach the machine that come in the window of one that reached it then.
fn until(spans: &[Span], class: usize, reached: f64) -> f64 {
    reached + spans.get(class).map_or(0.0, |s| s.window_ms) + WINDOW_SLACK_MS
}
