//! Plays a recorded exchange against the built round server: a text file says what the peers send and when
//! something is awaited, and the transcript shows both, bytes escaped. Every wait is for an event, never for a
//! span of time, and every port is chosen by the system. The pool's gauges and the catalog's replies are
//! answered here by themselves and stay out of the transcript.

#[allow(dead_code)]
pub mod alone;
mod bytes;

#[allow(unused_imports)]
pub use alone::Client;
pub use bytes::unescape;
use bytes::{message, request};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Far beyond any delay of a working program: it ends a test that would hang.
const HANG: Duration = Duration::from_secs(60);

const SETTINGS: &str = r#"{"tick_ms":5.0,"servers":2,
"profiles":[{"name":"route-sheet","effect":"pure","give_up_ms":90000,"target_ms":80000,"worth":1},
{"name":"pour-entry","effect":"token","give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000,"worth":5}],
"policy_limits":{"retry_after":true,"max_retry_after_ms":1000},"safety":{"fall_multiple":8,"drain_grace_ms":0},
"specifics":{"n_cores":4,"memory_kb":60000,"run_factor":8,"key_kb":10,"say":"share_of","preemption":"suspend",
"below":"tier","class_calls":[true,true],"class_skip_worth":[0.5,0],"keepalive_max_ms":32000000000,"callers":1,
"gauges":["core_use","on_cores","heap_share","links"]}}"#;

/// The configuration, with each `from=to` of the script's `config` lines replaced.
pub fn config(pool: &str, directory: &str, index: &str, changes: &[(String, String)]) -> String {
    let mut text = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","pool":"{pool}","directory":"{directory}","index":"{index}",
"seed":"8c1f30d27a5be964","stop_ms":30000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{SETTINGS}}}"#
    );
    for (from, to) in changes {
        assert!(text.contains(from), "no {from} in the configuration");
        text = text.replace(from, to);
    }
    text
}

/// Starts the program on a configuration.
pub fn start(config: &str) -> Child {
    start_with(config, "unlimited").0
}

fn start_with(config: &str, descriptors: &str) -> (Child, PathBuf) {
    let unique = format!("dunlinspread-{}-{:p}.json", std::process::id(), config);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::write(&path, config).expect("the configuration is written");
    let child = Command::new("sh")
        .args([
            "-c",
            "[ $1 = unlimited ] || ulimit -n $1; exec $0",
            env!("CARGO_BIN_EXE_dunlinspread"),
            descriptors,
        ])
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    (child, path)
}

/// A message without the name of the configuration file, which is new in every run.
pub fn without_file(text: &str) -> String {
    let cut = text.find('/').zip(text.find(".json: "));
    cut.map_or(text.to_owned(), |(from, to)| [&text[..from], &text[to + ".json: ".len()..]].concat())
}

fn accept(listener: &TcpListener) -> BufReader<TcpStream> {
    let (stream, _) = listener.accept().expect("the program connects");
    stream.set_read_timeout(Some(HANG)).expect("a time limit");
    BufReader::new(stream)
}

fn line(reader: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    reader.read_line(&mut text).expect("a line");
    text.trim_end().to_owned()
}

/// An HTTP request's head and body on one line, without what is the same in all.
fn http(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut all, mut length) = (line(reader), 0);
    loop {
        let text = line(reader);
        match text.split_once(": ") {
            Some(("Content-Length", n)) => length = n.parse().expect("a length"),
            Some(("Host" | "Content-Type", _)) => {}
            Some(("X-Budget-Ms", n)) => {
                assert!(n.parse::<u64>().is_ok_and(|n| n > 0), "budget {n}");
                all.push_str(" | X-Budget-Ms: N");
            }
            Some(_) => drop(write!(all, " | {text}")),
            None if all.is_empty() => return None,
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    Some(format!("{all} | {}", body.escape_ascii()))
}

/// Where the program listens, by the log line that says so.
fn address(line: &str) -> Option<String> {
    Some(line.split_once("listen: ")?.1.split(',').next()?.to_owned())
}

struct Play {
    child: Child,
    /// The configuration file, and what it says beside addresses.
    file: (PathBuf, Vec<(String, String)>),
    address: String,
    log: Receiver<String>,
    reports: Receiver<String>,
    clients: HashMap<String, TcpStream>,
    pool: (TcpListener, Option<BufReader<TcpStream>>),
    index: (TcpListener, Option<BufReader<TcpStream>>),
    /// The call that was open when the index moved.
    old_index: Option<BufReader<TcpStream>>,
    /// Where the catalog reports come from.
    tell: Sender<String>,
}

impl Drop for Play {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Play {
    fn new(changes: &[(String, String)], descriptors: &str) -> Play {
        let ((pool, index, catalog), text) = listeners(changes);
        let (mut child, path) = start_with(&text, descriptors);
        let (tell_log, log) = channel();
        let errors = BufReader::new(child.stderr.take().expect("a log"));
        std::thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|l| tell_log.send(l)));
        let (tell, reports) = channel();
        take_reports(catalog, tell.clone());
        let mut play = Play {
            child,
            file: (path, changes.to_vec()),
            address: String::new(),
            log,
            reports,
            clients: HashMap::new(),
            pool: (pool, None),
            index: (index, None),
            old_index: None,
            tell,
        };
        let serving = play.logged("serving");
        play.address = address(&serving).expect("the address is logged");
        play
    }

    fn logged(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(HANG).unwrap_or_else(|_| panic!("not logged: {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// The next line of the pool's link, past what is answered here by itself.
    fn command(&mut self) -> String {
        let (listener, link) = &mut self.pool;
        let reader = link.get_or_insert_with(|| accept(listener));
        let since = Instant::now();
        loop {
            // The askings for gauges never end, so the link's own time limit does not hold here.
            assert!(since.elapsed() < HANG, "no command comes");
            let text = line(reader);
            match text.split_once(r#"{"op":"poll","tag":""#) {
                Some((_, tag)) => {
                    let tag = tag.trim_end_matches("\"}");
                    let reply = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[0.1,0,0.1,1]}}\n");
                    reader.get_mut().write_all(reply.as_bytes()).expect("the link stands");
                }
                None => return text,
            }
        }
    }

    fn client(&mut self, name: &str) -> &mut TcpStream {
        let address = &self.address;
        self.clients.entry(name.to_owned()).or_insert_with(|| {
            let stream = TcpStream::connect(address).expect("the program listens");
            stream.set_read_timeout(Some(HANG)).expect("a time limit");
            stream
        })
    }

    fn send(&mut self, name: &str, text: &str) {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match (name, verb) {
            ("pool", "close") => self.pool.1 = None,
            ("pool", _) => {
                let link = self.pool.1.as_mut().expect("a link");
                // A pool that is not up yet carries out nothing: only `bind` may come before `bound`.
                assert!(!text.contains("bound") || link.buffer().is_empty(), "a command before `bound`");
                link.get_mut().write_all(format!("{text}\n").as_bytes()).expect("the link stands");
            }
            ("index", "close") => self.index.1 = None,
            // The next call is awaited on another connection; this one stays open.
            ("index", "next") => self.old_index = self.index.1.take(),
            ("old", _) => {
                let raw = unescape(&text.replace("\\r\\n", "\r\n"));
                self.old_index.as_mut().expect("a call").get_mut().write_all(&raw).expect("a call stands");
            }
            // Everything moves; the old pool and index go on for what is open.
            ("reload", "moved") => {
                let ((pool, index, catalog), text) = listeners(&self.file.1);
                std::fs::write(&self.file.0, text).expect("the configuration is written");
                take_reports(catalog, self.tell.clone());
                self.pool = (pool, None);
                self.old_index = std::mem::replace(&mut self.index, (index, None)).1;
                self.send("signal", "HUP");
            }
            ("reload", _) => {
                std::fs::write(&self.file.0, text).expect("the configuration is written");
                self.send("signal", "HUP");
            }
            ("index", _) => {
                let raw = unescape(&text.replace("\\r\\n", "\r\n"));
                self.index.1.as_mut().expect("a call").get_mut().write_all(&raw).expect("a call stands");
            }
            // The one span of time: a program that is stopped can't tell when it has been for long enough.
            ("stopped", ms) => {
                self.send("signal", "STOP");
                std::thread::sleep(Duration::from_millis(ms.parse().expect("milliseconds")));
                self.send("signal", "CONT");
            }
            ("signal", _) => {
                let sent = Command::new("kill").args(["-s", verb, &self.child.id().to_string()]).status();
                assert!(sent.expect("kill is there").success());
            }
            ("crowd", "drop") => self.clients.retain(|name, _| !name.starts_with("crowd")),
            ("crowd", _) => {
                for at in 0..rest.parse::<usize>().expect("how many") {
                    self.client(&format!("crowd{at}"));
                }
            }
            // So many connections with so many requests each, and a check on each that shows that all before it were read.
            ("fill", _) => {
                let (each, what) = rest.split_once(' ').expect("how many on each, and what");
                let (count, each): (u8, u8) =
                    (verb.parse().expect("a number"), each.parse().expect("a number"));
                let names: Vec<String> =
                    (b'A'..b'A' + count).map(|name| char::from(name).to_string()).collect();
                for name in &names {
                    for id in 1..=each {
                        let bytes = request(name, &format!("{id} {what}"));
                        self.client(name).write_all(&bytes).expect("the connection stands");
                    }
                    self.send(name, "well 100");
                }
                // Those past a bound are refused before it.
                for name in &names {
                    while !message(self.client(name)).starts_with(r"\x94\x01d") {}
                }
            }
            // Health checks without end, whose answers nobody reads: until the program has had enough.
            (_, "flood") => {
                let many = [0x94, 0, 1, 0xa6, b'i', b's', b'W', b'e', b'l', b'l', 0x91, 0x80].repeat(1000);
                while self.client(name).write_all(&many).is_ok() {}
            }
            (_, "close") => drop(self.clients.remove(name)),
            (_, "end") => self.client(name).shutdown(Shutdown::Write).expect("it stands"),
            _ => {
                let bytes = match verb {
                    "req" => request(name, rest),
                    "raw" => unescape(rest),
                    "junk" => vec![0; rest.parse().expect("how many")],
                    "forget" => {
                        [&unescape("\\x93\\x02\\xa6forget\\x91")[..], &[rest.parse().expect("an id")]]
                            .concat()
                    }
                    "well" => {
                        [&[0x94, 0, rest.parse().expect("an id")], &unescape("\\xa6isWell\\x91\\x80")[..]]
                            .concat()
                    }
                    _ => panic!("unknown: {name}: {text}"),
                };
                self.client(name).write_all(&bytes).expect("the connection stands");
            }
        }
    }

    fn expect(&mut self, name: &str, words: &str) -> String {
        match name {
            "pool" => self.command(),
            "catalog" => self.reports.recv_timeout(HANG).expect("a report"),
            "log" => {
                let mut line = self.logged(words);
                if words == "event loop stalled" {
                    line.truncate(line.find(", ms").unwrap_or(line.len()));
                }
                let line = without_file(&line);
                let text = line.split_once(" WARN ").map_or(words, |l| l.1);
                // How many are open when descriptors run out depends on what the other links hold just then.
                let (before, after) = text.split_once("open: ").unwrap_or((text, ""));
                let after = after.trim_start_matches(|c: char| c.is_ascii_digit());
                if after.is_empty() { before.to_owned() } else { format!("{before}open: N{after}") }
            }
            "exit" => self.child.wait().expect("it ends").to_string(),
            "index" => {
                let (listener, call) = &mut self.index;
                http(call.get_or_insert_with(|| accept(listener))).unwrap_or_else(|| "closed".to_owned())
            }
            _ => message(self.client(name)),
        }
    }
}

type Listeners = (TcpListener, TcpListener, TcpListener);

/// New addresses for pool, index and catalog, and a configuration that names them.
fn listeners(changes: &[(String, String)]) -> (Listeners, String) {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (pool, index, catalog) = (bind(), bind(), bind());
    let address = |l: &TcpListener| l.local_addr().expect("an address").to_string();
    let text = config(&address(&pool), &address(&catalog), &address(&index), changes);
    ((pool, index, catalog), text)
}

/// Answers the reports to a catalog, and tells each change.
fn take_reports(catalog: TcpListener, tell: Sender<String>) {
    std::thread::spawn(move || {
        let mut last = String::new();
        loop {
            let mut reader = accept(&catalog);
            while let Some(report) = http(&mut reader) {
                if report != last && tell.send(report.clone()).is_err() {
                    return;
                }
                last = report;
                let _ = reader.get_mut().write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    });
}

/// Plays a script; what came of it, line by line.
pub fn play(script: &str) -> String {
    let changes = script.lines().filter_map(|l| l.strip_prefix("config ")?.split_once(" -> "));
    let changes: Vec<_> = changes.map(|(from, to)| (from.to_owned(), to.to_owned())).collect();
    let descriptors = script.lines().find_map(|l| l.strip_prefix("descriptors ")).unwrap_or("unlimited");
    let (mut play, mut out) = (Play::new(&changes, descriptors), String::new());
    let settings = |l: &str| l.starts_with("config ") || l.starts_with("descriptors ");
    for text in script.lines().filter(|l| !l.is_empty() && !settings(l)) {
        out.push_str(text);
        out.push('\n');
        if text.starts_with('#') {
            continue;
        }
        match (text.split_once(": "), text.split_once('?')) {
            (Some((name, what)), _) => play.send(name, what),
            (None, Some((name, words))) => {
                let seen = play.expect(name, words.trim());
                let done = writeln!(out, "    {seen}");
                assert!(done.is_ok());
            }
            _ => panic!("unknown line: {text}"),
        }
    }
    out
}
