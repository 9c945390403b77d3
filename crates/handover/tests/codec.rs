//! Encoding of frames: decoding an encoded frame returns the same frame, an invalid value is refused with the
//! name of its field, and no input makes a decoder panic.

mod frames;

use dunlinspread_handover::{
    DecodeError, KeyRecord, MAX_FRAME_BYTES, PROTOCOL_VERSION, SNAPSHOT_PIECE_BYTES, ServerIdentity,
    ToPredecessor, ToSuccessor, snapshot_pieces,
};
use frames::strategies::{key_record, to_predecessor, to_successor};
use frames::{forwarded_request, health, key, rejected, request, run_record};
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

const INVALID_NUMBERS: [f64; 4] = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0];

/// Returns the field with an invalid number that decoding failed for.
fn invalid_number_field<T>(decoded: Result<T, DecodeError>) -> Option<&'static str> {
    match decoded {
        Err(DecodeError::Number { field, .. }) => Some(field),
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn frames_to_the_predecessor_come_back(frame in to_predecessor()) {
        prop_assert_eq!(ToPredecessor::decode(&frame.encode()), Ok(frame));
    }

    #[test]
    fn frames_to_the_successor_come_back(frame in to_successor()) {
        prop_assert_eq!(ToSuccessor::decode(&frame.encode()), Ok(frame));
    }

    #[test]
    fn a_frame_that_comes_back_to_its_sender_is_refused(
        from_successor in to_predecessor(),
        from_predecessor in to_successor(),
    ) {
        let unknown = |direction| DecodeError::UnknownKind { direction };
        prop_assert_eq!(ToSuccessor::decode(&from_successor.encode()), Err(unknown("to the successor")));
        prop_assert_eq!(
            ToPredecessor::decode(&from_predecessor.encode()),
            Err(unknown("to the predecessor"))
        );
    }

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in vec(any::<u8>(), 0..200)) {
        let _ = ToPredecessor::decode(&bytes);
        let _ = ToSuccessor::decode(&bytes);
    }

    #[test]
    fn no_damage_makes_a_decoder_panic(
        from_successor in to_predecessor(),
        from_predecessor in to_successor(),
        position in any::<usize>(),
        byte in any::<u8>(),
        new_length in any::<usize>(),
    ) {
        for mut bytes in [from_successor.encode(), from_predecessor.encode()] {
            let length = bytes.len();
            bytes[position % length] = byte;
            bytes.truncate(new_length % (length + 1));
            let _ = ToPredecessor::decode(&bytes);
            let _ = ToSuccessor::decode(&bytes);
        }
    }

    #[test]
    fn pieces_hold_all_records_in_their_order(records in vec(key_record(), 0..40)) {
        let mut decoded = Vec::new();
        for piece in snapshot_pieces(records.clone()) {
            match piece {
                ToSuccessor::Keys(piece) => decoded.extend(piece),
                other => prop_assert!(false, "{:?}", other),
            }
        }
        prop_assert_eq!(decoded, records);
    }
}

#[test]
fn pieces_are_short_unless_a_record_is_long() {
    let records =
        |result_bytes: usize| (0..500).map(move |number| frames::completed_key(number, result_bytes));
    let pieces: Vec<ToSuccessor> = snapshot_pieces(records(1_000)).collect();
    assert!((8..20).contains(&pieces.len()), "{} pieces", pieces.len());
    for piece in &pieces {
        assert!(piece.encode().len() <= SNAPSHOT_PIECE_BYTES);
    }
    let long_result = SNAPSHOT_PIECE_BYTES + 1;
    let long: Vec<ToSuccessor> = snapshot_pieces(records(long_result).take(3)).collect();
    assert_eq!(long.len(), 3);
    assert!(long.iter().all(|piece| piece.encode().len() < MAX_FRAME_BYTES));
    assert_eq!(snapshot_pieces(Vec::<KeyRecord>::new()).count(), 0);
}

#[test]
fn a_frame_has_at_most_its_length() {
    let frame = |bytes: usize| ToSuccessor::Keys(vec![KeyRecord { key: vec![1; bytes], ..key(None, None) }]);
    let overhead = frame(MAX_FRAME_BYTES).encode().len() - MAX_FRAME_BYTES;
    let longest = frame(MAX_FRAME_BYTES - overhead);
    assert_eq!(longest.encode().len(), MAX_FRAME_BYTES);
    assert_eq!(ToSuccessor::decode(&longest.encode()), Ok(longest));
    let too_long = DecodeError::TooLong { bytes: MAX_FRAME_BYTES + 1, limit: MAX_FRAME_BYTES };
    let bytes = frame(MAX_FRAME_BYTES - overhead + 1).encode();
    assert_eq!(ToSuccessor::decode(&bytes), Err(too_long.clone()));
    assert_eq!(ToPredecessor::decode(&vec![0; MAX_FRAME_BYTES + 1]), Err(too_long));
}

#[test]
fn numbers_to_the_predecessor_are_finite_and_not_negative() {
    for value in INVALID_NUMBERS {
        let cases = [
            (health(Some(value)), "health.advertised_share"),
            (rejected(1.0, Some(value)), "response.advertised_share"),
            (rejected(value, None), "response.rejected.retry_after_ms"),
        ];
        for (frame, field) in cases {
            assert_eq!(invalid_number_field(ToPredecessor::decode(&frame.encode())), Some(field), "{value}");
        }
    }
}

#[test]
fn numbers_to_the_successor_are_finite_and_not_negative() {
    for value in INVALID_NUMBERS {
        let valid = forwarded_request();
        let keys = |record| ToSuccessor::Keys(vec![key(None, None), record]);
        let cases = [
            (request(|request| request.received_at = value), "request.received_at"),
            (request(|request| request.request_kb = value), "request.request_kb"),
            (request(|request| request.priority = value), "request.priority"),
            (request(|request| request.timeout_ms = Some(value)), "request.timeout_ms"),
            (keys(key(None, Some(value))), "keys.previous_window_end"),
            (keys(key(Some(run_record(value)), None)), "keys.run.window_end"),
            (ToSuccessor::RunsInProgress { runs: 1, memory_kb: value }, "runs_in_progress.memory_kb"),
            (ToSuccessor::KeysUnknown { until: value }, "keys_unknown.until"),
        ];
        for (frame, field) in cases {
            assert_eq!(invalid_number_field(ToSuccessor::decode(&frame.encode())), Some(field), "{value}");
        }
        assert!(ToSuccessor::decode(&ToSuccessor::Request(valid).encode()).is_ok());
    }
}

#[test]
fn what_is_missing_or_means_nothing_is_named() {
    let to_successor = [
        // An empty `Welcome`, and a `Welcome` with a key of one byte.
        (vec![0x8a, 0x01, 0x00], "`welcome.body_hash_key` has 0 bytes, expected 32"),
        (vec![0x8a, 0x01, 0x03, 0x12, 0x01, 0x07], "`welcome.body_hash_key` has 1 bytes, expected 32"),
        // `Refuse` with the undefined reasons 0 and 5.
        (vec![0x92, 0x01, 0x00], "`refuse.reason` has the undefined value 0"),
        (vec![0x92, 0x01, 0x02, 0x08, 0x05], "`refuse.reason` has the undefined value 5"),
        // `Keys` with a run without a state, and `RunEnded` without an end.
        (vec![0x9a, 0x01, 0x04, 0x0a, 0x02, 0x1a, 0x00], "`keys.run.state` is missing"),
        (vec![0xb2, 0x01, 0x00], "`run_ended.end` is missing"),
        (vec![], "frame to the successor has an unknown kind"),
    ];
    for (bytes, message) in to_successor {
        let error = ToSuccessor::decode(&bytes).expect_err("the frame is invalid");
        assert_eq!(error.to_string(), message);
    }
    let to_predecessor = [
        // `Hello` of this version without an identity, and `Response` without an outcome.
        (vec![0x0a, 0x02, 0x08, 0x01], "`hello.identity` is missing"),
        (vec![0x22, 0x00], "`response.outcome` is missing"),
        (vec![], "frame to the predecessor has an unknown kind"),
    ];
    for (bytes, message) in to_predecessor {
        let error = ToPredecessor::decode(&bytes).expect_err("the frame is invalid");
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn a_hello_of_another_version_is_read_for_its_version() {
    let decoded = ToPredecessor::decode(&[0x0a, 0x02, 0x08, 0x02]);
    let version = PROTOCOL_VERSION + 1;
    assert_eq!(decoded, Ok(ToPredecessor::Hello { version, identity: ServerIdentity::default() }));
}

#[test]
fn a_field_of_a_newer_version_is_passed_over_and_a_kind_is_refused() {
    // `Loaded` with 3 keys and an unknown field 15, then the unknown kinds 6 and 27.
    let decoded = ToPredecessor::decode(&[0x1a, 0x04, 0x08, 0x03, 0x78, 0x01]);
    assert_eq!(decoded, Ok(ToPredecessor::Loaded { keys: 3 }));
    let unknown = |direction| DecodeError::UnknownKind { direction };
    assert_eq!(ToPredecessor::decode(&[0x32, 0x00]), Err(unknown("to the predecessor")));
    assert_eq!(ToSuccessor::decode(&[0xda, 0x01, 0x00]), Err(unknown("to the successor")));
}
