//! Reconciliation: adds up what several servers exported and compares it with a record of which servers were listed
//! when. It reports what adds up, which servers are still awaited, and what does not fit, by the lines concerned.

mod discrepancy;

pub use discrepancy::Discrepancy;

use crate::batch::{Batch, UsageItem};
use crate::line_id::LineId;
use crate::outcome::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// The spans of Unix ms in which each server was listed as taking requests; a span ends with the last report seen.
pub type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// How long after its last report a server's listing lapses, ms; until then it counts as listed.
const LISTING_LAPSE_MS: u64 = 3000;

/// The total of one tenant in one period over all servers.
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
    /// Returns the requests of all outcomes.
    pub fn total(&self) -> i64 {
        self.requests.values().sum()
    }

    fn add(&mut self, server: &str, item: &UsageItem) {
        *self.requests.entry(Outcome::from_stored(item.outcome)).or_default() += item.requests;
        self.pool_us += item.pool_us;
        *self.servers.entry(server.to_owned()).or_default() += item.requests;
    }
}

/// The result of a reconciliation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReconciliationReport {
    /// Totals by period and tenant.
    pub accounts: BTreeMap<(u64, String), AccountTotals>,
    /// Servers that were listed in a period and have not closed it yet, by period.
    pub awaited: BTreeMap<u64, BTreeSet<String>>,
    /// What does not fit.
    pub discrepancies: Vec<Discrepancy>,
}

/// A correction and the line that it names.
struct CorrectionRef {
    line: LineId,
    corrects: LineId,
}

/// Takes batches, in any order of sources, and makes a report of them.
pub struct Reconciler<'a> {
    listed: &'a ListedSpans,
    report: ReconciliationReport,
    /// The spans that each ledger closed, in order, by server and ledger id.
    closed: BTreeMap<(String, u64), Vec<(u64, u64)>>,
    corrections: Vec<CorrectionRef>,
}

impl<'a> Reconciler<'a> {
    /// Returns a reconciler for servers that were listed in these spans.
    pub fn new(listed: &'a ListedSpans) -> Reconciler<'a> {
        Reconciler {
            listed,
            report: ReconciliationReport::default(),
            closed: BTreeMap::new(),
            corrections: Vec::new(),
        }
    }

    /// Adds a batch. Those of one ledger are added in the order of their numbers.
    pub fn add_batch(&mut self, batch: &Batch) {
        // A start line's own time is not in the batch; the ledger's id is that of its first start.
        let by = LineId { server: batch.server.clone(), start: batch.ledger_id, number: batch.close_line };
        self.add_close(batch, &by);
        self.add_usage(batch, &by);
        self.add_corrections(batch);
        for unbilled in &batch.unbilled {
            let at_most = (!unbilled.unbounded).then_some(unbilled.at_most);
            let (by, requests) = (by.clone(), unbilled.requests);
            self.report.discrepancies.push(Discrepancy::Unbilled { by, requests, at_most });
        }
    }

    /// Takes note of the span of a batch's close, and checks it with the first batch of that close.
    fn add_close(&mut self, batch: &Batch, by: &LineId) {
        let span = (batch.close.from, batch.close.to);
        let spans = self.closed.entry((batch.server.clone(), batch.ledger_id)).or_default();
        let before = spans.last().copied();
        if before == Some(span) {
            return;
        }
        spans.push(span);
        if let Some((_, before_to)) = before.filter(|(_, before_to)| *before_to != span.0) {
            let (by, from) = (by.clone(), span.0);
            self.report.discrepancies.push(Discrepancy::SpansDoNotMeet { by, before_to, from });
        }
        if batch.close.late && self.was_listed_at(&batch.server, span.1) {
            let by = by.clone();
            self.report.discrepancies.push(Discrepancy::ClosedLateWhileListed { by, span });
        }
    }

    fn add_usage(&mut self, batch: &Batch, by: &LineId) {
        let mut not_listed: BTreeMap<u64, i64> = BTreeMap::new();
        for item in &batch.items {
            self.add_item(&batch.server, item);
            let span = (item.period, batch.close.to);
            if !self.listed.is_empty() && !self.was_listed_in(&batch.server, span) {
                *not_listed.entry(item.period).or_default() += item.requests;
            }
        }
        for (period, requests) in not_listed {
            let by = by.clone();
            self.report.discrepancies.push(Discrepancy::UsedWhileNotListed { by, period, requests });
        }
    }

    fn add_corrections(&mut self, batch: &Batch) {
        for correction in &batch.corrections {
            self.add_item(&batch.server, &correction.item);
            let (line, corrects) = (correction.line.clone(), correction.corrects.clone());
            self.corrections.push(CorrectionRef { line, corrects });
        }
    }

    fn add_item(&mut self, server: &str, item: &UsageItem) {
        let account = (item.period, item.tenant.clone());
        self.report.accounts.entry(account).or_default().add(server, item);
    }

    fn listed_spans(&self, server: &str) -> &[(u64, u64)] {
        self.listed.get(server).map_or(&[], Vec::as_slice)
    }

    fn was_listed_in(&self, server: &str, (from, to): (u64, u64)) -> bool {
        let mut spans = self.listed_spans(server).iter();
        spans.any(|(first, last)| *first < to && last + LISTING_LAPSE_MS >= from)
    }

    fn was_listed_at(&self, server: &str, time_ms: u64) -> bool {
        self.listed_spans(server).iter().any(|(first, last)| *first < time_ms && *last >= time_ms)
    }

    /// Returns the report once all batches are added. `period_ms` is the length of the periods by which awaited servers
    /// are told.
    pub fn finish(mut self, period_ms: u64, now_ms: u64) -> ReconciliationReport {
        self.find_new_ledgers();
        self.find_unknown_corrections();
        self.find_negative_totals();
        self.find_awaited_servers(period_ms.max(1), now_ms);
        self.report
    }

    fn find_new_ledgers(&mut self) {
        let mut ledgers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for (server, ledger_id) in self.closed.keys() {
            ledgers.entry(server).or_default().push(*ledger_id);
        }
        for (server, ledger_ids) in ledgers.into_iter().filter(|(_, ids)| ids.len() > 1) {
            let server = server.to_owned();
            self.report.discrepancies.push(Discrepancy::NewLedger { server, ledger_ids });
        }
    }

    fn find_unknown_corrections(&mut self) {
        for CorrectionRef { line, corrects } in std::mem::take(&mut self.corrections) {
            if !self.closed.keys().any(|(server, _)| *server == corrects.server) {
                self.report.discrepancies.push(Discrepancy::CorrectsUnknown { line, corrects });
            }
        }
    }

    fn find_negative_totals(&mut self) {
        for ((period, tenant), account) in &self.report.accounts {
            let requests = account.total();
            if requests < 0 {
                let (tenant, period) = (tenant.clone(), *period);
                self.report.discrepancies.push(Discrepancy::BelowZero { tenant, period, requests });
            }
        }
    }

    /// A server is awaited in each period that is over, in which it was listed, and up to whose end its closes do not
    /// reach.
    fn find_awaited_servers(&mut self, period_ms: u64, now_ms: u64) {
        for (server, spans) in self.listed {
            for (from, to) in spans {
                let mut period = from - from % period_ms;
                while period <= *to && period + period_ms <= now_ms {
                    if !self.has_closed(server, period + period_ms) {
                        self.report.awaited.entry(period).or_default().insert(server.clone());
                    }
                    period += period_ms;
                }
            }
        }
    }

    /// Returns whether the closes of one of a server's ledgers begin before this time and reach up to it.
    fn has_closed(&self, server: &str, time_ms: u64) -> bool {
        let ledgers = self.closed.iter().filter(|((owner, _), _)| owner == server);
        ledgers.map(|(_, spans)| spans).any(|spans| {
            let first_from = spans.first().map_or(u64::MAX, |(from, _)| *from);
            let last_to = spans.last().map_or(0, |(_, to)| *to);
            first_from < time_ms && last_to >= time_ms
        })
    }
}
