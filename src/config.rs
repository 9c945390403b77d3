//! The one place where configuration is read, checked and given defaults: the round server's configuration file, and
//! the settings that it and the simulator's first message state under the same names. It must never guess at a
//! value that is there but can't be read: it names the key instead. Keys that it does not know are passed over.

use crate::codec::json::{self, Value};
use crate::interface::{Class, Effect, Gauges, Preemption, Settings, Signal};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A faulty key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl Fault {
    fn new(key: impl Into<String>, what: impl Into<String>) -> Self {
        Fault { key: key.into(), what: what.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "`{}`: {}", self.key, self.what)
    }
}

impl std::error::Error for Fault {}

/// Settings as paths and values: a list of plain values is joined by commas, a list of objects gives its length
/// under `.count` and its items under `.0`, `.1` and so on.
#[derive(Clone, Debug, Default)]
pub struct Pairs(HashMap<String, String>);

impl<'a> FromIterator<(&'a str, &'a str)> for Pairs {
    fn from_iter<T: IntoIterator<Item = (&'a str, &'a str)>>(pairs: T) -> Self {
        Pairs(pairs.into_iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
    }
}

impl From<&Value> for Pairs {
    fn from(value: &Value) -> Self {
        let mut pairs = Pairs::default();
        pairs.flatten("", value);
        pairs
    }
}

impl Pairs {
    fn flatten(&mut self, path: &str, value: &Value) {
        let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Object(members) => members.iter().for_each(|(key, v)| self.flatten(&below(key), v)),
            Value::Array(items) if items.iter().any(|i| matches!(i, Value::Object(_))) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(at, v)| self.flatten(&below(&at.to_string()), v));
            }
            Value::Array(items) => {
                let plain: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_owned(), plain.join(","));
            }
            Value::Null => {}
            _ => drop(self.0.insert(path.to_owned(), plain(value))),
        }
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn read<T: std::str::FromStr>(&self, key: &str, value: &str) -> Result<T, Fault> {
        value.parse().map_err(|_| Fault::new(key, format!("can't be read: {value}")))
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, Fault> {
        self.text(key).map_or(Ok(default), |v| self.read(key, v))
    }

    fn flag(&self, key: &str) -> Result<bool, Fault> {
        match self.text(key) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(Fault::new(key, format!("can't be read: {v}"))),
        }
    }

    fn listed(&self, key: &str, at: usize) -> Result<f64, Fault> {
        let value = self.text(key).and_then(|v| v.split(',').nth(at)).filter(|v| !v.is_empty());
        value.map_or(Ok(0.0), |v| self.read(key, v))
    }

    fn count(&self, key: &str) -> Result<usize, Fault> {
        let n: usize = self.text(key).map_or(Ok(0), |v| self.read(key, v))?;
        if n > 100_000 { Err(Fault::new(key, format!("is too large: {n}"))) } else { Ok(n) }
    }

    /// The names of a list's items, in order; an item without one can't be told from the others.
    fn names(&self, list: &str) -> Result<Vec<String>, Fault> {
        let name = |at| {
            let key = format!("{list}.{at}.name");
            let text = self.text(&key).filter(|text| !text.is_empty());
            text.map(str::to_owned).ok_or_else(|| Fault::new(key, "is missing"))
        };
        (0..self.count(&format!("{list}.count"))?).map(name).collect()
    }

    /// What the gauges are called, in the order in which they come.
    pub fn gauge_names(&self) -> Vec<String> {
        self.text("specifics.gauges").unwrap_or("").split(',').map(str::to_owned).collect()
    }

    /// The settings of an instance.
    ///
    /// # Errors
    /// On a value that can't be read.
    pub fn settings(&self, seed: u64) -> Result<Settings, Fault> {
        let base = Settings::default();
        let mut classes = Vec::new();
        for at in 0..self.count("profiles.count")? {
            let of = |key: &str| self.number(&format!("profiles.{at}.{key}"), 0.0);
            let calls = self.text("specifics.class_calls").and_then(|v| v.split(',').nth(at));
            classes.push(Class {
                effect: match self.text(&format!("profiles.{at}.effect")) {
                    Some("pure") => Effect::Safe,
                    Some("token") => Effect::Keyed,
                    _ => Effect::Unsafe,
                },
                aim_ms: of("target_ms")?,
                aim_stretch: of("aim_stretch")?,
                give_up_ms: of("give_up_ms")?,
                window_ms: of("memory_span_ms")?,
                worth: of("worth")?,
                late_worth: of("late_worth")?,
                calls: matches!(calls, Some("true" | "1")),
                skip_worth: self.listed("specifics.class_skip_worth", at)?,
            });
        }
        let mut tenants = Vec::new();
        for at in 0..self.count("accounts.count")? {
            tenants.push(self.number(&format!("accounts.{at}.allowance_per_s"), f64::INFINITY)?);
        }
        Ok(Settings {
            seed,
            servers: self.number("servers", base.servers)?,
            cores: self.number("specifics.n_cores", base.cores)?,
            tick_ms: self.number("tick_ms", base.tick_ms)?,
            cold: self.flag("specifics.cold")?,
            cold_share: self.number("safety.cold_share", base.cold_share)?,
            cold_ms: self.number("safety.cold_ms", base.cold_ms)?,
            answer_slack_ms: self.number("safety.answer_slack_ms", base.answer_slack_ms)?,
            drain_grace_ms: self.number("safety.drain_grace_ms", base.drain_grace_ms)?,
            survivable_per_core: self.number("safety.fall_multiple", base.survivable_per_core)?,
            crowd_window_ms: self.number("safety.tip_after_ms", base.crowd_window_ms)?,
            memory_kb: self.number("specifics.memory_kb", base.memory_kb)?,
            run_factor: self.number("specifics.run_factor", base.run_factor)?,
            key_kb: self.number("specifics.key_kb", base.key_kb)?,
            signal: match self.text("specifics.say") {
                Some("share_of") => Signal::Share,
                None | Some("off") => Signal::Off,
                _ => Signal::Other,
            },
            preemption: match self.text("specifics.preemption") {
                Some("abort") => Preemption::Abort,
                Some("suspend") => Preemption::Suspend,
                _ => Preemption::Off,
            },
            dependency: !matches!(self.text("specifics.below"), None | Some("off")),
            calls_share: match self.text("specifics.below") {
                Some("shared") => Some(self.number("specifics.calls_out", 0.0)?),
                _ => None,
            },
            calls_window_ms: self.number("specifics.dep_window_ms", base.calls_window_ms)?,
            linger_ms: self.number("specifics.linger_ms", base.linger_ms)?,
            fresh_ms: self.number("specifics.fresh_for_ms", base.fresh_ms)?,
            retry_after: self.flag("policy_limits.retry_after")?,
            max_retry_after_ms: self.number("policy_limits.max_retry_after_ms", base.max_retry_after_ms)?,
            passes_deadline: self.flag("specifics.passes_deadline")?,
            callers: self.number("specifics.callers", base.callers)?,
            idle_max_ms: self.number("specifics.keepalive_max_ms", base.idle_max_ms)?,
            over_share_worth: self.number("over_share_worth", base.over_share_worth)?,
            classes,
            tenants,
            class_limits: base.class_limits,
        })
    }
}

/// Sets the gauge of that name; other names are passed over.
pub fn set_gauge(gauges: &mut Gauges, name: &str, value: f64) {
    match name {
        "core_use" => gauges.busy = Some(value),
        "on_cores" => gauges.run_queue = Some(value),
        "heap_share" => gauges.memory = Some(value),
        "links" => gauges.connections = Some(value),
        _ => {}
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Str(text) => text.clone(),
        Value::Number(n) => n.to_string(),
        Value::Bool(b) => b.to_string(),
        _ => String::new(),
    }
}

/// What the process may hold, scaled to its limits: whatever outside sends, each kind of holding keeps to its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Calls below, open and kept connections together.
    pub calls: usize,
    /// Requests in the ledger.
    pub requests: usize,
    /// Keys in the table.
    pub keys: usize,
    /// Bytes of kept results.
    pub result_bytes: usize,
    /// Messages that wait for the core, before those who send them wait.
    pub core_mailbox: usize,
    /// Log lines that wait for the writer; further ones are dropped and counted.
    pub log_lines: usize,
    /// Aggregates that a ledger holds open, if there is one.
    pub ledger_cells: usize,
}

impl Bounds {
    /// What one of each may take with everything around it, bytes. A connection has its buffers and mailbox, a
    /// request its body, twice while it is encoded.
    const CLIENT: usize = 32 << 10;
    const REQUEST: usize = 5 << 10;
    const KEY: usize = 400;
    const LOG_LINE: usize = 1 << 10;
    const LEDGER_CELL: usize = 160;
    /// Descriptors that are neither a client's nor a call's: some fifteen, and room.
    const OTHER_DESCRIPTORS: usize = 24;

    /// Bounds for limits. Of the memory, a quarter is for clients, a fifth for results, a sixth for requests and a
    /// tenth for keys; the rest is for calls, the log and the program itself. Client proxies open half of the
    /// descriptors at most, and a few of theirs may be only just closing; the rest is for calls.
    pub fn new(memory_bytes: usize, sockets: usize) -> Bounds {
        Bounds {
            clients: (sockets / 2 + sockets / 16).min(memory_bytes / 4 / Self::CLIENT),
            calls: (sockets * 3 / 8).saturating_sub(Self::OTHER_DESCRIPTORS).max(8),
            requests: (memory_bytes / 6 / Self::REQUEST).min(10_000),
            keys: memory_bytes / 10 / Self::KEY,
            result_bytes: memory_bytes / 5,
            core_mailbox: (memory_bytes / 32 / Self::REQUEST).clamp(64, 1024),
            log_lines: (memory_bytes / 64 / Self::LOG_LINE).clamp(64, 1024),
            ledger_cells: memory_bytes / 32 / Self::LEDGER_CELL,
        }
    }
}

/// What a round server is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where client proxies connect.
    pub listen: SocketAddr,
    /// The worker pool.
    pub pool: SocketAddr,
    /// The catalog.
    pub directory: SocketAddr,
    /// The index; the last tier has none.
    pub index: Option<SocketAddr>,
    /// From the notice to leave to the kill.
    pub stop: Duration,
    /// What the process may hold.
    pub bounds: Bounds,
    /// The module's settings.
    pub settings: Settings,
    /// The names of the classes, in order.
    pub classes: Vec<String>,
    /// The names of the tenants, in order; empty at a site that has none.
    pub tenants: Vec<String>,
    /// What the gauges are called, in order.
    pub gauges: Vec<String>,
}

impl Config {
    /// Reads the text of the configuration file. `name` and `listen` stand in for keys that it lacks.
    ///
    /// # Errors
    /// On a key that is missing or can't be read.
    pub fn read(text: &[u8], name: Option<&str>, listen: Option<&str>) -> Result<Config, Fault> {
        let root = json::parse(text).map_err(|e| Fault::new("RELAY_CONFIG", e.to_string()))?;
        let word = |key: &str, other: Option<&str>| -> Result<Option<String>, Fault> {
            match root.get(key) {
                Some(Value::Str(text)) if !text.is_empty() => Ok(Some(text.clone())),
                None | Some(Value::Null) => Ok(other.map(str::to_owned)),
                Some(_) => Err(Fault::new(key, "is no word")),
            }
        };
        let missing = |key: &str| Fault::new(key, "is missing");
        let address = |key: &str, other: Option<&str>| -> Result<Option<SocketAddr>, Fault> {
            let text = word(key, other)?;
            let read = |t: String| t.parse().map_err(|_| Fault::new(key, format!("is no address: {t}")));
            text.map(read).transpose()
        };
        let number = |at: &Value, path: &str, key: &str, default: f64| match at.get(key) {
            None | Some(Value::Null) => Ok(default),
            Some(Value::Number(n)) if *n > 0.0 => Ok(*n),
            Some(_) => Err(Fault::new(format!("{path}{key}"), "is no number above 0")),
        };
        let name = word("name", name)?.ok_or_else(|| missing("name"))?;
        if !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b)) {
            return Err(Fault::new("name", format!("can't stand in a path: {name}")));
        }
        let seed = match word("seed", None)? {
            Some(hex) => {
                u64::from_str_radix(&hex, 16).map_err(|_| Fault::new("seed", "is no hexadecimal number"))?
            }
            None => 0,
        };
        let limits = root.get("limits").unwrap_or(&Value::Null);
        let stop_ms = number(&root, "", "stop_ms", 3200.0)?;
        if stop_ms > 3.6e6 {
            return Err(Fault::new("stop_ms", "is over an hour"));
        }
        let sockets = number(limits, "limits.", "sockets", 1024.0)?;
        if !(64.0..1e6).contains(&sockets) {
            return Err(Fault::new("limits.sockets", "is under 64 or absurd"));
        }
        let memory_mb = number(limits, "limits.", "memory_mb", 192.0)?;
        if !(16.0..1e6).contains(&memory_mb) {
            return Err(Fault::new("limits.memory_mb", "is under 16 or absurd"));
        }
        let stated = root.get("settings").ok_or_else(|| missing("settings"))?;
        let pairs = Pairs::from(stated);
        let within = |f: Fault| Fault::new(format!("settings.{}", f.key), f.what);
        let settings = pairs.settings(seed).map_err(within)?;
        if settings.classes.is_empty() {
            return Err(Fault::new("settings.profiles", "lists no class"));
        }
        let classes = pairs.names("profiles").map_err(within)?;
        let tenants = pairs.names("accounts").map_err(within)?;
        Ok(Config {
            name,
            listen: address("listen", listen)?.ok_or_else(|| missing("listen"))?,
            pool: address("pool", None)?.ok_or_else(|| missing("pool"))?,
            directory: address("directory", None)?.ok_or_else(|| missing("directory"))?,
            index: address("index", None)?,
            stop: Duration::from_secs_f64(stop_ms / 1000.0),
            bounds: Bounds::new((memory_mb * 1024.0 * 1024.0) as usize, sockets as usize),
            settings,
            classes,
            tenants,
            gauges: pairs.gauge_names(),
        })
    }
}

impl std::fmt::Display for Config {
    /// What is in force, a key a line; the bounds are what follows from the limits.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let index = self.index.map_or("none".to_owned(), |i| i.to_string());
        writeln!(f, "name      {}\nlisten    {}\npool      {}", self.name, self.listen, self.pool)?;
        writeln!(f, "directory {}\nindex     {index}", self.directory)?;
        writeln!(f, "stop_ms   {}", self.stop.as_millis())?;
        writeln!(f, "classes   {}", self.classes.join(", "))?;
        let tenants = if self.tenants.is_empty() { "none".to_owned() } else { self.tenants.join(", ") };
        let waits = if self.settings.passes_deadline { "told by each request" } else { "not told" };
        writeln!(f, "tenants   {tenants}\nwaits     {waits}")?;
        let b = &self.bounds;
        writeln!(
            f,
            "bounds    clients {}, calls {}, requests {}, keys {}",
            b.clients, b.calls, b.requests, b.keys
        )?;
        writeln!(
            f,
            "          result bytes {}, core mailbox {}, log lines {}",
            b.result_bytes, b.core_mailbox, b.log_lines
        )
    }
}
