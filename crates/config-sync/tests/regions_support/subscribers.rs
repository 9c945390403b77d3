//! A subscriber's process: its owner, its disk, and what is judged of what its owner is told.

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
    /// Nothing while it is down.
    pub machine: Option<Subscriber>,
    pub link: Option<ConnectionId>,
    pub starts: u64,
    pub started_at: Micros,
    /// What its owner has in force.
    in_force: Table,
    in_force_at: Position,
    last_published_ms: u64,
    pub confirmed: Position,
    /// When it could be reached again, and the head then.
    pub healing: Option<(Micros, Position)>,
    /// Nothing after a start of a new machine.
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

    /// Starts with what is on its disk.
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
        let kept = self.disk.and_then(|position| {
            let mirror = history.table(position)?.clone();
            Some(PersistedState { position, mirror, ..PersistedState::default() })
        });
        let settings = subscriber_settings(number, seed);
        let now_ms: Millis = now / 1_000;
        let judge = Box::new(AcceptAll);
        self.machine = match kept {
            // At the first start the owner has the state already: it would be a copy for each subscriber.
            Some(kept) if self.starts == 1 => {
                self.in_force = kept.mirror.clone();
                (self.in_force_at, self.confirmed) = (kept.position, kept.position);
                Some(Subscriber::resume(settings, judge, &kept, now_ms))
            }
            kept => Some(Subscriber::new(settings, judge, kept, now_ms, out)),
        };
    }

    /// The owner puts an update in force.
    pub fn apply(&mut self, update: &Update, history: &History, report: &mut Report) {
        report.regressed += u64::from(update.position < self.in_force_at);
        let again = update.position == self.in_force_at;
        let older = update.published_unix_ms < self.last_published_ms;
        report.reordered += u64::from(again || older);
        self.in_force_at = update.position;
        self.last_published_ms = update.published_unix_ms;
        self.in_force.apply(&update.changes);
        let Some(wanted) = history.table(update.position) else {
            report.not_durable += 1;
            return;
        };
        if self.in_force.digest() == wanted.digest() {
            self.in_force = wanted.clone();
        } else {
            report.torn += 1;
        }
        self.share(wanted);
    }

    /// One copy of a table for all that have it.
    fn share(&mut self, table: &Table) {
        if let Some(machine) = &mut self.machine {
            machine.share_table(table);
        }
    }

    /// The mirror has to be what was published, whatever is in force.
    pub fn check_mirror(&self, history: &History, report: &mut Report) {
        let Some(machine) = &self.machine else { return };
        let follower = machine.follower();
        let empty = follower.position() == Position::default() && follower.table().is_empty();
        let whole = history.digest(follower.position()) == Some(follower.table().digest());
        report.torn += u64::from(!empty && !whole);
    }

    /// What is on disk is one of the published tables, so its position says all.
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

    /// At the end all have all.
    pub fn judge_end(&self, history: &History, report: &mut Report) {
        let Some(machine) = &self.machine else { return };
        let head = history.head();
        report.lost += head.revision.saturating_sub(self.confirmed.revision);
        let wanted = history.digest(head);
        let same =
            Some(self.in_force.digest()) == wanted && Some(machine.follower().table().digest()) == wanted;
        report.diverged += u64::from(!same);
        report.snapshots += machine.follower().counters().snapshots;
    }
}
