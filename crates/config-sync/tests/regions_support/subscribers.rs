//! A subscriber's process with its owner and its disk, and checks of the updates that the owner receives.

use super::history::History;
use super::network::ConnectionId;
use super::report::Report;
use super::topology::{Micros, subscriber_settings};
use dunlinspread_config_sync::client::{Judge, Rejection, Update};
use dunlinspread_config_sync::resource::{Change, Millis, Position};
use dunlinspread_config_sync::subscriber::{Persist, PersistedState, Subscriber, SubscriberAction};
use dunlinspread_config_sync::table::Table;

struct AcceptAll;

impl Judge for AcceptAll {
    fn judge(&self, _changes: &[Change]) -> Result<(), Rejection> {
        Ok(())
    }
}

pub struct SubscriberProcess {
    /// `None` while the process is down.
    pub machine: Option<Subscriber>,
    pub link: Option<ConnectionId>,
    pub starts: u64,
    pub started_at: Micros,
    /// Settings that the owner has in force.
    in_force: Table,
    in_force_at: Position,
    last_published_ms: u64,
    pub confirmed: Position,
    /// Time at which the subscriber became reachable again, and the head at that time.
    pub healing: Option<(Micros, Position)>,
    /// Position of the state on disk; `None` if the disk was lost.
    pub disk: Option<Position>,
}

impl SubscriberProcess {
    pub fn new(history: &History) -> SubscriberProcess {
        SubscriberProcess {
            machine: None,
            link: None,
            starts: 0,
            started_at: 0,
            in_force: Table::new(),
            in_force_at: Position::default(),
            last_published_ms: 0,
            confirmed: Position::default(),
            healing: None,
            disk: Some(history.base().0),
        }
    }

    pub fn stop(&mut self) {
        self.machine = None;
        self.link = None;
        self.in_force = Table::new();
        self.in_force_at = Position::default();
        self.last_published_ms = 0;
        self.confirmed = Position::default();
        self.healing = None;
    }

    /// Starts the process with the state on its disk.
    pub fn start(
        &mut self,
        number: usize,
        seed: u64,
        now: Micros,
        history: &History,
        out: &mut Vec<SubscriberAction>,
    ) {
        self.starts += 1;
        self.started_at = now;
        let stored = self.disk.and_then(|position| {
            let mirror = history.table(position)?.clone();
            Some(PersistedState { position, mirror, ..PersistedState::default() })
        });
        let settings = subscriber_settings(number, seed);
        let now_ms: Millis = now / 1_000;
        let judge = Box::new(AcceptAll);
        self.machine = match stored {
            // At the first start the owner already has the state, because applying it would make a copy for
            // each subscriber.
            Some(stored) if self.starts == 1 => {
                self.in_force = stored.mirror.clone();
                (self.in_force_at, self.confirmed) = (stored.position, stored.position);
                Some(Subscriber::resume(settings, judge, &stored, now_ms))
            }
            stored => Some(Subscriber::new(settings, judge, stored, now_ms, out)),
        };
    }

    /// Puts an update in force as the owner and checks it.
    pub fn apply(&mut self, update: &Update, history: &History, report: &mut Report) {
        report.regressed += u64::from(update.position < self.in_force_at);
        let is_repeated = update.position == self.in_force_at;
        let is_older = update.published_unix_ms < self.last_published_ms;
        report.reordered += u64::from(is_repeated || is_older);
        self.in_force_at = update.position;
        self.last_published_ms = update.published_unix_ms;
        self.in_force.apply(&update.changes);
        let Some(expected) = history.table(update.position) else {
            report.not_durable += 1;
            return;
        };
        if self.in_force.digest() == expected.digest() {
            self.in_force = expected.clone();
        } else {
            report.torn += 1;
        }
        self.share(expected);
    }

    /// Makes the machine share its table, so that equal tables are stored once.
    fn share(&mut self, table: &Table) {
        if let Some(machine) = &mut self.machine {
            machine.share_table(table);
        }
    }

    /// Checks that the mirror equals the published table of its position.
    pub fn check_mirror(&self, history: &History, report: &mut Report) {
        let Some(machine) = &self.machine else { return };
        let follower = machine.follower();
        let empty = follower.position() == Position::default() && follower.table().is_empty();
        let whole = history.digest(follower.position()) == Some(follower.table().digest());
        report.torn += u64::from(!empty && !whole);
    }

    /// Records what is written to disk. The disk holds one of the published tables, so its position
    /// identifies the contents.
    pub fn persist(&mut self, record: &Persist, history: &History, report: &mut Report) {
        self.disk = match record {
            Persist::Append { transaction, refused } => {
                let follows = self.disk.is_some_and(|disk| transaction.position == disk.next());
                report.torn += u64::from(!follows || *refused);
                Some(transaction.position)
            }
            Persist::Replace(state) => {
                let whole = history.digest(state.position) == Some(state.mirror.digest());
                report.torn += u64::from(!whole);
                Some(state.position)
            }
        };
    }

    /// Checks that the subscriber has all changes at the end.
    pub fn check_end(&self, history: &History, report: &mut Report) {
        let Some(machine) = &self.machine else { return };
        let head = history.head();
        report.lost += head.revision.saturating_sub(self.confirmed.revision);
        let expected = history.digest(head);
        let is_equal =
            Some(self.in_force.digest()) == expected && Some(machine.follower().table().digest()) == expected;
        report.diverged += u64::from(!is_equal);
        report.snapshots += machine.follower().counters().snapshots;
    }
}
