//! The operators' ledger commands, run on the ledger of a running server and of a stopped one.

mod support;

use dunlinspread_fakes::{Load, PlatformSettings, Tally};
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use serde_json::Value;
use std::path::{Path, PathBuf};
use support::{CommandOutput, RunningServer, ServerOptions, ctl, requests_of, send_load, text};

/// The only tenant in the load, which also has requests without a tenant.
const TENANT: &str = "aluva";
/// The name under which requests without a tenant are billed.
const UNATTRIBUTED: &str = "unattributed";
/// Index of the tenant's column in a Parquet file.
const TENANT_COLUMN: usize = 1;
/// Index of the requests' column in a Parquet file.
const REQUESTS_COLUMN: usize = 6;

/// The locations of a ledger and its exports, and the tally of the load that its server received.
struct Scenario {
    ledger: String,
    exports: String,
    folder: PathBuf,
    tally: Tally,
}

/// A ledger line with usage of [`TENANT`], as printed by `show --lines`.
struct UsageLine {
    id: String,
    class: String,
    outcome: String,
}

impl Scenario {
    fn new(folder: &Path, tally: Tally) -> Scenario {
        let (ledger, exports) = (text(folder.join("ledger")), text(folder.join("exports")));
        Scenario { ledger, exports, folder: folder.to_owned(), tally }
    }

    /// Returns the number of requests that were sent for a tenant.
    fn sent(&self, tenant: Option<&str>) -> i64 {
        self.tally.sum(|_, other| other == tenant).iter().sum::<u64>() as i64
    }

    /// Runs a ledger command on the ledger.
    fn run(&self, command: &str, options: &[&str]) -> CommandOutput {
        ctl(&[&["ledger", command, &self.ledger], options].concat())
    }

    /// Enters a correction of -1 request for a usage line of [`TENANT`].
    fn correct(&self, usage: &UsageLine, line: &str, reason: &str, token: &str) -> CommandOutput {
        let line = ["--line", line, "--society", TENANT, "--class", &usage.class];
        let change = ["--outcome", &usage.outcome, "--requests", "-1"];
        self.run("correct", &[&line[..], &change, &["--reason", reason, "--token", token, "--json"]].concat())
    }

    fn usage_line(&self) -> UsageLine {
        let lines = self.run("show", &["--lines", "--json", "--society", TENANT]).rows;
        let line = lines.iter().find(|line| line["line"]["usage"].is_array()).expect("a usage line");
        let entry = &line["line"]["usage"][0];
        UsageLine {
            id: line["id"].as_str().expect("an id").to_owned(),
            class: entry["class"].as_str().expect("a class").to_owned(),
            outcome: entry["outcome"].as_str().expect("an outcome").to_owned(),
        }
    }
}

#[test]
fn operators_look_correct_close_export_and_reconcile() {
    let (platform, folder) = (PlatformSettings::rounds(8), tempfile::tempdir().expect("a folder"));
    let mut server = RunningServer::start(&platform, &ServerOptions::new(folder.path(), "period = \"1h\""));
    let tenants = vec![Some(TENANT.to_owned()), None];
    let load = Load { rate: 100.0, requests: 100, tenants, seed: 5 };
    let scenario = Scenario::new(folder.path(), send_load(&platform, &server, load));

    // The server is running and has the ledger open.
    check_shown_usage(&scenario);
    let usage = scenario.usage_line();
    check_corrections(&scenario, &usage);
    let closed = scenario.run("close", &["--json"]);
    assert!(closed.succeeded, "{:?} {}", closed.rows, closed.error);

    // After a graceful shutdown the same commands work on the closed ledger.
    server.shut_down();
    check_offline_correction(&scenario, &usage);
    check_verified(&scenario);
    check_reconciled(&scenario);
    check_registry_record(&scenario);
    check_parquet(&scenario, &scenario.ledger, &[], 0);
    // Sums from a ledger contain usage only; batches contain corrections as well.
    check_parquet(&scenario, &scenario.exports, &["--batches"], 1);
    check_damage_is_named(&scenario);
}

fn check_shown_usage(scenario: &Scenario) {
    let shown = scenario.run("show", &["--json"]);
    assert!(shown.succeeded);
    assert_eq!(
        (requests_of(&shown.rows, TENANT), requests_of(&shown.rows, UNATTRIBUTED)),
        (scenario.sent(Some(TENANT)), scenario.sent(None))
    );
}

/// Corrects a line twice with the same token, and tries corrections that must be rejected.
fn check_corrections(scenario: &Scenario, usage: &UsageLine) {
    let corrected = scenario.correct(usage, &usage.id, "billed twice by mistake", "first");
    assert!(corrected.succeeded, "{:?} {}", corrected.rows, corrected.error);
    let again = scenario.correct(usage, &usage.id, "billed twice by mistake", "first");
    assert!(again.succeeded, "{:?}", again.rows);
    assert_eq!(again.rows, corrected.rows, "submitted twice, entered once");
    assert!(!scenario.correct(usage, &usage.id, " ", "second").succeeded, "a correction needs a reason");
    let unknown_line = scenario.correct(usage, "n1/1/1", "x", "third");
    assert!(unknown_line.error.contains("there is no line n1/1/1"));
    let other_ledger = scenario.correct(usage, "n2/1/1", "x", "third");
    assert!(other_ledger.error.contains("this ledger belongs to server n1; use the ledger of n2"));
}

fn check_offline_correction(scenario: &Scenario, usage: &UsageLine) {
    let corrected = scenario.correct(usage, &usage.id, "and once more", "fourth");
    assert!(corrected.succeeded, "{:?} {}", corrected.rows, corrected.error);
    let again = scenario.correct(usage, &usage.id, "and once more", "fourth");
    assert_eq!(again.rows, corrected.rows, "submitted twice, entered once");
}

fn check_verified(scenario: &Scenario) {
    let verified = scenario.run("verify", &["--json"]);
    assert!(verified.succeeded, "{}", verified.error);
    let summary = &verified.rows[0];
    assert_eq!((&summary["lines"]["start"], &summary["ok"]), (&2.into(), &true.into()));
    assert_eq!(summary["lines"]["correction"].as_u64(), Some(2), "{summary:?}");
}

/// Checks that the exports contain the closed periods with the first correction.
fn check_reconciled(scenario: &Scenario) {
    let reconciled = ctl(&["ledger", "reconcile", &scenario.exports, "--json"]);
    assert!(reconciled.succeeded, "{:?} {}", reconciled.rows, reconciled.error);
    let accounts = reconciled.rows[0]["accounts"].as_array().expect("accounts");
    assert_eq!(requests_of(accounts, TENANT), scenario.sent(Some(TENANT)) - 1);
    assert_eq!(requests_of(accounts, UNATTRIBUTED), scenario.sent(None));
}

fn check_registry_record(scenario: &Scenario) {
    let record = scenario.folder.join("catalog.json");
    std::fs::write(&record, r#"{"n1": [[1000, 2000]], "n9": [[1000, 2000]]}"#).expect("written");
    let reconciled = ctl(&["ledger", "reconcile", &scenario.exports, "--catalog", &text(record), "--json"]);
    assert!(!reconciled.succeeded);
    let report = &reconciled.rows[0];
    let awaited: Option<&Vec<Value>> = report["awaited"][0]["servers"].as_array();
    assert!(awaited.is_some_and(|servers| servers.contains(&"n9".into())), "{report:?}");
    assert!(report["disagreements"].to_string().contains("was not listed"), "{report:?}");
}

/// Exports to a Parquet file and checks that it contains the sent requests less `corrected`.
fn check_parquet(scenario: &Scenario, location: &str, options: &[&str], corrected: i64) {
    let file = text(scenario.folder.join("usage.parquet"));
    assert!(ctl(&[&["ledger", "export", location, "--parquet", &file], options].concat()).succeeded);
    let reader = SerializedFileReader::new(std::fs::File::open(&file).expect("a file")).expect("Parquet");
    let mut requests = 0;
    for row in reader.get_row_iter(None).expect("rows") {
        let row = row.expect("a row");
        if row.get_string(TENANT_COLUMN).expect("a society") == TENANT {
            requests += row.get_long(REQUESTS_COLUMN).expect("requests");
        }
    }
    assert_eq!(requests, scenario.sent(Some(TENANT)) - corrected);
}

/// Checks that the error for a damaged store names the damaged file.
fn check_damage_is_named(scenario: &Scenario) {
    let files = std::fs::read_dir(&scenario.ledger).expect("a folder").flatten().map(|entry| entry.path());
    let mut segments =
        files.into_iter().filter(|path| path.extension().is_some_and(|suffix| suffix == "log"));
    let segment = segments.next().expect("a segment");
    let mut bytes = std::fs::read(&segment).expect("bytes");
    bytes[300] ^= 1;
    std::fs::write(&segment, bytes).expect("written");
    let verified = scenario.run("verify", &["--json"]);
    assert!(!verified.succeeded);
    let name = segment.file_name().and_then(|name| name.to_str()).expect("a name");
    let fault = verified.rows[0]["fault"].as_str();
    assert!(fault.is_some_and(|fault| fault.contains(name)), "{:?}", verified.rows);
}

#[test]
fn what_is_no_ledger_is_said_so() {
    let folder = tempfile::tempdir().expect("a folder");
    let location = folder.path().to_str().expect("text");
    assert!(ctl(&["ledger", "verify", location]).error.contains("contains no ledger"));
    assert!(ctl(&["ledger", "show", "/nowhere"]).error.contains("/nowhere is not a directory"));
}
