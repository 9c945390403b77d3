//! Reconciliation of the exports of several servers. It computes totals over all servers and compares the
//! exports with a record of the times at which servers were listed. The report contains the totals, the
//! servers whose closes are still awaited, and discrepancies with the ids of the lines concerned.

mod discrepancy;

pub use discrepancy::Discrepancy;

use crate::batch::{Batch, UsageItem};
use crate::line_id::LineId;
use crate::outcome::Outcome;
use std::collections::{BTreeMap, BTreeSet};

/// The time spans, in Unix ms, in which each server was listed as accepting requests. A span ends with the
/// last report received.
pub type ListedSpans = BTreeMap<String, Vec<(u64, u64)>>;

/// Time in ms after its last report until which a server still counts as listed.
const LISTING_LAPSE_MS: u64 = 3000;

/// The total of one tenant in one period over all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountTotals {
    /// Number of requests by outcome.
    pub requests: BTreeMap<Outcome, i64>,
    /// Time spent in the worker pool, in µs.
    pub pool_us: i64,
    /// Number of requests by server.
    pub servers: BTreeMap<String, i64>,
}

impl AccountTotals {
    /// Returns the number of requests with any outcome.
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
    /// Totals by start of the period and tenant.
    pub accounts: BTreeMap<(u64, String), AccountTotals>,
    /// Servers that were listed in a period but have not closed it yet, by start of the period.
    pub awaited: BTreeMap<u64, BTreeSet<String>>,
    /// Discrepancies between the batches, or between batches and the listed time spans.
    pub discrepancies: Vec<Discrepancy>,
}

/// The ids of a correction line and of the line that it corrects.
struct CorrectionRef {
    line: LineId,
    corrects: LineId,
}

/// Creates a report from batches of several ledgers, which may be added in any order of ledgers.
pub struct Reconciler<'a> {
    listed: &'a ListedSpans,
    report: ReconciliationReport,
    /// Time spans closed by each ledger, in order, by server and ledger id.
    closed: BTreeMap<(String, u64), Vec<(u64, u64)>>,
    corrections: Vec<CorrectionRef>,
}

impl<'a> Reconciler<'a> {
    /// Returns a reconciler for servers that were listed in these time spans.
    pub fn new(listed: &'a ListedSpans) -> Reconciler<'a> {
        Reconciler {
            listed,
            report: ReconciliationReport::default(),
            closed: BTreeMap::new(),
            corrections: Vec::new(),
        }
    }

    /// Adds a batch. The batches of one ledger must be added in the order of their numbers.
    pub fn add_batch(&mut self, batch: &Batch) {
        // The batch does not contain the id of the start that wrote the close line. The id of the ledger,
        // which is the id of its first start, is used instead.
        let close_line =
            LineId { server: batch.server.clone(), start: batch.ledger_id, number: batch.close_line };
        self.add_close(batch, &close_line);
        self.add_usage(batch, &close_line);
        self.add_corrections(batch);
        for unbilled in &batch.unbilled {
            let at_most = (!unbilled.unbounded).then_some(unbilled.at_most);
            let (close_line, requests) = (close_line.clone(), unbilled.requests);
            self.report.discrepancies.push(Discrepancy::Unbilled { close_line, requests, at_most });
        }
    }

    /// Records the time span of a batch's close, and checks the span when the first batch of the close is
    /// added.
    fn add_close(&mut self, batch: &Batch, close_line: &LineId) {
        let span = (batch.close.from, batch.close.to);
        let spans = self.closed.entry((batch.server.clone(), batch.ledger_id)).or_default();
        let before = spans.last().copied();
        if before == Some(span) {
            return;
        }
        spans.push(span);
        if let Some((_, before_to)) = before.filter(|(_, before_to)| *before_to != span.0) {
            let (close_line, from) = (close_line.clone(), span.0);
            self.report.discrepancies.push(Discrepancy::NonContiguousCloses { close_line, before_to, from });
        }
        if batch.close.late && self.was_listed_at(&batch.server, span.1) {
            let close_line = close_line.clone();
            self.report.discrepancies.push(Discrepancy::ClosedLateWhileListed { close_line, span });
        }
    }

    fn add_usage(&mut self, batch: &Batch, close_line: &LineId) {
        let mut not_listed: BTreeMap<u64, i64> = BTreeMap::new();
        for item in &batch.items {
            self.add_item(&batch.server, item);
            let span = (item.period, batch.close.to);
            if !self.listed.is_empty() && !self.was_listed_in(&batch.server, span) {
                *not_listed.entry(item.period).or_default() += item.requests;
            }
        }
        for (period, requests) in not_listed {
            let close_line = close_line.clone();
            self.report.discrepancies.push(Discrepancy::UsageWhileNotListed { close_line, period, requests });
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

    /// Returns the report after all batches have been added. `period_ms` is the length of the periods for
    /// which awaited servers are reported.
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
                self.report.discrepancies.push(Discrepancy::CorrectsUnknownServer { line, corrects });
            }
        }
    }

    fn find_negative_totals(&mut self) {
        for ((period, tenant), account) in &self.report.accounts {
            let requests = account.total();
            if requests < 0 {
                let (tenant, period) = (tenant.clone(), *period);
                self.report.discrepancies.push(Discrepancy::NegativeTotal { tenant, period, requests });
            }
        }
    }

    /// Finds the awaited servers. A server is awaited in each period that has ended, in which it was listed,
    /// and whose end is not reached by its closes.
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

    /// Returns whether the closes of any ledger of the server begin before this time and reach it.
    fn has_closed(&self, server: &str, time_ms: u64) -> bool {
        let ledgers = self.closed.iter().filter(|((owner, _), _)| owner == server);
        ledgers.map(|(_, spans)| spans).any(|spans| {
            let first_from = spans.first().map_or(u64::MAX, |(from, _)| *from);
            let last_to = spans.last().map_or(0, |(_, to)| *to);
            first_from < time_ms && last_to >= time_ms
        })
    }
}
