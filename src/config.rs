//! The one place where configuration is read, checked and given defaults: the round server's configuration file, and
//! the settings that it and the simulator's first message state under the same names. It must never guess at a
//! value that is there but can't be read: it names the key instead. Keys that it does not know are passed over.

mod bounds;
mod settings;
mod stated;

pub use bounds::Bounds;
pub use stated::Pairs;

use crate::admission::{Gauges, Settings};
use crate::codec::json::{self, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Names of one kind that are printed at most.
const NAMES_PRINTED: usize = 20;

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

/// Names on one line: all of them, or how many there are and the first few.
fn listed(names: &[String]) -> String {
    match names.get(..NAMES_PRINTED) {
        Some(first) if names.len() > NAMES_PRINTED => format!("{}: {}, ...", names.len(), first.join(", ")),
        _ => names.join(", "),
    }
}

impl std::fmt::Display for Config {
    /// What is in force, a key a line; the bounds are what follows from the limits.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let index = self.index.map_or("none".to_owned(), |i| i.to_string());
        writeln!(f, "name      {}\nlisten    {}\npool      {}", self.name, self.listen, self.pool)?;
        writeln!(f, "directory {}\nindex     {index}", self.directory)?;
        writeln!(f, "stop_ms   {}", self.stop.as_millis())?;
        writeln!(f, "classes   {}", listed(&self.classes))?;
        let tenants = if self.tenants.is_empty() { "none".to_owned() } else { listed(&self.tenants) };
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
