//! Round servers that may talk bear witness to one another's exports: each tells the others which digest each batch has,
//! its own and those it has heard of. A batch that turns up with two digests, or a server that knows less of its own ledger
//! than others do, shows that a ledger was restored from an old copy, lost, or run twice. Nothing is decided by it: people
//! are told. Pure; who talks to whom is the owner's affair.

use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Ledgers, batches of each, and disagreements that are remembered. What is beyond goes: the oldest batches, the ledgers
/// that come last.
pub const MAX_LEDGERS: usize = 256;
/// See [`MAX_LEDGERS`].
pub const MAX_BATCHES: usize = 32;
const MAX_TOLD: usize = 1024;

/// A batch of a ledger has this digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestClaim {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The mark of its ledger.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// The batch.
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
    /// Who tells.
    #[prost(string, tag = "1")]
    pub by: String,
    /// What it knows.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<DigestClaim>,
}

/// What does not agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestMismatch {
    /// A batch has two digests.
    Digest {
        /// The server whose batch it is.
        server: String,
        /// The batch.
        batch: u64,
        /// Who told the one known before, and who the other.
        by: (String, String),
    },
    /// Another server knows a later batch of this server's own ledger than this one ever made.
    Ahead {
        /// The batch.
        batch: u64,
        /// The last that is known here.
        known: u64,
        /// Who told.
        by: String,
    },
    /// Another server knows another ledger of this server.
    OtherLedger {
        /// Its mark.
        ledger_id: u64,
        /// Who told.
        by: String,
    },
}

impl std::fmt::Display for DigestMismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DigestMismatch::Digest { server, batch, by: (one, other) } => {
                write!(f, "batch {batch} of {server} has one content by {one} and another by {other}")
            }
            DigestMismatch::Ahead { batch, known, by } => write!(
                f,
                "{by} knows batch {batch} of this ledger, which knows {known}: it is an old copy, or another runs beside it"
            ),
            DigestMismatch::OtherLedger { ledger_id, by } => {
                write!(
                    f,
                    "{by} knows a ledger of this server begun at {ledger_id}: it was lost, or lies elsewhere"
                )
            }
        }
    }
}

struct Known {
    claim: DigestClaim,
    by: String,
}

/// What a server knows.
pub struct DigestComparison {
    server: String,
    ledger_id: u64,
    /// The last batch that this server made.
    made: u64,
    known: BTreeMap<(String, u64), BTreeMap<u64, Known>>,
    told: BTreeSet<DigestMismatch>,
}

impl DigestComparison {
    /// A server that knows its own ledger so far.
    pub fn new(server: &str, ledger_id: u64, made: u64) -> DigestComparison {
        DigestComparison {
            server: server.to_owned(),
            ledger_id,
            made,
            known: BTreeMap::new(),
            told: BTreeSet::new(),
        }
    }

    /// This server made a batch, durably.
    pub fn made(&mut self, batch: u64, digest: &[u8], from: u64, to: u64) -> Vec<DigestMismatch> {
        self.made = self.made.max(batch);
        let (server, by) = (self.server.clone(), self.server.clone());
        let claim =
            DigestClaim { server, ledger_id: self.ledger_id, batch, digest: digest.to_vec(), from, to };
        self.hear(&DigestClaims { by, claims: vec![claim] })
    }

    /// Another server tells. What disagrees is given once.
    pub fn hear(&mut self, told: &DigestClaims) -> Vec<DigestMismatch> {
        let mut unlike = Vec::new();
        for claim in &told.claims {
            let by = told.by.clone();
            if claim.server == self.server {
                if claim.ledger_id != self.ledger_id {
                    unlike.push(DigestMismatch::OtherLedger { ledger_id: claim.ledger_id, by: by.clone() });
                } else if claim.batch > self.made {
                    unlike.push(DigestMismatch::Ahead {
                        batch: claim.batch,
                        known: self.made,
                        by: by.clone(),
                    });
                }
            }
            let key = (claim.server.clone(), claim.ledger_id);
            if !self.known.contains_key(&key) && self.known.len() >= MAX_LEDGERS {
                continue;
            }
            let batches = self.known.entry(key).or_default();
            match batches.get(&claim.batch) {
                Some(known) if known.claim.digest != claim.digest => unlike.push(DigestMismatch::Digest {
                    server: claim.server.clone(),
                    batch: claim.batch,
                    by: (known.by.clone(), by),
                }),
                Some(_) => {}
                None => {
                    batches.insert(claim.batch, Known { claim: claim.clone(), by });
                    if batches.len() > MAX_BATCHES {
                        batches.pop_first();
                    }
                }
            }
        }
        unlike.retain(|u| self.told.len() < MAX_TOLD && self.told.insert(u.clone()));
        unlike
    }

    /// What this server tells others.
    pub fn tell(&self) -> DigestClaims {
        let all = self.known.values().flat_map(|batches| batches.values().map(|k| k.claim.clone()));
        DigestClaims { by: self.server.clone(), claims: all.collect() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_that_agree_say_nothing() {
        let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
        for batch in 1..=100 {
            assert_eq!(a.made(batch, &[batch as u8], batch, batch + 1), []);
            assert_eq!(b.hear(&a.tell()), []);
            assert_eq!(a.hear(&b.tell()), []);
        }
        assert_eq!(b.tell().claims.len(), MAX_BATCHES);
    }

    #[test]
    fn an_old_copy_is_noticed_by_what_others_know_of_it() {
        let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
        a.made(1, &[1], 0, 1);
        a.made(2, &[2], 1, 2);
        b.hear(&a.tell());
        // Restored from when it had made one batch, it hears at once; and when it makes the second anew, all do.
        let mut old = DigestComparison::new("a", 1, 1);
        let ahead = DigestMismatch::Ahead { batch: 2, known: 1, by: "b".to_owned() };
        assert_eq!(old.hear(&b.tell()), [ahead]);
        assert_eq!(old.hear(&b.tell()), [], "told once");
        let by = ("b".to_owned(), "a".to_owned());
        assert_eq!(
            old.made(2, &[9], 1, 2),
            [DigestMismatch::Digest { server: "a".to_owned(), batch: 2, by }]
        );
        let mut fresh = DigestComparison::new("a", 1, 1);
        fresh.made(2, &[9], 1, 2);
        let by = ("a".to_owned(), "a".to_owned());
        assert_eq!(b.hear(&fresh.tell()), [DigestMismatch::Digest { server: "a".to_owned(), batch: 2, by }]);
    }

    #[test]
    fn a_lost_ledger_is_noticed() {
        let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
        a.made(1, &[1], 0, 1);
        b.hear(&a.tell());
        let mut new = DigestComparison::new("a", 7, 0);
        assert_eq!(new.hear(&b.tell()), [DigestMismatch::OtherLedger { ledger_id: 1, by: "b".to_owned() }]);
    }

    #[test]
    fn a_flood_of_claims_is_bounded() {
        let mut a = DigestComparison::new("a", 1, 0);
        for n in 0..10_000u64 {
            let claim = DigestClaim {
                server: format!("s{n}"),
                ledger_id: n,
                batch: n,
                digest: vec![],
                from: 0,
                to: 0,
            };
            a.hear(&DigestClaims { by: "x".to_owned(), claims: vec![claim; 3] });
            let own = DigestClaim {
                server: "a".to_owned(),
                ledger_id: 5 + n,
                batch: 1,
                digest: vec![],
                from: 0,
                to: 0,
            };
            a.hear(&DigestClaims { by: "x".to_owned(), claims: vec![own] });
        }
        assert!(a.known.len() <= MAX_LEDGERS && a.told.len() <= MAX_TOLD);
    }
}
