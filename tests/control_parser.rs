//! Tests of the parser of control calls: it panics on no input, and its result does not depend on how the
//! bytes are split.

use dunlinspread::server::control::CallError;
use dunlinspread::server::control::call::{Call, CallParser};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::sample::Index;

/// Feeds the pieces to a parser until it returns a call or an error.
fn parse<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Option<Call>, CallError> {
    let mut parser = CallParser::default();
    for piece in pieces {
        let result = parser.feed(piece);
        if result != Ok(None) {
            return result;
        }
    }
    Ok(None)
}

/// Splits bytes at the given places.
fn split<'a>(bytes: &'a [u8], places: &[Index]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = places.iter().map(|place| place.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut start = 0;
    let mut pieces = Vec::new();
    for end in ends {
        pieces.push(&bytes[start..end]);
        start = end;
    }
    pieces
}

/// Returns parts of calls, of which many complete and many nearly complete calls can be made.
fn fragment() -> impl Strategy<Value = Vec<u8>> {
    let words = [
        "GET /api/ready HTTP/1.1\r\n",
        "PUT /api/evacuate HTTP/1.1\r\n",
        "\r\n",
        "\n",
        "Host: control\r\n",
        "Content-Length: 3\r\n",
        "Content-Length: 9000\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Expect: 100-continue\r\n",
        "2\r\nab\r\n",
        "0\r\n\r\n",
        "abc",
        " folded\r\n",
    ];
    prop_oneof![
        8 => proptest::sample::select(words.to_vec()).prop_map(|word| word.as_bytes().to_vec()),
        1 => proptest::collection::vec(any::<u8>(), 0..20),
        1 => (1_usize..9000).prop_map(|length| vec![b'a'; length]),
    ]
}

fn call_bytes() -> impl Strategy<Value = Vec<u8>> {
    let start = prop_oneof![
        3 => Just(b"PUT /api/rejoin HTTP/1.1\r\n".to_vec()),
        1 => fragment(),
    ];
    (start, proptest::collection::vec(fragment(), 0..12))
        .prop_map(|(start, rest)| [start, rest.concat()].concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_panic_the_parser(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut parser = CallParser::default();
        for byte in &bytes {
            // Only panics are checked here; feeding continues after an error.
            let _ = parser.feed(&[*byte]);
        }
    }

    #[test]
    fn any_split_is_read_the_same(
        bytes in call_bytes(),
        places in proptest::collection::vec(any::<Index>(), 0..8),
    ) {
        let whole = parse([bytes.as_slice()]);
        assert_eq!(parse(split(&bytes, &places)), whole);
        assert_eq!(parse(bytes.chunks(1)), whole);
    }
}

#[test]
fn many_of_the_calls_are_whole_and_many_are_not() {
    use proptest::strategy::ValueTree;
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let mut counts = [0_usize; 3];
    for _ in 0..2000 {
        let bytes = call_bytes().new_tree(&mut runner).expect("a value").current();
        let kind = match parse([bytes.as_slice()]) {
            Ok(Some(_)) => 0,
            Ok(None) => 1,
            Err(_) => 2,
        };
        counts[kind] += 1;
    }
    assert!(counts.iter().all(|count| *count > 200), "complete, incomplete, refused: {counts:?}");
}
