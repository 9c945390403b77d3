//! Building a batch from the lines up to its close.

use super::content::{Batch, CorrectionItem, UsageItem};
use crate::line::{Close, Correction, Line, LineKind, Unbilled};
use crate::line_id::LineId;
use crate::state::LedgerState;
use crate::totals::{NetUsage, UsageGroup, totals};
use dunlinspread_store::StoreError;

/// What identifies a batch, and what its content is built from.
#[derive(Clone, Copy, Debug)]
pub struct BatchPlan<'a> {
    /// The server.
    pub server: &'a str,
    /// The id of its ledger.
    pub ledger_id: u64,
    /// The ledger's state before the first line that is shown.
    pub before: &'a LedgerState,
    /// The number of the close line.
    pub close: u64,
    /// Which batch of that close, from 0.
    pub part: u64,
    /// Items of a batch at most.
    pub items: usize,
    /// Totals held at a time.
    pub cells: usize,
    /// The batch's number.
    pub number: u64,
    /// The digest of the batch before.
    pub previous: &'a [u8],
}

/// Builds a batch from the lines up to its close; none if the close has no such part.
///
/// `show_lines` shows the lines from `plan.before` on, which must not be after the close before. It is called several
/// times, and has to show the same each time.
///
/// # Errors
/// Of `show_lines`.
pub fn build(
    plan: &BatchPlan<'_>,
    mut show_lines: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Batch>, StoreError> {
    let mut closes = Closes::default();
    show_lines(&mut |number, line| closes.add(plan.close, number, line))?;
    let Closes { close: Some(close), previous_close } = closes else { return Ok(None) };
    let Some(Part { items, last }) = collect_items(plan, &close, &mut show_lines)? else { return Ok(None) };
    let mut additions = Additions::new(plan, &close, previous_close);
    // What operators entered, which is seldom and small, goes with the last part.
    if last {
        show_lines(&mut |number, line| additions.add(number, line))?;
    }
    let Additions { corrections, unbilled, .. } = additions;
    Ok(Some(Batch {
        server: plan.server.to_owned(),
        ledger_id: plan.ledger_id,
        number: plan.number,
        previous: plan.previous.to_vec(),
        close,
        close_line: plan.close,
        last,
        items,
        corrections,
        unbilled,
    }))
}

/// The close of a batch, and the number of the close line before it; 0 if none was shown.
#[derive(Default)]
struct Closes {
    close: Option<Close>,
    previous_close: u64,
}

impl Closes {
    fn add(&mut self, wanted: u64, number: u64, line: &Line) {
        let Some(LineKind::Close(close)) = &line.kind else { return };
        if number == wanted {
            self.close = Some(close.clone());
        } else if number < wanted {
            self.previous_close = number;
        }
    }
}

/// The usage of one batch of a close.
struct Part {
    items: Vec<UsageItem>,
    last: bool,
}

/// Returns the usage of the batch; none if the close has no such part. A close without usage has one part.
fn collect_items(
    plan: &BatchPlan<'_>,
    close: &Close,
    show_lines: &mut impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Part>, StoreError> {
    let classes = plan.before.start.as_ref().map_or(Vec::new(), |start| start.classes.clone());
    let part = plan.part as usize;
    let wanted = part * plan.items..(part + 1) * plan.items;
    let (mut count, mut items) = (0, Vec::new());
    let show_lines_before_close = |show: &mut dyn FnMut(u64, &Line)| {
        show_lines(&mut |number, line| {
            if number < plan.close {
                show(number, line);
            }
        })
    };
    let is_closed_by = |period: u64| (close.from..close.to).contains(&period);
    totals(&classes, plan.cells, show_lines_before_close, is_closed_by, |group, net| {
        if wanted.contains(&count) {
            items.push(usage_item(group, &net));
        }
        count += 1;
    })?;
    let parts = count.div_ceil(plan.items).max(1);
    Ok((part < parts).then_some(Part { items, last: part + 1 == parts }))
}

fn usage_item(group: UsageGroup, net: &NetUsage) -> UsageItem {
    UsageItem {
        period: group.period,
        original_period: group.original_period,
        tenant: group.tenant,
        class: group.class,
        outcome: group.outcome as i32,
        requests: clamp_to_i64(net.requests),
        pool_us: clamp_to_i64(net.pool_us),
        bytes_in: clamp_to_i64(net.bytes_in),
        bytes_out: clamp_to_i64(net.bytes_out),
    }
}

fn clamp_to_i64(number: i128) -> i64 {
    number.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64
}

/// What goes with the last batch of a close beside the usage: corrections of its periods, and the unbilled lines since
/// the close before.
struct Additions<'a> {
    plan: &'a BatchPlan<'a>,
    close: &'a Close,
    previous_close: u64,
    /// The start of the line that is shown.
    start: u64,
    corrections: Vec<CorrectionItem>,
    unbilled: Vec<Unbilled>,
}

impl<'a> Additions<'a> {
    fn new(plan: &'a BatchPlan<'a>, close: &'a Close, previous_close: u64) -> Additions<'a> {
        let start = plan.before.start.as_ref().map_or(0, |start| start.start);
        Additions { plan, close, previous_close, start, corrections: Vec::new(), unbilled: Vec::new() }
    }

    fn add(&mut self, number: u64, line: &Line) {
        match &line.kind {
            Some(LineKind::Start(start)) => self.start = start.start,
            Some(LineKind::Correction(correction)) if self.has_correction(number, correction) => {
                let line = LineId { server: self.plan.server.to_owned(), start: self.start, number };
                self.corrections.push(correction_item(line, correction));
            }
            Some(LineKind::Unbilled(unbilled)) if self.has_unbilled(number) => {
                self.unbilled.push(unbilled.clone());
            }
            _ => {}
        }
    }

    fn has_correction(&self, number: u64, correction: &Correction) -> bool {
        number < self.plan.close && (self.close.from..self.close.to).contains(&correction.period)
    }

    fn has_unbilled(&self, number: u64) -> bool {
        number > self.previous_close && number < self.plan.close
    }
}

fn correction_item(line: LineId, correction: &Correction) -> CorrectionItem {
    CorrectionItem {
        line,
        corrects: correction.corrects.clone(),
        item: UsageItem {
            period: correction.period,
            original_period: None,
            tenant: correction.tenant.clone(),
            class: correction.class.clone(),
            outcome: correction.outcome,
            requests: correction.requests,
            pool_us: correction.pool_us,
            bytes_in: 0,
            bytes_out: 0,
        },
        reason: correction.reason.clone(),
    }
}
