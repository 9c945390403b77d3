//! The operator file: printed settings can be read again, and errors name file, line, block and key.

use dunlinspread::operator::{LogFormat, LogLevel, LogSettings, OperatorConfig};
use dunlinspread_ledger::DurabilityMode;

fn error(text: &str) -> String {
    OperatorConfig::read(text, "op.hcl").expect_err("the file is invalid").to_string()
}

#[test]
fn an_empty_file_sets_nothing() {
    assert_eq!(OperatorConfig::read("# nothing\n", "op.hcl"), Ok(OperatorConfig::default()));
}

#[test]
fn printed_settings_read_back() {
    let operator = OperatorConfig::read("log {\n  format = \"json\"\n  level = \"warning\"\n}\n", "op.hcl")
        .expect("a valid file");
    assert_eq!(operator.log, LogSettings { format: LogFormat::Json, level: LogLevel::Warning });
    assert_eq!(OperatorConfig::read(&operator.to_string(), "printed"), Ok(operator));
}

#[test]
fn a_ledger_reads_back() {
    let text = "ledger \"rounds\" {\n  directory = \"/var/lib/x\"\n  period = \"1h\"\n  mode = \"interval\"\n  \
                export {\n    collector = \"127.0.0.1:9000\"\n  }\n  peers {\n    listen = \"127.0.0.1:9001\"\n    \
                ask = [\"127.0.0.1:9002\"]\n  }\n}\n";
    let operator = OperatorConfig::read(text, "op.hcl").expect("a valid file");
    let ledger = operator.ledger.as_ref().expect("a ledger");
    assert_eq!((ledger.period_ms, ledger.grace_ms), (3_600_000, 5000));
    assert_eq!(ledger.mode, DurabilityMode::Interval { every_ms: 50, at_risk: 1000 });
    assert_eq!(OperatorConfig::read(&operator.to_string(), "printed"), Ok(operator));
}

#[test]
fn errors_name_file_line_block_and_key() {
    assert_eq!(
        error("\nlog {\n  form = \"json\"\n}\n"),
        "op.hcl:3: log: `form`: unknown field `form`, expected `format` or `level`"
    );
    let other = error("log {\n  level = \"loud\"\n}\n");
    assert!(other.starts_with("op.hcl:2: log: `level`: unknown variant `loud`"), "{other}");
    let other = error("log {\n\n  format = 7\n}\n");
    assert!(other.starts_with("op.hcl:3: log: `format`: "), "{other}");
    assert_eq!(
        error("lag {}\n"),
        "op.hcl:1: lag: is not a known block; the blocks are: log, ledger, config_sync"
    );
    assert_eq!(
        error("a = 1\n"),
        "op.hcl:1: `a`: settings must be inside a block; the blocks are: log, ledger, config_sync"
    );
    assert_eq!(error("log {}\n\nlog {}\n"), "op.hcl:3: log: is defined more than once");
    assert_eq!(error("log \"x\" {}\n"), "op.hcl:1: log \"x\": must not have a label");
    assert_eq!(
        error("ledger \"r\" {\n  directory = \"/x\"\n  interval = \"50ms\"\n}\n"),
        "op.hcl:3: ledger \"r\": `interval`: is valid only in mode \"interval\""
    );
    assert_eq!(
        error("ledger \"r\" {\n  directory = \"/x\"\n  grace = \"1h\"\n}\n"),
        "op.hcl:3: ledger \"r\": `grace`: 1h is not between 0s and 15m"
    );
    let other = error("ledger \"r\" {\n  directory = \"/x\"\n  period = \"soon\"\n}\n");
    assert!(other.starts_with("op.hcl:3: ledger \"r\": `period`: `soon` is not a duration"), "{other}");
    let other = error("ledger \"r\" {\n  directory = \"/x\"\n  export {\n    folders = \"/y\"\n  }\n}\n");
    assert!(other.starts_with("op.hcl:4: ledger \"r\": `export.folders`: unknown field"), "{other}");
    assert!(error("ledger {\n}\n").starts_with("op.hcl:1: ledger: requires one label"));
    assert!(error("ledger \"r\" {\n}\n").contains("missing field `directory`"));
    assert!(error("log {\n").starts_with("op.hcl:"), "{}", error("log {\n"));
}

const CONFIG_SYNC: &str = r#"
config_sync {
  zone     = "z3"
  region   = "r1"
  key_file = "/etc/dunlinspread/fleet.key"
  relay "z3-a" {
    address = "127.0.0.1:7001"
    zone    = "z3"
  }
  relay "r2-a" {
    address = "127.0.0.1:7002"
    region  = "r2"
  }
}
"#;

#[test]
fn config_sync_reads_back_with_its_defaults() {
    let operator = OperatorConfig::read(CONFIG_SYNC, "op.hcl").expect("a valid file");
    let settings = operator.config_sync.as_ref().expect("the block `config_sync`");
    assert_eq!((settings.max_tenants, settings.max_routes), (1_000_000, 200_000));
    assert_eq!(settings.state_directory, None);
    let relays: Vec<_> = settings
        .relays
        .iter()
        .map(|r| (r.name.as_str(), r.address.port(), r.zone.as_deref(), r.region.as_str()))
        .collect();
    assert_eq!(relays, [("r2-a", 7002, None, "r2"), ("z3-a", 7001, Some("z3"), "r1")]);
    assert_eq!(OperatorConfig::read(&operator.to_string(), "printed"), Ok(operator));
}

#[test]
fn config_sync_reads_back_whatever_its_names_hold() {
    let odd = CONFIG_SYNC.replace("/etc/dunlinspread/fleet.key", r#"a \"quoted\" $${path} %%{x} \\ \n"#);
    let operator = OperatorConfig::read(&odd, "op.hcl").expect("a valid file");
    let printed = operator.to_string();
    assert_eq!(OperatorConfig::read(&printed, "printed"), Ok(operator), "{printed}");
}

#[test]
fn errors_of_config_sync_name_line_and_key() {
    let with = |from: &str, to: &str| {
        assert!(CONFIG_SYNC.contains(from), "{from}");
        error(&CONFIG_SYNC.replace(from, to))
    };
    assert_eq!(
        with("\"z3\"\n  region", "\"\"\n  region"),
        "op.hcl:3: config_sync: `zone`: a name of 0 bytes, expected 1 to 128"
    );
    let other = with("key_file =", "keyfile =");
    assert!(other.starts_with("op.hcl:5: config_sync: `keyfile`: unknown field"), "{other}");
    assert_eq!(
        with("key_file =", "max_tenants = 0\n  key_file ="),
        "op.hcl:5: config_sync: `max_tenants`: 0 is not between 1 and 4000000"
    );
    assert_eq!(
        with("key_file =", "max_routes = 1000001\n  key_file ="),
        "op.hcl:5: config_sync: `max_routes`: 1000001 is not between 1 and 1000000"
    );
    assert_eq!(
        with("key_file =", "state_directory = \"\"\n  key_file ="),
        "op.hcl:5: config_sync: `state_directory`: is empty"
    );
    let other = with("127.0.0.1:7002", "localhost");
    assert!(other.starts_with("op.hcl:11: config_sync: `relay.r2-a.address`: "), "{other}");
    let other = with("region  = \"r2\"", "where = \"r2\"");
    assert!(other.starts_with("op.hcl:12: config_sync: `relay.r2-a.where`: unknown field"), "{other}");
    assert_eq!(
        with("relay \"r2-a\"", "relay \"z3-a\""),
        "op.hcl:10: config_sync: `relay`: \"z3-a\" is defined more than once"
    );
    assert_eq!(
        with("relay \"r2-a\"", "relay"),
        "op.hcl:10: config_sync: `relay`: requires one label, the name: relay \"name\" {"
    );
    assert_eq!(
        with("config_sync {", "config_sync \"x\" {"),
        "op.hcl:2: config_sync \"x\": must not have a label"
    );
    let none = error("config_sync {\n  zone = \"z\"\n  region = \"r\"\n  key_file = \"k\"\n}\n");
    assert_eq!(none, "op.hcl:1: config_sync: `relay`: is missing: at least one relay is required");
}

#[test]
fn a_fleet_key_of_a_wrong_length_is_rejected_and_not_printed() {
    let path = std::env::temp_dir().join(format!("dunlinspread-membership-key-{}", std::process::id()));
    let text = CONFIG_SYNC.replace("/etc/dunlinspread/fleet.key", &path.display().to_string());
    let settings = OperatorConfig::read(&text, "op.hcl")
        .expect("a valid file")
        .config_sync
        .expect("the block `config_sync`");
    let missing = settings.fleet_key().expect_err("the key file is missing").to_string();
    assert!(missing.contains("`key_file`") && missing.contains("can't be read"), "{missing}");
    let outcomes: Vec<_> = [15, 16, 1024, 1025]
        .into_iter()
        .map(|length| {
            std::fs::write(&path, "k".repeat(length)).expect("a temporary file");
            settings.fleet_key().map(|key| key.len()).map_err(|error| error.to_string())
        })
        .collect();
    std::fs::remove_file(&path).expect("the key file exists");
    let expected = format!("config_sync: `key_file`: {}: expected a key of 16 to 1024 bytes", path.display());
    assert_eq!(outcomes, [Err(expected.clone()), Ok(16), Ok(1024), Err(expected)]);
}

#[test]
fn the_annotated_example_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.example.hcl");
    let operator = OperatorConfig::load(std::path::Path::new(path)).expect("a valid file");
    assert!(operator.ledger.is_some() && operator.config_sync.is_some());
}
