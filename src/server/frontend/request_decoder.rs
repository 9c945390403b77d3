//! What a message says, as the core's words: a proper request, or none. It must never guess at a field that can't be
//! read.

use super::{Connection, MAX_OPEN, Method, Shared};
use crate::admission::RetrySafety;
use crate::codec::msgpack::Value;
use crate::server::messages::IncomingRequest;
use dunlinspread_ledger::AccountName;
use std::rc::Rc;

/// The longest body of a request, in bytes.
const MAX_BODY: usize = 2048;
/// The longest key, in bytes.
const MAX_KEY: usize = 128;
/// The most memory that a request may say it takes while held, kB; the protocol allows less.
const MAX_HELD_KB: f64 = 2000.0;
/// The longest that a caller may say it waits for one try, in times its class is given up after in all, which the
/// protocol makes the longest: a figure past this is none that a caller means.
const MAX_WAITS: f64 = 2.0;

impl Connection {
    /// A proper request, or none: an unknown class, a field missing or out of range, a body too long, or too many
    /// open at once.
    pub(super) fn incoming(
        &self,
        shared: &Shared,
        tag: u64,
        method: &[u8],
        args: &[Value],
    ) -> Option<IncomingRequest> {
        let named_by = shared.method(method)?;
        let class = named_by.class();
        let [Value::Map(fields), Value::Bin(body)] = args else { return None };
        let named = |name: &str| -> Option<&Value> {
            let found = fields.iter().find(|(k, _)| matches!(k, Value::Str(k) if k == name.as_bytes()));
            found.map(|(_, value)| value)
        };
        let field = |name: &str| match named(name) {
            Some(Value::Str(text)) => std::str::from_utf8(text).ok(),
            _ => None,
        };
        let number = |name: &str| field(name)?.parse::<f64>().ok().filter(|n| n.is_finite());
        let call = field("call").filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()))?;
        let key = field("dedupe").filter(|k| !k.is_empty() && k.len() <= MAX_KEY);
        let keyed = shared.classes[class].retry_safety == RetrySafety::IdempotencyKey;
        if body.len() > MAX_BODY || self.open.borrow().len() >= MAX_OPEN || keyed && key.is_none() {
            return None;
        }
        let billed = shared.accounts && named("org").is_some();
        let account = if billed { Some(AccountName::parse(field("org")?).ok()?) } else { None };
        let reached = number("recv").filter(|r| *r > 0.0)?;
        let longest = MAX_WAITS * shared.classes[class].client_timeout_ms;
        let ttl = match (named("ttl").is_some(), shared.passes_deadline) {
            (false, false) => None,
            _ => Some(number("ttl").filter(|t| *t > 0.0 && *t <= longest)?),
        };
        let tenant = shared.tenant(field("org"))?;
        let id = shared.last_id.get() + 1;
        let incoming = IncomingRequest {
            id,
            attempt: u64::from_str_radix(call, 16).ok()?,
            class,
            received_at: reached,
            request_kb: number("heap").filter(|h| *h > 0.0 && *h < MAX_HELD_KB)?,
            priority: number("crit").filter(|r| (0.0..1.0).contains(r))?,
            key: key.filter(|_| keyed).map(|k| table_key(named_by, method, k)),
            timeout_ms: ttl,
            tenant,
            account: account.map(|a| Rc::from(a.as_str())),
            shareable: field("row").is_some(),
            body: body.clone(),
            reply: self.handle(tag),
        };
        shared.last_id.set(id);
        Some(incoming)
    }
}

/// Stands in a key where a class's position could, and marks a route's.
const ROUTE_MARK: u32 = u32::MAX;

/// A key as the table knows it. The class, in a fixed width, is part of it: two classes' tries are never tries of one
/// request. A route's name stands in its place, so that a further try is known after the route was led elsewhere.
fn table_key(named_by: Method, method: &[u8], key: &str) -> Vec<u8> {
    match named_by {
        Method::Class(class) => {
            // Lossless: the number of classes is bounded far below.
            let class = u32::try_from(class).unwrap_or(u32::MAX - 1);
            [&class.to_be_bytes(), key.as_bytes()].concat()
        }
        Method::Route(_) => {
            let length = method.len() as u64;
            [&ROUTE_MARK.to_be_bytes()[..], &length.to_be_bytes(), method, key.as_bytes()].concat()
        }
    }
}
