//! State of a fan-out (table, log and sessions), and the basic operations on a single session.

use super::interface::{CloseReason, FanoutAction, FanoutSettings, SessionId};
use super::progress::Progress;
use super::session::{Session, Stage};
use super::shared_deltas::SharedDeltas;
use super::snapshot::SharedPieces;
use crate::delta_log::DeltaLog;
use crate::message::{Refusal, ToClient, ZoneProgress};
use crate::resource::{Digest, Millis, Position};
use crate::state_age::ServerAge;
use crate::table::Table;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Server side of all sessions.
#[derive(Debug)]
pub struct Fanout {
    pub(super) settings: FanoutSettings,
    pub(super) log: DeltaLog,
    /// Table at the head.
    pub(super) table: Table,
    /// Time at which the publisher accepted the head's transaction, Unix ms.
    pub(super) published_unix_ms: u64,
    /// Age of the table.
    pub(super) age: ServerAge,
    /// Position up to which all live sessions have been sent everything.
    pub(super) flushed: Position,
    pub(super) last_flush: Option<Millis>,
    pub(super) last_heartbeat: Option<Millis>,
    pub(super) last_catch_up: Option<Millis>,
    pub(super) sessions: BTreeMap<SessionId, Session>,
    /// Session of each watching member, by name.
    pub(super) sessions_by_name: BTreeMap<Arc<str>, SessionId>,
    /// Sessions in the stage [`Stage::CatchingUp`].
    pub(super) catching_up: BTreeSet<SessionId>,
    /// Number of sessions that count toward the limit of snapshots.
    pub(super) snapshot_slots_used: usize,
    pub(super) progress: Progress,
    pub(super) shared_deltas: SharedDeltas,
    pub(super) shared_pieces: SharedPieces,
    pub(super) random: ChaCha8Rng,
}

impl Fanout {
    /// Creates a fan-out without sessions, with an empty table at the default position.
    pub fn new(settings: FanoutSettings) -> Fanout {
        Fanout {
            log: DeltaLog::new(settings.log, Position::default(), Digest::default()),
            table: Table::new(),
            published_unix_ms: 0,
            age: ServerAge::Publisher,
            flushed: Position::default(),
            last_flush: None,
            last_heartbeat: None,
            last_catch_up: None,
            sessions: BTreeMap::new(),
            sessions_by_name: BTreeMap::new(),
            catching_up: BTreeSet::new(),
            snapshot_slots_used: 0,
            progress: Progress::new(settings.max_zones, settings.max_refusals),
            shared_deltas: SharedDeltas::default(),
            shared_pieces: SharedPieces::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Returns the position of the table that is served.
    pub fn head(&self) -> Position {
        self.log.head()
    }

    /// Returns the table at the head.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Sets the age of the table, which heartbeats report. A relay sets it before each event; if it is never
    /// set, the fan-out is a publisher's.
    pub fn set_age(&mut self, age: ServerAge) {
        self.age = age;
    }

    /// Returns the delta log.
    pub fn log(&self) -> &DeltaLog {
        &self.log
    }

    /// Returns the number of sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of snapshots in progress or announced.
    pub fn snapshots(&self) -> usize {
        self.snapshot_slots_used
    }

    /// Returns the number of sessions whose clients are ahead of this server. At a publisher, a nonzero
    /// number means that its store was set back to an earlier state.
    pub fn sessions_ahead(&self) -> usize {
        self.sessions.values().filter(|session| matches!(session.stage, Stage::Ahead { .. })).count()
    }

    /// Returns the progress of the subscribers below, by zone.
    pub fn zones(&self) -> Vec<ZoneProgress> {
        self.progress.zones()
    }

    /// Removes and returns the oldest refusals, at most as many as one report may contain; to be called until
    /// it returns none.
    pub fn take_refusals(&mut self) -> Vec<Refusal> {
        self.progress.take_refusals()
    }

    /// Returns the number of refusals dropped since the start because the queue was full.
    pub fn refusals_dropped(&self) -> u64 {
        self.progress.refusals_dropped()
    }

    /// Returns when the next `FanoutEvent::Tick` is required; at once if there was none yet.
    pub fn deadline(&self) -> Millis {
        let heartbeat = self.last_heartbeat.map_or(0, |last| last.saturating_add(self.settings.heartbeat_ms));
        let flush = if self.flushed == self.head() { Millis::MAX } else { self.flush_due() };
        let catch_up = if self.catching_up.is_empty() { Millis::MAX } else { self.catch_up_due() };
        heartbeat.min(flush).min(catch_up)
    }

    /// Returns a heartbeat with the head and the age of the table.
    pub(super) fn heartbeat(&self, now: Millis) -> ToClient {
        ToClient::Heartbeat { head: self.head(), age_ms: self.age.at(now) }
    }

    pub(super) fn flush_due(&self) -> Millis {
        self.last_flush.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    pub(super) fn catch_up_due(&self) -> Millis {
        self.last_catch_up.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    pub(super) fn busy(&mut self) -> ToClient {
        let min_ms = self.settings.busy_retry_ms;
        ToClient::Busy { retry_after_ms: self.random.random_range(min_ms..=min_ms.saturating_mul(2)) }
    }

    pub(super) fn send(&self, session: SessionId, message: ToClient, actions: &mut Vec<FanoutAction>) {
        actions.push(FanoutAction::Send { session, message: Arc::new(message) });
    }

    /// Closes a session if it is open.
    pub(super) fn close(&mut self, session: SessionId, reason: CloseReason, actions: &mut Vec<FanoutAction>) {
        if self.sessions.contains_key(&session) {
            self.forget(session);
            actions.push(FanoutAction::Close { session, reason });
        }
    }

    pub(super) fn forget(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.progress.withdraw(&session.reported);
        self.snapshot_slots_used -= usize::from(session.stage.uses_snapshot_slot());
        self.catching_up.remove(&id);
        if let Some(member) = &session.member {
            self.sessions_by_name.remove(&member.name);
        }
    }

    pub(super) fn set_stage(&mut self, now: Millis, id: SessionId, stage: Stage) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        self.snapshot_slots_used += usize::from(stage.uses_snapshot_slot());
        self.snapshot_slots_used -= usize::from(session.stage.uses_snapshot_slot());
        if matches!(stage, Stage::CatchingUp { .. }) {
            self.catching_up.insert(id);
        } else {
            self.catching_up.remove(&id);
        }
        session.stage = stage;
        session.since = now;
    }
}
