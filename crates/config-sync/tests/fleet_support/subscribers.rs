//! A subscriber's process with its owner and its disk, and checks of both.

use super::network::ConnectionId;
use super::{POLICY_MODULUS, published::Published};
use dunlinspread_config_sync::client::{Judge, Rejection, Update};
use dunlinspread_config_sync::resource::{Change, Millis, Position, Resource};
use dunlinspread_config_sync::subscriber::{
    Persist, PersistedState, Subscriber, SubscriberAction, SubscriberSettings,
};
use dunlinspread_config_sync::table::Table;

/// A judge that refuses some allowances if it is strict.
struct Policy {
    strict: bool,
}

impl Judge for Policy {
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection> {
        let refused = |change: &Change| match change {
            Change::Put(Resource::TenantAllowance { milli_per_second, .. }) => {
                milli_per_second % POLICY_MODULUS == 0
            }
            _ => false,
        };
        match changes.iter().find(|change| self.strict && refused(change)) {
            Some(change) => Err(Rejection::new(format!("`{}` is refused", change.key().name()))),
            None => Ok(()),
        }
    }
}

/// A subscriber's process.
pub struct SubscriberNode {
    pub subscriber: Subscriber,
    pub link: Option<ConnectionId>,
    pub starts: u64,
    /// Whether the judge refuses some changes.
    pub strict: bool,
    /// Settings that the owner has in force.
    pub in_force: Table,
    pub in_force_at: Position,
    settings: SubscriberSettings,
    disk: PersistedState,
}

impl SubscriberNode {
    pub fn new(
        settings: SubscriberSettings,
        strict: bool,
        now: Millis,
        out: &mut Vec<SubscriberAction>,
    ) -> SubscriberNode {
        let judge = Box::new(Policy { strict });
        SubscriberNode {
            subscriber: Subscriber::new(settings.clone(), judge, None, now, out),
            link: None,
            starts: 0,
            strict,
            in_force: Table::new(),
            in_force_at: Position::default(),
            settings,
            disk: PersistedState::default(),
        }
    }

    /// Kills the process and restarts it with the state on its disk.
    pub fn restart(&mut self, now: Millis, out: &mut Vec<SubscriberAction>) {
        let confirmed = self.subscriber.applied();
        assert!(self.disk.position >= confirmed, "{confirmed:?} was confirmed but is not on disk");
        self.starts += 1;
        self.link = None;
        self.in_force = Table::new();
        self.in_force_at = Position::default();
        let judge = Box::new(Policy { strict: self.strict });
        let stored = Some(self.disk.clone());
        self.subscriber = Subscriber::new(self.settings.clone(), judge, stored, now, out);
    }

    /// Applies an update as the owner. A subscriber that refuses nothing must then hold exactly the published
    /// table.
    pub fn apply(&mut self, update: &Update, published: &Published) {
        assert!(update.position >= self.in_force_at, "regressed to {:?}", update.position);
        self.in_force_at = update.position;
        self.in_force.apply(&update.changes);
        if !self.strict {
            let table = published.at(update.position);
            assert_eq!(self.in_force.digest(), table.digest(), "torn at {:?}", update.position);
        }
    }

    pub fn persist(&mut self, record: &Persist) {
        self.disk.apply(record);
    }

    /// Asserts that the subscriber reports the same values that its owner has in force.
    pub fn check_in_force(&self) {
        for resource in self.in_force.iter() {
            assert_eq!(self.subscriber.in_force(&resource.key()), Some(resource));
        }
    }
}
