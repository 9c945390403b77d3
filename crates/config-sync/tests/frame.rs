//! Frames: however the byte stream is split, the decoder returns exactly the sealed payloads and rejects any
//! other input.

mod support;

use dunlinspread_config_sync::frame::{
    FrameDecoder, FrameError, FrameKey, HEADER_BYTES, LENGTH_BYTES, MAX_FRAME, MAX_PAYLOAD, TAG_BYTES,
    VERSION,
};
use proptest::collection::vec;
use proptest::prelude::*;
use support::FLEET_KEY;

fn key() -> FrameKey {
    FrameKey::new(FLEET_KEY).expect("a key of the right length")
}

fn seal(payload: &[u8]) -> Vec<u8> {
    key().seal(|out| out.extend_from_slice(payload)).expect("a payload within the limit").to_vec()
}

/// Appends all decoded payloads to `out`; returns the error that ends the stream, if any.
fn drain(decoder: &mut FrameDecoder, out: &mut Vec<Vec<u8>>) -> Result<(), FrameError> {
    while let Some(payload) = decoder.next_payload()? {
        out.push(payload.to_vec());
    }
    Ok(())
}

#[test]
fn keys_have_16_to_1024_bytes() {
    for (bytes, valid) in [(0, false), (15, false), (16, true), (1024, true), (1025, false)] {
        assert_eq!(FrameKey::new(&vec![7; bytes]).is_ok(), valid, "{bytes} bytes");
    }
}

#[test]
fn the_layout_is_the_documented_one() {
    let frame = seal(b"payload");
    assert_eq!(frame.len(), HEADER_BYTES + 7);
    assert_eq!(frame[..LENGTH_BYTES], (frame.len() as u32 - 4).to_le_bytes());
    assert_eq!(frame[LENGTH_BYTES], VERSION);
    assert_eq!(frame[HEADER_BYTES..], *b"payload");
    // The tag covers version and payload.
    use hmac::Mac as _;
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(FLEET_KEY).expect("any length");
    mac.update(&[VERSION]);
    mac.update(b"payload");
    assert_eq!(frame[LENGTH_BYTES + 1..][..TAG_BYTES], *mac.finalize().into_bytes());
}

#[test]
fn the_longest_payload_goes_through_and_one_byte_more_does_not() {
    let longest = vec![5; MAX_PAYLOAD];
    let mut decoder = FrameDecoder::new(key());
    decoder.feed(&seal(&longest));
    assert_eq!(decoder.next_payload().expect("a valid frame"), Some(&longest[..]));
    assert_eq!(decoder.next_payload(), Ok(None));
    assert!(key().seal(|out| out.resize(out.len() + MAX_PAYLOAD + 1, 0)).is_err());
}

#[test]
fn lengths_out_of_bounds_are_refused_before_anything_is_held_for_them() {
    for length in [0, 1, TAG_BYTES as u32, (MAX_FRAME - LENGTH_BYTES) as u32 + 1, u32::MAX] {
        let mut decoder = FrameDecoder::new(key());
        decoder.feed(&length.to_le_bytes());
        assert_eq!(decoder.next_payload(), Err(FrameError::Length(length)));
        decoder.feed(&seal(b"good"));
        assert_eq!(decoder.next_payload(), Err(FrameError::Length(length)), "the decoder repeats the error");
        assert_eq!(decoder.buffered(), 0);
    }
}

#[test]
fn another_version_and_another_key_are_refused() {
    let mut frame = seal(b"payload");
    frame[LENGTH_BYTES] = 2;
    let mut decoder = FrameDecoder::new(key());
    decoder.feed(&frame);
    assert_eq!(decoder.next_payload(), Err(FrameError::Version(2)));
    let other = FrameKey::new(b"a key of another fleet").expect("long enough");
    let mut decoder = FrameDecoder::new(other);
    decoder.feed(&seal(b"payload"));
    assert_eq!(decoder.next_payload(), Err(FrameError::Tag));
}

#[test]
fn a_flipped_bit_anywhere_is_refused() {
    let (frame, next) = (seal(b"a payload of some bytes"), seal(&[9; 4096]));
    for bit in 0..frame.len() * 8 {
        let mut damaged = frame.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        // The next frame supplies the missing bytes if the damaged length is greater, unless more bytes are
        // missing than that frame has.
        damaged.extend(&next);
        let mut decoder = FrameDecoder::new(key());
        decoder.feed(&damaged);
        let mut seen = Vec::new();
        let result = drain(&mut decoder, &mut seen);
        assert!(seen.is_empty(), "bit {bit}: {} payloads", seen.len());
        let waits_for_more = result.is_ok() && bit < 32;
        assert!(result.is_err() || waits_for_more, "bit {bit}: {result:?}");
    }
}

proptest! {
    #[test]
    fn pieces_of_any_size_give_what_was_sealed(
        payloads in vec(vec(any::<u8>(), 0..300), 0..8),
        sizes in vec(1_usize..200, 1..50),
    ) {
        let stream: Vec<u8> = payloads.iter().flat_map(|payload| seal(payload)).collect();
        let (mut decoder, mut seen, mut at) = (FrameDecoder::new(key()), Vec::new(), 0);
        for size in sizes.iter().cycle() {
            if at == stream.len() {
                break;
            }
            let end = (at + size).min(stream.len());
            decoder.feed(&stream[at..end]);
            drain(&mut decoder, &mut seen).expect("all frames are valid");
            at = end;
        }
        prop_assert_eq!(seen, payloads);
        prop_assert_eq!(decoder.buffered(), 0);
    }

    #[test]
    fn a_frame_cut_anywhere_gives_nothing(payload in vec(any::<u8>(), 0..100)) {
        let frame = seal(&payload);
        for cut in 0..frame.len() {
            let mut decoder = FrameDecoder::new(key());
            decoder.feed(&frame[..cut]);
            prop_assert_eq!(decoder.next_payload(), Ok(None), "cut at {}", cut);
            decoder.feed(&frame[cut..]);
            prop_assert_eq!(decoder.next_payload(), Ok(Some(&payload[..])), "cut at {}", cut);
        }
    }

    #[test]
    fn arbitrary_bytes_give_nothing_and_stay_bounded(pieces in vec(vec(any::<u8>(), 0..2000), 0..40)) {
        let mut decoder = FrameDecoder::new(key());
        for piece in &pieces {
            decoder.feed(piece);
            let mut seen = Vec::new();
            let _ = drain(&mut decoder, &mut seen);
            prop_assert!(seen.is_empty());
            prop_assert!(decoder.buffered() <= MAX_FRAME + piece.len());
        }
    }

    #[test]
    fn a_frame_among_damaged_ones_ends_the_stream(payload in vec(any::<u8>(), 0..100), bit in 40_usize..296) {
        let mut damaged = seal(&payload);
        damaged[bit / 8] ^= 1 << (bit % 8);
        let stream = [seal(b"before"), damaged, seal(b"after")].concat();
        let mut decoder = FrameDecoder::new(key());
        decoder.feed(&stream);
        let mut seen = Vec::new();
        prop_assert!(drain(&mut decoder, &mut seen).is_err());
        prop_assert_eq!(seen, vec![b"before".to_vec()]);
    }
}
