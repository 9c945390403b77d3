//! The operators' commands over the ledger of a round server that runs, and of one that does not.

use dunlinspread_fakes::{
    ClientBehavior, FakeClients, FakeRegistry, FakeWorkerPool, Load, PlatformSettings, WorkerPoolFaults,
};
use dunlinspread_ledger::digest_comparison::DigestClaims;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::RowAccessor;
use prost::Message;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CTL: &str = env!("CARGO_BIN_EXE_dunlinspreadctl");

/// A round server with a ledger, and its machine.
struct Running {
    child: Child,
    address: std::net::SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    _fakes: (FakeWorkerPool, FakeRegistry),
}

impl Running {
    /// Waits for a log line with these words.
    fn logged(&self, words: &str) -> Value {
        // Far beyond any delay of a working program.
        let until = Instant::now() + Duration::from_secs(60);
        loop {
            let found = self.log.lock().expect("whole").iter().find(|l| l.contains(words)).cloned();
            match found {
                Some(line) => return serde_json::from_str(&line).expect("JSON"),
                None if Instant::now() > until => panic!("not logged: {words}; {:?}", self.log),
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

impl Drop for Running {
    /// A test that fails must not leave it behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(platform: &PlatformSettings, folder: &Path, more: &str) -> Running {
    start_named("n1", platform, folder, more)
}

fn start_named(name: &str, platform: &PlatformSettings, folder: &Path, more: &str) -> Running {
    start_limited(name, platform, folder, more, "unlimited")
}

/// With files of at most so many blocks of 512 bytes.
fn start_limited(
    name: &str,
    platform: &PlatformSettings,
    folder: &Path,
    more: &str,
    blocks: &str,
) -> Running {
    let pool = FakeWorkerPool::start(platform, 1, WorkerPoolFaults::default()).expect("a pool");
    let registry = FakeRegistry::start().expect("a registry");
    let operator = format!(
        "ledger \"test\" {{\n  directory = {:?}\n  {more}\n  export {{\n    folder = {:?}\n  }}\n}}\n",
        folder.join("ledger").display().to_string(),
        folder.join("exports").display().to_string()
    );
    std::fs::write(folder.join("operator.hcl"), operator).expect("written");
    let config = platform.config(name, "127.0.0.1:0", pool.address(), registry.address(), None);
    std::fs::write(folder.join("config.json"), config).expect("written");
    let mut child = Command::new("sh")
        .args(["-c", "trap '' XFSZ; ulimit -S -f $0; exec \"$@\"", blocks, CTL])
        .arg("serve")
        .args(["--log-format", "json", "--config"])
        .arg(folder.join("config.json"))
        .arg("--operator")
        .arg(folder.join("operator.hcl"))
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let lines = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
    let log = Arc::new(Mutex::new(Vec::new()));
    let kept = log.clone();
    std::thread::spawn(move || lines.for_each(|line| kept.lock().expect("whole").push(line)));
    let address = "127.0.0.1:0".parse().expect("an address");
    let mut running = Running { child, address, log, _fakes: (pool, registry) };
    let serving = running.logged("\"serving\"");
    running.address = serving["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
    running
}

/// A command's exit, and its JSON lines.
fn ctl(args: &[&str]) -> (bool, Vec<Value>, String) {
    let out = Command::new(CTL).args(args).output().expect("it runs");
    let (text, said) =
        (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr).into_owned());
    (out.status.success(), text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect(), said)
}

fn requests(rows: &[Value], society: &str) -> i64 {
    let own = rows.iter().filter(|r| r["society"] == society);
    own.filter_map(|r| r["requests"].as_i64()).sum()
}

#[test]
fn operators_look_correct_close_export_and_reconcile() {
    let (platform, folder) = (PlatformSettings::rounds(8), tempfile::tempdir().expect("a folder"));
    let (ledger, exports) = (folder.path().join("ledger"), folder.path().join("exports"));
    let (ledger, exports) = (ledger.to_str().expect("text"), exports.to_str().expect("text"));
    let mut running = start(&platform, folder.path(), "period = \"1h\"");
    let tenants = vec![Some("aluva".to_owned()), None];
    let load = Load { rate: 100.0, requests: 100, tenants, seed: 5 };
    let tally = FakeClients::start(&platform, vec![running.address], load, ClientBehavior::default())
        .expect("clients")
        .finish();
    let of = |society: Option<&str>| tally.sum(|_, s| s == society).iter().sum::<u64>() as i64;

    // While it runs: look, correct, close.
    let (good, rows, _) = ctl(&["ledger", "show", ledger, "--json"]);
    assert!(good);
    assert_eq!((requests(&rows, "aluva"), requests(&rows, "unattributed")), (of(Some("aluva")), of(None)));
    let (_, lines, _) = ctl(&["ledger", "show", ledger, "--lines", "--json", "--society", "aluva"]);
    let used = lines.iter().find(|l| l["line"]["usage"].is_array()).expect("a line of use");
    let (id, entry) = (used["id"].as_str().expect("an id"), &used["line"]["usage"][0]);
    let (class, outcome) =
        (entry["class"].as_str().expect("a class"), entry["outcome"].as_str().expect("an outcome"));
    let correct = |line: &str, reason: &str, token: &str| {
        ctl(&[
            "ledger",
            "correct",
            ledger,
            "--line",
            line,
            "--society",
            "aluva",
            "--class",
            class,
            "--outcome",
            outcome,
            "--requests",
            "-1",
            "--reason",
            reason,
            "--token",
            token,
            "--json",
        ])
    };
    let (good, answer, said) = correct(id, "billed twice by mistake", "first");
    assert!(good, "{answer:?} {said}");
    let (good, again, _) = correct(id, "billed twice by mistake", "first");
    assert!(good, "{again:?}");
    assert_eq!(again, answer, "asked twice, entered once");
    assert!(!correct(id, " ", "second").0, "a correction needs a reason");
    assert!(correct("n1/1/1", "x", "third").2.contains("there is no line n1/1/1"));
    assert!(correct("n2/1/1", "x", "third").2.contains("this ledger is n1's"));
    let (good, answer, said) = ctl(&["ledger", "close", ledger, "--json"]);
    assert!(good, "{answer:?} {said}");

    // It ends in good order; the same commands work on what it leaves.
    let sent =
        Command::new("kill").args(["-s", "TERM", &running.child.id().to_string()]).status().expect("kill");
    assert!(sent.success());
    assert!(running.child.wait().expect("it ends").success());
    let (good, answer, said) = correct(id, "and once more", "fourth");
    assert!(good, "{answer:?} {said}");
    let (_, again, _) = correct(id, "and once more", "fourth");
    assert_eq!(again, answer, "asked twice, entered once");
    let (good, found, said) = ctl(&["ledger", "verify", ledger, "--json"]);
    assert!(good, "{said}");
    assert_eq!((&found[0]["lines"]["start"], &found[0]["ok"]), (&2.into(), &true.into()));
    assert_eq!(found[0]["lines"]["correction"].as_u64(), Some(2), "{found:?}");

    // The exports have what was closed, the first correction in it.
    let (good, sums, said) = ctl(&["ledger", "reconcile", exports, "--json"]);
    assert!(good, "{sums:?} {said}");
    let accounts = sums[0]["accounts"].as_array().expect("accounts");
    assert_eq!(requests(accounts, "aluva"), of(Some("aluva")) - 1);
    assert_eq!(requests(accounts, "unattributed"), of(None));
    let record = folder.path().join("catalog.json");
    std::fs::write(&record, r#"{"n1": [[1000, 2000]], "n9": [[1000, 2000]]}"#).expect("written");
    let record = record.to_str().expect("text");
    let (good, sums, _) = ctl(&["ledger", "reconcile", exports, "--catalog", record, "--json"]);
    assert!(!good);
    assert!(
        sums[0]["awaited"][0]["servers"].as_array().is_some_and(|s| s.contains(&"n9".into())),
        "{sums:?}"
    );
    assert!(sums[0]["disagreements"].to_string().contains("was not listed"), "{sums:?}");

    // Parquet, read back.
    let file = folder.path().join("usage.parquet");
    for (place, more) in [(ledger, None), (exports, Some("--batches"))] {
        let args = ["ledger", "export", place, "--parquet", file.to_str().expect("text")];
        let args: Vec<&str> = args.into_iter().chain(more).collect();
        assert!(ctl(&args).0);
        let reader = SerializedFileReader::new(std::fs::File::open(&file).expect("a file")).expect("Parquet");
        let mut sum = 0;
        for row in reader.get_row_iter(None).expect("rows") {
            let row = row.expect("a row");
            if row.get_string(1).expect("a society") == "aluva" {
                sum += row.get_long(6).expect("requests");
            }
        }
        // A ledger's sums are of use; batches have corrections as well.
        assert_eq!(sum, of(Some("aluva")) - i64::from(more.is_some()));
    }

    // A damaged store is named by its file.
    let segment = std::fs::read_dir(ledger).expect("a folder").flatten().map(|e| e.path());
    let segment = segment.into_iter().find(|p| p.extension().is_some_and(|e| e == "log")).expect("a segment");
    let mut bytes = std::fs::read(&segment).expect("bytes");
    bytes[300] ^= 1;
    std::fs::write(&segment, bytes).expect("written");
    let (good, found, _) = ctl(&["ledger", "verify", ledger, "--json"]);
    assert!(!good);
    let name = segment.file_name().and_then(|n| n.to_str()).expect("a name");
    assert!(found[0]["fault"].as_str().is_some_and(|f| f.contains(name)), "{found:?}");
}

/// Lines that are exported and old enough go; what they came to stays, across a kill as well.
#[test]
fn old_lines_go_and_the_ledger_goes_on() {
    let (platform, folder) = (PlatformSettings::rounds(40), tempfile::tempdir().expect("a folder"));
    let ledger = folder.path().join("ledger");
    let ledger = ledger.to_str().expect("text");
    let settings = "period = \"100ms\"\n  grace = \"0s\"\n  keep = \"1s\"";
    let mut running = start(&platform, folder.path(), settings);
    let found = || ctl(&["ledger", "verify", ledger, "--json"]).1.pop().unwrap_or_default();
    let mut sent = 0;
    // Each round is a second of load; on a slow machine it takes a few more until enough lines are old.
    for round in 0.. {
        let load = Load { rate: 700.0, requests: 700, tenants: vec![None], seed: round };
        let tally = FakeClients::start(&platform, vec![running.address], load, ClientBehavior::default())
            .expect("clients")
            .finish();
        sent += tally.sum(|_, _| true).iter().sum::<u64>();
        if found()["first"].as_u64().is_some_and(|n| n > 1000) {
            break;
        }
        assert!(round < 30, "no line has gone: {}", found());
    }
    let before = found();
    running.child.kill().expect("killed");
    drop(running);
    let running = start(&platform, folder.path(), settings);
    let after = found();
    assert_eq!((&after["ok"], &after["born"]), (&true.into(), &before["born"]), "{after}");
    assert!(after["first"].as_u64() >= before["first"].as_u64(), "{before} {after}");
    drop(running);
    // The exports have what the ledger has let go.
    let exports = folder.path().join("exports");
    let (_, sums, _) = ctl(&["ledger", "reconcile", exports.to_str().expect("text"), "--json"]);
    let exported = requests(sums[0]["accounts"].as_array().expect("accounts"), "unattributed");
    assert!(exported as u64 <= sent && exported > 700, "{exported} of {sent}");
}

/// What a health check is answered.
fn is_well(address: std::net::SocketAddr) -> bool {
    let mut stream = std::net::TcpStream::connect(address).expect("it listens");
    stream.write_all(&[0x94, 0, 1, 0xa6, b'i', b's', b'W', b'e', b'l', b'l', 0x91, 0x80]).expect("it takes");
    let mut head = [0; 5];
    stream.read_exact(&mut head).expect("it answers");
    // [1, 1, nil, [GOOD, ...
    head[3] == 0xc0 && {
        let mut rest = [0; 1];
        stream.read_exact(&mut rest).expect("it answers");
        rest[0] == 0xc3
    }
}

/// The disk is full in service and comes back: nothing is taken on meanwhile or all of it, as set, and every answer is in
/// a line or in the count of those that are in none.
#[test]
fn a_full_disk_is_borne_as_set() {
    for (on_failure, refuses) in [("refuse", true), ("continue", false)] {
        let (platform, folder) = (PlatformSettings::rounds(40), tempfile::tempdir().expect("a folder"));
        let settings = format!("period = \"1h\"\n  on_failure = \"{on_failure}\"");
        let mut running = start_limited("n1", &platform, folder.path(), &settings, "40");
        let send = |seed| {
            let load = Load { rate: 300.0, requests: 300, tenants: vec![None], seed };
            FakeClients::start(&platform, vec![running.address], load, ClientBehavior::default())
                .expect("clients")
                .finish()
        };
        let mut tallies = Vec::new();
        let full =
            || running.log.lock().expect("whole").iter().any(|l| l.contains("lines cannot be written"));
        while !full() {
            assert!(tallies.len() < 30, "the disk is never full");
            tallies.push(send(tallies.len() as u64));
        }
        assert_eq!(is_well(running.address), !refuses);
        let tally = send(99);
        let refused = tally.sum(|_, _| true)[2];
        assert_eq!(refused > 0, refuses, "{on_failure}: {:?}", tally.sum(|_, _| true));
        tallies.push(tally);
        let pid = running.child.id().to_string();
        let lifted =
            Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited:"]).status().expect("prlimit");
        assert!(lifted.success());
        running.logged("writing of lines recovered");
        assert!(is_well(running.address));
        tallies.push(send(100));
        assert!(Command::new("kill").args(["-s", "TERM", &pid]).status().expect("kill").success());
        assert!(running.child.wait().expect("it ends").success());
        let ledger = folder.path().join("ledger");
        let ledger = ledger.to_str().expect("text");
        let (good, found, said) = ctl(&["ledger", "verify", ledger, "--json"]);
        assert!(good, "{said}");
        let unbilled = found[0]["unbilled"].as_u64().expect("a count");
        let billed = requests(&ctl(&["ledger", "show", ledger, "--json"]).1, "unattributed") as u64;
        let tries: u64 = tallies.iter().map(|t| t.sum(|_, _| true).iter().sum::<u64>()).sum();
        assert_eq!(billed + unbilled, tries, "{on_failure}: {billed} billed, {unbilled} not");
        assert_eq!(unbilled > 0, refuses, "{unbilled}");
    }
}

/// The last batch of `n1` that the server which answers there knows.
fn heard_of(peer: &str) -> u64 {
    let mut stream = std::net::TcpStream::connect(peer).expect("it answers");
    let ask = DigestClaims { reporter: "test".to_owned(), claims: Vec::new() }.encode_to_vec();
    let head = [&b"DLSPWIT1"[..], &(ask.len() as u32).to_le_bytes(), &ask].concat();
    stream.write_all(&head).expect("it takes");
    let mut all = Vec::new();
    stream.read_to_end(&mut all).expect("it tells");
    let told = DigestClaims::decode(&all[12..]).expect("claims");
    told.claims.iter().filter(|c| c.server == "n1").map(|c| c.batch).max().unwrap_or(0)
}

/// A ledger that is put back from an old copy: the server is told by another that knew it before.
#[test]
fn an_old_copy_of_a_ledger_is_noticed_by_the_others() {
    let (platform, folder) = (PlatformSettings::rounds(8), tempfile::tempdir().expect("a folder"));
    let place = |name: &str| {
        let path = folder.path().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        path
    };
    let other = start_named(
        "n2",
        &platform,
        &place("n2"),
        "period = \"1h\"\n  peers {\n    listen = \"127.0.0.1:0\"\n  }",
    );
    let peer = other.logged("digest exchange listening")["address"].as_str().expect("an address").to_owned();
    let settings = format!(
        "period = \"300ms\"\n  grace = \"0s\"\n  peers {{\n    ask = [\"{peer}\"]\n    every = \"100ms\"\n  }}"
    );
    let end = |mut running: Running| {
        let sent = Command::new("kill")
            .args(["-s", "TERM", &running.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(sent.success() && running.child.wait().expect("it ends").success());
    };
    let folder = place("n1");
    let running = start(&platform, &folder, &settings);
    running.logged("batch exported");
    end(running);
    let copy = |from: &Path, to: &Path| {
        std::fs::create_dir_all(to).expect("a folder");
        for file in std::fs::read_dir(from).expect("a folder").flatten().filter(|f| f.path().is_file()) {
            std::fs::copy(file.path(), to.join(file.file_name())).expect("copied");
        }
    };
    copy(&folder.join("ledger"), &folder.join("copy"));
    let known = heard_of(&peer);
    // It makes further batches, which the other hears of.
    let running = start(&platform, &folder, &settings);
    running.logged("batch exported");
    // Until the other knows of a batch that the copy does not.
    while heard_of(&peer) <= known {
        std::thread::sleep(Duration::from_millis(20));
    }
    end(running);
    std::fs::remove_dir_all(folder.join("ledger")).expect("removed");
    copy(&folder.join("copy"), &folder.join("ledger"));
    let running = start(&platform, &folder, &settings);
    let said = running.logged("export digest mismatch");
    assert!(
        said["mismatch"]
            .as_str()
            .is_some_and(|w| w.contains("n2 knows batch") || w.contains("of n1 has one")),
        "{said}"
    );
    // The collector notices as well, by its watermark or the content.
    running.logged("exports stopped");
}

#[test]
fn what_is_no_ledger_is_said_so() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = folder.path().to_str().expect("text");
    assert!(ctl(&["ledger", "verify", place]).2.contains("holds no ledger"));
    assert!(ctl(&["ledger", "show", "/nowhere"]).2.contains("/nowhere is no directory"));
}
