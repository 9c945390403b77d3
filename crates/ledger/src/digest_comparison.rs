//! Comparison of the digests of exported batches among servers.
//!
//! Each server tells others which digest each batch has, its own batches and those it was told of. A batch with two
//! digests, or a server that knows less of its own ledger than others do, shows that a ledger was restored from an old
//! copy, was lost, or is written by two processes. The comparison decides nothing; mismatches are reported to
//! operators. Who talks to whom is up to the owner.

use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Ledgers that are remembered at most; further ones are ignored.
pub const MAX_LEDGERS: usize = 256;
/// Batches that are remembered of each ledger at most; the oldest go first.
pub const MAX_BATCHES: usize = 32;
/// Mismatches that are remembered and reported at most.
pub const MAX_REPORTED: usize = 1024;

/// The digest of a batch of a ledger.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestClaim {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The id of its ledger.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// The batch's number.
    #[prost(uint64, tag = "3")]
    pub batch: u64,
    /// Its digest.
    #[prost(bytes = "vec", tag = "4")]
    pub digest: Vec<u8>,
    /// The first ms of the periods in it.
    #[prost(uint64, tag = "5")]
    pub from: u64,
    /// The first ms after them.
    #[prost(uint64, tag = "6")]
    pub to: u64,
}

/// What one server tells another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestClaims {
    /// The server that tells.
    #[prost(string, tag = "1")]
    pub reporter: String,
    /// What it knows.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<DigestClaim>,
}

/// A disagreement among servers about a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestMismatch {
    /// A batch has two digests.
    DifferentDigests {
        /// The server whose batch it is.
        server: String,
        /// The batch's number.
        batch: u64,
        /// The servers that reported the digest known before, and the other one.
        reporters: (String, String),
    },
    /// Another server knows a later batch of this server's own ledger than this one ever made.
    Ahead {
        /// The batch's number.
        batch: u64,
        /// The last that is known here.
        known: u64,
        /// The server that reported it.
        reporter: String,
    },
    /// Another server knows another ledger of this server.
    OtherLedger {
        /// That ledger's id.
        ledger_id: u64,
        /// The server that reported it.
        reporter: String,
    },
}

impl std::fmt::Display for DigestMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DigestMismatch::DifferentDigests { server, batch, reporters: (first, second) } => {
                write!(f, "batch {batch} of {server} has one content by {first} and another by {second}")
            }
            DigestMismatch::Ahead { batch, known, reporter } => write!(
                f,
                "{reporter} knows batch {batch} of this ledger, which knows {known}: \
                 it is an old copy, or another runs beside it"
            ),
            DigestMismatch::OtherLedger { ledger_id, reporter } => write!(
                f,
                "{reporter} knows a ledger of this server begun at {ledger_id}: it was lost, or lies elsewhere"
            ),
        }
    }
}

/// A claim and the server that reported it first.
struct KnownClaim {
    claim: DigestClaim,
    reporter: String,
}

/// What a server knows of the batches of all ledgers.
pub struct DigestComparison {
    server: String,
    ledger_id: u64,
    /// The last batch that this server made.
    last_own_batch: u64,
    /// By server and ledger id, then by batch.
    known: BTreeMap<(String, u64), BTreeMap<u64, KnownClaim>>,
    reported: BTreeSet<DigestMismatch>,
}

impl DigestComparison {
    /// Returns the comparison of a server that knows its own ledger up to this batch.
    pub fn new(server: &str, ledger_id: u64, last_own_batch: u64) -> DigestComparison {
        DigestComparison {
            server: server.to_owned(),
            ledger_id,
            last_own_batch,
            known: BTreeMap::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Takes in a batch that this server made and whose line is durable; returns the mismatches not reported before.
    pub fn add_own_batch(&mut self, batch: u64, digest: &[u8], span: Range<u64>) -> Vec<DigestMismatch> {
        self.last_own_batch = self.last_own_batch.max(batch);
        let claim = DigestClaim {
            server: self.server.clone(),
            ledger_id: self.ledger_id,
            batch,
            digest: digest.to_vec(),
            from: span.start,
            to: span.end,
        };
        self.add_claims(&DigestClaims { reporter: self.server.clone(), claims: vec![claim] })
    }

    /// Takes in what another server tells; returns the mismatches not reported before.
    pub fn add_claims(&mut self, reported: &DigestClaims) -> Vec<DigestMismatch> {
        let mut mismatches = Vec::new();
        for claim in &reported.claims {
            mismatches.extend(self.compare_with_own_ledger(claim, &reported.reporter));
            mismatches.extend(self.compare_and_remember(claim, &reported.reporter));
        }
        mismatches
            .retain(|mismatch| self.reported.len() < MAX_REPORTED && self.reported.insert(mismatch.clone()));
        mismatches
    }

    /// Returns the mismatch of a claim about this server with what it knows of itself.
    fn compare_with_own_ledger(&self, claim: &DigestClaim, reporter: &str) -> Option<DigestMismatch> {
        if claim.server != self.server {
            return None;
        }
        let reporter = reporter.to_owned();
        if claim.ledger_id != self.ledger_id {
            return Some(DigestMismatch::OtherLedger { ledger_id: claim.ledger_id, reporter });
        }
        let (batch, known) = (claim.batch, self.last_own_batch);
        (batch > known).then_some(DigestMismatch::Ahead { batch, known, reporter })
    }

    /// Returns the mismatch of a claim with an earlier one about the same batch; remembers the first of each batch.
    fn compare_and_remember(&mut self, claim: &DigestClaim, reporter: &str) -> Option<DigestMismatch> {
        let ledger = (claim.server.clone(), claim.ledger_id);
        if !self.known.contains_key(&ledger) && self.known.len() >= MAX_LEDGERS {
            return None;
        }
        let batches = self.known.entry(ledger).or_default();
        if let Some(known) = batches.get(&claim.batch) {
            let reporters = (known.reporter.clone(), reporter.to_owned());
            let (server, batch) = (claim.server.clone(), claim.batch);
            return (known.claim.digest != claim.digest).then_some(DigestMismatch::DifferentDigests {
                server,
                batch,
                reporters,
            });
        }
        batches.insert(claim.batch, KnownClaim { claim: claim.clone(), reporter: reporter.to_owned() });
        if batches.len() > MAX_BATCHES {
            batches.pop_first();
        }
        None
    }

    /// Returns what this server tells others.
    pub fn claims(&self) -> DigestClaims {
        let known = self.known.values().flat_map(BTreeMap::values);
        DigestClaims {
            reporter: self.server.clone(),
            claims: known.map(|known| known.claim.clone()).collect(),
        }
    }

    /// Returns the ledgers that are remembered.
    pub fn known_ledgers(&self) -> usize {
        self.known.len()
    }

    /// Returns the mismatches that were reported and are remembered.
    pub fn reported_mismatches(&self) -> usize {
        self.reported.len()
    }
}
