//! Publishers, relays and subscribers on loopback sockets, for tests of the network tasks.
#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

pub mod redirect;

use async_executor::Executor;
use dunlinspread_config_sync::client::{ClientSettings, Judge, Rejection, Server, Update};
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::net::{
    Confirmation, Observer, PublisherNode, PublisherNodeSettings, RelayNode, RelayNodeSettings, SharedTables,
    SubscriberHandle, SubscriberTask,
};
use dunlinspread_config_sync::resource::{Change, Position, Resource};
use dunlinspread_config_sync::table::Table;
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const FLEET_KEY: &[u8] = b"a key of the whole fleet, for tests";
pub const REGION: &str = "north";
/// Far longer than any step here takes; only a failing test waits this long.
const LIMIT: Duration = Duration::from_secs(60);

/// Waits until a condition holds; panics after [`LIMIT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < LIMIT, "not within {LIMIT:?}: {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A log drain that keeps the lines for a test to check.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), o!())
    }

    pub fn all(&self) -> Vec<String> {
        self.0.lock().expect("no panic while held").clone()
    }

    pub fn count(&self, text: &str) -> usize {
        self.all().iter().filter(|line| line.contains(text)).count()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        struct Values(String);
        impl Serializer for Values {
            fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
                self.0.push_str(&format!(" {key}={value}"));
                Ok(())
            }
        }
        let mut values = Values(format!("{}: {}", record.level(), record.msg()));
        let _ = record.kv().serialize(record, &mut values);
        self.0.lock().expect("no panic while held").push(values.0);
        Ok(())
    }
}

pub fn tenant(name: &str, milli_per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: name.into(), milli_per_second })
}

pub fn class(name: &str, max_running: u32) -> Change {
    Change::Put(Resource::ClassLimit { class: name.into(), max_running })
}

pub fn route(name: &str, class: &str) -> Change {
    Change::Put(Resource::Route { route: name.into(), class: class.into() })
}

pub fn member(name: &str, zone: &str, role: Role) -> Member {
    Member { name: name.into(), zone: zone.into(), region: REGION.into(), role }
}

pub fn server(name: &str, address: SocketAddr, zone: Option<&str>) -> Server {
    Server { name: name.into(), address, zone: zone.map(Arc::from), region: REGION.into() }
}

pub fn publisher_settings(listen: SocketAddr) -> PublisherNodeSettings {
    PublisherNodeSettings::new("publisher", listen, FLEET_KEY)
}

pub fn publisher(directory: &Path, log: &Lines) -> PublisherNode {
    PublisherNode::open(publisher_settings(any_port()), directory, log.logger()).expect("the publisher opens")
}

pub fn relay(name: &str, zone: &str, servers: Vec<Server>, log: &Lines) -> RelayNode {
    let settings = RelayNodeSettings {
        member: member(name, zone, Role::Relay),
        listen: any_port(),
        servers,
        fleet_key: FLEET_KEY.to_vec(),
        seed: 7,
    };
    RelayNode::start(settings, log.logger()).expect("the relay starts")
}

pub fn client_settings(name: &str, zone: &str, servers: Vec<Server>) -> ClientSettings {
    ClientSettings {
        member: member(name, zone, Role::Subscriber),
        servers,
        fleet_key: FLEET_KEY.to_vec(),
        state_directory: None,
        seed: 11,
    }
}

/// A judge that refuses the resource of one name and accepts all others.
pub struct Refusing(pub &'static str);

impl Judge for Refusing {
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection> {
        if changes.iter().any(|change| change.key().name() == self.0) {
            return Err(Rejection::new(format!("no {} here", self.0)));
        }
        Ok(())
    }
}

/// Records the updates that a subscriber put in force.
#[derive(Clone, Default)]
pub struct InForce(Arc<Mutex<InForceState>>);

#[derive(Default)]
struct InForceState {
    table: Table,
    position: Position,
    updates: u64,
    regressions: u64,
}

impl InForce {
    pub fn position(&self) -> Position {
        self.0.lock().expect("no panic while held").position
    }

    pub fn table(&self) -> Table {
        self.0.lock().expect("no panic while held").table.clone()
    }

    pub fn regressions(&self) -> u64 {
        self.0.lock().expect("no panic while held").regressions
    }
}

impl Observer for InForce {
    fn in_force(&mut self, update: Update) -> Confirmation {
        let mut state = self.0.lock().expect("no panic while held");
        state.regressions += u64::from(update.position < state.position);
        state.table.apply(&update.changes);
        state.position = update.position;
        state.updates += 1;
        Confirmation::Now
    }
}

/// Subscribers on an executor with one thread. Dropping this stops them.
pub struct Subscribers {
    executor: Arc<Executor<'static>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    pub handles: Vec<SubscriberHandle>,
    pub in_force: Vec<InForce>,
    tables: SharedTables,
}

impl Subscribers {
    pub fn new() -> Subscribers {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let running = executor.clone();
        let thread = std::thread::spawn(move || {
            let _ = async_io::block_on(running.run(stopped.recv()));
        });
        Subscribers {
            executor,
            stop: Some(stop),
            thread: Some(thread),
            handles: Vec::new(),
            in_force: Vec::new(),
            tables: SharedTables::default(),
        }
    }

    pub fn add(&mut self, settings: ClientSettings, judge: Box<dyn Judge>, log: &Lines) {
        let in_force = InForce::default();
        let observer = Box::new(in_force.clone());
        let tables = Some(self.tables.clone());
        let (task, handle) =
            SubscriberTask::new(settings, judge, observer, tables, log.logger()).expect("valid settings");
        self.executor.spawn(task.run()).detach();
        self.handles.push(handle);
        self.in_force.push(in_force);
    }

    /// Returns whether all subscribers have exactly this position in force.
    pub fn are_at(&self, position: Position) -> bool {
        self.in_force.iter().all(|in_force| in_force.position() == position)
    }
}

impl Drop for Subscribers {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
