//! A real round server with its worker pool played by the test, a publisher and a relay around it, all on loopback.
//! Every wait is for an event, with a bound far beyond what a working program takes.
#![allow(dead_code, reason = "each test program uses a part of it")]

mod caller;
mod daemon;
mod pool;

pub use caller::{Answer, Caller};
pub use daemon::{Daemon, KEY, OperatorFile};
pub use pool::Pool;

use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::net::{PublisherNode, PublisherNodeSettings, RelayNode, RelayNodeSettings};
use dunlinspread_config_sync::resource::{Change, Key, Position, Resource};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Far beyond any delay of a working program: it ends a test that would hang.
pub const HANG: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(2);

/// Waits until the condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < HANG, "waited in vain: {what}");
        std::thread::sleep(LOOK);
    }
}

/// A folder of one test's own, empty.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn no_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// A publisher and the one relay that servers watch.
pub struct Fleet {
    pub publisher: PublisherNode,
    relay: Option<RelayNode>,
}

impl Fleet {
    /// Both started; routes may lead to these classes.
    pub fn new(folder: &Path, classes: &[&str]) -> Fleet {
        let mut settings = PublisherNodeSettings::new("publisher", any_port(), KEY);
        settings.known_classes = classes.iter().map(|class| (*class).into()).collect();
        let publisher = PublisherNode::open(settings, &folder.join("publisher"), no_log()).expect("it opens");
        let relay = relay(&publisher);
        Fleet { publisher, relay: Some(relay) }
    }

    /// Waits until the relay serves all that was published.
    pub fn wait_relay_at_head(&self) {
        let head = self.publisher.head();
        wait_for("the relay has all", || self.relay.as_ref().is_some_and(|relay| relay.head() == head));
    }

    /// Where servers connect.
    pub fn relay_address(&self) -> SocketAddr {
        self.relay.as_ref().expect("it runs").address()
    }

    /// The relay is gone.
    pub fn end_relay(&mut self) {
        self.relay = None;
    }

    /// Publishes.
    pub fn propose(&self, changes: Vec<Change>) -> Position {
        self.publisher.propose(changes).expect("it is accepted")
    }

    /// Publishes and waits until the server has it in force, or has refused it.
    pub fn put(&self, changes: Vec<Change>) {
        let position = self.propose(changes);
        self.wait_in_force(position);
    }

    /// Waits until the one server's progress shows that position.
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
    RelayNode::start(settings, no_log()).expect("it starts")
}

/// Sets a tenant's allowance, in whole requests a second.
pub fn put_tenant(tenant: &str, per_second: u64) -> Change {
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: per_second * 1000 })
}

/// Deletes a tenant's allowance.
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
