//! Adding up what several servers exported, against a record of who was alive when: what adds up, who is still awaited,
//! what disagrees and by which lines. Pure: batches are shown one after another, in any order of sources.

use crate::batch::Batch;
use crate::line::{LineId, LineIdText, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// Spans of Unix ms in which each server was listed as taking work; ends are the last report seen.
pub type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// Something that does not fit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Discrepancy {
    /// A server began a new ledger: the one before was lost, or lies elsewhere.
    NewLedger {
        /// The server.
        server: String,
        /// The marks of its ledgers, oldest first.
        ledger_id: Vec<u64>,
    },
    /// A server closed a period as one in which it was down when it ended, yet it was listed then.
    ClosedLateWhileAlive {
        /// The close line.
        by: LineId,
        /// The span closed, Unix ms.
        span: (u64, u64),
    },
    /// Use in a period all through which the server was not listed.
    UsedWhileNotListed {
        /// The line that closed the period.
        by: LineId,
        /// The period.
        period: u64,
        /// Requests.
        requests: i64,
    },
    /// Requests that are, or may be, in no line.
    Unbilled {
        /// The line that closed the span they fall in.
        by: LineId,
        /// Known to be in none.
        requests: u64,
        /// Possibly in none, beyond those; none if nothing bounds them.
        at_most: Option<u64>,
    },
    /// A correction takes more than there was.
    BelowZero {
        /// The society.
        tenant: String,
        /// The period it was corrected in.
        period: u64,
        /// What is left.
        requests: i64,
    },
    /// A correction names a server of which nothing was exported.
    CorrectsUnknown {
        /// The correction.
        line: LineId,
        /// What it names.
        corrects: LineId,
    },
    /// Two closes of one server cover the same time, or leave a gap.
    SpansDoNotMeet {
        /// The later close line.
        by: LineId,
        /// Where the one before ended.
        before_to: u64,
        /// Where this one begins.
        from: u64,
    },
}

impl std::fmt::Display for Discrepancy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let id = LineIdText;
        match self {
            Discrepancy::NewLedger { server, ledger_id } => {
                write!(
                    f,
                    "{server} has {} ledgers, begun at {ledger_id:?}: account for what the older ones held",
                    ledger_id.len()
                )
            }
            Discrepancy::ClosedLateWhileAlive { by, span: (from, to) } => {
                write!(f, "line {} closed {from} to {to} late, yet the server was listed then", id(by))
            }
            Discrepancy::UsedWhileNotListed { by, period, requests } => {
                write!(
                    f,
                    "line {} has {requests} requests in period {period}, in which the server was not listed",
                    id(by)
                )
            }
            Discrepancy::Unbilled { by, requests, at_most } => {
                let more = at_most.map_or("any number".to_owned(), |n| n.to_string());
                write!(
                    f,
                    "before line {}: {requests} requests are in no line, and possibly {more} more",
                    id(by)
                )
            }
            Discrepancy::BelowZero { tenant, period, requests } => {
                write!(f, "{tenant} comes to {requests} requests in period {period}")
            }
            Discrepancy::CorrectsUnknown { line, corrects } => {
                write!(f, "line {} corrects {}, of whose ledger nothing is here", id(line), id(corrects))
            }
            Discrepancy::SpansDoNotMeet { by, before_to, from } => {
                write!(f, "line {} closes from {from} on, the close before ended at {before_to}", id(by))
            }
        }
    }
}

/// The sum for one society in one period over all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountTotals {
    /// Requests by outcome.
    pub requests: BTreeMap<Outcome, i64>,
    /// Time in the worker pool, µs.
    pub pool_us: i64,
    /// Requests that each server contributes.
    pub servers: BTreeMap<String, i64>,
}

impl AccountTotals {
    /// All requests.
    pub fn total(&self) -> i64 {
        self.requests.values().sum()
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciliationReport {
    /// By period and society.
    pub accounts: BTreeMap<(u64, String), AccountTotals>,
    /// Servers that were listed in a period and have not closed it yet, by period.
    pub awaited: BTreeMap<u64, BTreeSet<String>>,
    /// What does not fit.
    pub discrepancies: Vec<Discrepancy>,
}

/// Takes batches and makes a report of them.
pub struct Reconciler<'a> {
    listed_spans: &'a ListedSpans,
    report: ReconciliationReport,
    /// The spans that each ledger closed, in order.
    covered: BTreeMap<(String, u64), Vec<(u64, u64)>>,
    corrections: Vec<(LineId, LineId)>,
}

/// A server is taken for alive so long after its last report, ms: its entry lapses only then.
const LAPSE_MS: u64 = 3000;

impl<'a> Reconciler<'a> {
    /// A reconciler for servers that were listed then.
    pub fn new(listed_spans: &'a ListedSpans) -> Reconciler<'a> {
        Reconciler {
            listed_spans,
            report: ReconciliationReport::default(),
            covered: BTreeMap::new(),
            corrections: Vec::new(),
        }
    }

    fn listed(&self, server: &str, from: u64, to: u64) -> bool {
        let spans = self.listed_spans.get(server).map_or(&[][..], Vec::as_slice);
        spans.iter().any(|(a, b)| *a < to && b + LAPSE_MS >= from)
    }

    /// Takes a batch. Those of one ledger come in the order of their numbers.
    pub fn add_batch(&mut self, batch: &Batch) {
        let Batch { server, ledger_id, close, close_line, .. } = batch;
        // A start's mark is the time at which it began; the line's own is not in the batch, the ledger's is.
        let by = LineId { server: server.clone(), start: *ledger_id, number: *close_line };
        let key = (server.clone(), *ledger_id);
        let before = self.covered.get(&key).and_then(|spans| spans.last().copied());
        if before.is_none_or(|span| span != (close.from, close.to)) {
            if let Some((_, to)) = before.filter(|(_, to)| *to != close.from) {
                let (before_to, from) = (to, close.from);
                let by = by.clone();
                self.report.discrepancies.push(Discrepancy::SpansDoNotMeet { by, before_to, from });
            }
            self.covered.entry(key).or_default().push((close.from, close.to));
            let listed_at_end = self
                .listed_spans
                .get(server)
                .is_some_and(|spans| spans.iter().any(|(a, b)| *a < close.to && *b >= close.to));
            if close.late && listed_at_end {
                let (by, span) = (by.clone(), (close.from, close.to));
                self.report.discrepancies.push(Discrepancy::ClosedLateWhileAlive { by, span });
            }
        }
        let mut not_listed: BTreeMap<u64, i64> = BTreeMap::new();
        for item in &batch.items {
            let account = self.report.accounts.entry((item.period, item.tenant.clone())).or_default();
            let outcome = Outcome::try_from(item.outcome).unwrap_or(Outcome::Unknown);
            *account.requests.entry(outcome).or_default() += item.requests;
            account.pool_us += item.pool_us;
            *account.servers.entry(server.clone()).or_default() += item.requests;
            if !self.listed_spans.is_empty() && !self.listed(server, item.period, close.to) {
                *not_listed.entry(item.period).or_default() += item.requests;
            }
        }
        for (period, requests) in not_listed {
            let by = by.clone();
            self.report.discrepancies.push(Discrepancy::UsedWhileNotListed { by, period, requests });
        }
        for correction in &batch.corrections {
            let item = &correction.item;
            let account = self.report.accounts.entry((item.period, item.tenant.clone())).or_default();
            let outcome = Outcome::try_from(item.outcome).unwrap_or(Outcome::Unknown);
            *account.requests.entry(outcome).or_default() += item.requests;
            account.pool_us += item.pool_us;
            *account.servers.entry(server.clone()).or_default() += item.requests;
            self.corrections.push((correction.line.clone(), correction.corrects.clone()));
        }
        for unbilled in &batch.unbilled {
            let at_most = (!unbilled.unbounded).then_some(unbilled.at_most);
            let (by, requests) = (by.clone(), unbilled.requests);
            self.report.discrepancies.push(Discrepancy::Unbilled { by, requests, at_most });
        }
    }

    /// All batches were taken; `period_ms` is the length in which awaited servers are told.
    pub fn finish(mut self, period_ms: u64, now_ms: u64) -> ReconciliationReport {
        let mut ledger_id: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for (server, mark) in self.covered.keys() {
            ledger_id.entry(server).or_default().push(*mark);
        }
        for (server, ledger_id) in ledger_id.into_iter().filter(|(_, marks)| marks.len() > 1) {
            self.report.discrepancies.push(Discrepancy::NewLedger { server: server.to_owned(), ledger_id });
        }
        for (line, corrects) in std::mem::take(&mut self.corrections) {
            if !self.covered.keys().any(|(server, _)| *server == corrects.server) {
                self.report.discrepancies.push(Discrepancy::CorrectsUnknown { line, corrects });
            }
        }
        for ((period, tenant), account) in &self.report.accounts {
            let (requests, period) = (account.total(), *period);
            if requests < 0 {
                let tenant = tenant.clone();
                self.report.discrepancies.push(Discrepancy::BelowZero { tenant, period, requests });
            }
        }
        // A server is awaited in each period in which it was listed and up to which its closes do not reach.
        let length = period_ms.max(1);
        for (server, spans) in self.listed_spans {
            for (from, to) in spans {
                let mut period = from - from % length;
                while period <= *to && period + length <= now_ms {
                    let covered = self.covered.iter().filter(|((s, _), _)| s == server).any(|(_, spans)| {
                        let first = spans.first().map_or(u64::MAX, |(from, _)| *from);
                        let reach = spans.last().map_or(0, |(_, to)| *to);
                        first < period + length && reach >= period + length
                    });
                    if !covered {
                        self.report.awaited.entry(period).or_default().insert(server.clone());
                    }
                    period += length;
                }
            }
        }
        self.report
    }
}
