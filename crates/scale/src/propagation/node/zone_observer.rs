//! Records what the client-only subscribers of a zone have in force. The updates of each subscriber are
//! applied to a table of its own, separate from the mirror that the code under test keeps. Equal tables then
//! share their memory.

use crate::propagation::control::{DigestLine, PositionLine};
use crate::propagation::dataset::sequence_of;
use crate::propagation::process::unix_ms;
use crate::propagation::record::{Observation, ObservationWriter};
use dunlinspread_config_sync::client::Update;
use dunlinspread_config_sync::net::{Confirmation, Observer};
use dunlinspread_config_sync::resource::{Change, Digest, Position};
use dunlinspread_config_sync::shared_steps::SharedSteps;
use dunlinspread_config_sync::table::Table;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of distinct tables that are kept for sharing.
const MAX_SHARED_TABLES: usize = 256;

/// Observes the tables in force in a zone and writes the observations.
#[derive(Clone)]
pub struct ZoneObserver {
    state: Arc<Mutex<State>>,
    first_subscriber: usize,
}

struct State {
    writer: ObservationWriter,
    servers: Vec<ServerState>,
    /// Most recent distinct tables, which subscribers with equal tables share.
    shared: VecDeque<Table>,
    /// Table updates shared by several subscribers, separate from those of the mirrors.
    shared_steps: SharedSteps,
}

#[derive(Clone, Default)]
struct ServerState {
    position: Position,
    table: Table,
    started: bool,
}

impl ZoneObserver {
    /// Creates an observer of `subscribers` subscribers; `first_subscriber` is the number of the first over
    /// all zones.
    pub fn new(writer: ObservationWriter, first_subscriber: usize, subscribers: usize) -> ZoneObserver {
        let servers = vec![ServerState::default(); subscribers];
        let state = State { writer, servers, shared: VecDeque::new(), shared_steps: SharedSteps::default() };
        ZoneObserver { state: Arc::new(Mutex::new(state)), first_subscriber }
    }

    /// Records that a subscriber begins with this table in force.
    pub fn begin(&self, index: usize, position: Position, table: Table) {
        let mut state = self.state();
        let digest = table.digest();
        state.servers[index] = ServerState { position, table, started: true };
        let observation = Observation {
            subscriber: self.number(index),
            initial: true,
            position,
            digest,
            at_unix_ms: unix_ms(),
            least_sequence: None,
            greatest_sequence: None,
        };
        state.write(&observation);
    }

    /// Returns the observer of one subscriber.
    pub fn observer(&self, index: usize) -> Box<dyn Observer> {
        Box::new(ServerObserver { zone: self.clone(), index })
    }

    /// Returns the position of each table in force and its digest, computed anew from its resources.
    pub fn verified_tables(&self) -> Vec<(PositionLine, DigestLine)> {
        let servers = self.state().servers.clone();
        let mut computed: Vec<(Table, Digest)> = Vec::new();
        servers
            .into_iter()
            .map(|server| {
                let known = computed.iter().find(|(table, _)| table.shares_with(&server.table));
                let digest = known.map(|(_, digest)| *digest).unwrap_or_else(|| {
                    let digest = computed_digest(&server.table);
                    computed.push((server.table.clone(), digest));
                    digest
                });
                (server.position.into(), digest.into())
            })
            .collect()
    }

    fn put_in_force(&self, index: usize, update: &Update) {
        let mut state = self.state();
        let State { servers, shared_steps, .. } = &mut *state;
        let server = &mut servers[index];
        let initial = !std::mem::replace(&mut server.started, true);
        server.position = update.position;
        shared_steps.apply(&mut server.table, &update.changes);
        let digest = server.table.digest();
        state.deduplicate(index, digest);
        let sequences = || update.changes.iter().filter_map(sequence_of);
        let observation = Observation {
            subscriber: self.number(index),
            initial,
            position: update.position,
            digest,
            at_unix_ms: unix_ms(),
            least_sequence: sequences().min(),
            greatest_sequence: sequences().max(),
        };
        state.write(&observation);
    }

    fn number(&self, index: usize) -> u32 {
        u32::try_from(self.first_subscriber + index).unwrap_or(u32::MAX)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Replaces a subscriber's table by an equal one that is already kept, so that equal tables share
    /// memory.
    fn deduplicate(&mut self, index: usize, digest: Digest) {
        let table = &mut self.servers[index].table;
        if let Some(known) = self.shared.iter().rev().find(|known| known.digest() == digest) {
            *table = known.clone();
            return;
        }
        if self.shared.len() == MAX_SHARED_TABLES {
            self.shared.pop_front();
        }
        self.shared.push_back(table.clone());
    }

    fn write(&mut self, observation: &Observation) {
        if let Err(error) = self.writer.write(observation) {
            // The run can't be judged without these records. The coordinator notices that this process has
            // exited.
            eprintln!("dunlinspread-scale: writing observations: {error}");
            std::process::exit(1);
        }
    }
}

/// Observes one subscriber of a zone.
struct ServerObserver {
    zone: ZoneObserver,
    index: usize,
}

impl Observer for ServerObserver {
    fn in_force(&mut self, update: Update) -> Confirmation {
        self.zone.put_in_force(self.index, &update);
        Confirmation::Now
    }
}

fn computed_digest(table: &Table) -> Digest {
    let changes: Vec<Change> = table.iter().cloned().map(Change::Put).collect();
    let mut computed = Table::new();
    computed.apply(&changes);
    computed.digest()
}
