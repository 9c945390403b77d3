//! Batches: what goes out of a closed period. A batch's content follows from the lines up to the close, the batch's
//! number and its size alone; made again after a crash, it is the same to the byte, which its digest shows.

use crate::line::{BadLine, Close, Kind, Line, LineId, Outcome, Unbilled};
use crate::state::State;
use crate::totals::{Net, Sum, totals};
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
    pub born: u64,
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
    pub closed_by: u64,
    /// It is the last of these periods.
    #[prost(bool, tag = "7")]
    pub last: bool,
    /// Use.
    #[prost(message, repeated, tag = "8")]
    pub items: Vec<Item>,
    /// Corrections that people entered.
    #[prost(message, repeated, tag = "9")]
    pub corrections: Vec<CorrectionItem>,
    /// Use that is in no line.
    #[prost(message, repeated, tag = "10")]
    pub unbilled: Vec<Unbilled>,
}

/// Use of one society in one class with one outcome in one period.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// The period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The closed period that it corrects, if it does.
    #[prost(uint64, optional, tag = "2")]
    pub of: Option<u64>,
    /// The society.
    #[prost(string, tag = "3")]
    pub society: String,
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
    pub item: Item,
    /// Why.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// A digest: SHA-256.
pub type Digest = [u8; 32];

impl Batch {
    /// Its bytes and their digest.
    pub fn seal(&self) -> (Vec<u8>, Digest) {
        let bytes = self.encode_to_vec();
        let digest = digest(&bytes);
        (bytes, digest)
    }

    /// Reads a batch's bytes.
    ///
    /// # Errors
    /// If they are none.
    pub fn read(bytes: &[u8]) -> Result<Batch, BadLine> {
        let batch = Batch::decode(bytes).map_err(|e| BadLine::Encoding(e.to_string()))?;
        if batch.server.is_empty() || batch.number == 0 || batch.close.from >= batch.close.to {
            return Err(BadLine::Content("the batch names no server, number or period"));
        }
        let outcomes = batch.items.iter().chain(batch.corrections.iter().map(|c| &c.item)).map(|i| i.outcome);
        if outcomes.into_iter().any(|o| !Outcome::ALL.iter().any(|known| *known as i32 == o)) {
            return Err(BadLine::Content("an item has no outcome"));
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

fn item(sum: Sum, net: &Net) -> Item {
    Item {
        period: sum.period,
        of: sum.of,
        society: sum.society,
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
pub struct Making<'a> {
    /// The server.
    pub server: &'a str,
    /// The mark of its ledger.
    pub born: u64,
    /// The ledger's state before the first line that is walked.
    pub before: &'a State,
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
/// before; at least that of `making.before`. None if the close has no such part.
///
/// # Errors
/// Of `walk`.
pub fn make(
    making: &Making<'_>,
    mut walk: impl FnMut(&mut dyn FnMut(u64, &Line)) -> Result<(), StoreError>,
) -> Result<Option<Batch>, StoreError> {
    let mut start = making.before.start.as_ref().map_or(0, |s| s.start);
    let classes = making.before.start.as_ref().map_or(Vec::new(), |s| s.classes.clone());
    let (mut close, mut previous_close) = (None, 0);
    walk(&mut |number, line| {
        if let Some(Kind::Close(found)) = &line.kind {
            match number == making.close {
                true => close = Some(found.clone()),
                false if number < making.close => previous_close = number,
                false => {}
            }
        }
    })?;
    let Some(close) = close else { return Ok(None) };
    let of_close = |period: u64| period >= close.from && period < close.to;
    let (from, to) = (making.part as usize * making.items, (making.part as usize + 1) * making.items);
    let (mut at, mut items) = (0, Vec::new());
    totals(
        &classes,
        making.cells,
        |show| {
            walk(&mut |number, line| {
                if number < making.close {
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
    let parts = at.div_ceil(making.items).max(1);
    if making.part as usize >= parts {
        return Ok(None);
    }
    let last = making.part as usize + 1 == parts;
    let (mut corrections, mut unbilled) = (Vec::new(), Vec::new());
    // What people entered goes with the last part; it is seldom and small.
    walk(&mut |number, line| {
        let id = |start| LineId { server: making.server.to_owned(), start, number };
        match &line.kind {
            Some(Kind::Start(s)) => start = s.start,
            Some(Kind::Correction(c)) if last && number < making.close && of_close(c.period) => {
                let item = Item {
                    period: c.period,
                    of: None,
                    society: c.society.clone(),
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
            Some(Kind::Unbilled(u)) if last && number > previous_close && number < making.close => {
                unbilled.push(u.clone());
            }
            _ => {}
        }
    })?;
    Ok(Some(Batch {
        server: making.server.to_owned(),
        born: making.born,
        number: making.number,
        previous: making.previous.to_vec(),
        close,
        closed_by: making.close,
        last,
        items,
        corrections,
        unbilled,
    }))
}
