//! The state of a fan-out: its table, its log, its sessions, and the steps on a single session that all else is made of.

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

/// The server's side of all sessions.
#[derive(Debug)]
pub struct Fanout {
    pub(super) settings: FanoutSettings,
    pub(super) log: DeltaLog,
    /// The table at the head.
    pub(super) table: Table,
    /// When the head's transaction was accepted.
    pub(super) published_unix_ms: u64,
    /// How old the table is.
    pub(super) age: ServerAge,
    /// What all live sessions have been sent.
    pub(super) flushed: Position,
    pub(super) last_flush: Option<Millis>,
    pub(super) last_heartbeat: Option<Millis>,
    pub(super) last_tick: Option<Millis>,
    pub(super) sessions: BTreeMap<SessionId, Session>,
    /// The session of each member that watches.
    pub(super) names: BTreeMap<Arc<str>, SessionId>,
    /// Sessions that catch up with the log.
    pub(super) catching_up: BTreeSet<SessionId>,
    /// Sessions whose stage takes a place for a snapshot.
    pub(super) places_taken: usize,
    pub(super) progress: Progress,
    pub(super) shared_deltas: SharedDeltas,
    pub(super) shared_pieces: SharedPieces,
    pub(super) random: ChaCha8Rng,
}

impl Fanout {
    /// One without sessions, its table empty, its head the default position.
    pub fn new(settings: FanoutSettings) -> Fanout {
        Fanout {
            log: DeltaLog::new(settings.log, Position::default(), Digest::default()),
            table: Table::new(),
            published_unix_ms: 0,
            age: ServerAge::Publisher,
            flushed: Position::default(),
            last_flush: None,
            last_heartbeat: None,
            last_tick: None,
            sessions: BTreeMap::new(),
            names: BTreeMap::new(),
            catching_up: BTreeSet::new(),
            places_taken: 0,
            progress: Progress::new(settings.max_zones, settings.max_refusals),
            shared_deltas: SharedDeltas::default(),
            shared_pieces: SharedPieces::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// The position of the table that is served.
    pub fn head(&self) -> Position {
        self.log.head()
    }

    /// The table at the head.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// How old the table is from now on, for heartbeats: a relay says so before each event. Without it, the fan-out is a
    /// publisher's.
    pub fn set_age(&mut self, age: ServerAge) {
        self.age = age;
    }

    /// The log of deltas.
    pub fn log(&self) -> &DeltaLog {
        &self.log
    }

    /// The number of sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Snapshots under way or announced.
    pub fn snapshots(&self) -> usize {
        self.places_taken
    }

    /// Sessions whose clients have more than this server. At a publisher this means that its store was set back.
    pub fn sessions_ahead(&self) -> usize {
        self.sessions.values().filter(|session| matches!(session.stage, Stage::Ahead { .. })).count()
    }

    /// The progress of the subscribers below, by zone.
    pub fn zones(&self) -> Vec<ZoneProgress> {
        self.progress.zones()
    }

    /// Takes the oldest refusals, as many as one report may name; call again until none is left.
    pub fn take_refusals(&mut self) -> Vec<Refusal> {
        self.progress.take_refusals()
    }

    /// Refusals that found no room, since the start.
    pub fn refusals_dropped(&self) -> u64 {
        self.progress.refusals_dropped()
    }

    /// When the next `FanoutEvent::Tick` has something to do; at once if there was none yet.
    pub fn deadline(&self) -> Millis {
        let heartbeat = self.last_heartbeat.map_or(0, |last| last.saturating_add(self.settings.heartbeat_ms));
        let flush = if self.flushed == self.head() { Millis::MAX } else { self.flush_due() };
        let catch_up = if self.catching_up.is_empty() { Millis::MAX } else { self.catch_up_due() };
        heartbeat.min(flush).min(catch_up)
    }

    /// What this server has, and how old it is.
    pub(super) fn heartbeat(&self, now: Millis) -> ToClient {
        ToClient::Heartbeat { head: self.head(), age_ms: self.age.at(now) }
    }

    pub(super) fn flush_due(&self) -> Millis {
        self.last_flush.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    pub(super) fn catch_up_due(&self) -> Millis {
        self.last_tick.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    pub(super) fn busy(&mut self) -> ToClient {
        let least = self.settings.busy_retry_ms;
        ToClient::Busy { retry_after_ms: self.random.random_range(least..=least.saturating_mul(2)) }
    }

    pub(super) fn send(&self, session: SessionId, message: ToClient, actions: &mut Vec<FanoutAction>) {
        actions.push(FanoutAction::Send { session, message: Arc::new(message) });
    }

    /// Closes a session that is open; nothing otherwise.
    pub(super) fn close(&mut self, session: SessionId, reason: CloseReason, actions: &mut Vec<FanoutAction>) {
        if self.sessions.contains_key(&session) {
            self.forget(session);
            actions.push(FanoutAction::Close { session, reason });
        }
    }

    pub(super) fn forget(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.progress.withdraw(&session.reported);
        self.places_taken -= usize::from(session.stage.takes_place());
        self.catching_up.remove(&id);
        if let Some(member) = &session.member {
            self.names.remove(&member.name);
        }
    }

    pub(super) fn set_stage(&mut self, now: Millis, id: SessionId, stage: Stage) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        self.places_taken += usize::from(stage.takes_place());
        self.places_taken -= usize::from(session.stage.takes_place());
        if matches!(stage, Stage::CatchingUp { .. }) {
            self.catching_up.insert(id);
        } else {
            self.catching_up.remove(&id);
        }
        session.stage = stage;
        session.since = now;
    }
}
