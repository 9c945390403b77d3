//! A server with its peers and clients, driven by the lines of a script.

use super::HANG;
use super::bytes::{message, request, unescape};
use super::peers::{Listeners, Peer, answer_reports, read_http_request, read_line};
use super::process::{OPERATOR, PANIC_AT, command, listening_address, without_file};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Number of health checks that a flood sends at once.
const FLOOD_CHECKS: usize = 1000;

/// The settings with which a server is started.
#[derive(Default)]
pub struct Setup {
    /// Replacements in the configuration, each from the first text to the second.
    pub config_changes: Vec<(String, String)>,
    /// The descriptor limit; `None` for the limit of the system.
    pub descriptors: Option<String>,
    /// The point at which the server panics, as `POINT:PASS`.
    pub panic: Option<String>,
    /// The operator file of the server.
    pub operator_file: Option<PathBuf>,
}

impl Setup {
    /// Returns the settings that the lines of a script state.
    pub fn of_script(script: &str) -> Setup {
        let values = |key: &str| {
            let prefix = format!("{key} ");
            script.lines().filter_map(move |line| line.strip_prefix(&prefix)).collect::<Vec<_>>()
        };
        let changes = values("config").into_iter().filter_map(|change| change.split_once(" -> "));
        Setup {
            config_changes: changes.map(|(from, to)| (from.to_owned(), to.to_owned())).collect(),
            descriptors: values("descriptors").first().map(|&count| count.to_owned()),
            panic: values("panic").first().map(|&at| at.to_owned()),
            operator_file: None,
        }
    }

    /// Returns whether a line of a script is a setting.
    pub fn is_setting(line: &str) -> bool {
        ["config ", "descriptors ", "panic "].iter().any(|key| line.starts_with(key))
    }
}

/// A running exchange: the server with its peers and clients.
pub struct Playback {
    server: Child,
    config_file: PathBuf,
    /// The script's replacements in the configuration.
    config_changes: Vec<(String, String)>,
    address: String,
    /// The log lines up to the start of serving.
    start_lines: Vec<String>,
    log: Receiver<String>,
    reports: Receiver<String>,
    report_sender: Sender<String>,
    clients: HashMap<String, TcpStream>,
    pool: Peer,
    upstream: Peer,
    /// The upstream call that was open when the upstream service moved.
    old_upstream: Option<BufReader<TcpStream>>,
}

impl Drop for Playback {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
    }
}

impl Playback {
    /// Starts the server and waits until it serves.
    pub fn start(setup: &Setup) -> Playback {
        let (listeners, text) = Listeners::bind(&setup.config_changes);
        let (mut command, config_file) = command(&text, setup.descriptors.as_deref().unwrap_or("unlimited"));
        let variables = setup.panic.iter().map(|at| (PANIC_AT, at.as_ref()));
        let variables = variables.chain(setup.operator_file.iter().map(|file| (OPERATOR, file.as_os_str())));
        let mut server = command.envs(variables).spawn().expect("the server starts");
        let (log_sender, log) = channel();
        let stderr = BufReader::new(server.stderr.take().expect("a log"));
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).try_for_each(|line| log_sender.send(line))
        });
        let (report_sender, reports) = channel();
        answer_reports(listeners.registry, report_sender.clone());
        let mut playback = Playback {
            server,
            config_file,
            config_changes: setup.config_changes.clone(),
            address: String::new(),
            start_lines: Vec::new(),
            log,
            reports,
            report_sender,
            clients: HashMap::new(),
            pool: Peer::new(listeners.pool),
            upstream: Peer::new(listeners.upstream),
            old_upstream: None,
        };
        while playback.address.is_empty() {
            let line = playback.log_line("");
            playback.address = listening_address(&line).unwrap_or_default();
            playback.start_lines.push(line);
        }
        playback
    }

    /// Returns the address on which the upstream service listens.
    pub fn upstream_address(&self) -> SocketAddr {
        self.upstream.address()
    }

    /// Returns the log line with these words from before the server served.
    pub fn start_line(&self, words: &str) -> &str {
        let line = self.start_lines.iter().find(|line| line.contains(words));
        line.unwrap_or_else(|| panic!("not logged: {words}"))
    }

    /// Makes a peer or client send a text, for the line `NAME: TEXT` of a script.
    pub fn send(&mut self, name: &str, text: &str) {
        match name {
            "pool" => self.send_from_pool(text),
            "index" => self.send_from_upstream(text),
            "old" => {
                let connection = self.old_upstream.as_mut().expect("an earlier call");
                connection.get_mut().write_all(&http_bytes(text)).expect("the call is open");
            }
            "reload" => self.reload(text),
            "stopped" => self.stop_for(text.parse().expect("milliseconds")),
            "signal" => self.signal(text),
            "crowd" => self.change_crowd(text),
            "fill" => self.fill(text),
            _ => self.send_from_client(name, text),
        }
    }

    /// Waits for what a peer or client receives, for the line `NAME?WORDS` of a script, and returns it.
    pub fn expect(&mut self, name: &str, words: &str) -> String {
        match name {
            "pool" => self.pool_command(),
            "catalog" => self.reports.recv_timeout(HANG).expect("a report"),
            "log" => self.expected_log_line(words),
            "exit" => self.server.wait().expect("the server ends").to_string(),
            "index" => read_http_request(self.upstream.connected()).unwrap_or_else(|| "closed".to_owned()),
            _ => message(self.client(name)),
        }
    }

    /// Waits for the next log line with these words, and returns it.
    fn log_line(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(HANG).unwrap_or_else(|_| panic!("not logged: {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Waits for the next log line with these words, and returns it without the parts that differ between
    /// runs.
    fn expected_log_line(&self, words: &str) -> String {
        let mut line = self.log_line(words);
        if words == "event loop stalled" {
            line.truncate(line.find(", ms").unwrap_or(line.len()));
        }
        let line = without_file(&line);
        let text = line.split_once(" WARN ").map_or(words, |(_, text)| text);
        // The number of open connections when descriptors run out depends on the other connections at that
        // time.
        let (before, after) = text.split_once("open: ").unwrap_or((text, ""));
        let after = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
        if after.is_empty() { before.to_owned() } else { format!("{before}open: N{after}") }
    }

    /// Returns the next command to the worker pool, and answers the gauge readings before it.
    fn pool_command(&mut self) -> String {
        let connection = self.pool.connected();
        let since = Instant::now();
        loop {
            // Gauge readings arrive without end, so the time limit of the connection's reads is not
            // sufficient.
            assert!(since.elapsed() < HANG, "no command arrives");
            if let Some(command) = read_command(connection) {
                return command;
            }
        }
    }

    /// Answers the next gauge reading, before which no other command may arrive.
    fn answer_reading(&mut self) {
        let command = read_command(self.pool.connection.as_mut().expect("a link"));
        assert!(command.is_none(), "a command before the gauge reading: {command:?}");
    }

    fn send_from_pool(&mut self, text: &str) {
        if text == "close" {
            self.pool.connection = None;
            return;
        }
        if text == "answer reading" {
            return self.answer_reading();
        }
        let connection = self.pool.connection.as_mut().expect("a link");
        // A pool that has not started accepts no commands: only `bind` may come before `bound`.
        assert!(!text.contains("bound") || connection.buffer().is_empty(), "a command before `bound`");
        connection.get_mut().write_all(format!("{text}\n").as_bytes()).expect("the link is up");
    }

    fn send_from_upstream(&mut self, text: &str) {
        match text {
            "close" => self.upstream.connection = None,
            // The next call is accepted on another connection; this one stays open.
            "next" => self.old_upstream = self.upstream.connection.take(),
            _ => {
                let connection = self.upstream.connection.as_mut().expect("a call");
                connection.get_mut().write_all(&http_bytes(text)).expect("the call is open");
            }
        }
    }

    /// Makes the server reload its configuration: the text, or for `moved` one that names new peers. The old
    /// pool and upstream service stay available for open requests.
    fn reload(&mut self, text: &str) {
        if text != "moved" {
            std::fs::write(&self.config_file, text).expect("the configuration is written");
            return self.signal("HUP");
        }
        let (listeners, text) = Listeners::bind(&self.config_changes);
        std::fs::write(&self.config_file, text).expect("the configuration is written");
        answer_reports(listeners.registry, self.report_sender.clone());
        self.pool = Peer::new(listeners.pool);
        self.old_upstream = std::mem::replace(&mut self.upstream, Peer::new(listeners.upstream)).connection;
        self.signal("HUP");
    }

    /// Stops the process for this many milliseconds. This is the only wait for a fixed time, because a
    /// stopped process can't report that it was stopped for long enough.
    fn stop_for(&mut self, ms: u64) {
        self.signal("STOP");
        std::thread::sleep(Duration::from_millis(ms));
        self.signal("CONT");
    }

    fn signal(&mut self, signal: &str) {
        let sent = Command::new("kill").args(["-s", signal, &self.server.id().to_string()]).status();
        assert!(sent.expect("`kill` can be run").success());
    }

    /// Opens a number of silent connections, or closes all of them for `drop`.
    fn change_crowd(&mut self, text: &str) {
        if text == "drop" {
            return self.clients.retain(|name, _| !name.starts_with("crowd"));
        }
        let (_, count) = text.split_once(' ').expect("how many");
        for at in 0..count.parse::<usize>().expect("how many") {
            self.client(&format!("crowd{at}"));
        }
    }

    /// Opens connections and sends requests on each, followed by a health check whose answer shows that all
    /// requests were read, for the text `CONNECTIONS REQUESTS REQUEST`.
    fn fill(&mut self, text: &str) {
        let (connections, rest) = text.split_once(' ').expect("how many connections");
        let (requests, what) = rest.split_once(' ').expect("how many on each, and what");
        let connections: u8 = connections.parse().expect("a number");
        let requests: u8 = requests.parse().expect("a number");
        let names: Vec<String> =
            (b'A'..b'A' + connections).map(|name| char::from(name).to_string()).collect();
        for name in &names {
            for id in 1..=requests {
                let bytes = request(name, &format!("{id} {what}"));
                self.client(name).write_all(&bytes).expect("the connection is open");
            }
            self.send_from_client(name, "well 100");
        }
        // Requests beyond a limit are rejected before the check is answered.
        for name in &names {
            while !message(self.client(name)).starts_with(r"\x94\x01d") {}
        }
    }

    fn client(&mut self, name: &str) -> &mut TcpStream {
        let address = &self.address;
        self.clients.entry(name.to_owned()).or_insert_with(|| {
            let stream = TcpStream::connect(address).expect("the server listens");
            stream.set_read_timeout(Some(HANG)).expect("a time limit");
            stream
        })
    }

    fn send_from_client(&mut self, name: &str, text: &str) {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "flood" => {
                // Sends health checks without reading the answers, until the server closes the connection.
                let checks = unescape("\\x94\\x00\\x01\\xa6isWell\\x91\\x80").repeat(FLOOD_CHECKS);
                while self.client(name).write_all(&checks).is_ok() {}
            }
            "close" => drop(self.clients.remove(name)),
            "end" => self.client(name).shutdown(Shutdown::Write).expect("the connection is open"),
            _ => {
                let bytes = client_bytes(name, verb, rest);
                self.client(name).write_all(&bytes).expect("the connection is open");
            }
        }
    }
}

/// Reads a command to the worker pool and returns it; `None` for a gauge reading, which is answered.
fn read_command(connection: &mut BufReader<TcpStream>) -> Option<String> {
    let text = read_line(connection);
    let Some((_, tag)) = text.split_once(r#"{"op":"poll","tag":""#) else { return Some(text) };
    let tag = tag.trim_end_matches("\"}");
    let reply = format!("{{\"op\":\"polled\",\"tag\":\"{tag}\",\"values\":[0.1,0,0.1,1]}}\n");
    connection.get_mut().write_all(reply.as_bytes()).expect("the link is up");
    None
}

/// Returns the bytes that a client sends for a line of the script.
fn client_bytes(name: &str, verb: &str, rest: &str) -> Vec<u8> {
    let id = || rest.parse::<u8>().expect("an id");
    match verb {
        "req" => request(name, rest),
        "raw" => unescape(rest),
        "junk" => vec![0; rest.parse().expect("how many")],
        "forget" => [&unescape("\\x93\\x02\\xa6forget\\x91")[..], &[id()]].concat(),
        "well" => [&[0x94, 0, id()], &unescape("\\xa6isWell\\x91\\x80")[..]].concat(),
        _ => panic!("unknown: {name}: {verb} {rest}"),
    }
}

/// Returns the bytes of an HTTP message that a script states with escapes.
fn http_bytes(text: &str) -> Vec<u8> {
    unescape(&text.replace("\\r\\n", "\r\n"))
}
