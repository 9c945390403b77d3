//! Membership among round servers: who is alive, suspect or down, by SWIM (the `foca` state machine), driven by the
//! caller's clock and sockets.
//!
//! [`Membership`] does no I/O and reads no clock. The caller hands in datagrams as they arrive and the time of a
//! monotonic clock in ms; it takes out datagrams to send, the time of the next timer, and [`Change`]s of the view.
//! Every datagram carries an HMAC-SHA256 tag under the fleet's key; one without a valid tag is dropped and counted,
//! so bytes from outside can neither forge a member nor its verdicts.
//!
//! A member is an address and a start ([`Id`]): the same address with a later start is a new member, and the old one
//! is gone for good. Memory is bounded by `max_members` (members) and by `max_timers` (timers waiting).
#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, State, Timer,
};
use hmac::{Hmac, Mac};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Milliseconds of a monotonic clock; only differences mean anything.
pub type Millis = u64;

/// Bytes of the tag in front of every datagram.
pub const TAG: usize = 32;

/// One start of one round server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Where its peer socket listens (UDP).
    pub addr: SocketAddrV4,
    /// When this start began, as the server counts starts (a wall-clock ms or a counter kept on disk): later is newer.
    pub start: u64,
    /// Raised when this start was declared down while it was still running, and it rejoined.
    pub bump: u16,
}

impl Identity for Id {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Self { bump: self.bump.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.start, self.bump) > (adversary.start, adversary.bump)
    }
}

/// How a member stands in this view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Answers probes.
    Alive,
    /// Missed a probe and its indirect probes; declared down after `suspect_to_down` unless it refutes.
    Suspect,
    /// Declared down.
    Down,
}

/// A change of the view, in the order it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is up.
    Up(Id),
    /// A member was declared down.
    Down(Id),
    /// A newer start (or a rejoin) took the place of an older one at the same address.
    Renamed(Id, Id),
    /// This member is known by at least one other.
    Active,
    /// This member knows of no other that is up.
    Idle,
    /// This member was declared down and rejoined under a new `bump`.
    Rejoined(Id),
}

/// Settings of the failure detector, with their ranges.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between probes, ms (100 to 60,000).
    pub probe_period: Millis,
    /// Time to wait for a direct answer before asking others to probe, ms (10 to `probe_period` / 2).
    pub probe_rtt: Millis,
    /// Members asked to probe indirectly (1 to 10).
    pub indirect_probes: usize,
    /// Time from suspicion to down unless refuted, ms (100 to 600,000).
    pub suspect_to_down: Millis,
    /// Time a down member is remembered, so that its messages are known as old, ms (1,000 to 86,400,000).
    pub remove_down_after: Millis,
    /// Most members in the view (2 to 100,000); more are not learned.
    pub max_members: usize,
    /// Largest datagram, tag included, bytes (512 to 65,000).
    pub max_datagram: usize,
    /// Key of the fleet for the tags, 16 to 1,024 bytes.
    pub key: Vec<u8>,
}

/// Shortest and longest fleet key, bytes, and how an error says it: one place for `check` and the tag's key.
const KEY_BYTES: (u64, u64, &str) = (16, 1_024, "16 to 1024 bytes");

/// A setting out of its range.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("fleet setting `{key}` is {value}, wanted {range}")]
pub struct BadSettings {
    /// The setting.
    pub key: &'static str,
    /// What was given.
    pub value: u64,
    /// What is allowed.
    pub range: &'static str,
}

impl Settings {
    /// Checks every setting against its range.
    pub fn check(&self) -> Result<(), BadSettings> {
        let within = |key, value: u64, low: u64, high: u64, range| {
            if value < low || value > high { Err(BadSettings { key, value, range }) } else { Ok(()) }
        };
        within("probe_period", self.probe_period, 100, 60_000, "100 to 60000 ms")?;
        within("probe_rtt", self.probe_rtt, 10, self.probe_period / 2, "10 ms to half of probe_period")?;
        within("indirect_probes", self.indirect_probes as u64, 1, 10, "1 to 10")?;
        within("suspect_to_down", self.suspect_to_down, 100, 600_000, "100 to 600000 ms")?;
        within("remove_down_after", self.remove_down_after, 1_000, 86_400_000, "1000 to 86400000 ms")?;
        within("max_members", self.max_members as u64, 2, 100_000, "2 to 100000")?;
        within("max_datagram", self.max_datagram as u64, 512, 65_000, "512 to 65000 bytes")?;
        within("key", self.key.len() as u64, KEY_BYTES.0, KEY_BYTES.1, KEY_BYTES.2)?;
        Ok(())
    }

    /// The time within which, at p99, every member that hears the others has declared a dead member down, in a view
    /// of `members` members: up to two probe periods until some member probes it (each of the others passes over it
    /// once a round), the end of that period for the indirect probes, the suspicion, and `⌈log2 members⌉ + 1`
    /// periods for the word to reach all by gossip when some of it is lost. Measured in `tests/swim.rs`; figures in
    /// `docs/design/fleet.md`.
    pub fn detection_bound(&self, members: usize) -> Millis {
        let spread = (members.max(2) as u64).next_power_of_two().trailing_zeros() as u64 + 1;
        self.suspect_to_down + self.probe_period * (3 + spread)
    }

    fn foca(&self) -> foca::Config {
        let mut config =
            foca::Config::new_lan(NonZeroU32::new(self.max_members as u32).unwrap_or(NonZeroU32::MIN));
        config.probe_period = Duration::from_millis(self.probe_period);
        config.probe_rtt = Duration::from_millis(self.probe_rtt);
        config.num_indirect_probes = NonZeroUsize::new(self.indirect_probes).unwrap_or(NonZeroUsize::MIN);
        config.suspect_to_down_after = Duration::from_millis(self.suspect_to_down);
        config.remove_down_after = Some(Duration::from_millis(self.remove_down_after));
        config.max_packet_size = NonZeroUsize::new(self.max_datagram - TAG).unwrap_or(NonZeroUsize::MIN);
        config
    }
}

/// What the membership has counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams handed out to send.
    pub sent: u64,
    /// Bytes handed out to send, tags included.
    pub sent_bytes: u64,
    /// Datagrams taken in with a valid tag.
    pub received: u64,
    /// Datagrams dropped for a missing or wrong tag.
    pub forged: u64,
    /// Datagrams with a valid tag that SWIM refused (damaged, or for another start of this member).
    pub refused: u64,
    /// Timers dropped because `max_timers` were waiting.
    pub timers_dropped: u64,
}

/// Most timers waiting at once; SWIM keeps a few per member it probes or suspects.
fn max_timers(settings: &Settings) -> usize {
    4 * settings.max_members + 64
}

/// One member's membership: the SWIM state machine, its timers and its view.
pub struct Membership {
    foca: Foca<Id, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    timers: BTreeMap<(Millis, u64), Timer<Id>>,
    timer_seq: u64,
    max_timers: usize,
    mac: Hmac<Sha256>,
    now: Millis,
    changes: Vec<Change>,
    counters: Counters,
}

/// A failure of SWIM itself, as `foca` reports it.
#[derive(Debug, thiserror::Error)]
#[error("membership: {0}")]
pub struct Failed(String);

impl Membership {
    /// A membership for `me`, starting now, with its chance drawn from `seed`.
    pub fn new(me: Id, settings: &Settings, seed: u64, now: Millis) -> Result<Self, BadSettings> {
        settings.check()?;
        let mac = Hmac::<Sha256>::new_from_slice(&settings.key).map_err(|_| BadSettings {
            key: "key",
            value: settings.key.len() as u64,
            range: KEY_BYTES.2,
        })?;
        let foca = Foca::new(me, settings.foca(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Ok(Self {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_seq: 0,
            max_timers: max_timers(settings),
            mac,
            now,
            changes: Vec::new(),
            counters: Counters::default(),
        })
    }

    /// This member as others know it now.
    pub fn me(&self) -> &Id {
        self.foca.identity()
    }

    /// Asks the members at `seeds` to take this one in. Their start is not known; any will do.
    pub fn join(&mut self, now: Millis, seeds: &[SocketAddrV4]) -> Result<(), Failed> {
        self.now = self.now.max(now);
        for addr in seeds {
            if *addr == self.me().addr {
                continue;
            }
            let seed = Id { addr: *addr, start: 0, bump: 0 };
            self.foca.announce(seed, &mut self.runtime).map_err(|e| Failed(e.to_string()))?;
        }
        self.settle();
        Ok(())
    }

    /// Takes members known from elsewhere as alive, such as those of a registry's list or of a view kept on disk. Nobody
    /// is told of them, and what SWIM hears of them later overrules it.
    pub fn learn(&mut self, now: Millis, members: impl IntoIterator<Item = Id>) -> Result<(), Failed> {
        self.now = self.now.max(now);
        let alive = members.into_iter().map(foca::Member::alive);
        self.foca.apply_many(alive, false, &mut self.runtime).map_err(|e| Failed(e.to_string()))?;
        self.settle();
        Ok(())
    }

    /// Takes a datagram that arrived now. Returns whether it was taken; one that was not is counted.
    pub fn on_datagram(&mut self, now: Millis, datagram: &[u8]) -> bool {
        self.now = self.now.max(now);
        if datagram.len() < TAG {
            self.counters.forged += 1;
            return false;
        }
        let (tag, body) = datagram.split_at(TAG);
        let mut mac = self.mac.clone();
        mac.update(body);
        if mac.verify_slice(tag).is_err() {
            self.counters.forged += 1;
            return false;
        }
        self.counters.received += 1;
        let taken = self.foca.handle_data(body, &mut self.runtime).is_ok();
        if !taken {
            self.counters.refused += 1;
        }
        self.settle();
        taken
    }

    /// Fires the timers that are due by now.
    pub fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let timer = entry.remove();
            if self.is_refuted(&timer) {
                continue;
            }
            // A timer for a member no longer known is refused by SWIM; nothing to do about it.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.settle();
        }
    }

    /// Whether a suspicion that would now end in a verdict was answered meanwhile: its member is alive here, or suspected
    /// anew under a later incarnation, which has a timer of its own. Handed to SWIM, such a timer changes nothing in this
    /// view, and yet the member hears that it was declared down, and rejoins under a new name.
    fn is_refuted(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let member = self.foca.iter_membership_state().find(|member| member.id() == member_id);
        member.is_some_and(|m| m.state() != State::Suspect || m.incarnation() != *incarnation)
    }

    /// When the next timer is due, if any.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.keys().next().map(|(due, _)| *due)
    }

    /// Datagrams to send, each with its tag, to the address it is for.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let mut out = Vec::new();
        while let Some((to, body)) = self.runtime.to_send() {
            let mut mac = self.mac.clone();
            mac.update(&body);
            let mut datagram = mac.finalize().into_bytes().to_vec();
            datagram.extend_from_slice(&body);
            self.counters.sent += 1;
            self.counters.sent_bytes += datagram.len() as u64;
            out.push((to.addr, datagram));
        }
        out
    }

    /// Changes of the view since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Members this view knows, with their standing; this member is not among them.
    pub fn members(&self) -> impl Iterator<Item = (&Id, Standing)> {
        self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Alive => Standing::Alive,
                State::Suspect => Standing::Suspect,
                State::Down => Standing::Down,
            };
            (member.id(), standing)
        })
    }

    /// Members up in this view (alive or suspect), this one not counted.
    pub fn up(&self) -> usize {
        self.foca.num_members()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Tells the others that this member leaves, as on SIGTERM.
    pub fn leave(&mut self, now: Millis) -> Result<(), Failed> {
        self.now = self.now.max(now);
        let Self { foca, runtime, .. } = self;
        // `leave_cluster` consumes the state machine's will to go on; the caller stops calling after it.
        foca.leave_cluster(&mut *runtime).map_err(|e| Failed(e.to_string()))?;
        self.settle();
        Ok(())
    }

    /// Moves what SWIM asked for into timers and changes.
    fn settle(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() >= self.max_timers {
                self.counters.timers_dropped += 1;
                continue;
            }
            self.timer_seq += 1;
            let due = self.now + after.as_millis() as Millis;
            self.timers.insert((due, self.timer_seq), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            let change = match notification {
                OwnedNotification::MemberUp(id) => Change::Up(id),
                OwnedNotification::MemberDown(id) => Change::Down(id),
                OwnedNotification::Rename(old, new) => Change::Renamed(old, new),
                OwnedNotification::Active => Change::Active,
                OwnedNotification::Idle => Change::Idle,
                OwnedNotification::Rejoin(id) => Change::Rejoined(id),
                _ => continue,
            };
            self.changes.push(change);
        }
    }
}
