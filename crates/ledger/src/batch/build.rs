//! Builds a batch from the lines up to its close line.

use super::content::{Batch, CorrectionItem, UsageItem};
use crate::line::{Close, Correction, Line, LineKind, Unbilled};
use crate::line_id::LineId;
use crate::state::LedgerState;
use crate::totals::{NetUsage, UsageGroup, totals};
use dunlinspread_store::StoreError;

/// Identity of a batch, and the inputs from which its content is built.
#[derive(Clone, Copy, Debug)]
pub struct BatchPlan<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Id of the server's ledger.
    pub ledger_id: u64,
    /// Ledger state before the first line passed to the visitor.
    pub before: &'a LedgerState,
    /// Number of the close line.
    pub close: u64,
    /// Index of the batch among the batches of this close, from 0.
    pub part: u64,
    /// Maximum number of usage items in a batch.
    pub items: usize,
    /// Approximate maximum number of totals held in memory at a time.
    pub cells: usize,
    /// Number of the batch.
    pub number: u64,
    /// Digest of the previous batch.
    pub previous: &'a [u8],
}

/// Builds a batch from the lines up to its close line. Returns `None` if the close has no part with this
/// index.
///
/// `visit_lines` passes the lines that follow the state `plan.before` to a visitor. The first of them must
/// not come after the previous close line. The function is called several times, and must pass the same lines
/// each time.
///
/// # Errors
/// Returns the [`StoreError`] of `visit_lines` if it fails.
pub fn build(
    plan: &BatchPlan<'_>,
    mut visit_lines: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Batch>, StoreError> {
    let mut closes = Closes::default();
    visit_lines(&mut |number, line| closes.add(plan.close, number, line))?;
    let Closes { close: Some(close), previous_close } = closes else { return Ok(None) };
    let Some(Part { items, last }) = collect_items(plan, &close, &mut visit_lines)? else { return Ok(None) };
    let mut additions = Additions::new(plan, &close, previous_close);
    // Corrections and unbilled lines are rare and small, so all of them go into the last part.
    if last {
        visit_lines(&mut |number, line| additions.add(number, line))?;
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

/// The close of a batch and the number of the previous close line, which is 0 if no such line was visited.
#[derive(Default)]
struct Closes {
    close: Option<Close>,
    previous_close: u64,
}

impl Closes {
    fn add(&mut self, close_line: u64, number: u64, line: &Line) {
        let Some(LineKind::Close(close)) = &line.kind else { return };
        if number == close_line {
            self.close = Some(close.clone());
        } else if number < close_line {
            self.previous_close = number;
        }
    }
}

/// The usage items of one batch of a close.
struct Part {
    items: Vec<UsageItem>,
    /// Whether this is the last part of the close.
    last: bool,
}

/// Returns the usage items of the batch; `None` if the close has no part with this index. A close without
/// usage has one empty part.
fn collect_items(
    plan: &BatchPlan<'_>,
    close: &Close,
    visit_lines: &mut impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Part>, StoreError> {
    let classes = plan.before.start.as_ref().map_or(Vec::new(), |start| start.classes.clone());
    let part = plan.part as usize;
    let item_range = part * plan.items..(part + 1) * plan.items;
    let (mut count, mut items) = (0, Vec::new());
    let visit_lines_before_close = |visit: &mut dyn FnMut(u64, &Line)| {
        visit_lines(&mut |number, line| {
            if number < plan.close {
                visit(number, line);
            }
        })
    };
    let is_closed_by = |period: u64| (close.from..close.to).contains(&period);
    totals(&classes, plan.cells, visit_lines_before_close, is_closed_by, |group, net| {
        if item_range.contains(&count) {
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

/// Content of the last batch of a close in addition to usage: the corrections entered in its periods, and the
/// unbilled lines since the previous close.
struct Additions<'a> {
    plan: &'a BatchPlan<'a>,
    close: &'a Close,
    previous_close: u64,
    /// Id of the start that wrote the current line.
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
            Some(LineKind::Correction(correction)) if self.includes_correction(number, correction) => {
                let line = LineId { server: self.plan.server.to_owned(), start: self.start, number };
                self.corrections.push(correction_item(line, correction));
            }
            Some(LineKind::Unbilled(unbilled)) if self.includes_unbilled(number) => {
                self.unbilled.push(unbilled.clone());
            }
            _ => {}
        }
    }

    fn includes_correction(&self, number: u64, correction: &Correction) -> bool {
        number < self.plan.close && (self.close.from..self.close.to).contains(&correction.period)
    }

    fn includes_unbilled(&self, number: u64) -> bool {
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
