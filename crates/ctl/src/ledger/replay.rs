//! Reading a ledger from its first line to its last, with each line checked against those before it.

use anyhow::Result;
use dunlinspread_ledger::{LedgerState, Line, LineKind, Outcome};
use dunlinspread_store::{Log, RealDisk, ReplayItem};
use std::collections::BTreeMap;

/// What a walk over a store found.
#[derive(Default)]
pub struct Walked {
    /// The sum of all lines.
    pub state: LedgerState,
    /// The number of the first line that is there.
    pub first: u64,
    /// Lines by kind.
    pub lines: BTreeMap<&'static str, u64>,
    /// Requests that lines say are in none, and those that may be.
    pub unbilled: (u64, u64),
}

/// Walks over all lines, checking each against those before it.
pub fn walk(disk: &RealDisk, server: &str, mut show: impl FnMut(u64, &Line)) -> Result<Walked> {
    let mut walked = Walked::default();
    Log::read(disk, server, |visit| {
        match visit {
            ReplayItem::Snapshot(before, bytes) => {
                walked.first = before;
                walked.state =
                    prost::Message::decode(bytes).map_err(|e: prost::DecodeError| e.to_string())?;
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                walked.state.apply(number, &line).map_err(|e| e.to_string())?;
                walked.first = if walked.first == 0 { number } else { walked.first };
                let word = match &line.kind {
                    Some(LineKind::Start(_)) => "start",
                    Some(LineKind::Usage(_)) => "usage",
                    Some(LineKind::Correction(_)) => "correction",
                    Some(LineKind::Close(_)) => "close",
                    Some(LineKind::Export(_)) => "export",
                    Some(LineKind::Unbilled(u)) => {
                        walked.unbilled.0 += u.requests;
                        walked.unbilled.1 += u.at_most;
                        "unbilled"
                    }
                    None => "unknown",
                };
                *walked.lines.entry(word).or_default() += 1;
                show(number, &line);
            }
        }
        Ok(())
    })?;
    Ok(walked)
}

/// Requests by society and outcome.
pub type BySociety = BTreeMap<(String, Outcome), u64>;

/// Requests in the lines of a ledger.
pub fn by_society(disk: &RealDisk, server: &str) -> Result<(BySociety, Walked)> {
    let mut sums = BTreeMap::new();
    let walked = walk(disk, server, |_, line| {
        if let Some(LineKind::Usage(usage)) = &line.kind {
            for entry in &usage.entries {
                let outcome = Outcome::try_from(entry.outcome).unwrap_or(Outcome::Unknown);
                *sums.entry((entry.tenant.clone(), outcome)).or_insert(0) += entry.amount.requests;
            }
        }
    })?;
    Ok((sums, walked))
}
