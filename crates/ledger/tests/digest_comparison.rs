//! Servers that compare digests detect a ledger restored from an old copy and a lost ledger, in bounded
//! memory.

use dunlinspread_ledger::digest_comparison::{
    DigestClaim, DigestClaims, DigestComparison, DigestMismatch, MAX_BATCHES, MAX_LEDGERS, MAX_REPORTED,
};

#[test]
fn servers_that_agree_report_no_mismatch() {
    let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
    for batch in 1..=100 {
        assert_eq!(a.add_own_batch(batch, &[batch as u8], batch..batch + 1), []);
        assert_eq!(b.add_claims(&a.claims()), []);
        assert_eq!(a.add_claims(&b.claims()), []);
    }
    assert_eq!(b.claims().claims.len(), MAX_BATCHES);
}

#[test]
fn an_old_copy_is_reported_by_what_others_know_of_it() {
    let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
    a.add_own_batch(1, &[1], 0..1);
    a.add_own_batch(2, &[2], 1..2);
    b.add_claims(&a.claims());
    // The ledger is restored from a copy with one batch. Its server detects this from the first claims, and
    // once it creates the second batch anew, the other servers detect it as well.
    let mut restored = DigestComparison::new("a", 1, 1);
    let ahead = DigestMismatch::Ahead { batch: 2, known: 1, reporter: "b".to_owned() };
    assert_eq!(restored.add_claims(&b.claims()), [ahead]);
    assert_eq!(restored.add_claims(&b.claims()), [], "reported once");
    let reporters = ("b".to_owned(), "a".to_owned());
    assert_eq!(
        restored.add_own_batch(2, &[9], 1..2),
        [DigestMismatch::DifferentDigests { server: "a".to_owned(), batch: 2, reporters }]
    );
    let mut restored_again = DigestComparison::new("a", 1, 1);
    restored_again.add_own_batch(2, &[9], 1..2);
    let reporters = ("a".to_owned(), "a".to_owned());
    assert_eq!(
        b.add_claims(&restored_again.claims()),
        [DigestMismatch::DifferentDigests { server: "a".to_owned(), batch: 2, reporters }]
    );
}

#[test]
fn a_lost_ledger_is_reported() {
    let (mut a, mut b) = (DigestComparison::new("a", 1, 0), DigestComparison::new("b", 2, 0));
    a.add_own_batch(1, &[1], 0..1);
    b.add_claims(&a.claims());
    let mut new_ledger = DigestComparison::new("a", 7, 0);
    assert_eq!(
        new_ledger.add_claims(&b.claims()),
        [DigestMismatch::OtherLedger { ledger_id: 1, reporter: "b".to_owned() }]
    );
}

#[test]
fn a_flood_of_claims_is_bounded() {
    let mut a = DigestComparison::new("a", 1, 0);
    for n in 0..10_000u64 {
        let claim =
            DigestClaim { server: format!("s{n}"), ledger_id: n, batch: n, digest: vec![], from: 0, to: 0 };
        a.add_claims(&DigestClaims { reporter: "x".to_owned(), claims: vec![claim; 3] });
        let own = DigestClaim {
            server: "a".to_owned(),
            ledger_id: 5 + n,
            batch: 1,
            digest: vec![],
            from: 0,
            to: 0,
        };
        a.add_claims(&DigestClaims { reporter: "x".to_owned(), claims: vec![own] });
    }
    assert!(a.known_ledgers() <= MAX_LEDGERS && a.reported_mismatches() <= MAX_REPORTED);
}
