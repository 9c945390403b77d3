//! Encoding of messages and records: a round trip returns the same value, an out-of-bounds value is rejected
//! with the name of its field, and no input makes a decoder panic.

mod support;

use dunlinspread_config_sync::codec::{
    DecodeError, Record, SnapshotHeader, SnapshotReader, decode_record, decode_to_client, decode_to_server,
    encode_record, encode_snapshot, encode_to_client, encode_to_server,
};
use dunlinspread_config_sync::fanout::FanoutSettings;
use dunlinspread_config_sync::frame::{FrameKey, MAX_PAYLOAD};
use dunlinspread_config_sync::message::{
    BUCKETS, BucketContent, MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Member, PIECE_BYTES, Refusal, Role,
    ToClient, ToServer, ZoneProgress,
};
use dunlinspread_config_sync::publisher::PublisherSettings;
use dunlinspread_config_sync::resource::{
    Change, Digest, Key, MAX_CHANGES, MAX_NAME, Position, Resource, Transaction,
};
use dunlinspread_config_sync::size::{MAX_TRANSACTION_BYTES, resource_bytes, transaction_bytes};
use proptest::collection::vec;
use proptest::prelude::*;
use std::sync::Arc;
use support::FLEET_KEY;

fn server_bytes(message: &ToServer) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_to_server(message, &mut bytes);
    bytes
}

fn client_bytes(message: &ToClient) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_to_client(message, &mut bytes);
    bytes
}

fn route(at: usize) -> Change {
    let name = |prefix: &str| Arc::from(format!("{prefix}{at:0width$}", width = MAX_NAME - 1));
    Change::Put(Resource::Route { route: name("r"), class: name("c") })
}

fn stored(transaction: Transaction, refused: bool) -> Record {
    Record::Transaction { transaction: Arc::new(transaction), refused }
}

fn transaction(changes: Vec<Change>) -> Transaction {
    let position = Position { epoch: u64::MAX, revision: u64::MAX };
    Transaction { position, changes, digest: Digest(u128::MAX), published_unix_ms: u64::MAX }
}

#[test]
fn the_largest_transaction_the_fullest_deltas_and_the_largest_bucket_fit_in_a_frame() {
    let fanout = FanoutSettings::default();
    let bucket_bytes = PublisherSettings::default().max_bucket_bytes;
    // These are upper bounds on encoded sizes; a property test below checks them against the encoding.
    let max_content = MAX_PAYLOAD - 1024;
    assert!(MAX_TRANSACTION_BYTES <= max_content);
    assert!(fanout.max_message_bytes <= max_content);
    assert!(bucket_bytes.max(PIECE_BYTES) <= max_content);
    let changes: Vec<Change> = (0..MAX_TRANSACTION_BYTES / 300).map(route).collect();
    let largest = Arc::new(transaction(changes));
    assert!(transaction_bytes(&largest) > MAX_TRANSACTION_BYTES * 9 / 10);
    let key = FrameKey::new(FLEET_KEY).expect("a valid key");
    key.seal(|out| encode_to_client(&ToClient::Deltas(vec![largest]), out))
        .expect("the message fits in a frame");
}

#[test]
fn the_longest_progress_and_differences_fit_in_a_frame() {
    let longest: Arc<str> = "x".repeat(MAX_NAME).into();
    let position = Position { epoch: u64::MAX, revision: u64::MAX };
    let zone = ZoneProgress { zone: longest.clone(), subscribers: 9, least: position, refusing: 9 };
    let refusal = Refusal { member: longest, position, reason: "y".repeat(256).into() };
    let progress = ToServer::Progress {
        zones: vec![zone; MAX_REPORTED_ZONES],
        refusals: vec![refusal; MAX_REPORTED_REFUSALS],
    };
    let fetch = ToServer::FetchDifferences { bucket_digests: vec![u64::MAX; BUCKETS] };
    let key = FrameKey::new(FLEET_KEY).expect("a valid key");
    for message in [progress, fetch] {
        key.seal(|out| encode_to_server(&message, out)).expect("the message fits in a frame");
        assert_eq!(decode_to_server(&server_bytes(&message)), Ok(message));
    }
}

#[test]
fn messages_out_of_bounds_are_refused_by_field() {
    let long: Arc<str> = "x".repeat(MAX_NAME + 1).into();
    let valid: Arc<str> = "z".into();
    let at = Position::default();
    let zone = ZoneProgress { zone: valid.clone(), subscribers: 1, least: at, refusing: 0 };
    let refusal = Refusal { member: valid.clone(), position: at, reason: "no".into() };
    let member = |name: &Arc<str>| Member {
        name: name.clone(),
        zone: valid.clone(),
        region: valid.clone(),
        role: Role::Relay,
    };
    let watch =
        |name: &Arc<str>| ToServer::Watch { member: member(name), position: at, digest: Digest::default() };
    let cases = [
        (watch(&long), "member.name"),
        (watch(&"".into()), "member.name"),
        (ToServer::FetchDifferences { bucket_digests: vec![1; BUCKETS - 1] }, "bucket_digests"),
        (ToServer::Progress { zones: vec![zone; MAX_REPORTED_ZONES + 1], refusals: vec![] }, "zones"),
        (
            ToServer::Progress { zones: vec![], refusals: vec![refusal.clone(); MAX_REPORTED_REFUSALS + 1] },
            "refusals",
        ),
        (
            ToServer::Progress {
                zones: vec![],
                refusals: vec![Refusal { reason: "x".repeat(257).into(), ..refusal }],
            },
            "refusals.reason",
        ),
    ];
    for (message, field) in cases {
        let error = decode_to_server(&server_bytes(&message)).expect_err(field).to_string();
        assert!(error.contains(&format!("`{field}`")), "{field}: {error}");
    }
}

#[test]
fn changes_that_no_publisher_accepts_are_refused() {
    let zero = Change::Put(Resource::ClassLimit { class: "c".into(), max_running: 0 });
    let long = Change::Delete(Key::Tenant("x".repeat(MAX_NAME + 1).into()));
    let twice = vec![route(1), Change::Delete(route(1).key())];
    let many = (0..=MAX_CHANGES).map(|at| Change::Delete(Key::Tenant(at.to_string().into()))).collect();
    for changes in [vec![], vec![zero], vec![long], twice, many] {
        let message = ToClient::Deltas(vec![Arc::new(transaction(changes.clone()))]);
        assert!(decode_to_client(&client_bytes(&message)).is_err(), "{changes:?}");
        assert!(decode_record(&encode_record(&stored(transaction(changes), false))).is_err());
    }
}

#[test]
fn a_bucket_that_does_not_exist_is_refused() {
    let bucket = BucketContent { bucket: BUCKETS as u16, resources: vec![] };
    let error = decode_to_client(&client_bytes(&ToClient::Piece { sequence: 0, buckets: vec![bucket] }));
    assert_eq!(error, Err(DecodeError::TooMany { field: "bucket", found: BUCKETS, max: BUCKETS - 1 }));
}

#[test]
fn an_empty_payload_is_no_message() {
    assert!(decode_to_server(b"").is_err());
    assert!(decode_to_client(b"").is_err());
    assert_eq!(decode_record(b""), Err(DecodeError::Missing("record")));
    assert_eq!(decode_record(&[2]), Err(DecodeError::Version(2)));
    assert!(matches!(SnapshotReader::new(&[2]), Err(DecodeError::Version(2))));
}

fn read_snapshot(bytes: &[u8]) -> Result<(SnapshotHeader, Vec<Resource>), DecodeError> {
    let reader = SnapshotReader::new(bytes)?;
    let header = reader.header().clone();
    Ok((header, reader.collect::<Result<_, _>>()?))
}

proptest! {
    #[test]
    fn messages_to_servers_come_back(message in support::to_server()) {
        let bytes = server_bytes(&message);
        // A message to a server does not decode as one to a client, so that a reflected message is rejected.
        prop_assert!(decode_to_client(&bytes).is_err());
        prop_assert_eq!(decode_to_server(&bytes), Ok(message));
    }

    #[test]
    fn messages_to_clients_come_back(message in support::to_client()) {
        let bytes = client_bytes(&message);
        prop_assert!(decode_to_server(&bytes).is_err());
        prop_assert_eq!(decode_to_client(&bytes), Ok(message));
    }

    #[test]
    fn the_estimates_of_sizes_are_from_above(
        transactions in vec(support::transaction().prop_map(Arc::new), 1..4),
        resources in vec(support::resource(), 0..6),
    ) {
        let estimate: usize = transactions.iter().map(|transaction| transaction_bytes(transaction)).sum();
        let bytes = client_bytes(&ToClient::Deltas(transactions)).len();
        prop_assert!(bytes <= estimate + 8, "{} bytes exceed the estimate of {}", bytes, estimate);
        let estimate: usize = resources.iter().map(resource_bytes).sum();
        let bucket = BucketContent { bucket: BUCKETS as u16 - 1, resources };
        let bytes = client_bytes(&ToClient::Piece { sequence: u32::MAX, buckets: vec![bucket] }).len();
        prop_assert!(bytes <= estimate + 32, "{} bytes exceed the estimate of {}", bytes, estimate);
    }

    #[test]
    fn records_come_back(transaction in support::transaction(), epoch in any::<u64>()) {
        let records =
            [stored(transaction.clone(), false), stored(transaction, true), Record::Epoch(epoch)];
        for record in records {
            let bytes = encode_record(&record);
            prop_assert_eq!(decode_record(&bytes), Ok(record));
        }
    }

    #[test]
    fn snapshots_come_back_whole_or_not_at_all(
        resources in vec(support::resource(), 0..12),
        position in support::position(),
        digest in support::digest(),
        held_back in vec(support::change(), 0..3),
    ) {
        let resource_count = resources.len() as u64;
        let header =
            SnapshotHeader { position, digest, published_unix_ms: 7, resources: resource_count, held_back };
        let bytes = encode_snapshot(&header, resources.iter());
        prop_assert_eq!(read_snapshot(&bytes), Ok((header, resources)));
        for cut in 0..bytes.len() {
            prop_assert!(read_snapshot(&bytes[..cut]).is_err(), "cut at {}", cut);
        }
        prop_assert!(read_snapshot(&[&bytes[..], &[0]].concat()).is_err());
    }

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = decode_to_server(&bytes);
        let _ = decode_to_client(&bytes);
        let _ = decode_record(&bytes);
        let _ = read_snapshot(&bytes);
    }

    #[test]
    fn nor_do_damaged_messages(
        message in support::to_client(),
        flips in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    ) {
        let mut bytes = client_bytes(&message);
        for (at, flip) in flips {
            if !bytes.is_empty() {
                let at = at.index(bytes.len());
                bytes[at] ^= flip;
            }
        }
        let _ = decode_to_client(&bytes);
        let _ = decode_to_server(&bytes);
        let _ = decode_record(&bytes);
    }
}
