//! Decodes client messages into requests. A field with an invalid value makes the request invalid; no value
//! is guessed.

use super::context::{FrontendContext, MethodTarget};
use super::error::ConnectionError;
use super::protocol;
use crate::admission::RetrySafety;
use crate::codec::msgpack::Value;
use crate::server::messages::{IncomingRequest, ReplyHandle};
use dunlinspread_ledger::AccountName;
use std::rc::Rc;

/// Maximum length of a request body, bytes.
const MAX_BODY_BYTES: usize = 2048;
/// Maximum length of an idempotency key, bytes.
const MAX_KEY_BYTES: usize = 128;
/// Upper limit, exclusive, of the memory that a request may state, kB. The protocol allows less.
const MAX_REQUEST_KB: f64 = 2000.0;
/// Maximum timeout of an attempt, as a multiple of the client timeout of its class. The protocol's maximum is
/// the client timeout itself.
const MAX_TIMEOUT_FACTOR: f64 = 2.0;
/// Number of digits of an attempt id.
const ATTEMPT_DIGITS: usize = 16;
/// Prefix of the table key of a request whose method is a route. The position of a class, which is the prefix
/// for other requests, is always lower.
const ROUTE_KEY_PREFIX: u32 = u32::MAX;

/// A message from a client.
#[derive(Debug)]
pub(super) enum ClientMessage<'a> {
    /// A request.
    Request { id: u64, method: &'a [u8], args: &'a [Value] },
    /// A health check.
    HealthCheck { id: u64 },
    /// A request without a method or arguments.
    MalformedRequest { id: u64 },
    /// A notification that the client no longer waits for these message ids.
    Cancel { ids: Vec<u64> },
    /// A notification that is unknown to the server and has no effect.
    UnknownNotification,
}

/// Parses a message by its kind.
///
/// # Errors
/// Returns [`ConnectionError::NotAnArray`] if the message is not an array, and
/// [`ConnectionError::UnknownMessageType`] if it is neither a request nor a notification.
pub(super) fn parse_message(message: &Value) -> Result<ClientMessage<'_>, ConnectionError> {
    let Value::Array(parts) = message else { return Err(ConnectionError::NotAnArray) };
    match &parts[..] {
        [Value::Uint(protocol::TYPE_REQUEST), Value::Uint(id), rest @ ..] => Ok(parse_request(*id, rest)),
        [Value::Uint(protocol::TYPE_NOTIFICATION), Value::Str(method), Value::Array(args)] => {
            if method == protocol::NOTIFICATION_CANCEL {
                return Ok(ClientMessage::Cancel { ids: message_ids(args) });
            }
            Ok(ClientMessage::UnknownNotification)
        }
        _ => Err(ConnectionError::UnknownMessageType),
    }
}

fn parse_request(id: u64, rest: &[Value]) -> ClientMessage<'_> {
    match rest {
        [Value::Str(method), Value::Array(_)] if method == protocol::METHOD_HEALTH_CHECK => {
            ClientMessage::HealthCheck { id }
        }
        [Value::Str(method), Value::Array(args)] => ClientMessage::Request { id, method, args },
        _ => ClientMessage::MalformedRequest { id },
    }
}

fn message_ids(args: &[Value]) -> Vec<u64> {
    let id = |arg: &Value| match arg {
        Value::Uint(id) => Some(*id),
        _ => None,
    };
    args.iter().filter_map(id).collect()
}

/// Fields of a request by their names on the wire.
struct Fields<'a>(&'a [(Value, Value)]);

impl<'a> Fields<'a> {
    fn value(&self, name: &str) -> Option<&'a Value> {
        let is_named = |key: &Value| matches!(key, Value::Str(key) if key == name.as_bytes());
        self.0.iter().find(|(key, _)| is_named(key)).map(|(_, value)| value)
    }

    fn is_present(&self, name: &str) -> bool {
        self.value(name).is_some()
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        match self.value(name) {
            Some(Value::Str(text)) => std::str::from_utf8(text).ok(),
            _ => None,
        }
    }

    /// Returns a field as a finite number. Numbers are text on the wire.
    fn number(&self, name: &str) -> Option<f64> {
        self.text(name)?.parse::<f64>().ok().filter(|number| number.is_finite())
    }

    fn attempt(&self) -> Option<u64> {
        let text = self.text(protocol::FIELD_ATTEMPT)?;
        if text.len() != ATTEMPT_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u64::from_str_radix(text, 16).ok()
    }

    fn idempotency_key(&self) -> Option<&'a str> {
        let key = self.text(protocol::FIELD_IDEMPOTENCY_KEY)?;
        (1..=MAX_KEY_BYTES).contains(&key.len()).then_some(key)
    }

    fn received_at(&self) -> Option<f64> {
        self.number(protocol::FIELD_RECEIVED_AT).filter(|time| *time > 0.0)
    }

    fn request_kb(&self) -> Option<f64> {
        self.number(protocol::FIELD_REQUEST_KB).filter(|kb| *kb > 0.0 && *kb < MAX_REQUEST_KB)
    }

    fn priority(&self) -> Option<f64> {
        self.number(protocol::FIELD_PRIORITY).filter(|priority| (0.0..1.0).contains(priority))
    }

    fn timeout_ms(&self, max_ms: f64) -> Option<f64> {
        self.number(protocol::FIELD_TIMEOUT_MS).filter(|ms| *ms > 0.0 && *ms <= max_ms)
    }

    fn account(&self) -> Option<Rc<str>> {
        let account = AccountName::parse(self.text(protocol::FIELD_TENANT)?).ok()?;
        Some(Rc::from(account.as_str()))
    }
}

/// Decodes a request, or returns `None` if it is invalid: its method or tenant is unknown, a field is missing
/// or out of range, or the body is too long.
pub(super) fn decode_request(
    context: &FrontendContext,
    method: &[u8],
    args: &[Value],
    reply: ReplyHandle,
) -> Option<IncomingRequest> {
    let target = context.resolve_method(method)?;
    let class = &context.classes[target.class()];
    let [Value::Map(fields), Value::Bin(body)] = args else { return None };
    if body.len() > MAX_BODY_BYTES {
        return None;
    }
    let fields = Fields(fields);
    let key = match class.retry_safety {
        RetrySafety::IdempotencyKey => Some(table_key(target, method, fields.idempotency_key()?)),
        _ => None,
    };
    let is_billed = context.bills_accounts && fields.is_present(protocol::FIELD_TENANT);
    let account = if is_billed { Some(fields.account()?) } else { None };
    let states_timeout = context.passes_deadline || fields.is_present(protocol::FIELD_TIMEOUT_MS);
    let max_timeout_ms = MAX_TIMEOUT_FACTOR * class.client_timeout_ms;
    let timeout_ms = if states_timeout { Some(fields.timeout_ms(max_timeout_ms)?) } else { None };
    Some(IncomingRequest {
        attempt: fields.attempt()?,
        class: target.class(),
        received_at: fields.received_at()?,
        request_kb: fields.request_kb()?,
        priority: fields.priority()?,
        key,
        timeout_ms,
        tenant: context.resolve_tenant(fields.text(protocol::FIELD_TENANT))?,
        account,
        shareable: fields.text(protocol::FIELD_SHARED_READ).is_some(),
        body: body.clone(),
        reply,
        id: context.request_ids.next_id(),
    })
}

/// Returns the key for the idempotency table. Attempts of two classes never belong to one request, so the key
/// starts with the class in a fixed width. For a route, the route's name replaces the class, so that an
/// attempt is recognised after the route was changed to another class.
fn table_key(target: MethodTarget, method: &[u8], key: &str) -> Vec<u8> {
    match target {
        MethodTarget::Class(class) => {
            // The conversion can't fail: the number of classes is bounded far below `u32::MAX`.
            let class = u32::try_from(class).unwrap_or(ROUTE_KEY_PREFIX - 1);
            [&class.to_be_bytes(), key.as_bytes()].concat()
        }
        MethodTarget::Route(_) => {
            let prefix = ROUTE_KEY_PREFIX.to_be_bytes();
            let method_length = (method.len() as u64).to_be_bytes();
            [&prefix[..], &method_length, method, key.as_bytes()].concat()
        }
    }
}
