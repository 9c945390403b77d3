//! Tests of reading frames of the digest exchange: bytes that are not a valid frame are an error.

use dunlinspread::server::usage::digest_frame::{MAGIC, read};
use dunlinspread_ledger::digest_comparison::DigestClaims;

#[test]
fn nonsense_is_an_error() {
    let mut good = MAGIC.to_vec();
    good.extend_from_slice(&[0; 4]);
    assert_eq!(read(&mut &good[..]).expect("empty claims"), DigestClaims::default());
    let too_long = [&MAGIC[..], &[255; 4]].concat();
    let truncated = [&MAGIC[..], &[9, 0, 0, 0, 1]].concat();
    let invalid_claims = [&MAGIC[..], &[2, 0, 0, 0, 255, 255]].concat();
    for bytes in [&b""[..], b"GET / HTTP/1.1\r\n\r\n", &too_long, &truncated, &invalid_claims] {
        assert!(read(&mut &bytes[..]).is_err(), "{bytes:?}");
    }
}
