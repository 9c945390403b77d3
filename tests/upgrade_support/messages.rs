//! The messages of the client protocol, in MessagePack.

use rmpv::Value;

/// The first field of a request.
const REQUEST: u64 = 0;
/// The first field of a response.
const RESPONSE: u64 = 1;
/// The first field of a notification.
const NOTIFICATION: u64 = 2;
/// The notification after which no new request may be sent on a connection.
const SHUTDOWN: &str = "shutdown";
/// The error of a request that never ran.
const REJECTED: &str = "Backoff";

/// A message of the server.
pub enum ServerMessage {
    /// The response to the request with this id.
    Response(u64, Response),
    /// No new request may be sent on the connection.
    Shutdown,
    /// Any other message.
    Other,
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The result of a request that completed without an error.
    Completed(Value),
    /// The request never ran.
    Rejected,
    /// The request failed with another error, given by its name.
    Failed(String),
}

/// The fields that are sent with a request.
pub struct RequestFields<'a> {
    /// The id of the attempt.
    pub call: u64,
    /// Time at which the attempt arrived at the client's machine, Unix ms.
    pub received_ms: u64,
    /// The client timeout, ms.
    pub timeout_ms: u64,
    /// The memory that the run needs, kB.
    pub memory_kb: f64,
    /// The priority of the request, from 0 to below 1.
    pub priority: f64,
    /// The idempotency key of the request.
    pub key: Option<&'a str>,
}

/// Decodes the first message in `bytes`, and returns it and its length; `None` while it is incomplete.
pub fn decode(bytes: &[u8]) -> Option<(ServerMessage, usize)> {
    let mut rest = bytes;
    let message = rmpv::decode::read_value(&mut rest).ok()?;
    Some((parse(&message), bytes.len() - rest.len()))
}

fn parse(message: &Value) -> ServerMessage {
    match (message[0].as_u64(), message[1].as_u64()) {
        (Some(RESPONSE), Some(id)) => ServerMessage::Response(id, parse_response(message)),
        (Some(NOTIFICATION), _) if message[1].as_str() == Some(SHUTDOWN) => ServerMessage::Shutdown,
        _ => ServerMessage::Other,
    }
}

fn parse_response(message: &Value) -> Response {
    let error = &message[2];
    if error.is_nil() {
        return Response::Completed(message[3][0].clone());
    }
    match error[0].as_str() {
        Some(REJECTED) => Response::Rejected,
        name => Response::Failed(name.unwrap_or("no name").to_owned()),
    }
}

/// Returns the bytes of a request.
pub fn encode_request(id: u64, class: &str, fields: &RequestFields<'_>, body: &[u8]) -> Vec<u8> {
    let mut map = vec![
        ("call", format!("{:016x}", fields.call)),
        ("recv", fields.received_ms.to_string()),
        ("src", "1".to_owned()),
        ("ttl", fields.timeout_ms.to_string()),
        ("heap", format!("{:.1}", fields.memory_kb)),
        ("crit", format!("{:.4}", fields.priority)),
    ];
    map.extend(fields.key.map(|key| ("dedupe", key.to_owned())));
    let map = map.into_iter().map(|(name, value)| (Value::from(name), Value::from(value))).collect();
    let arguments = Value::Array(vec![Value::Map(map), Value::Binary(body.to_vec())]);
    encode(&Value::Array(vec![REQUEST.into(), id.into(), class.into(), arguments]))
}

/// Returns the bytes of a health check.
pub fn encode_health_check(id: u64) -> Vec<u8> {
    let arguments = Value::Array(vec![Value::Map(Vec::new())]);
    encode(&Value::Array(vec![REQUEST.into(), id.into(), "isWell".into(), arguments]))
}

/// Returns the bytes of the withdrawal of a request.
pub fn encode_withdrawal(id: u64) -> Vec<u8> {
    encode(&Value::Array(vec![NOTIFICATION.into(), "forget".into(), Value::Array(vec![id.into()])]))
}

fn encode(message: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, message).expect("writing to memory does not fail");
    bytes
}
