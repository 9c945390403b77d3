//! Settings of the real state machines in the model: no delays, a delta log of one transaction, and servers
//! in a fixed order.

use super::links::Server;
use super::world::Contents;
use dunlinspread_config_sync::backoff::BackoffSettings;
use dunlinspread_config_sync::client::{self, Judge, Rejection};
use dunlinspread_config_sync::delta_log::DeltaLogSettings;
use dunlinspread_config_sync::fanout::FanoutSettings;
use dunlinspread_config_sync::follower::FollowerSettings;
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::publisher::PublisherSettings;
use dunlinspread_config_sync::relay::RelaySettings;
use dunlinspread_config_sync::resource::{Change, Key, Millis, Resource};
use dunlinspread_config_sync::subscriber::SubscriberSettings;
use dunlinspread_config_sync::table::Table;

/// A time longer than any explored history, so that no timeout set to it expires.
const NEVER_MS: Millis = 1_000_000;
/// Length of the delta log, short enough that a client two changes behind needs a snapshot.
const LOG_TRANSACTIONS: usize = 1;

/// Tenants whose allowances are changed in turn.
const TENANTS: [&str; 2] = ["even", "odd"];

/// A judge that accepts every change.
pub struct AcceptAll;

impl Judge for AcceptAll {
    fn judge(&self, _changes: &[Change]) -> Result<(), Rejection> {
        Ok(())
    }
}

/// Returns the change that is proposed as the `number`th. Each one sets a different value, so that a revision
/// reused after a crash differs from the lost one.
pub fn change(number: u8) -> Change {
    let tenant = TENANTS[usize::from(number) % TENANTS.len()];
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: u64::from(number) + 1 })
}

/// Returns a table's values of the keys that the model changes. Panics if the table has any other key.
pub fn contents_of(table: &Table) -> Contents {
    let keys = TENANTS.map(|tenant| Key::Tenant(tenant.into()));
    let contents: Contents =
        keys.into_iter().filter_map(|key| table.get(&key).cloned().map(|value| (key, value))).collect();
    assert_eq!(contents.len(), table.len(), "the table has a key that was never changed");
    contents
}

fn fanout() -> FanoutSettings {
    let log = DeltaLogSettings { max_transactions: LOG_TRANSACTIONS, ..DeltaLogSettings::default() };
    FanoutSettings {
        flush_ms: 0,
        heartbeat_ms: 0,
        silence_ms: NEVER_MS,
        stall_ms: NEVER_MS,
        log,
        ..FanoutSettings::default()
    }
}

pub fn publisher() -> PublisherSettings {
    PublisherSettings { fanout: fanout(), ..PublisherSettings::default() }
}

fn follower(name: String, role: Role, servers: &[Server]) -> FollowerSettings {
    let member = Member { name: name.into(), zone: "zone".into(), region: "region".into(), role };
    let servers = servers.iter().enumerate().map(|(place, server)| server.described(place)).collect();
    FollowerSettings {
        backoff: BackoffSettings { base_ms: 0, cap_ms: 0 },
        connect_limit_ms: NEVER_MS,
        silence_ms: NEVER_MS,
        stall_ms: NEVER_MS,
        return_ms: NEVER_MS,
        ..FollowerSettings::new(member, servers, 1)
    }
}

pub fn relay() -> RelaySettings {
    RelaySettings::new(follower("relay-client".to_owned(), Role::Relay, &[Server::Publisher]), fanout())
}

/// Returns the settings of a subscriber with `servers` in order of preference.
pub fn subscriber(number: usize, servers: &[Server]) -> SubscriberSettings {
    SubscriberSettings::new(follower(format!("subscriber-{number}"), Role::Subscriber, servers))
}

impl Server {
    /// Returns the server's description for clients that prefer it as the `place`th.
    fn described(self, place: usize) -> client::Server {
        let name = match self {
            Server::Publisher => "publisher",
            Server::Relay => "relay",
        };
        let zone = (place == 0).then(|| "zone".into());
        let address = ([127, 0, 0, 1], 1).into();
        client::Server { name: name.into(), address, zone, region: "region".into() }
    }

    pub fn of(server: &client::Server) -> Server {
        if &*server.name == "publisher" { Server::Publisher } else { Server::Relay }
    }
}
