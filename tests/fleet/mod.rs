//! A real server with a fake worker pool, a publisher and a relay, all on loopback. Each wait is for an
//! event, with a time limit far beyond any delay of a working program.
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

/// Waits until `holds` returns true; `condition` names what it checks in the failure message.
pub fn wait_for(condition: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "timed out waiting for: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Creates an empty folder for a test and returns its path.
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

/// A publisher and the one relay from which servers receive changes.
pub struct Fleet {
    pub publisher: PublisherNode,
    relay: Option<RelayNode>,
}

impl Fleet {
    /// Starts a publisher, which accepts routes to these classes, and a relay.
    pub fn new(folder: &Path, classes: &[&str]) -> Fleet {
        let mut settings = PublisherNodeSettings::new("publisher", any_port(), KEY);
        settings.known_classes = classes.iter().map(|class| (*class).into()).collect();
        let publisher = PublisherNode::open(settings, &folder.join("publisher"), discard_log())
            .expect("opening the publisher");
        let relay = relay(&publisher);
        Fleet { publisher, relay: Some(relay) }
    }

    /// Waits until the relay serves all published changes.
    pub fn wait_relay_at_head(&self) {
        let head = self.publisher.head();
        wait_for("relay at its head", || self.relay.as_ref().is_some_and(|relay| relay.head() == head));
    }

    /// Returns the address at which servers connect.
    pub fn relay_address(&self) -> SocketAddr {
        self.relay.as_ref().expect("the relay runs").address()
    }

    /// Stops the relay.
    pub fn stop_relay(&mut self) {
        self.relay = None;
    }

    /// Publishes changes and returns their position.
    pub fn propose(&self, changes: Vec<Change>) -> Position {
        self.publisher.propose(changes).expect("the changes are accepted")
    }

    /// Publishes changes and waits until the server has applied or rejected them.
    pub fn put(&self, changes: Vec<Change>) {
        let position = self.propose(changes);
        self.wait_in_force(position);
    }

    /// Waits until the progress of all subscribers shows this position.
    pub fn wait_in_force(&self, position: Position) {
        wait_for("the position in force in the publisher's progress", || {
            let zones = self.publisher.progress();
            zones.iter().any(|zone| zone.subscribers > 0)
                && zones.iter().filter(|zone| zone.subscribers > 0).all(|zone| zone.least >= position)
        });
    }
}

fn relay(publisher: &PublisherNode) -> RelayNode {
    let source =
        Server { name: "publisher".into(), address: publisher.address(), zone: None, region: "r1".into() };
    let member = Member { name: "relay".into(), zone: "z1".into(), region: "r1".into(), role: Role::Relay };
    let settings = RelayNodeSettings {
        member,
        listen: any_port(),
        servers: vec![source],
        fleet_key: KEY.to_vec(),
        seed: 7,
    };
    RelayNode::start(settings, discard_log()).expect("starting the relay")
}

/// Returns the change that sets the quota of a tenant, in whole requests per second.
pub fn put_tenant(tenant: &str, per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: per_second * 1000 })
}

/// Returns the change that deletes the quota of a tenant.
pub fn delete_tenant(tenant: &str) -> Change {
    Change::Delete(Key::Tenant(tenant.into()))
}

/// Returns the change that maps a route to a class.
pub fn put_route(route: &str, class: &str) -> Change {
    Change::Put(Resource::Route { route: route.into(), class: class.into() })
}

/// Returns the change that removes a route.
pub fn delete_route(route: &str) -> Change {
    Change::Delete(Key::Route(route.into()))
}

/// Returns the change that limits the number of running requests of a class.
pub fn put_limit(class: &str, max_running: u32) -> Change {
    Change::Put(Resource::ClassLimit { class: class.into(), max_running })
}
