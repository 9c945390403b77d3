//! The settings of the real machines in the model: no waiting, a log of one transaction, and one server after the other.

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

/// Longer than any history explored; what hangs on it never happens by itself.
const NEVER_MS: Millis = 1_000_000;
/// So few that a client that is two changes behind needs a snapshot.
const LOG_TRANSACTIONS: usize = 1;

/// The keys that are changed in turn.
const TENANTS: [&str; 2] = ["even", "odd"];

/// Takes everything.
pub struct AcceptAll;

impl Judge for AcceptAll {
    fn judge(&self, _changes: &[Change]) -> Result<(), Rejection> {
        Ok(())
    }
}

/// The change that is proposed as the `number`th. Each sets another value, so that a revision that is used again after
/// a crash differs from the one that was lost.
pub fn change(number: u8) -> Change {
    let tenant = TENANTS[usize::from(number) % TENANTS.len()];
    Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: u64::from(number) + 1 })
}

/// What a table holds of the keys that the model changes; anything more makes it differ from every history.
pub fn contents_of(table: &Table) -> Contents {
    let keys = TENANTS.map(|tenant| Key::Tenant(tenant.into()));
    let contents: Contents =
        keys.into_iter().filter_map(|key| table.get(&key).cloned().map(|value| (key, value))).collect();
    assert_eq!(contents.len(), table.len(), "a key that was never changed");
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

/// `servers` in the order of preference.
pub fn subscriber(number: usize, servers: &[Server]) -> SubscriberSettings {
    SubscriberSettings::new(follower(format!("subscriber-{number}"), Role::Subscriber, servers))
}

impl Server {
    /// As clients know it that prefer the `place`th.
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
