//! Adding up lines in bounded memory, whatever the number of tenants.
//!
//! The lines are read as often as it takes, each time for the tenants that come next in the order of names. So the order
//! of the result follows from the lines alone, and a batch built a second time is the same to the byte.

use crate::line::{Amount, Correction, Line, LineKind, Usage};
use crate::outcome::Outcome;
use dunlinspread_store::{Disk, Log, ReplayRejection, StoreError};
use std::collections::BTreeMap;
use std::ops::Range;

/// Shows the lines with these numbers of a server's ledger, which may be in use.
///
/// # Errors
/// If they are not all there, or one is not valid.
pub fn read_lines(
    disk: &dyn Disk,
    server: &str,
    numbers: Range<u64>,
    show: &mut dyn FnMut(u64, &Line),
) -> Result<(), StoreError> {
    Log::read_range(disk, server, numbers, |number, bytes| {
        show(number, &Line::parse(bytes).map_err(ReplayRejection::new)?);
        Ok(())
    })
}

/// Amounts less corrections; they can be below zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetUsage {
    /// Requests.
    pub requests: i128,
    /// Time in the worker pool, µs.
    pub pool_us: i128,
    /// Bytes of requests' bodies.
    pub bytes_in: i128,
    /// Bytes of results.
    pub bytes_out: i128,
}

impl NetUsage {
    /// Adds usage.
    pub fn add(&mut self, amount: &Amount) {
        self.requests += i128::from(amount.requests);
        self.pool_us += i128::from(amount.pool_us);
        self.bytes_in += i128::from(amount.bytes_in);
        self.bytes_out += i128::from(amount.bytes_out);
    }

    /// Adds a correction.
    pub fn correct(&mut self, correction: &Correction) {
        self.requests += i128::from(correction.requests);
        self.pool_us += i128::from(correction.pool_us);
    }
}

/// What usage is added up by. The order of its fields is the order of totals.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageGroup {
    /// The tenant's account.
    pub tenant: String,
    /// The period, by its first ms.
    pub period: u64,
    /// The period in which it was used, if that was closed before it was entered.
    pub original_period: Option<u64>,
    /// The class, by name.
    pub class: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// Adds up the usage in the lines that `show_lines` shows, in order and with their numbers, for the periods that
/// `includes_period` accepts.
///
/// `on_total` is given each total once, in the order of groups. About `cells` totals are held at a time, more only if
/// one tenant alone has more. `classes` are the names of classes before the first start line that is shown.
/// `show_lines` is called once or more; it has to show the same each time.
///
/// # Errors
/// Of `show_lines`.
pub fn totals(
    classes: &[String],
    cells: usize,
    mut show_lines: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
    includes_period: impl Fn(u64) -> bool,
    mut on_total: impl FnMut(UsageGroup, NetUsage),
) -> Result<(), StoreError> {
    let mut done_up_to: Option<String> = None;
    loop {
        let mut pass = Pass::new(cells, done_up_to.as_deref());
        let mut classes = classes.to_vec();
        show_lines(&mut |_, line| match &line.kind {
            Some(LineKind::Start(start)) => classes.clone_from(&start.classes),
            Some(LineKind::Usage(usage)) if includes_period(usage.period) => pass.add(usage, &classes),
            _ => {}
        })?;
        let Pass { totals, before, .. } = pass;
        done_up_to = totals.last_key_value().map(|(group, _)| group.tenant.clone());
        totals.into_iter().for_each(|(group, net)| on_total(group, net));
        if before.is_none() {
            return Ok(());
        }
    }
}

/// One reading of the lines: the totals of the first tenants that are not done, as many as fit.
struct Pass<'a> {
    cells: usize,
    /// Tenants up to this name were added up in earlier passes.
    done_up_to: Option<&'a str>,
    /// Tenants from this name on do not fit in this pass; none if all fit.
    before: Option<String>,
    totals: BTreeMap<UsageGroup, NetUsage>,
}

impl<'a> Pass<'a> {
    fn new(cells: usize, done_up_to: Option<&'a str>) -> Pass<'a> {
        Pass { cells, done_up_to, before: None, totals: BTreeMap::new() }
    }

    fn includes(&self, tenant: &str) -> bool {
        self.done_up_to.is_none_or(|done| tenant > done)
            && self.before.as_deref().is_none_or(|before| tenant < before)
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

    /// Leaves the last tenant to a later pass, unless it is the only one.
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
        self.before = Some(last);
    }
}
