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
pub struct Claim {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The mark of its ledger.
    #[prost(uint64, tag = "2")]
    pub born: u64,
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
pub struct Claims {
    /// Who tells.
    #[prost(string, tag = "1")]
    pub by: String,
    /// What it knows.
    #[prost(message, repeated, tag = "2")]
    pub claims: Vec<Claim>,
}

/// What does not agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unlike {
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
        born: u64,
        /// Who told.
        by: String,
    },
}

impl std::fmt::Display for Unlike {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unlike::Digest { server, batch, by: (one, other) } => {
                write!(f, "batch {batch} of {server} has one content by {one} and another by {other}")
            }
            Unlike::Ahead { batch, known, by } => write!(
                f,
                "{by} knows batch {batch} of this ledger, which knows {known}: it is an old copy, or another runs beside it"
            ),
            Unlike::OtherLedger { born, by } => {
                write!(
                    f,
                    "{by} knows a ledger of this server begun at {born}: it was lost, or lies elsewhere"
                )
            }
        }
    }
}

struct Known {
    claim: Claim,
    by: String,
}

/// What a server knows.
pub struct Witness {
    server: String,
    born: u64,
    /// The last batch that this server made.
    made: u64,
    known: BTreeMap<(String, u64), BTreeMap<u64, Known>>,
    told: BTreeSet<Unlike>,
}

impl Witness {
    /// A server that knows its own ledger so far.
    pub fn new(server: &str, born: u64, made: u64) -> Witness {
        Witness { server: server.to_owned(), born, made, known: BTreeMap::new(), told: BTreeSet::new() }
    }

    /// This server made a batch, durably.
    pub fn made(&mut self, batch: u64, digest: &[u8], from: u64, to: u64) -> Vec<Unlike> {
        self.made = self.made.max(batch);
        let (server, by) = (self.server.clone(), self.server.clone());
        let claim = Claim { server, born: self.born, batch, digest: digest.to_vec(), from, to };
        self.hear(&Claims { by, claims: vec![claim] })
    }

    /// Another server tells. What disagrees is given once.
    pub fn hear(&mut self, told: &Claims) -> Vec<Unlike> {
        let mut unlike = Vec::new();
        for claim in &told.claims {
            let by = told.by.clone();
            if claim.server == self.server {
                if claim.born != self.born {
                    unlike.push(Unlike::OtherLedger { born: claim.born, by: by.clone() });
                } else if claim.batch > self.made {
                    unlike.push(Unlike::Ahead { batch: claim.batch, known: self.made, by: by.clone() });
                }
            }
            let key = (claim.server.clone(), claim.born);
            if !self.known.contains_key(&key) && self.known.len() >= MAX_LEDGERS {
                continue;
            }
            let batches = self.known.entry(key).or_default();
            match batches.get(&claim.batch) {
                Some(known) if known.claim.digest != claim.digest => unlike.push(Unlike::Digest {
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
    pub fn tell(&self) -> Claims {
        let all = self.known.values().flat_map(|batches| batches.values().map(|k| k.claim.clone()));
        Claims { by: self.server.clone(), claims: all.collect() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn servers_that_agree_say_nothing() {
        let (mut a, mut b) = (Witness::new("a", 1, 0), Witness::new("b", 2, 0));
        for batch in 1..=100 {
            assert_eq!(a.made(batch, &[batch as u8], batch, batch + 1), []);
            assert_eq!(b.hear(&a.tell()), []);
            assert_eq!(a.hear(&b.tell()), []);
        }
        assert_eq!(b.tell().claims.len(), MAX_BATCHES);
    }

    #[test]
    fn an_old_copy_is_noticed_by_what_others_know_of_it() {
        let (mut a, mut b) = (Witness::new("a", 1, 0), Witness::new("b", 2, 0));
        a.made(1, &[1], 0, 1);
        a.made(2, &[2], 1, 2);
        b.hear(&a.tell());
        // Restored from when it had made one batch, it hears at once; and when it makes the second anew, all do.
        let mut old = Witness::new("a", 1, 1);
        let ahead = Unlike::Ahead { batch: 2, known: 1, by: "b".to_owned() };
        assert_eq!(old.hear(&b.tell()), [ahead]);
        assert_eq!(old.hear(&b.tell()), [], "told once");
        let by = ("b".to_owned(), "a".to_owned());
        assert_eq!(old.made(2, &[9], 1, 2), [Unlike::Digest { server: "a".to_owned(), batch: 2, by }]);
        let mut fresh = Witness::new("a", 1, 1);
        fresh.made(2, &[9], 1, 2);
        let by = ("a".to_owned(), "a".to_owned());
        assert_eq!(b.hear(&fresh.tell()), [Unlike::Digest { server: "a".to_owned(), batch: 2, by }]);
    }

    #[test]
    fn a_lost_ledger_is_noticed() {
        let (mut a, mut b) = (Witness::new("a", 1, 0), Witness::new("b", 2, 0));
        a.made(1, &[1], 0, 1);
        b.hear(&a.tell());
        let mut new = Witness::new("a", 7, 0);
        assert_eq!(new.hear(&b.tell()), [Unlike::OtherLedger { born: 1, by: "b".to_owned() }]);
    }

    #[test]
    fn a_flood_of_claims_is_bounded() {
        let mut a = Witness::new("a", 1, 0);
        for n in 0..10_000u64 {
            let claim = Claim { server: format!("s{n}"), born: n, batch: n, digest: vec![], from: 0, to: 0 };
            a.hear(&Claims { by: "x".to_owned(), claims: vec![claim; 3] });
            let own = Claim { server: "a".to_owned(), born: 5 + n, batch: 1, digest: vec![], from: 0, to: 0 };
            a.hear(&Claims { by: "x".to_owned(), claims: vec![own] });
        }
        assert!(a.known.len() <= MAX_LEDGERS && a.told.len() <= MAX_TOLD);
    }
}
