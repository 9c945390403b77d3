//! A real server with a fake worker pool, a publisher and a relay, all on loopback. Every wait is for an event, with a
//! time limit far beyond what a working program takes.
#![allow(dead_code, reason = "each test program uses a part of it")]

mod client;
mod daemon;
mod worker_pool;

pub use client::{Client, ResponseKind};
pub use daemon::{Daemon, KEY, OperatorFile};
pub use worker_pool::FakeWorkerPool;

use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::net::{PublisherNode, PublisherNodeSettings, RelayNode, RelayNodeSettings};
use dunlinspread_config_sync::resource::{Change, Key, Position, Resource};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Time limit of a wait, far beyond any delay of a working program.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until the condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns an empty folder of one test.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn discard_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A publisher, and the one relay that servers watch.
pub struct Fleet {
    pub publisher: PublisherNode,
    relay: Option<RelayNode>,
}

impl Fleet {
    /// Starts both; routes may lead to these classes.
    pub fn new(folder: &Path, classes: &[&str]) -> Fleet {
        let mut settings = PublisherNodeSettings::new("publisher", any_port(), KEY);
        settings.known_classes = classes.iter().map(|class| (*class).into()).collect();
        let publisher =
            PublisherNode::open(settings, &folder.join("publisher"), discard_log()).expect("it opens");
        let relay = relay(&publisher);
        Fleet { publisher, relay: Some(relay) }
    }

    /// Waits until the relay serves all published changes.
    pub fn wait_relay_at_head(&self) {
        let head = self.publisher.head();
        wait_for("the relay has all", || self.relay.as_ref().is_some_and(|relay| relay.head() == head));
    }

    /// Returns the address at which servers connect.
    pub fn relay_address(&self) -> SocketAddr {
        self.relay.as_ref().expect("it runs").address()
    }

    /// Stops the relay.
    pub fn stop_relay(&mut self) {
        self.relay = None;
    }

    /// Publishes changes.
    pub fn propose(&self, changes: Vec<Change>) -> Position {
        self.publisher.propose(changes).expect("it is accepted")
    }

    /// Publishes changes and waits until the server has applied or rejected them.
    pub fn put(&self, changes: Vec<Change>) {
        let position = self.propose(changes);
        self.wait_in_force(position);
    }

    /// Waits until the progress of all subscribers shows this position.
    pub fn wait_in_force(&self, position: Position) {
        wait_for("in force by the publisher's account", || {
            let zones = self.publisher.progress();
            zones.iter().any(|zone| zone.subscribers > 0)
                && zones.iter().filter(|zone| zone.subscribers > 0).all(|zone| zone.least >= position)
        });
    }
}

fn relay(publisher: &PublisherNode) -> RelayNode {
    let above =
        Server { name: "publisher".into(), address: publisher.address(), zone: None, region: "r1".into() };
    let member = Member { name: "relay".into(), zone: "z1".into(), region: "r1".into(), role: Role::Relay };
    let settings = RelayNodeSettings {
        member,
        listen: any_port(),
        servers: vec![above],
        fleet_key: KEY.to_vec(),
        seed: 7,
    };
    RelayNode::start(settings, discard_log()).expect("it starts")
}

/// Sets the quota of a tenant, in whole requests a second.
pub fn put_tenant(tenant: &str, per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: per_second * 1000 })
}

/// Deletes the quota of a tenant.
pub fn delete_tenant(tenant: &str) -> Change {
    Change::Delete(Key::Tenant(tenant.into()))
}

/// Leads a route to a class.
pub fn put_route(route: &str, class: &str) -> Change {
    Change::Put(Resource::Route { route: route.into(), class: class.into() })
}

/// Removes a route.
pub fn delete_route(route: &str) -> Change {
    Change::Delete(Key::Route(route.into()))
}

/// Limits a class.
pub fn put_limit(class: &str, max_running: u32) -> Change {
    Change::Put(Resource::ClassLimit { class: class.into(), max_running })
}
