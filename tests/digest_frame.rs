//! Frames of the digest exchange: what is no frame is an error.

use dunlinspread::server::usage::digest_frame::{MAGIC, read};
use dunlinspread_ledger::digest_comparison::DigestClaims;

#[test]
fn nonsense_is_an_error() {
    let mut good = MAGIC.to_vec();
    good.extend_from_slice(&[0; 4]);
    assert_eq!(read(&mut &good[..]).expect("empty claims"), DigestClaims::default());
    let long = [&MAGIC[..], &[255; 4]].concat();
    let cut = [&MAGIC[..], &[9, 0, 0, 0, 1]].concat();
    let other = [&MAGIC[..], &[2, 0, 0, 0, 255, 255]].concat();
    for bytes in [&b""[..], b"GET / HTTP/1.1\r\n\r\n", &long, &cut, &other] {
        assert!(read(&mut &bytes[..]).is_err(), "{bytes:?}");
    }
}
