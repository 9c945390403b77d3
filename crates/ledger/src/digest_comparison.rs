//! Comparison of the digests of exported batches among servers.
//!
//! Each server sends the digests of its own batches, and of the batches reported to it, to other servers. If
//! a batch has two digests, or other servers know later batches of a ledger than its own server, the ledger
//! was restored from an old copy, was lost, or is written by two processes. The comparison only reports
//! mismatches to operators and changes nothing else. The caller chooses which servers exchange digests.

use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Maximum number of ledgers whose claims are kept; claims about further ledgers are ignored.
pub const MAX_LEDGERS: usize = 256;
/// Maximum number of batches kept per ledger; the batches with the lowest numbers are dropped first.
pub const MAX_BATCHES: usize = 32;
/// Maximum number of mismatches that are kept and reported.
pub const MAX_REPORTED: usize = 1024;

/// A claim that a batch of a ledger has a certain digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestClaim {
    /// Name of the server that owns the ledger.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Id of the ledger.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// Number of the batch.
    #[prost(uint64, tag = "3")]
    pub batch: u64,
    /// Digest of the batch.
    #[prost(bytes = "vec", tag = "4")]
    pub digest: Vec<u8>,
    /// Start of the batch's periods, in Unix ms.
    #[prost(uint64, tag = "5")]
    pub from: u64,
    /// End (exclusive) of the batch's periods, in Unix ms.
    #[prost(uint64, tag = "6")]
    pub to: u64,
}

/// The claims that one server sends to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestClaims {
    /// Name of the server that sends the claims.
    #[prost(string, tag = "1")]
    pub reporter: String,
    /// Claims known to this server.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<DigestClaim>,
}

/// A disagreement among servers about a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestMismatch {
    /// A batch has two digests.
    DifferentDigests {
        /// Name of the server that owns the ledger.
        server: String,
        /// Number of the batch.
        batch: u64,
        /// Names of the servers that reported the first digest and the second digest.
        reporters: (String, String),
    },
    /// Another server knows a later batch of this server's ledger than the last one that this server created.
    Ahead {
        /// Number of the batch.
        batch: u64,
        /// Number of the last batch known to this server.
        known: u64,
        /// Name of the server that reported the batch.
        reporter: String,
    },
    /// Another server knows a ledger of this server with another id.
    OtherLedger {
        /// Id of the other ledger.
        ledger_id: u64,
        /// Name of the server that reported the ledger.
        reporter: String,
    },
}

impl std::fmt::Display for DigestMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DigestMismatch::DifferentDigests { server, batch, reporters: (first, second) } => {
                write!(f, "batch {batch} of {server}: the digests reported by {first} and {second} differ")
            }
            DigestMismatch::Ahead { batch, known, reporter } => write!(
                f,
                "{reporter} reports batch {batch} of this ledger, whose last batch is {known}: \
                 the ledger was restored from an old copy, or another process writes it"
            ),
            DigestMismatch::OtherLedger { ledger_id, reporter } => write!(
                f,
                "{reporter} reports a ledger of this server begun at {ledger_id}: it was lost or moved"
            ),
        }
    }
}

/// A claim and the name of the server that reported it first.
struct KnownClaim {
    claim: DigestClaim,
    reporter: String,
}

/// The comparison of the digests that one server knows for the batches of all ledgers.
pub struct DigestComparison {
    server: String,
    ledger_id: u64,
    /// Number of the last batch created by this server.
    last_own_batch: u64,
    /// First claim about each batch, by server and ledger id, then by batch number.
    known: BTreeMap<(String, u64), BTreeMap<u64, KnownClaim>>,
    reported: BTreeSet<DigestMismatch>,
}

impl DigestComparison {
    /// Returns the comparison for a server whose own ledger has batches up to this number.
    pub fn new(server: &str, ledger_id: u64, last_own_batch: u64) -> DigestComparison {
        DigestComparison {
            server: server.to_owned(),
            ledger_id,
            last_own_batch,
            known: BTreeMap::new(),
            reported: BTreeSet::new(),
        }
    }

    /// Adds a batch that this server created and whose line is durable. Returns the mismatches not reported
    /// before.
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

    /// Adds the claims of another server. Returns the mismatches not reported before.
    pub fn add_claims(&mut self, reported: &DigestClaims) -> Vec<DigestMismatch> {
        let mut mismatches = Vec::new();
        for claim in &reported.claims {
            mismatches.extend(self.compare_with_own_ledger(claim, &reported.reporter));
            mismatches.extend(self.compare_with_first_claim(claim, &reported.reporter));
        }
        mismatches
            .retain(|mismatch| self.reported.len() < MAX_REPORTED && self.reported.insert(mismatch.clone()));
        mismatches
    }

    /// Returns the mismatch between a claim about this server and its own ledger, if there is one.
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

    /// Returns the mismatch between a claim and the first claim about the same batch, if there is one. The
    /// first claim about each batch is kept.
    fn compare_with_first_claim(&mut self, claim: &DigestClaim, reporter: &str) -> Option<DigestMismatch> {
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

    /// Returns the claims that this server sends to others.
    pub fn claims(&self) -> DigestClaims {
        let known = self.known.values().flat_map(BTreeMap::values);
        DigestClaims {
            reporter: self.server.clone(),
            claims: known.map(|known| known.claim.clone()).collect(),
        }
    }

    /// Returns the number of ledgers whose claims are kept.
    pub fn known_ledgers(&self) -> usize {
        self.known.len()
    }

    /// Returns the number of mismatches that were reported and are kept.
    pub fn reported_mismatches(&self) -> usize {
        self.reported.len()
    }
}
