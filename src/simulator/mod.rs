//! The simulator's text wire: parses rounds of events, prints actions, one [`Policy`] per instance.
//! No judgement here: what is read goes to the module, what it answers is printed.

use crate::admission::AdmissionController;
use crate::admission::*;
use crate::config::{ConfigError, StatedSettings, set_gauge};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Why the adapter ended.
#[derive(Debug)]
pub struct WireError(String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

impl From<std::io::Error> for WireError {
    fn from(e: std::io::Error) -> Self {
        WireError(format!("input or output failed: {e}"))
    }
}

/// The fields of one line, borrowed from it.
struct Fields<'a> {
    name: &'a str,
    rest: &'a str,
    line: u64,
}

impl<'a> Fields<'a> {
    fn new(text: &'a str, line: u64) -> Self {
        let (name, rest) = text.split_once(' ').unwrap_or((text, ""));
        Fields { name, rest, line }
    }

    fn fault(&self, what: impl std::fmt::Display) -> WireError {
        WireError(format!("line {}: {}: {what}", self.line, self.name))
    }

    fn text(&self, field: &str) -> Option<&'a str> {
        let mut parts = self.rest.split(' ').filter_map(|p| p.split_once('='));
        parts.find(|(k, _)| *k == field).map(|(_, v)| v)
    }

    fn need(&self, field: &str) -> Result<&'a str, WireError> {
        self.text(field).ok_or_else(|| self.fault(format_args!("field `{field}` is missing")))
    }

    fn read<T: std::str::FromStr>(&self, field: &str, value: &str) -> Result<T, WireError> {
        value.parse().map_err(|_| self.fault(format_args!("field `{field}` can't be read: {value}")))
    }

    fn required<T: std::str::FromStr>(&self, field: &str) -> Result<T, WireError> {
        self.read(field, self.need(field)?)
    }

    fn optional<T: std::str::FromStr>(&self, field: &str) -> Result<Option<T>, WireError> {
        self.text(field).map(|v| self.read(field, v)).transpose()
    }

    fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(self.fault(format_args!("field `{field}` can't be read: {v}"))),
        }
    }

    fn settings(&self) -> Result<Settings, WireError> {
        let pairs: StatedSettings = self.rest.split(' ').filter_map(|p| p.split_once('=')).collect();
        let fault = |error: ConfigError| self.fault(format_args!("field `{}` {}", error.key, error.reason));
        pairs.settings(self.required("nonce64")?).map_err(fault)
    }

    fn gauges(&self) -> Result<Gauges, WireError> {
        let mut gauges = Gauges::default();
        for pair in self.text("stats").unwrap_or("").split(',').filter(|p| !p.is_empty()) {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.fault(format_args!("field `stats`: {pair}")))?;
            set_gauge(&mut gauges, name, self.read("stats", value)?);
        }
        Ok(gauges)
    }

    fn outcome(&self) -> Result<Outcome, WireError> {
        Ok(match self.need("reason")? {
            "OK" => Outcome::Ok,
            "INTERNAL" => Outcome::Error,
            "RESOURCE_EXHAUSTED" => Outcome::Rejected,
            "DEADLINE_EXCEEDED" => Outcome::TimedOut,
            "UNAVAILABLE" => Outcome::Unreachable,
            "ABORTED" => Outcome::ConnectionLost,
            "CANCELLED" => Outcome::Cancelled,
            "TOO_LATE" => Outcome::NotStarted,
            other => return Err(self.fault(format_args!("field `reason` can't be read: {other}"))),
        })
    }
}

/// One instance: its policy, and its request ids in both forms.
struct Host {
    policy: AdmissionController,
    ids: HashMap<String, RequestId>,
    names: Vec<String>,
}

impl Host {
    fn id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as RequestId;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    fn event(&mut self, f: &Fields<'_>) -> Result<Event, WireError> {
        Ok(match f.name {
            "ARRIVAL" => {
                let prior = f.text("forerunner").filter(|v| *v != "0").map(|v| self.id(v));
                Event::Arrival(Arrival {
                    id: self.id(f.need("xid")?),
                    class: f.required("profile")?,
                    tenant: f.optional("account")?.unwrap_or(0),
                    shareable: f.text("affinity").is_some(),
                    deadline: f.optional("deadline_ms")?.filter(|d| *d != 0.0),
                    cost_ms: f.optional("cost_ms")?,
                    request_kb: f.optional("mem_kb")?.unwrap_or(0.0),
                    priority: f.optional("precedence")?.unwrap_or(0.0),
                    is_retry: f.flag("is_retry")?,
                    age_ms: f.optional("age_ms")?.unwrap_or(0.0),
                    duplicate_of: prior,
                })
            }
            "NEEDS_DEP" => Event::UpstreamCallNeeded(self.id(f.need("xid")?)),
            "DEP_REPLY" => Event::UpstreamCallEnded {
                id: self.id(f.need("xid")?),
                outcome: f.outcome()?,
                took_ms: f.optional("wait_time_ms")?.unwrap_or(0.0),
            },
            "DONE" => Event::RunEnded {
                id: self.id(f.need("xid")?),
                outcome: f.outcome()?,
                took_ms: f.optional("wait_time_ms")?.unwrap_or(0.0),
            },
            "GONE" => Event::ClientGone(self.id(f.need("xid")?)),
            "WIND_DOWN" => Event::Drain { stop_at: f.required("deadline_ms")? },
            "RING" => Event::Timer { token: f.required("mark")?, gauges: f.gauges()? },
            _ => return Err(f.fault("unknown message")),
        })
    }

    fn print(&self, i: u64, action: &Action, out: &mut String) {
        let name = |id: &RequestId| self.names.get(*id as usize).map_or("", String::as_str);
        let done = match action {
            Action::Run(id) => writeln!(out, "PROCESS i={i} xid={}", name(id)),
            Action::Reject { id, retry_after_ms, do_not_retry } => {
                let _ = write!(out, "TURN_AWAY i={i} xid={}", name(id));
                if *retry_after_ms > 0.0 {
                    let _ = write!(out, " retry_after_ms={retry_after_ms}");
                }
                if *do_not_retry { writeln!(out, " give_up=1") } else { writeln!(out) }
            }
            Action::Fail(id) => writeln!(out, "GIVE_UP i={i} xid={}", name(id)),
            Action::ReuseResult(id) => writeln!(out, "ECHO i={i} xid={}", name(id)),
            Action::Preempt(id) => writeln!(out, "PREEMPT i={i} xid={}", name(id)),
            Action::ReserveKey { id, ttl_ms } => {
                writeln!(out, "REMEMBER i={i} xid={} keep_for_ms={ttl_ms}", name(id))
            }
            Action::ReleaseKey(id) => writeln!(out, "RELEASE_KEY i={i} xid={}", name(id)),
            Action::CallUpstream { id, timeout_ms } => {
                writeln!(out, "CALL_DEP i={i} xid={} limit_ms={timeout_ms}", name(id))
            }
            Action::SkipUpstreamCall(id) => writeln!(out, "OMIT i={i} xid={}", name(id)),
            Action::AdvertiseShare(value) => writeln!(out, "HINT_OUT i={i} level={value}"),
            Action::SetHealth(good) => {
                writeln!(out, "REPORT_HEALTH i={i} active={} from_state=1", u8::from(*good))
            }
            Action::SetIdleTimeout(ms) => writeln!(out, "KEEPALIVE i={i} keep_for_ms={ms}"),
            Action::SetTimer { token, delay_ms } => {
                writeln!(out, "WAKE_ME i={i} mark={token} offset_ms={delay_ms}")
            }
            Action::Log(text) => writeln!(out, "NOTE_DOWN i={i} msg={text}"),
        };
        debug_assert!(done.is_ok());
    }
}

/// Serves the wire until the input ends.
///
/// # Errors
/// On a line that the wire does not allow, and when reading or writing fails.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut hosts: BTreeMap<u64, Host> = BTreeMap::new();
    let (mut text, mut reply, mut actions) = (String::new(), String::new(), Vec::new());
    let (mut now, mut line) = (None::<f64>, 0u64);
    loop {
        text.clear();
        line += 1;
        if input.read_line(&mut text)? == 0 {
            return match now {
                None => Ok(()),
                Some(_) => Err(WireError(format!("line {line}: the input ends inside a batch"))),
            };
        }
        let fields = Fields::new(text.trim_end_matches(['\n', '\r']), line);
        match (fields.name, now) {
            ("", None) => {}
            ("CLOCK", None) => now = Some(fields.required("time_ms")?),
            ("FLUSH", Some(_)) => {
                reply.push_str("END\n");
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
                now = None;
            }
            (_, None) => return Err(fields.fault("outside a batch")),
            ("CLOCK", Some(_)) => return Err(fields.fault("inside a batch")),
            (name, Some(at)) => {
                let i: u64 = fields.required("i")?;
                let event = match name {
                    "BOOT" => {
                        let policy = AdmissionController::new(at, fields.settings()?);
                        hosts.insert(i, Host { policy, ids: HashMap::new(), names: Vec::new() });
                        Event::Start
                    }
                    "RETIRE" => {
                        if hosts.remove(&i).is_none() {
                            return Err(fields.fault(format_args!("field `i`: {i} was never started")));
                        }
                        continue;
                    }
                    _ => match hosts.get_mut(&i) {
                        Some(host) => host.event(&fields)?,
                        None => return Err(fields.fault(format_args!("field `i`: {i} was never started"))),
                    },
                };
                if let Some(host) = hosts.get_mut(&i) {
                    host.policy.on_event(at, event, &mut actions);
                    for action in actions.drain(..) {
                        host.print(i, &action, &mut reply);
                    }
                }
            }
        }
    }
}
