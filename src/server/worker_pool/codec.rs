//! Encodes commands to the worker pool and decodes its messages.

use super::error::DecodeError;
use super::protocol as wire;
use crate::codec::json::{self, Value};
use crate::server::messages::{PoolCommand, PoolEvent, RejectedCommand, RunOutcome};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;

/// A message from the worker pool.
#[derive(Debug, PartialEq)]
pub(super) enum PoolMessage {
    /// The pool accepted the link.
    Bound {
        /// Whether the pool started cold.
        cold: bool,
        /// Time since the pool started, ms.
        uptime_ms: f64,
    },
    /// A numbered notice. The pool sends it again on each new link until its number is confirmed.
    Notice {
        /// Sequence number of the notice, from 1.
        sequence: u64,
        /// Event that the notice reports; `None` for a notice that this server ignores.
        event: Option<PoolEvent>,
    },
    /// Reply to the query of [`encode_caught_up_query`]: all notices from before the link have been read.
    CaughtUp,
    /// Reply to the query of [`encode_drain_query`]: all earlier commands on the link were carried out.
    Drained,
    /// An event without a sequence number.
    Event(PoolEvent),
}

/// Appends the command that starts a link; `last_sequence` is the sequence number of the last notice read.
pub(super) fn encode_bind(last_sequence: u64, out: &mut String) {
    begin_command(out, wire::COMMAND_BIND);
    put_number(out, wire::KEY_SEQUENCE, last_sequence);
    end_command(out);
}

/// Appends the query whose reply is [`PoolMessage::CaughtUp`].
pub(super) fn encode_caught_up_query(out: &mut String) {
    encode_gauge_query(wire::TAG_CAUGHT_UP, out);
}

/// Appends the query whose reply is [`PoolMessage::Drained`].
pub(super) fn encode_drain_query(out: &mut String) {
    encode_gauge_query(wire::TAG_DRAINED, out);
}

fn encode_gauge_query(tag: &str, out: &mut String) {
    begin_command(out, wire::COMMAND_READ_GAUGES);
    put_unescaped(out, wire::KEY_TAG, tag);
    end_command(out);
}

/// Appends a command; `classes` holds the class names by position.
pub(super) fn encode_command(command: &PoolCommand, classes: &[String], out: &mut String) {
    match command {
        PoolCommand::Run { attempt, class, body } => {
            begin_attempt_command(out, wire::COMMAND_RUN, *attempt);
            put_key(out, wire::KEY_CLASS);
            json::put_str(out, classes.get(*class).map_or("", String::as_str));
            put_body(out, body);
        }
        PoolCommand::Suspend { attempt } => begin_attempt_command(out, wire::COMMAND_SUSPEND, *attempt),
        PoolCommand::Resume { attempt } => begin_attempt_command(out, wire::COMMAND_RESUME, *attempt),
        PoolCommand::UpstreamReply { attempt, body, .. } => {
            begin_attempt_command(out, wire::COMMAND_UPSTREAM_REPLY, *attempt);
            put_body(out, body);
        }
        PoolCommand::SkipUpstreamCall { attempt, seq } => {
            begin_attempt_command(out, wire::COMMAND_SKIP_UPSTREAM_CALL, *attempt);
            put_number(out, wire::KEY_SEQUENCE, *seq);
        }
        PoolCommand::ReadGauges { tag } => return encode_gauge_query(&tag.to_string(), out),
    }
    end_command(out);
}

fn begin_command(out: &mut String, operation: &str) {
    out.push_str("{\"");
    out.push_str(wire::KEY_OPERATION);
    out.push_str("\":\"");
    out.push_str(operation);
    out.push('"');
}

fn begin_attempt_command(out: &mut String, operation: &str, attempt: u64) {
    begin_command(out, operation);
    put_unescaped(out, wire::KEY_ATTEMPT, &format!("{attempt:016x}"));
}

fn end_command(out: &mut String) {
    out.push_str("}\n");
}

fn put_key(out: &mut String, key: &str) {
    out.push_str(",\"");
    out.push_str(key);
    out.push_str("\":");
}

fn put_number(out: &mut String, key: &str, number: u64) {
    put_key(out, key);
    out.push_str(&number.to_string());
}

/// Appends a string member whose value needs no escaping.
fn put_unescaped(out: &mut String, key: &str, text: &str) {
    put_key(out, key);
    out.push('"');
    out.push_str(text);
    out.push('"');
}

fn put_body(out: &mut String, body: &[u8]) {
    put_key(out, wire::KEY_BODY);
    out.push('"');
    BASE64.encode_string(body, out);
    out.push('"');
}

/// Decodes a line from the worker pool.
///
/// # Errors
/// Returns [`DecodeError::Json`] if the line is not valid JSON, [`DecodeError::UnknownOperation`] if its
/// operation is unknown, and [`DecodeError::Key`] if a key is missing or has an invalid value.
pub(super) fn decode(line: &[u8]) -> Result<PoolMessage, DecodeError> {
    let value = json::parse(line).map_err(DecodeError::Json)?;
    let object = Object(&value);
    match object.text(wire::KEY_OPERATION)? {
        wire::MESSAGE_BOUND => {
            let cold = object.text(wire::KEY_END)? == wire::START_COLD;
            Ok(PoolMessage::Bound { cold, uptime_ms: object.duration_ms()? })
        }
        wire::NOTICE_RUN_ENDED => decode_run_ended(&object),
        wire::NOTICE_UPSTREAM_CALL_NEEDED => {
            let sequence = object.sequence()?;
            let attempt = object.attempt()?;
            let event = PoolEvent::UpstreamCallNeeded { attempt, seq: sequence, body: object.body()? };
            Ok(PoolMessage::Notice { sequence, event: Some(event) })
        }
        wire::NOTICE_IGNORED => Ok(PoolMessage::Notice { sequence: object.sequence()?, event: None }),
        wire::MESSAGE_GAUGES => decode_gauges(&object),
        wire::MESSAGE_COMMAND_REJECTED => {
            let command = rejected_command(object.text(wire::KEY_END)?);
            let attempt = object.attempt().unwrap_or(0);
            Ok(PoolMessage::Event(PoolEvent::CommandRejected { command, attempt }))
        }
        other => Err(DecodeError::UnknownOperation(other.to_owned())),
    }
}

fn decode_run_ended(object: &Object<'_>) -> Result<PoolMessage, DecodeError> {
    let end = match object.text(wire::KEY_END)? {
        wire::END_COMPLETED => RunOutcome::Completed,
        wire::END_FAILED => RunOutcome::Failed,
        wire::END_STOPPED => RunOutcome::Stopped,
        wire::END_NOT_STARTED => RunOutcome::NotStarted,
        _ => return Err(DecodeError::Key(wire::KEY_END)),
    };
    let body = if end == RunOutcome::Completed { object.body()? } else { Vec::new() };
    let sequence = object.sequence()?;
    let attempt = object.attempt()?;
    let took_ms = object.duration_ms().unwrap_or(0.0);
    let event = PoolEvent::RunEnded { attempt, end, took_ms, body };
    Ok(PoolMessage::Notice { sequence, event: Some(event) })
}

fn decode_gauges(object: &Object<'_>) -> Result<PoolMessage, DecodeError> {
    let tag = object.text(wire::KEY_TAG)?;
    match tag {
        wire::TAG_CAUGHT_UP => return Ok(PoolMessage::CaughtUp),
        wire::TAG_DRAINED => return Ok(PoolMessage::Drained),
        _ => {}
    }
    let tag = tag.parse().map_err(|_| DecodeError::Key(wire::KEY_TAG))?;
    let Some(Value::Array(values)) = object.0.get(wire::KEY_VALUES) else {
        return Err(DecodeError::Key(wire::KEY_VALUES));
    };
    let values = values.iter().map(|value| value.as_f64().unwrap_or(f64::NAN)).collect();
    Ok(PoolMessage::Event(PoolEvent::Gauges { tag, values }))
}

/// Returns the rejected command with this operation name.
fn rejected_command(operation: &str) -> RejectedCommand {
    match operation {
        wire::COMMAND_RUN => RejectedCommand::Run,
        wire::COMMAND_SUSPEND => RejectedCommand::Suspend,
        wire::COMMAND_RESUME => RejectedCommand::Resume,
        wire::COMMAND_UPSTREAM_REPLY => RejectedCommand::UpstreamReply,
        wire::COMMAND_SKIP_UPSTREAM_CALL => RejectedCommand::SkipUpstreamCall,
        wire::COMMAND_READ_GAUGES => RejectedCommand::ReadGauges,
        other => RejectedCommand::Unrecognized(other.to_owned()),
    }
}

/// A JSON object from the pool, with typed access by key.
struct Object<'a>(&'a Value);

impl<'a> Object<'a> {
    fn text(&self, key: &'static str) -> Result<&'a str, DecodeError> {
        self.0.get(key).and_then(Value::as_str).ok_or(DecodeError::Key(key))
    }

    fn attempt(&self) -> Result<u64, DecodeError> {
        let digits = self.text(wire::KEY_ATTEMPT)?;
        u64::from_str_radix(digits, 16).map_err(|_| DecodeError::Key(wire::KEY_ATTEMPT))
    }

    fn sequence(&self) -> Result<u64, DecodeError> {
        let number = self.0.get(wire::KEY_SEQUENCE).and_then(Value::as_u64);
        number.filter(|number| *number > 0).ok_or(DecodeError::Key(wire::KEY_SEQUENCE))
    }

    fn duration_ms(&self) -> Result<f64, DecodeError> {
        let ms = self.0.get(wire::KEY_DURATION_MS).and_then(Value::as_f64);
        ms.filter(|ms| *ms >= 0.0).ok_or(DecodeError::Key(wire::KEY_DURATION_MS))
    }

    fn body(&self) -> Result<Vec<u8>, DecodeError> {
        BASE64.decode(self.text(wire::KEY_BODY)?).map_err(|_| DecodeError::Key(wire::KEY_BODY))
    }
}
