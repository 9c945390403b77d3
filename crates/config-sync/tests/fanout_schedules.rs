//! Property test of the fan-out under arbitrary schedules of changes, jumps, connections, confirmations and
//! time. A client never moves backwards and never holds an unpublished table (checked in `server_support`),
//! and a client that stays connected ends with the server's table.

mod server_support;

use dunlinspread_config_sync::delta_log::DeltaLogSettings;
use dunlinspread_config_sync::fanout::{Fanout, FanoutEvent, FanoutSettings, SessionId};
use dunlinspread_config_sync::message::ToServer;
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::table::Table;
use proptest::prelude::*;
use server_support::{History, Server, at, tenant};
use std::collections::{BTreeMap, VecDeque};

const CLIENTS: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Publish {
        count: u64,
    },
    Jump {
        count: u64,
    },
    /// Ends the client's connection and opens a new one, with the client's state or with an empty one.
    Connect {
        client: u64,
        keeps: bool,
    },
    /// Delivers the next messages of a client to the server.
    Receive {
        client: u64,
        count: usize,
    },
    Backlog {
        client: u64,
        bytes: usize,
    },
    Tick {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let client = 0..CLIENTS;
    prop_oneof![
        4 => (1..6u64).prop_map(|count| Step::Publish { count }),
        1 => (1..4u64).prop_map(|count| Step::Jump { count }),
        2 => (client.clone(), any::<bool>()).prop_map(|(client, keeps)| Step::Connect { client, keeps }),
        6 => (client.clone(), 1..4usize).prop_map(|(client, count)| Step::Receive { client, count }),
        1 => (client, 0..3_000usize).prop_map(|(client, bytes)| Step::Backlog { client, bytes }),
        4 => (1..40u64).prop_map(|millis| Step::Tick { millis }),
    ]
}

/// A server whose clients' messages are queued until a step delivers them.
struct World {
    server: Server,
    history: History,
    pending: BTreeMap<SessionId, VecDeque<ToServer>>,
    /// The current session of each client; empty at first.
    sessions: BTreeMap<u64, u64>,
    next_session: u64,
}

impl World {
    fn new() -> World {
        let settings = FanoutSettings {
            max_message_bytes: 400,
            max_snapshots: 2,
            max_backlog_bytes: 2_500,
            log: DeltaLogSettings { max_transactions: 12, max_bytes: 100_000 },
            ..FanoutSettings::default()
        };
        let mut history = History::new();
        history.next((0..900).map(|number| tenant(&format!("first-{number}-{:0>100}", 0), 1)).collect());
        let mut server = Server::new(Fanout::new(settings));
        server.reset(history.position, &history.table);
        World { server, history, pending: BTreeMap::new(), sessions: BTreeMap::new(), next_session: 1 }
    }

    fn event(&mut self, event: FanoutEvent) {
        for (session, answer) in self.server.event_with_ids(event) {
            self.pending.entry(session).or_default().push_back(answer);
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Publish { count } => {
                let transactions = self.history.tenants(count);
                self.publish(transactions);
            }
            Step::Jump { count } => {
                let _ = self.history.tenants(count);
                let (position, table) = (self.history.position, self.history.table.clone());
                let mut out = Vec::new();
                self.server.fanout.reset(self.server.now, position, table, 1, &mut out);
                self.deliver(out);
            }
            Step::Connect { client, keeps } => self.connect(client, keeps),
            Step::Receive { client, count } => self.receive(client, count),
            Step::Backlog { client, bytes } => {
                let Some(&session) = self.sessions.get(&client) else { return };
                self.event(FanoutEvent::Backlog { session: SessionId(session), bytes });
            }
            Step::Tick { millis } => {
                self.server.now += millis;
                self.event(FanoutEvent::Tick);
            }
        }
    }

    fn publish(
        &mut self,
        transactions: Vec<std::sync::Arc<dunlinspread_config_sync::resource::Transaction>>,
    ) {
        let mut out = Vec::new();
        self.server.fanout.publish(self.server.now, transactions, &self.history.table, &mut out);
        self.deliver(out);
    }

    fn deliver(&mut self, actions: Vec<dunlinspread_config_sync::fanout::FanoutAction>) {
        for (session, answer) in self.server.deliver(actions) {
            self.pending.entry(session).or_default().push_back(answer);
        }
    }

    fn connect(&mut self, client: u64, keeps: bool) {
        let mut initial = (Position::default(), Table::new());
        if let Some(&session) = self.sessions.get(&client) {
            let last = self.server.client(session);
            if keeps {
                initial = (last.position, last.table.clone());
            }
            if last.closed.is_none() {
                self.event(FanoutEvent::Closed(SessionId(session)));
            }
        }
        let session = self.next_session;
        self.next_session += 1;
        self.sessions.insert(client, session);
        let answers = self.server.watch(session, initial.0, &initial.1);
        self.pending.entry(SessionId(session)).or_default().extend(answers);
    }

    fn receive(&mut self, client: u64, count: usize) {
        let Some(&session) = self.sessions.get(&client) else { return };
        let session = SessionId(session);
        for _ in 0..count {
            let Some(message) = self.pending.get_mut(&session).and_then(VecDeque::pop_front) else { return };
            self.event(FanoutEvent::Received(session, message));
        }
    }

    /// Delivers all queued messages and reconnects each client whose session was closed.
    fn settle(&mut self) {
        for _ in 0..200 {
            for client in 0..CLIENTS {
                let closed =
                    self.sessions.get(&client).is_none_or(|&session| self.server.closed(session).is_some());
                if closed {
                    self.connect(client, true);
                }
                self.event(FanoutEvent::Backlog { session: SessionId(self.sessions[&client]), bytes: 0 });
                self.receive(client, usize::MAX);
            }
            self.server.now += 20;
            self.event(FanoutEvent::Tick);
            if self.is_settled() {
                return;
            }
        }
    }

    /// Returns whether no message is queued and every client is at the position of the history.
    fn is_settled(&self) -> bool {
        let is_at_end = |session: &u64| {
            let client = self.server.client(*session);
            client.closed.is_none() && client.position == self.history.position
        };
        let all_delivered =
            self.sessions.values().all(|&session| self.pending[&SessionId(session)].is_empty());
        all_delivered && self.sessions.values().all(is_at_end)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_that_stay_end_with_the_same_table(steps in prop::collection::vec(step(), 0..120)) {
        let mut world = World::new();
        for step in steps {
            let head = world.server.fanout.head();
            world.apply_step(step);
            prop_assert!(world.server.fanout.head() >= head);
            prop_assert!(world.server.fanout.snapshots() <= 2);
            prop_assert!(world.server.fanout.log().len() <= 12);
        }
        world.settle();
        for client in 0..CLIENTS {
            let last = world.server.client(world.sessions[&client]);
            prop_assert_eq!(last.position, world.history.position);
            prop_assert_eq!(last.table.digest(), world.history.table.digest());
        }
        prop_assert_eq!(world.server.fanout.snapshots(), 0);
        prop_assert!(world.server.fanout.head() >= at(1));
    }
}
