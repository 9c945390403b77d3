//! Batches: what goes out of a closed period. A batch's content follows from the lines up to the close, the batch's
//! number and its size alone; made again after a crash, it is the same to the byte, which its digest shows.

use crate::line::{Close, Line, LineError, LineId, LineKind, Outcome, Unbilled};
use crate::state::LedgerState;
use crate::totals::{NetUsage, UsageGroup, totals};
use dunlinspread_store::StoreError;
use prost::Message;
use sha2::{Digest as _, Sha256};

/// A batch as it is sent and kept.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The mark of its ledger: a server whose ledger was lost begins another.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// The batch's number in that ledger, from 1.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The digest of the batch before, empty in the first.
    #[prost(bytes = "vec", tag = "4")]
    pub previous: Vec<u8>,
    /// The periods it is of.
    #[prost(message, required, tag = "5")]
    pub close: Close,
    /// The number of the close line.
    #[prost(uint64, tag = "6")]
    pub close_line: u64,
    /// It is the last of these periods.
    #[prost(bool, tag = "7")]
    pub last: bool,
    /// Use.
    #[prost(message, repeated, tag = "8")]
    pub items: Vec<UsageItem>,
    /// Corrections that people entered.
    #[prost(message, repeated, tag = "9")]
    pub corrections: Vec<CorrectionItem>,
    /// Use that is in no line.
    #[prost(message, repeated, tag = "10")]
    pub unbilled: Vec<Unbilled>,
}

/// Use of one society in one class with one outcome in one period.
#[derive(Clone, PartialEq, Message)]
pub struct UsageItem {
    /// The period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The closed period that it corrects, if it does.
    #[prost(uint64, optional, tag = "2")]
    pub original_period: Option<u64>,
    /// The society.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// The class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// The outcome.
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Time in the worker pool, µs.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// Bytes of bodies.
    #[prost(sint64, tag = "8")]
    pub bytes_in: i64,
    /// Bytes of results.
    #[prost(sint64, tag = "9")]
    pub bytes_out: i64,
}

/// A correction that a person entered.
#[derive(Clone, PartialEq, Message)]
pub struct CorrectionItem {
    /// Its own line.
    #[prost(message, required, tag = "1")]
    pub line: LineId,
    /// The line it corrects.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// What it changes; its period is the one it was entered in.
    #[prost(message, required, tag = "3")]
    pub item: UsageItem,
    /// Why.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// A digest: SHA-256.
pub type Digest = [u8; 32];

impl Batch {
    /// Its bytes and their digest.
    pub fn encode_with_digest(&self) -> (Vec<u8>, Digest) {
        let bytes = self.encode_to_vec();
        let digest = digest(&bytes);
        (bytes, digest)
    }

    /// Reads a batch's bytes.
    ///
    /// # Errors
    /// If they are none.
    pub fn parse(bytes: &[u8]) -> Result<Batch, LineError> {
        let batch = Batch::decode(bytes).map_err(|e| LineError::Encoding(e.to_string()))?;
        if batch.server.is_empty() || batch.number == 0 || batch.close.from >= batch.close.to {
            return Err(LineError::Invalid("the batch names no server, number or period"));
        }
        let outcomes = batch.items.iter().chain(batch.corrections.iter().map(|c| &c.item)).map(|i| i.outcome);
        if outcomes.into_iter().any(|o| !Outcome::ALL.iter().any(|known| *known as i32 == o)) {
            return Err(LineError::Invalid("an item has no outcome"));
        }
        Ok(batch)
    }
}

/// The digest of bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// A digest as text.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

fn clamp(n: i128) -> i64 {
    n.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64
}

fn item(sum: UsageGroup, net: &NetUsage) -> UsageItem {
    UsageItem {
        period: sum.period,
        original_period: sum.original_period,
        tenant: sum.tenant,
        class: sum.class,
        outcome: sum.outcome as i32,
        requests: clamp(net.requests),
        pool_us: clamp(net.pool_us),
        bytes_in: clamp(net.bytes_in),
        bytes_out: clamp(net.bytes_out),
    }
}

/// What a batch is made of.
#[derive(Clone, Copy, Debug)]
pub struct BatchPlan<'a> {
    /// The server.
    pub server: &'a str,
    /// The mark of its ledger.
    pub ledger_id: u64,
    /// The ledger's state before the first line that is walked.
    pub before: &'a LedgerState,
    /// The number of the close line.
    pub close: u64,
    /// Which batch of that close, from 0.
    pub part: u64,
    /// Items of a batch at most.
    pub items: usize,
    /// Sums held at a time.
    pub cells: usize,
    /// The batch's number.
    pub number: u64,
    /// The digest of the batch before.
    pub previous: &'a [u8],
}

/// Makes a batch from the lines up to its close, which `walk` shows from any line on that is not after the close
/// before; at least that of `plan.before`. None if the close has no such part.
///
/// # Errors
/// Of `walk`.
pub fn make(
    plan: &BatchPlan<'_>,
    mut walk: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Batch>, StoreError> {
    let mut start = plan.before.start.as_ref().map_or(0, |s| s.start);
    let classes = plan.before.start.as_ref().map_or(Vec::new(), |s| s.classes.clone());
    let (mut close, mut previous_close) = (None, 0);
    walk(&mut |number, line| {
        if let Some(LineKind::Close(found)) = &line.kind {
            match number == plan.close {
                true => close = Some(found.clone()),
                false if number < plan.close => previous_close = number,
                false => {}
            }
        }
    })?;
    let Some(close) = close else { return Ok(None) };
    let of_close = |period: u64| period >= close.from && period < close.to;
    let (from, to) = (plan.part as usize * plan.items, (plan.part as usize + 1) * plan.items);
    let (mut at, mut items) = (0, Vec::new());
    totals(
        &classes,
        plan.cells,
        |show| {
            walk(&mut |number, line| {
                if number < plan.close {
                    show(number, line);
                }
            })
        },
        of_close,
        |sum, net| {
            if (from..to).contains(&at) {
                items.push(item(sum, &net));
            }
            at += 1;
        },
    )?;
    let parts = at.div_ceil(plan.items).max(1);
    if plan.part as usize >= parts {
        return Ok(None);
    }
    let last = plan.part as usize + 1 == parts;
    let (mut corrections, mut unbilled) = (Vec::new(), Vec::new());
    // What people entered goes with the last part; it is seldom and small.
    walk(&mut |number, line| {
        let id = |start| LineId { server: plan.server.to_owned(), start, number };
        match &line.kind {
            Some(LineKind::Start(s)) => start = s.start,
            Some(LineKind::Correction(c)) if last && number < plan.close && of_close(c.period) => {
                let item = UsageItem {
                    period: c.period,
                    original_period: None,
                    tenant: c.tenant.clone(),
                    class: c.class.clone(),
                    outcome: c.outcome,
                    requests: c.requests,
                    pool_us: c.pool_us,
                    bytes_in: 0,
                    bytes_out: 0,
                };
                let (corrects, reason) = (c.corrects.clone(), c.reason.clone());
                corrections.push(CorrectionItem { line: id(start), corrects, item, reason });
            }
            Some(LineKind::Unbilled(u)) if last && number > previous_close && number < plan.close => {
                unbilled.push(u.clone());
            }
            _ => {}
        }
    })?;
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
