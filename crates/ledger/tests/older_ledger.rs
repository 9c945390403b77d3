//! A ledger that was written before the crate's types were renamed is read as it was written.
//!
//! `fixtures/before-renames/whole` holds three starts of server `n1`: a clean one in strict mode, one in interval mode
//! that ended in a crash, and one after it. `compacted` is the same ledger with a snapshot in place of its first three
//! lines. Both were written by the program of commit `e2c31e1`, and so were the expectations below.

use dunlinspread_ledger::batch::{self, BatchPlan, hex};
use dunlinspread_ledger::{
    Export, LedgerState, Line, LineIdText, LineKind, NetUsage, Outcome, UsageGroup, read_lines, totals,
};
use dunlinspread_store::{Log, RealDisk, ReplayItem};
use prost::Message;
use std::path::Path;

/// When the first start began, Unix ms.
const START_MS: u64 = 1_700_000_000_000;
const DIGESTS: [&str; 3] = [
    "77965827ac769320232da3f16ab71f9510d82e689f5dc5c33c02b124dbe3e103",
    "78eae184685ba5c669eaecad626f3497693b09aa2138158254a97571c2706ba1",
    "57d93e558f70e756aba0020d26e725afc324a9f989df2876ff35a620cdbb5302",
];

/// The first three lines, which `compacted` holds as a snapshot only.
const FIRST_LINES: &str = "\
1 +0 start 0 10000 sheet,check 0 false
2 +100 usage 1700000000000 None
  aluva 0 served 1 1000 100 200
  aluva 0 late 2 2001 200 400
  aluva 0 poorer 3 3003 300 600
  kochi-7 1 served 2 2001 200 400
  kochi-7 1 late 2 2001 200 400
  kochi-7 1 poorer 2 2001 200 400
3 +200 usage 1700000000000 None
  aluva 0 refused 4 4006 400 800
  aluva 0 failed 5 5010 500 1000
  aluva 0 withdrawn 6 6015 600 1200
  kochi-7 1 refused 2 2001 200 400
  kochi-7 1 failed 2 2001 200 400
  kochi-7 1 withdrawn 2 2001 200 400
";

const LATER_LINES: &str = "\
4 +200 usage 1700000000000 None
  unattributed 0 served 5 5010 500 1000
5 +10200 usage 1700000010000 None
  aluva 1 late 3 3003 300 600
6 +10600 close 1700000000000 1700000010000 false
7 +10700 export 1 77965827ac769320232da3f16ab71f9510d82e689f5dc5c33c02b124dbe3e103 6 true 100 false
8 +10700 export 1 77965827ac769320232da3f16ab71f9510d82e689f5dc5c33c02b124dbe3e103 6 true 100 true
9 +10800 correction 1700000010000 n1/1700000000000/2 aluva sheet served -1 -1000 billed twice token1
10 +20150 usage 1700000020000 None
  aluva 0 served 1 1000 100 200
11 +20150 close 1700000010000 1700000020150 false
12 +20300 export 2 78eae184685ba5c669eaecad626f3497693b09aa2138158254a97571c2706ba1 11 true 100 false
13 +20300 export 2 78eae184685ba5c669eaecad626f3497693b09aa2138158254a97571c2706ba1 11 true 100 true
14 +30000 start 30000 10000 check,sheet,pour 7 false
15 +30000 close 1700000020150 1700000030000 true
16 +30100 usage 1700000030000 None
  kochi-7 2 poorer 4 4006 400 800
17 +65000 start 65000 10000 check,sheet,pour 0 false
18 +65000 unbilled 0 7 false 1700000030100 1700000065000 the server did not end in good order
19 +65000 close 1700000030000 1700000060000 true
20 +65100 usage 1700000060000 None
  nadi:2 0 withdrawn 2 2001 200 400
21 +65200 export 3 57d93e558f70e756aba0020d26e725afc324a9f989df2876ff35a620cdbb5302 19 true 100 false
";

const WHOLE_TOTALS: &str = "\
aluva 1700000000000 None sheet served 1 1000 100 200
aluva 1700000000000 None sheet late 2 2001 200 400
aluva 1700000000000 None sheet poorer 3 3003 300 600
aluva 1700000000000 None sheet refused 4 4006 400 800
aluva 1700000000000 None sheet failed 5 5010 500 1000
aluva 1700000000000 None sheet withdrawn 6 6015 600 1200
aluva 1700000010000 None check late 3 3003 300 600
aluva 1700000020000 None sheet served 1 1000 100 200
kochi-7 1700000000000 None check served 2 2001 200 400
kochi-7 1700000000000 None check late 2 2001 200 400
kochi-7 1700000000000 None check poorer 2 2001 200 400
kochi-7 1700000000000 None check refused 2 2001 200 400
kochi-7 1700000000000 None check failed 2 2001 200 400
kochi-7 1700000000000 None check withdrawn 2 2001 200 400
kochi-7 1700000030000 None pour poorer 4 4006 400 800
nadi:2 1700000060000 None check withdrawn 2 2001 200 400
unattributed 1700000000000 None sheet served 5 5010 500 1000
";

const COMPACTED_TOTALS: &str = "\
aluva 1700000010000 None check late 3 3003 300 600
aluva 1700000020000 None sheet served 1 1000 100 200
kochi-7 1700000030000 None pour poorer 4 4006 400 800
nadi:2 1700000060000 None check withdrawn 2 2001 200 400
unattributed 1700000000000 None sheet served 5 5010 500 1000
";

/// What reading a fixture gives.
struct Found {
    disk: RealDisk,
    state: LedgerState,
    /// The snapshot's own state, and the number of the first line after it.
    snapshot: Option<(u64, LedgerState)>,
    lines: String,
    next: u64,
    clean: bool,
}

fn read(name: &str) -> Found {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/before-renames").join(name);
    let disk = RealDisk::new(&folder).expect("a disk");
    let (mut state, mut snapshot, mut lines) = (LedgerState::default(), None, String::new());
    let recovery = Log::read(&disk, "n1", |visit| {
        match visit {
            ReplayItem::Snapshot(before, bytes) => {
                state = LedgerState::decode(bytes).map_err(|e| e.to_string())?;
                snapshot = Some((before, state.clone()));
            }
            ReplayItem::Record(number, bytes) => {
                let line = Line::parse(bytes).map_err(|e| e.to_string())?;
                state.apply(number, &line).map_err(|e| e.to_string())?;
                assert_eq!(line.encode_to_vec(), bytes, "line {number} is written as it was");
                lines += &text(number, &line);
            }
        }
        Ok(())
    })
    .expect("it reads");
    Found { disk, state, snapshot, lines, next: recovery.next_record, clean: recovery.closed_cleanly }
}

fn outcome_word(outcome: i32) -> &'static str {
    Outcome::try_from(outcome).expect("an outcome").as_str()
}

/// A line with every field, in the words of the stored form.
fn text(number: u64, line: &Line) -> String {
    let content = match line.kind.as_ref().expect("a kind") {
        LineKind::Start(s) => format!(
            "start {} {} {} {} {}",
            s.start - START_MS,
            s.period_ms,
            s.classes.join(","),
            s.at_risk,
            s.continues_on_failure
        ),
        LineKind::Usage(u) => {
            let mut text = format!("usage {} {:?}", u.period, u.original_period);
            for e in &u.entries {
                let (outcome, amount) = (outcome_word(e.outcome), e.amount);
                text += &format!(
                    "\n  {} {} {outcome} {} {} {} {}",
                    e.tenant, e.class, amount.requests, amount.pool_us, amount.bytes_in, amount.bytes_out
                );
            }
            text
        }
        LineKind::Correction(c) => format!(
            "correction {} {} {} {} {} {} {} {} {}",
            c.period,
            LineIdText(&c.corrects),
            c.tenant,
            c.class,
            outcome_word(c.outcome),
            c.requests,
            c.pool_us,
            c.reason,
            c.token
        ),
        LineKind::Close(c) => format!("close {} {} {}", c.from, c.to, c.late),
        LineKind::Export(e) => format!(
            "export {} {} {} {} {} {}",
            e.batch,
            hex(&e.digest),
            e.close,
            e.last,
            e.lines,
            e.acknowledged
        ),
        LineKind::Unbilled(u) => format!(
            "unbilled {} {} {} {} {} {}",
            u.requests, u.at_most, u.unbounded, u.from_ms, u.to_ms, u.reason
        ),
    };
    format!("{number} +{} {content}\n", line.at_ms - START_MS)
}

fn totals_text(found: &Found) -> String {
    let (first, classes) = match &found.snapshot {
        Some((before, state)) => (*before, state.start.as_ref().expect("a start").classes.clone()),
        None => (1, Vec::new()),
    };
    let mut text = String::new();
    totals(
        &classes,
        100,
        |show| read_lines(&found.disk, "n1", first..found.next, show),
        |_| true,
        |group, net| text += &total_text(&group, &net),
    )
    .expect("it adds up");
    text
}

fn total_text(group: &UsageGroup, net: &NetUsage) -> String {
    format!(
        "{} {} {:?} {} {} {} {} {} {}\n",
        group.tenant,
        group.period,
        group.original_period,
        group.class,
        group.outcome.as_str(),
        net.requests,
        net.pool_us,
        net.bytes_in,
        net.bytes_out
    )
}

/// The state after the last line, which is the same with and without the snapshot.
fn assert_last_state(found: &Found) {
    let state = &found.state;
    assert_eq!(state.latest_ms, START_MS + 65_200);
    assert_eq!(state.closed_to, START_MS + 60_000);
    assert_eq!(state.ledger_id, START_MS);
    let start = state.start.as_ref().expect("a start");
    assert_eq!((start.start, start.period_ms), (START_MS + 65_000, 10_000));
    assert_eq!(start.classes, ["check", "sheet", "pour"]);
    assert_eq!((state.last_batch, hex(&state.last_digest).as_str()), (3, DIGESTS[1]));
    assert_eq!((state.last_exported_close, state.exported_parts, state.last_close), (11, 0, 19));
    let prepared = Export {
        batch: 3,
        digest: state.prepared_batch.as_ref().expect("a prepared batch").digest.clone(),
        close: 19,
        last: true,
        lines: 100,
        acknowledged: false,
    };
    assert_eq!(hex(&prepared.digest), DIGESTS[2]);
    assert_eq!(state.prepared_batch, Some(prepared));
    assert_eq!((found.next, found.clean), (22, true));
}

#[test]
fn an_older_ledger_has_its_lines_periods_and_totals() {
    let found = read("whole");
    assert_eq!(found.lines, [FIRST_LINES, LATER_LINES].concat());
    assert_eq!(totals_text(&found), WHOLE_TOTALS);
    assert!(found.snapshot.is_none());
    assert_last_state(&found);
}

#[test]
fn an_older_snapshot_stands_for_the_lines_before_it() {
    let found = read("compacted");
    assert_eq!(found.lines, LATER_LINES);
    assert_eq!(totals_text(&found), COMPACTED_TOTALS);
    assert_last_state(&found);
    let (before, snapshot) = found.snapshot.expect("a snapshot");
    // The state of the first three lines, made anew from the whole ledger, is what the snapshot holds.
    let whole = read("whole");
    let mut state = LedgerState::default();
    let mut apply =
        |number, line: &Line| state.apply(number, line).expect("lines that follow from one another");
    read_lines(&whole.disk, "n1", 1..before, &mut apply).expect("it reads");
    assert_eq!((before, &snapshot), (4, &state));
    assert_eq!((snapshot.latest_ms, snapshot.closed_to), (START_MS + 200, START_MS));
}

#[test]
fn an_older_ledgers_batches_are_made_again_to_the_byte() {
    let whole = read("whole");
    let mut previous = Vec::new();
    for (number, close, digest) in [(1, 6, DIGESTS[0]), (2, 11, DIGESTS[1]), (3, 19, DIGESTS[2])] {
        let plan = BatchPlan {
            server: "n1",
            ledger_id: START_MS,
            before: &LedgerState::default(),
            close,
            part: 0,
            items: 100,
            cells: 100,
            number,
            previous: &previous,
        };
        let lines = 1..whole.next;
        let batch = batch::build(&plan, |show| read_lines(&whole.disk, "n1", lines.clone(), show));
        let (_, sum) = batch.expect("it reads").expect("a part").encode_with_digest();
        assert_eq!(hex(&sum), digest, "batch {number}");
        previous = sum.to_vec();
    }
}
