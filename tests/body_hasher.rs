//! Tests of the hash of request bodies, an HMAC-SHA256 that depends on its key and on the whole body.

use dunlinspread::server::dispatcher::{BODY_HASH_KEY_BYTES, BodyHasher};

/// Returns the key padded with zeros, as HMAC does with short keys.
fn padded(key: &[u8]) -> [u8; BODY_HASH_KEY_BYTES] {
    let mut padded = [0; BODY_HASH_KEY_BYTES];
    padded[..key.len()].copy_from_slice(key);
    padded
}

/// Checks test cases 1 and 2 of RFC 4231, truncated to their first 64 bits.
#[test]
fn the_hash_is_the_start_of_an_hmac_sha256() {
    assert_eq!(BodyHasher::with_key(padded(&[0x0b; 20])).hash(b"Hi There"), 0xb034_4c61_d8db_3853);
    let jefe = BodyHasher::with_key(padded(b"Jefe"));
    assert_eq!(jefe.hash(b"what do ya want for nothing?"), 0x5bdc_c146_bf60_754e);
}

#[test]
fn hashers_agree_under_one_key_and_differ_under_drawn_ones() {
    let (one, other) = (BodyHasher::new(), BodyHasher::new());
    let same = BodyHasher::with_key(one.key());
    let long = vec![7; 100_000];
    for body in [&b""[..], b"a", b"b", &long] {
        assert_eq!(one.hash(body), same.hash(body));
        assert_ne!(one.hash(body), other.hash(body), "two random keys are equal");
    }
    assert_ne!(one.hash(b"a"), one.hash(b"b"));
    assert_ne!(one.hash(&long), one.hash(&long[1..]));
}
