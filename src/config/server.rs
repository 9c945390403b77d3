//! Reading of the server's configuration file.

use super::keys;
use super::{ConfigError, ResourceLimits, StatedSettings};
use crate::admission::Settings;
use crate::codec::json::{self, Value};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Maximum number of classes or tenants that are printed by name.
const MAX_PRINTED_NAMES: usize = 20;
/// Default and maximum time from the shutdown request to the kill, ms.
const DEFAULT_STOP_MS: f64 = 3200.0;
const MAX_STOP_MS: f64 = 3.6e6;
/// Default number of descriptors, and its range.
const DEFAULT_SOCKETS: f64 = 1024.0;
const SOCKETS: Range<f64> = 64.0..1e6;
/// Default memory and its range, MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const MEMORY_MB: Range<f64> = 16.0..1e6;
/// Bytes per MB.
const MB: f64 = 1024.0 * 1024.0;

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the control endpoint; without it there is no control endpoint.
    pub control: Option<SocketAddr>,
    /// Address of the worker pool.
    pub worker_pool: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Address of the upstream service; `None` in the last tier, which has no upstream service.
    pub upstream: Option<SocketAddr>,
    /// Time from the shutdown request to the kill.
    pub stop_timeout: Duration,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// The admission controller's settings.
    pub settings: Settings,
    /// Names of the classes, in order.
    pub classes: Vec<String>,
    /// Names of the tenants, in order; empty in a deployment without tenants.
    pub tenants: Vec<String>,
    /// Names of the gauges, in order.
    pub gauge_names: Vec<String>,
}

/// Fallback values for keys that the configuration file lacks.
#[derive(Clone, Debug, Default)]
pub struct ConfigFallbacks {
    /// Name of the server.
    pub name: Option<String>,
    /// Address on which clients connect.
    pub listen: Option<String>,
    /// Address of the control endpoint.
    pub control: Option<String>,
}

impl Config {
    /// Parses the text of the configuration file; `fallbacks` are used for keys that it lacks.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if the text is not JSON, or if a key is missing or has an invalid value.
    pub fn read(text: &[u8], fallbacks: &ConfigFallbacks) -> Result<Config, ConfigError> {
        let root =
            json::parse(text).map_err(|e| ConfigError::new(keys::CONFIG_FILE_VARIABLE, e.to_string()))?;
        let file = File(&root);
        let name = file.server_name(fallbacks.name.as_deref())?;
        let seed = file.seed()?;
        let stop_timeout = file.stop_timeout()?;
        let limits = file.limits()?;
        let stated = root.get(keys::SETTINGS).ok_or_else(|| ConfigError::missing(keys::SETTINGS))?;
        let stated = StatedSettings::from(stated);
        let within = |error: ConfigError| error.within(keys::SETTINGS);
        let settings = stated.settings(seed).map_err(within)?;
        if settings.classes.is_empty() {
            return Err(within(ConfigError::new(keys::CLASSES, "lists no class")));
        }
        Ok(Config {
            classes: stated.names(keys::CLASSES).map_err(within)?,
            tenants: stated.names(keys::TENANTS).map_err(within)?,
            gauge_names: stated.gauge_names(),
            listen: file.required_address(keys::LISTEN, fallbacks.listen.as_deref())?,
            control: file.address(keys::CONTROL, fallbacks.control.as_deref())?,
            worker_pool: file.required_address(keys::WORKER_POOL, None)?,
            registry: file.required_address(keys::REGISTRY, None)?,
            upstream: file.address(keys::UPSTREAM, None)?,
            name,
            stop_timeout,
            limits,
            settings,
        })
    }
}

/// The root object of a configuration file.
struct File<'a>(&'a Value);

impl File<'_> {
    fn server_name(&self, fallback: Option<&str>) -> Result<String, ConfigError> {
        let name = self.string(keys::NAME, fallback)?.ok_or_else(|| ConfigError::missing(keys::NAME))?;
        if name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte)) {
            return Ok(name);
        }
        Err(ConfigError::new(
            keys::NAME,
            format!("has characters other than letters, digits, `-`, `_`, `.` and `~`: {name}"),
        ))
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let Some(digits) = self.string(keys::SEED, None)? else { return Ok(0) };
        u64::from_str_radix(&digits, 16)
            .map_err(|_| ConfigError::new(keys::SEED, "is not a 64-bit hexadecimal number"))
    }

    fn stop_timeout(&self) -> Result<Duration, ConfigError> {
        let ms = number(self.0, keys::STOP_MS, keys::STOP_MS, DEFAULT_STOP_MS)?;
        if ms > MAX_STOP_MS {
            return Err(ConfigError::new(keys::STOP_MS, "is longer than an hour"));
        }
        Ok(Duration::from_secs_f64(ms / 1000.0))
    }

    fn limits(&self) -> Result<ResourceLimits, ConfigError> {
        let limits = self.0.get(keys::LIMITS).unwrap_or(&Value::Null);
        let path = |key: &str| format!("{}.{key}", keys::LIMITS);
        let sockets_path = path(keys::SOCKETS);
        let sockets = number(limits, keys::SOCKETS, &sockets_path, DEFAULT_SOCKETS)?;
        if !SOCKETS.contains(&sockets) {
            return Err(ConfigError::new(sockets_path, "must be at least 64 and less than 1000000"));
        }
        let memory_path = path(keys::MEMORY_MB);
        let memory_mb = number(limits, keys::MEMORY_MB, &memory_path, DEFAULT_MEMORY_MB)?;
        if !MEMORY_MB.contains(&memory_mb) {
            return Err(ConfigError::new(memory_path, "must be at least 16 and less than 1000000"));
        }
        Ok(ResourceLimits::new((memory_mb * MB) as usize, sockets as usize))
    }

    /// Returns the string value of a key, or the fallback if the key is missing.
    fn string(&self, key: &str, fallback: Option<&str>) -> Result<Option<String>, ConfigError> {
        match self.0.get(key) {
            Some(Value::Str(text)) if !text.is_empty() => Ok(Some(text.clone())),
            None | Some(Value::Null) => Ok(fallback.map(str::to_owned)),
            Some(_) => Err(ConfigError::new(key, "is not a non-empty string")),
        }
    }

    fn address(&self, key: &str, fallback: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
        let Some(text) = self.string(key, fallback)? else { return Ok(None) };
        match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(ConfigError::new(key, format!("is not an IP address with a port: {text}"))),
        }
    }

    fn required_address(&self, key: &str, fallback: Option<&str>) -> Result<SocketAddr, ConfigError> {
        self.address(key, fallback)?.ok_or_else(|| ConfigError::missing(key))
    }
}

/// Returns the value of a key, which must be a number above 0; `path` is the key's path in errors.
fn number(object: &Value, key: &str, path: &str, default: f64) -> Result<f64, ConfigError> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(default),
        Some(Value::Number(number)) if *number > 0.0 => Ok(*number),
        Some(_) => Err(ConfigError::new(path, "is not a number above 0")),
    }
}

/// Formats names for one line: all of them, or their number and the first [`MAX_PRINTED_NAMES`].
fn format_names(names: &[String]) -> String {
    match names.get(..MAX_PRINTED_NAMES) {
        Some(first) if names.len() > MAX_PRINTED_NAMES => {
            format!("{}: {}, ...", names.len(), first.join(", "))
        }
        _ => names.join(", "),
    }
}

impl fmt::Display for Config {
    /// Writes the configuration in force, one key per line; `bounds` are the limits derived from memory and
    /// descriptors.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let upstream = self.upstream.map_or("none".to_owned(), |address| address.to_string());
        writeln!(f, "name      {}\nlisten    {}\npool      {}", self.name, self.listen, self.worker_pool)?;
        if let Some(control) = self.control {
            writeln!(f, "control   {control}")?;
        }
        writeln!(f, "directory {}\nindex     {upstream}", self.registry)?;
        writeln!(f, "stop_ms   {}", self.stop_timeout.as_millis())?;
        writeln!(f, "classes   {}", format_names(&self.classes))?;
        let tenants = if self.tenants.is_empty() { "none".to_owned() } else { format_names(&self.tenants) };
        let waits = if self.settings.passes_deadline { "stated by each request" } else { "not stated" };
        writeln!(f, "tenants   {tenants}\nwaits     {waits}")?;
        let limits = &self.limits;
        writeln!(
            f,
            "bounds    clients {}, calls {}, requests {}, keys {}",
            limits.client_connections, limits.upstream_connections, limits.requests, limits.idempotency_keys
        )?;
        writeln!(
            f,
            "          result bytes {}, dispatcher mailbox {}, log lines {}",
            limits.result_bytes, limits.dispatcher_mailbox, limits.log_lines
        )
    }
}
