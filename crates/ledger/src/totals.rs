//! Adding up lines in bounded memory, whatever the number of societies: the lines are walked as often as it takes, each
//! time for the societies that come next in the order of names. So the order of the result follows from the lines alone,
//! and a batch made a second time is the same to the byte.

use crate::line::{Amount, Correction, Line, LineKind, Outcome};
use dunlinspread_store::{Disk, Log, StoreError};
use std::collections::BTreeMap;
use std::ops::Range;

/// Shows the lines with these numbers of a ledger, which may be in use.
///
/// # Errors
/// If they are not all there, or one is no line.
pub fn read_lines(
    disk: &dyn Disk,
    server: &str,
    numbers: Range<u64>,
    show: &mut dyn FnMut(u64, &Line),
) -> Result<(), StoreError> {
    Log::read_range(disk, server, numbers, |number, bytes| {
        show(number, &Line::parse(bytes).map_err(|e| e.to_string())?);
        Ok(())
    })
}

/// Amounts that can go below what was billed: use less what was corrected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetUsage {
    /// Requests.
    pub requests: i128,
    /// Time in the worker pool, µs.
    pub pool_us: i128,
    /// Bytes of bodies.
    pub bytes_in: i128,
    /// Bytes of results.
    pub bytes_out: i128,
}

impl NetUsage {
    /// Adds use.
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

/// What is added up by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageGroup {
    /// The society.
    pub tenant: String,
    /// The period, by its first ms.
    pub period: u64,
    /// The period it was used in, if that was closed before.
    pub original_period: Option<u64>,
    /// The class.
    pub class: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// Adds up the usage in the lines that `walk` shows, in order and with their numbers, for periods that `which` picks.
/// `take` is given each sum once, in order. About `cells` sums are held at a time, more only if one society alone has
/// more.
///
/// `walk` is called once or more; it has to show the same each time.
///
/// # Errors
/// Of `walk`.
pub fn totals(
    classes: &[String],
    cells: usize,
    mut walk: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
    which: impl Fn(u64) -> bool,
    mut take: impl FnMut(UsageGroup, NetUsage),
) -> Result<(), StoreError> {
    let mut after: Option<String> = None;
    loop {
        // The first societies in order of names, as many as fit: for one too many the last goes, and all behind it.
        let mut sums: BTreeMap<UsageGroup, NetUsage> = BTreeMap::new();
        let (mut before, mut names): (Option<String>, _) = (None, classes.to_vec());
        walk(&mut |_, line| match &line.kind {
            Some(LineKind::Start(start)) => names.clone_from(&start.classes),
            Some(LineKind::Usage(usage)) if which(usage.period) => {
                for entry in &usage.entries {
                    let tenant = entry.tenant.as_str();
                    let done = after.as_deref().is_some_and(|a| tenant <= a);
                    if done || before.as_deref().is_some_and(|b| tenant >= b) {
                        continue;
                    }
                    let sum = UsageGroup {
                        tenant: entry.tenant.clone(),
                        period: usage.period,
                        original_period: usage.original_period,
                        class: names.get(entry.class as usize).cloned().unwrap_or_default(),
                        outcome: Outcome::try_from(entry.outcome).unwrap_or(Outcome::Unknown),
                    };
                    sums.entry(sum).or_default().add(&entry.amount);
                    if sums.len() > cells {
                        drop_last(&mut sums, &mut before);
                    }
                }
            }
            _ => {}
        })?;
        after = sums.last_key_value().map(|(sum, _)| sum.tenant.clone());
        sums.into_iter().for_each(|(sum, net)| take(sum, net));
        if before.is_none() {
            return Ok(());
        }
    }
}

/// Takes out the last society, unless it is the only one.
fn drop_last(sums: &mut BTreeMap<UsageGroup, NetUsage>, before: &mut Option<String>) {
    let Some(last) = sums.last_key_value().map(|(sum, _)| sum.tenant.clone()) else { return };
    if sums.first_key_value().is_some_and(|(first, _)| first.tenant == last) {
        return;
    }
    while sums.last_key_value().is_some_and(|(sum, _)| sum.tenant == last) {
        sums.pop_last();
    }
    *before = Some(last);
}
