//! Formats of the ledger: the written schema agrees with the code, arbitrary bytes are either decoded or
//! rejected, and ledgers of older versions can be read.

use dunlinspread_ledger::batch::{Batch, CorrectionItem, UsageItem};
use dunlinspread_ledger::operator_request::RequestFile;
use dunlinspread_ledger::{
    Amount, Close, Correction, Entry, Export, LedgerState, Line, LineId, LineKind, Outcome, Start, Unbilled,
    Usage,
};
use dunlinspread_store::{Log, Options, RealDisk, ReplayItem};
use proptest::prelude::*;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage, ReflectMessage as _, Value};
use std::path::Path;
use std::sync::Arc;

fn id(number: u64) -> LineId {
    LineId { server: "n1".to_owned(), start: 1_700_000_000_000, number }
}

/// Returns a valid sequence of lines with at least one of each kind and with every field set.
fn lines() -> Vec<Line> {
    let amount = Amount { requests: 3, pool_us: 4, bytes_in: 5, bytes_out: 6 };
    let entry =
        Entry { tenant: "aluva".to_owned(), class: 1, outcome: Outcome::CompletedLate as i32, amount };
    let kinds = vec![
        LineKind::Start(Start {
            start: 1_700_000_000_000,
            period_ms: 1000,
            classes: vec!["a".to_owned(), "b".to_owned()],
            at_risk: 9,
            continues_on_failure: true,
        }),
        LineKind::Usage(Usage {
            period: 1_700_000_000_000,
            entries: vec![entry.clone()],
            original_period: Some(1_600_000_000_000),
        }),
        LineKind::Unbilled(Unbilled {
            requests: 1,
            at_most: 2,
            unbounded: true,
            from_ms: 3,
            to_ms: 4,
            reason: "a test".to_owned(),
        }),
        LineKind::Correction(Correction {
            period: 1_700_000_000_000,
            corrects: id(2),
            tenant: "aluva".to_owned(),
            class: "b".to_owned(),
            outcome: Outcome::CompletedLate as i32,
            requests: -1,
            pool_us: -2,
            reason: "twice".to_owned(),
            token: "t1".to_owned(),
        }),
        LineKind::Close(Close { from: 1_700_000_000_000, to: 1_700_000_001_000, late: true }),
        LineKind::Export(Export {
            batch: 1,
            digest: vec![7; 32],
            close: 5,
            last: true,
            lines: 10,
            acknowledged: false,
        }),
        LineKind::Export(Export {
            batch: 1,
            digest: vec![7; 32],
            close: 5,
            last: true,
            lines: 10,
            acknowledged: true,
        }),
    ];
    let at = |(n, kind): (u64, LineKind)| Line { at_ms: 1_700_000_000_500 + n * 1000, kind: Some(kind) };
    (0..).zip(kinds).map(at).collect()
}

fn batch() -> Batch {
    let item = UsageItem {
        period: 1,
        original_period: Some(2),
        tenant: "s".to_owned(),
        class: "a".to_owned(),
        outcome: 1,
        requests: 3,
        pool_us: 4,
        bytes_in: 5,
        bytes_out: 6,
    };
    let correction =
        CorrectionItem { line: id(3), corrects: id(2), item: item.clone(), reason: "twice".to_owned() };
    Batch {
        server: "n1".to_owned(),
        ledger_id: 1,
        number: 2,
        previous: vec![1; 32],
        close: Close { from: 1, to: 2, late: true },
        close_line: 9,
        last: true,
        items: vec![item],
        corrections: vec![correction],
        unbilled: vec![Unbilled {
            requests: 1,
            at_most: 1,
            unbounded: true,
            from_ms: 1,
            to_ms: 1,
            reason: "w".to_owned(),
        }],
    }
}

/// Decodes bytes with the written schema. Every field of the schema must be set, and no byte may be unknown.
fn read_as(pool: &DescriptorPool, name: &str, bytes: &[u8]) -> DynamicMessage {
    let descriptor = pool.get_message_by_name(name).expect("in the schema");
    let message = DynamicMessage::decode(descriptor, bytes).expect("decodable bytes");
    assert_all_fields_set(&message);
    assert_eq!(message.encode_to_vec(), bytes, "{name}");
    message
}

fn assert_all_fields_set(message: &DynamicMessage) {
    assert_eq!(message.unknown_fields().count(), 0, "{message:?}");
    for field in message.descriptor().fields().filter(|f| f.containing_oneof().is_none()) {
        let is_set = message.has_field(&field);
        // A boolean field that is false is not encoded.
        let is_bool = matches!(field.kind(), prost_reflect::Kind::Bool);
        assert!(is_set || is_bool, "{} is not set", field.full_name());
    }
    let inner = message.fields().flat_map(|(_, value)| match value {
        Value::Message(m) => vec![m.clone()],
        Value::List(all) => all.iter().filter_map(|v| v.as_message().cloned()).collect(),
        _ => Vec::new(),
    });
    inner.for_each(|m| assert_all_fields_set(&m));
}

#[test]
fn the_written_form_is_that_of_the_code() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/formats");
    let files = protox::compile(["ledger.proto"], [folder]).expect("the schema compiles");
    let pool = DescriptorPool::from_file_descriptor_set(files).expect("descriptors");
    for line in lines() {
        read_as(&pool, "dunlinspread.ledger.Line", &line.encode_to_vec());
    }
    read_as(&pool, "dunlinspread.ledger.Batch", &batch().encode_to_vec());
    let outcomes = pool.get_enum_by_name("dunlinspread.ledger.Outcome").expect("in the schema");
    for outcome in Outcome::ALL {
        let schema_value = outcomes.get_value(outcome as i32).expect("in the schema");
        assert_eq!(schema_value.name().to_lowercase(), outcome.as_str());
    }
}

fn data(version: u32) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/data/v{version}"))
}

/// The ledger in `tests/data`, which was written by version 1, contains the expected lines.
#[test]
fn every_version_is_read() {
    let (disk, mut seen, mut state) =
        (RealDisk::new(&data(1)).expect("a disk"), Vec::new(), LedgerState::default());
    Log::read(&disk, "n1", |visit| {
        if let ReplayItem::Record(number, bytes) = visit {
            let line = Line::parse(bytes).map_err(|e| e.to_string())?;
            state.apply(number, &line).map_err(|e| e.to_string())?;
            seen.push(line);
        }
        Ok(())
    })
    .expect("a readable ledger");
    assert_eq!(seen, lines());
    assert_eq!((state.last_exported_close, state.closed_to, state.last_batch), (5, 1_700_000_001_000, 1));
}

#[test]
#[ignore = "writes the ledger for every_version_is_read; run by hand for a new format version"]
fn write_this_version() {
    let disk = Arc::new(RealDisk::new(&data(1)).expect("a disk"));
    let (mut log, _) = Log::open(disk, Options { salt: 7, ..Options::new("n1") }, |_| Ok(())).expect("opens");
    let records: Vec<Vec<u8>> = lines().iter().map(Message::encode_to_vec).collect();
    log.commit(&records).expect("commits");
    log.close().expect("closes");
}

/// Returns the number of inputs per property. `FUZZ_INPUTS` sets a greater number for a long run.
fn inputs() -> u32 {
    std::env::var("FUZZ_INPUTS").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000)
}

fn decode_all(bytes: &[u8]) {
    if let Ok(line) = Line::parse(bytes) {
        // A decoded line is accepted or rejected by the state without a panic, and is unchanged when it is
        // encoded and decoded again.
        let _ = LedgerState::default().apply(1, &line);
        assert_eq!(Line::parse(&line.encode_to_vec()), Ok(line));
    }
    if let Ok(batch) = Batch::parse(bytes) {
        assert_eq!(Batch::parse(&batch.encode_with_digest().0), Ok(batch));
    }
    let _ = RequestFile::parse(bytes);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: inputs(),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
    }

    /// Valid encodings with a few changed bytes exercise more of the decoder than random bytes.
    #[test]
    fn changed_bytes_are_read_or_refused(
        message_index in 0usize..8,
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = lines()
            .get(message_index)
            .map_or_else(|| batch().encode_to_vec(), Message::encode_to_vec);
        for (index, byte) in changes {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        bytes.truncate(1 + cut.index(2 * bytes.len()));
        decode_all(&bytes);
    }
}
