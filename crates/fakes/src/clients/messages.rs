//! The messages of the client protocol, in MessagePack.

use crate::clients::load::PlannedRequest;
use rmpv::Value;

/// Value of the first field of a request.
const REQUEST: u64 = 0;
/// Value of the first field of an answer.
const ANSWER: u64 = 1;
/// Value of the first field of a notification.
const NOTIFICATION: u64 = 2;
/// Maximum priority that is sent.
const MAX_PRIORITY: f64 = 0.9999;

/// A message from the server.
pub(crate) enum ServerMessage {
    /// An answer, with the id of its request.
    Answer(u64, Answer),
    /// The server is shutting down.
    Shutdown,
    /// Any other message.
    Other,
}

/// The content of an answer.
pub(crate) enum Answer {
    /// The request was completed; holds the run's result, if there is one.
    Completed(Option<Vec<u8>>),
    /// The server rejected the request.
    Rejected,
    /// The request failed.
    Failed,
}

/// Decodes the first message in `bytes` and returns it with its length; `None` while it is incomplete.
pub(crate) fn decode(bytes: &[u8]) -> Option<(ServerMessage, usize)> {
    let mut rest = bytes;
    let message = rmpv::decode::read_value(&mut rest).ok()?;
    Some((parse(&message), bytes.len() - rest.len()))
}

fn parse(message: &Value) -> ServerMessage {
    match (message[0].as_u64(), message[1].as_u64()) {
        (Some(ANSWER), Some(id)) => ServerMessage::Answer(id, parse_answer(message)),
        (Some(NOTIFICATION), _) if message[1].as_str() == Some("shutdown") => ServerMessage::Shutdown,
        _ => ServerMessage::Other,
    }
}

fn parse_answer(message: &Value) -> Answer {
    let error = &message[2];
    if error.is_nil() {
        return Answer::Completed(message[3][0].as_slice().map(<[u8]>::to_vec));
    }
    if error[0].as_str() == Some("Backoff") { Answer::Rejected } else { Answer::Failed }
}

/// Returns an encoded request; `received_ms` is the start time of the attempt, Unix ms.
pub(crate) fn encode_request(
    id: u64,
    class: &str,
    request: &PlannedRequest,
    attempt_id: u64,
    received_ms: u64,
) -> Vec<u8> {
    let mut fields = vec![
        ("call", format!("{attempt_id:016x}")),
        ("recv", received_ms.to_string()),
        ("src", "1".to_owned()),
        ("heap", format!("{:.1}", request.memory_kb)),
        ("crit", format!("{:.4}", request.priority.min(MAX_PRIORITY))),
    ];
    fields.extend(request.idempotency_key.iter().map(|key| ("dedupe", key.clone())));
    fields.extend(request.tenant.iter().map(|tenant| ("org", tenant.clone())));
    let fields = fields.into_iter().map(|(name, value)| (Value::from(name), Value::from(value))).collect();
    let arguments = Value::Array(vec![Value::Map(fields), Value::Binary(request.body.clone())]);
    encode(&Value::Array(vec![REQUEST.into(), id.into(), class.into(), arguments]))
}

/// Returns an encoded withdrawal of a request.
pub(crate) fn encode_withdrawal(id: u64) -> Vec<u8> {
    encode(&Value::Array(vec![NOTIFICATION.into(), "forget".into(), Value::Array(vec![id.into()])]))
}

fn encode(message: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, message);
    bytes
}
