//! The server's side of all sessions of a publisher or relay: deltas from the log, snapshots to those the log can't
//! serve, heartbeats, and the progress of the subscribers below by zone.
//!
//! Every live session has everything up to the last flush and nothing more, so that a flush is the same messages for
//! all of them. A session that begins is brought to that point by itself. What is bounded, and by which setting, stands
//! at [`FanoutSettings`]; unsent bytes are held by the owner of the sockets, which reports them as
//! [`FanoutEvent::Backlog`].

mod interface;
mod progress;
mod session;
mod snapshot;
mod watch;

pub use interface::{CloseReason, FanoutAction, FanoutEvent, FanoutSettings, ProtocolFault, SessionId};

use crate::delta_log::DeltaLog;
use crate::message::{Refusal, ToClient, ToServer, ZoneProgress};
use crate::resource::{Digest, Millis, Position, Transaction};
use crate::state_age::ServerAge;
use crate::table::Table;
use progress::Progress;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Session, Stage};
use snapshot::SharedPieces;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use watch::SharedDeltas;

/// The server's side of all sessions.
#[derive(Debug)]
pub struct Fanout {
    settings: FanoutSettings,
    log: DeltaLog,
    /// The table at the head.
    table: Table,
    /// When the head's transaction was accepted.
    published_unix_ms: u64,
    /// How old the table is.
    age: ServerAge,
    /// What all live sessions have been sent.
    flushed: Position,
    last_flush: Option<Millis>,
    last_heartbeat: Option<Millis>,
    last_tick: Option<Millis>,
    sessions: BTreeMap<SessionId, Session>,
    /// The session of each member that watches.
    names: BTreeMap<Arc<str>, SessionId>,
    /// Sessions that catch up with the log.
    catching_up: BTreeSet<SessionId>,
    /// Sessions whose stage takes a place for a snapshot.
    places_taken: usize,
    progress: Progress,
    shared_deltas: SharedDeltas,
    shared_pieces: SharedPieces,
    random: ChaCha8Rng,
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

    /// When the next [`FanoutEvent::Tick`] has something to do; at once if there was none yet.
    pub fn deadline(&self) -> Millis {
        let heartbeat = self.last_heartbeat.map_or(0, |last| last.saturating_add(self.settings.heartbeat_ms));
        let flush = if self.flushed == self.head() { Millis::MAX } else { self.flush_due() };
        let catch_up = if self.catching_up.is_empty() { Millis::MAX } else { self.catch_up_due() };
        heartbeat.min(flush).min(catch_up)
    }

    /// Takes one event in.
    pub fn on_event(&mut self, now: Millis, event: FanoutEvent, out: &mut Vec<FanoutAction>) {
        match event {
            FanoutEvent::Opened(id) => self.on_opened(now, id, out),
            FanoutEvent::Received(id, message) => self.on_received(now, id, message, out),
            FanoutEvent::Closed(id) => self.forget(id),
            FanoutEvent::Backlog { session, bytes } => self.on_backlog(session, bytes, out),
            FanoutEvent::Tick => self.on_tick(now, out),
        }
    }

    /// The head moves on by transactions, to `table`. They are sent now, or with the next flush if the last one was
    /// less than `flush_ms` ago. Transactions that don't follow the head are a jump, as by [`Fanout::reset`].
    pub fn publish(
        &mut self,
        now: Millis,
        transactions: Vec<Arc<Transaction>>,
        table: &Table,
        out: &mut Vec<FanoutAction>,
    ) {
        let Some(last) = transactions.last().cloned() else { return };
        for transaction in transactions {
            if self.log.push(transaction).is_err() {
                return self.reset(now, last.position, table.clone(), last.published_unix_ms, out);
            }
        }
        self.table = table.clone();
        self.published_unix_ms = last.published_unix_ms;
        if now >= self.flush_due() {
            self.flush(now, out);
        }
    }

    /// The head jumps: the log is void, and every session that is behind gets a `Resync`, or is sent away for a while
    /// if the places for snapshots are taken.
    pub fn reset(
        &mut self,
        now: Millis,
        position: Position,
        table: Table,
        published_unix_ms: u64,
        out: &mut Vec<FanoutAction>,
    ) {
        if position == self.head() && table.digest() == self.table.digest() {
            return;
        }
        let had = (self.flushed, self.log.digest_at(self.flushed).unwrap_or_default());
        self.log.reset(position, table.digest());
        self.table = table;
        self.published_unix_ms = published_unix_ms;
        self.flushed = position;
        self.shared_deltas.clear();
        self.shared_pieces.clear();
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in ids {
            match self.sessions.get(&id).map(|session| &session.stage) {
                Some(Stage::Live) => self.begin(now, id, had.0, had.1, out),
                Some(Stage::CatchingUp { .. }) => self.require_resync(now, id, out),
                Some(&Stage::Ahead { position, digest }) => self.begin(now, id, position, digest, out),
                _ => {}
            }
        }
    }

    fn on_opened(&mut self, now: Millis, id: SessionId, out: &mut Vec<FanoutAction>) {
        if self.sessions.len() >= self.settings.max_sessions {
            let message = Arc::new(self.busy());
            out.push(FanoutAction::Send { session: id, message });
            out.push(FanoutAction::Close { session: id, why: CloseReason::Full });
            return;
        }
        self.forget(id);
        self.sessions.insert(id, Session::new(now));
    }

    fn on_received(&mut self, now: Millis, id: SessionId, message: ToServer, out: &mut Vec<FanoutAction>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.unanswered = 0;
        let watches = session.member.is_some();
        match message {
            ToServer::Watch { member, position, digest } if !watches => {
                self.on_watch(now, id, member, position, digest, out);
            }
            ToServer::Watch { .. } => self.close(id, ProtocolFault::SecondWatch.into(), out),
            _ if !watches => self.close(id, ProtocolFault::NotWatched.into(), out),
            ToServer::FetchDifferences { bucket_digests } => self.on_fetch(now, id, &bucket_digests, out),
            ToServer::PieceTaken { sequence } => self.on_piece_taken(now, id, sequence, out),
            ToServer::Progress { zones, refusals } => self.on_progress(id, zones, refusals, out),
            ToServer::Alive => {}
        }
    }

    fn on_backlog(&mut self, id: SessionId, bytes: usize, out: &mut Vec<FanoutAction>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.backlog_bytes = bytes;
        if bytes > self.settings.max_backlog_bytes {
            self.close(id, CloseReason::Slow { bytes }, out);
        }
    }

    fn on_tick(&mut self, now: Millis, out: &mut Vec<FanoutAction>) {
        let heartbeat_due =
            self.last_heartbeat.is_none_or(|last| now >= last.saturating_add(self.settings.heartbeat_ms));
        if heartbeat_due || now >= self.flush_due() {
            self.flush(now, out);
        }
        if now >= self.catch_up_due() {
            self.last_tick = Some(now);
            self.catch_all_up(now, out);
        }
        if heartbeat_due {
            self.last_heartbeat = Some(now);
            self.close_silent(now, out);
            self.send_heartbeats(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<FanoutAction>) {
        let message = Arc::new(self.heartbeat(now));
        for (&session, state) in &mut self.sessions {
            if state.member.is_some() {
                state.unanswered = state.unanswered.saturating_add(1);
                out.push(FanoutAction::Send { session, message: message.clone() });
            }
        }
    }

    /// What this server has, and how old it is.
    fn heartbeat(&self, now: Millis) -> ToClient {
        ToClient::Heartbeat { head: self.head(), age_ms: self.age.at(now) }
    }

    fn close_silent(&mut self, now: Millis, out: &mut Vec<FanoutAction>) {
        let overdue: Vec<(SessionId, CloseReason)> =
            self.sessions.iter().filter_map(|(&id, state)| Some((id, self.silence(now, state)?))).collect();
        for (id, why) in overdue {
            self.close(id, why, out);
        }
    }

    /// Why a session that was silent for too long is to be closed.
    fn silence(&self, now: Millis, session: &Session) -> Option<CloseReason> {
        let (limit, why) = match session.stage {
            Stage::Opened => (self.settings.silence_ms, CloseReason::NoWatch),
            Stage::Resync => (self.settings.silence_ms, CloseReason::NoFetch),
            Stage::Snapshot(_) => (self.settings.stall_ms, CloseReason::Stalled),
            Stage::Live | Stage::CatchingUp { .. } | Stage::Ahead { .. } => return self.unanswered(session),
        };
        (now > session.since.saturating_add(limit)).then_some(why)
    }

    fn unanswered(&self, session: &Session) -> Option<CloseReason> {
        let heartbeats = session.unanswered;
        let time = self.settings.heartbeat_ms.saturating_mul(heartbeats.into());
        (time >= self.settings.client_silence_ms).then_some(CloseReason::Silent { heartbeats })
    }

    fn flush_due(&self) -> Millis {
        self.last_flush.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    fn catch_up_due(&self) -> Millis {
        self.last_tick.map_or(0, |last| last.saturating_add(self.settings.flush_ms))
    }

    fn busy(&mut self) -> ToClient {
        let least = self.settings.busy_retry_ms;
        ToClient::Busy { retry_after_ms: self.random.random_range(least..=least.saturating_mul(2)) }
    }

    fn send(&self, session: SessionId, message: ToClient, out: &mut Vec<FanoutAction>) {
        out.push(FanoutAction::Send { session, message: Arc::new(message) });
    }

    /// Closes a session that is open; nothing otherwise.
    fn close(&mut self, session: SessionId, why: CloseReason, out: &mut Vec<FanoutAction>) {
        if self.sessions.contains_key(&session) {
            self.forget(session);
            out.push(FanoutAction::Close { session, why });
        }
    }

    fn forget(&mut self, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.progress.withdraw(&session.reported);
        self.places_taken -= usize::from(session.stage.takes_place());
        self.catching_up.remove(&id);
        if let Some(member) = &session.member {
            self.names.remove(&member.name);
        }
    }

    fn set_stage(&mut self, now: Millis, id: SessionId, stage: Stage) {
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
