//! Compares the counts of the clients of a crash drill with the ledgers, and the ledgers with their exports.

use crate::ledger::drill_fleet::Instance;
use crate::ledger::location::OpenLedger;
use crate::ledger::replay::{RequestsByTenant, UnbilledRequests, requests_by_tenant};
use crate::table::table;
use anyhow::Result;
use dunlinspread_fakes::{AttemptOutcome, Tally};
use dunlinspread_ledger::{BatchReceiver, Outcome as BilledOutcome, UNATTRIBUTED};
use dunlinspread_store::RealDisk;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

/// Request counts of one tenant.
#[derive(Debug)]
struct TenantCounts {
    tenant: String,
    answered: u64,
    withdrawn: u64,
    /// Requests sent on a connection that ended without an answer. They may be billed or not.
    cut: u64,
    billed: u64,
}

/// Result of the comparison, summed over all tenants.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests that the clients withdrew.
    pub withdrawn: u64,
    /// Number of requests in the ledgers.
    pub billed: u64,
    /// Number of requests in the exports.
    pub exported: u64,
    /// Number of billed requests whose connection ended without an answer.
    pub cut_in_flight: u64,
    /// Number of answered or withdrawn requests that are in no ledger.
    pub lost: u64,
    /// Number of billed requests in excess of those that were sent.
    pub doubled: u64,
    /// Names of the servers whose export differs from their ledger.
    export_mismatches: Vec<String>,
    /// Number of wrong results and duplicate answers.
    wrong_answers: u64,
    tenants: Vec<TenantCounts>,
}

impl Comparison {
    /// Compares the clients' counts with the ledgers, and the ledgers with the exports.
    ///
    /// # Errors
    /// Returns an error if a ledger or the exports cannot be read.
    pub fn new(instances: &[Instance], exports: &Path, tally: &Tally) -> Result<Comparison> {
        let mut comparison = Comparison {
            wrong_answers: tally.wrong_results + tally.duplicate_answers,
            ..Comparison::default()
        };
        let mut billed = comparison.add_ledgers(instances, exports)?;
        let tenants: BTreeSet<&Option<String>> = tally.counts.keys().map(|(_, tenant)| tenant).collect();
        for tenant in tenants {
            let counts = tenant_counts(tally, tenant.as_deref(), &mut billed);
            comparison.add_tenant(counts);
        }
        // The remaining entries are billed to tenants that sent nothing.
        let never_sent = billed.values().sum::<u64>();
        comparison.doubled += never_sent;
        comparison.billed += never_sent;
        Ok(comparison)
    }

    /// Compares each ledger with its export and returns the billed requests of all ledgers by tenant.
    fn add_ledgers(&mut self, instances: &[Instance], exports: &Path) -> Result<BTreeMap<String, u64>> {
        let receiver = BatchReceiver::open(Arc::new(RealDisk::new(exports)?))?;
        let mut billed: BTreeMap<String, u64> = BTreeMap::new();
        for instance in instances {
            let server = instance.server.name.clone();
            let ledger = OpenLedger { disk: RealDisk::new(&instance.ledger)?, server };
            let (requests, summary) = requests_by_tenant(&ledger)?;
            let exported = exported_requests(&receiver, &ledger.server, summary.state.ledger_id)?;
            self.exported += exported.values().sum::<u64>();
            if exported != requests || summary.unbilled != UnbilledRequests::default() {
                self.export_mismatches.push(ledger.server);
            }
            for ((tenant, _), requests) in requests {
                *billed.entry(tenant).or_default() += requests;
            }
        }
        Ok(billed)
    }

    fn add_tenant(&mut self, counts: TenantCounts) {
        let TenantCounts { answered, withdrawn, cut, billed, .. } = counts;
        let must_be_billed = answered + withdrawn;
        self.lost += must_be_billed.saturating_sub(billed);
        self.doubled += billed.saturating_sub(must_be_billed + cut);
        self.cut_in_flight += billed.saturating_sub(must_be_billed).min(cut);
        self.answered += answered;
        self.withdrawn += withdrawn;
        self.billed += billed;
        self.tenants.push(counts);
    }

    /// Returns whether every request is billed exactly once and exported as billed.
    pub fn agrees(&self) -> bool {
        let sums_match = self.billed == self.answered + self.withdrawn + self.cut_in_flight;
        sums_match
            && self.lost == 0
            && self.doubled == 0
            && self.wrong_answers == 0
            && self.export_mismatches.is_empty()
    }

    /// Prints the counts by tenant and the servers whose export differs from their ledger.
    pub fn print(&self) {
        let mut rows = table(&["society", "answered", "withdrawn", "cut", "billed"]);
        for counts in &self.tenants {
            let figures = [counts.answered, counts.withdrawn, counts.cut, counts.billed];
            let figures = figures.map(|figure| figure.to_string());
            rows.add_row([vec![counts.tenant.clone()], figures.to_vec()].concat());
        }
        println!("{rows}");
        for server in &self.export_mismatches {
            println!("{server}: the export differs from the ledger");
        }
    }
}

/// Returns the counts of a tenant and removes its entry from `billed`.
fn tenant_counts(tally: &Tally, tenant: Option<&str>, billed: &mut BTreeMap<String, u64>) -> TenantCounts {
    let counts = tally.sum(|_, other| other == tenant);
    let count_of = |outcome: AttemptOutcome| counts[outcome as usize];
    let name = tenant.unwrap_or(UNATTRIBUTED).to_owned();
    TenantCounts {
        answered: count_of(AttemptOutcome::Completed)
            + count_of(AttemptOutcome::Late)
            + count_of(AttemptOutcome::Rejected)
            + count_of(AttemptOutcome::Failed),
        withdrawn: count_of(AttemptOutcome::Withdrawn),
        cut: count_of(AttemptOutcome::Cut),
        billed: billed.remove(&name).unwrap_or(0),
        tenant: name,
    }
}

fn exported_requests(receiver: &BatchReceiver, server: &str, ledger_id: u64) -> Result<RequestsByTenant> {
    let mut exported = RequestsByTenant::new();
    receiver.read(&(server.to_owned(), ledger_id), |batch, _| {
        for item in batch.items {
            let outcome = BilledOutcome::try_from(item.outcome).unwrap_or(BilledOutcome::Unknown);
            let requests = u64::try_from(item.requests).unwrap_or(0);
            *exported.entry((item.tenant, outcome)).or_default() += requests;
        }
    })?;
    Ok(exported)
}
