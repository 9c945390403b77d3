//! Totals of lines, computed in bounded memory for any number of tenants.
//!
//! The lines are read in as many passes as necessary, each for the next tenants in the order of their names.
//! The order of the result therefore depends only on the lines, and a rebuilt batch is identical to the byte.

use crate::line::{Amount, Correction, Line, LineKind, Usage};
use crate::outcome::Outcome;
use dunlinspread_store::{Disk, Log, ReplayRejection, StoreError};
use std::collections::BTreeMap;
use std::ops::Range;

/// Passes the lines with these numbers of a server's ledger to `visit`. The ledger may be in use.
///
/// # Errors
/// Returns a [`StoreError`] if a line is missing, unreadable or invalid.
pub fn read_lines(
    disk: &dyn Disk,
    server: &str,
    numbers: Range<u64>,
    visit: &mut dyn FnMut(u64, &Line),
) -> Result<(), StoreError> {
    Log::read_range(disk, server, numbers, |number, bytes| {
        visit(number, &Line::parse(bytes).map_err(ReplayRejection::new)?);
        Ok(())
    })
}

/// Amounts of usage including corrections, which may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetUsage {
    /// Number of requests.
    pub requests: i128,
    /// Time spent in the worker pool, in µs.
    pub pool_us: i128,
    /// Total size of the request bodies, in bytes.
    pub bytes_in: i128,
    /// Total size of the results, in bytes.
    pub bytes_out: i128,
}

impl NetUsage {
    /// Adds an amount of usage.
    pub fn add(&mut self, amount: &Amount) {
        self.requests += i128::from(amount.requests);
        self.pool_us += i128::from(amount.pool_us);
        self.bytes_in += i128::from(amount.bytes_in);
        self.bytes_out += i128::from(amount.bytes_out);
    }

    /// Adds the difference given by a correction.
    pub fn correct(&mut self, correction: &Correction) {
        self.requests += i128::from(correction.requests);
        self.pool_us += i128::from(correction.pool_us);
    }
}

/// The key by which usage is grouped. The order of its fields determines the order of the totals.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageGroup {
    /// Account of the tenant.
    pub tenant: String,
    /// Start of the period, in Unix ms.
    pub period: u64,
    /// Start of the period in which the usage occurred, if that period was closed before the usage was
    /// entered.
    pub original_period: Option<u64>,
    /// Name of the class.
    pub class: String,
    /// Outcome of the requests.
    pub outcome: Outcome,
}

/// Computes the totals of usage in the lines that `visit_lines` visits, for the periods that
/// `includes_period` accepts.
///
/// `visit_lines` passes lines with their numbers to a visitor, in order. It is called one or more times, and
/// must pass the same lines each time. `on_total` is called once for each total, in the order of the groups.
/// About `cells` totals are held in memory at a time, and more only if a single tenant has more. `classes`
/// are the names of the classes before the first visited start line.
///
/// # Errors
/// Returns the [`StoreError`] of `visit_lines` if it fails.
pub fn totals(
    classes: &[String],
    cells: usize,
    mut visit_lines: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
    includes_period: impl Fn(u64) -> bool,
    mut on_total: impl FnMut(UsageGroup, NetUsage),
) -> Result<(), StoreError> {
    let mut last_completed: Option<String> = None;
    loop {
        let mut pass = Pass::new(cells, last_completed.as_deref());
        let mut classes = classes.to_vec();
        visit_lines(&mut |_, line| match &line.kind {
            Some(LineKind::Start(start)) => classes.clone_from(&start.classes),
            Some(LineKind::Usage(usage)) if includes_period(usage.period) => pass.add(usage, &classes),
            _ => {}
        })?;
        let Pass { totals, next_tenant, .. } = pass;
        last_completed = totals.last_key_value().map(|(group, _)| group.tenant.clone());
        totals.into_iter().for_each(|(group, net)| on_total(group, net));
        if next_tenant.is_none() {
            return Ok(());
        }
    }
}

/// One pass over the lines: it computes the totals of as many of the next tenants as fit in memory.
struct Pass<'a> {
    cells: usize,
    /// Last tenant whose totals were computed in an earlier pass.
    last_completed: Option<&'a str>,
    /// First tenant that is left to a later pass; `None` if all tenants fit in this pass.
    next_tenant: Option<String>,
    totals: BTreeMap<UsageGroup, NetUsage>,
}

impl<'a> Pass<'a> {
    fn new(cells: usize, last_completed: Option<&'a str>) -> Pass<'a> {
        Pass { cells, last_completed, next_tenant: None, totals: BTreeMap::new() }
    }

    fn includes(&self, tenant: &str) -> bool {
        self.last_completed.is_none_or(|completed| tenant > completed)
            && self.next_tenant.as_deref().is_none_or(|next| tenant < next)
    }

    fn add(&mut self, usage: &Usage, classes: &[String]) {
        for entry in &usage.entries {
            if !self.includes(&entry.tenant) {
                continue;
            }
            let group = UsageGroup {
                tenant: entry.tenant.clone(),
                period: usage.period,
                original_period: usage.original_period,
                class: classes.get(entry.class as usize).cloned().unwrap_or_default(),
                outcome: Outcome::from_stored(entry.outcome),
            };
            self.totals.entry(group).or_default().add(&entry.amount);
            if self.totals.len() > self.cells {
                self.drop_last_tenant();
            }
        }
    }

    /// Leaves the last tenant to a later pass, unless it is the only tenant in this pass.
    fn drop_last_tenant(&mut self) {
        let tenant_of =
            |entry: Option<(&UsageGroup, &NetUsage)>| entry.map(|(group, _)| group.tenant.clone());
        let Some(last) = tenant_of(self.totals.last_key_value()) else { return };
        if tenant_of(self.totals.first_key_value()).as_ref() == Some(&last) {
            return;
        }
        while self.totals.last_key_value().is_some_and(|(group, _)| group.tenant == last) {
            self.totals.pop_last();
        }
        self.next_tenant = Some(last);
    }
}
