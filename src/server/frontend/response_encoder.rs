//! Answers as bytes. It must never write one for a request that is no longer open.

use super::Connection;
use crate::codec::msgpack;
use crate::server::messages::{ConnectionMessage, Response};

impl Connection {
    pub(super) fn put(&self, letter: ConnectionMessage, out: &mut Vec<u8>) {
        let ConnectionMessage::Response { tag, response, advertised_share } = letter else {
            msgpack::put_array(out, 3);
            msgpack::put_uint(out, 2);
            msgpack::put_str(out, "shutdown");
            return msgpack::put_array(out, 0);
        };
        // One that was forgotten meanwhile is owed nothing. What was never taken for a request is not open, but gets
        // its error; what the core found to be none is open no longer, or its connection would never be idle.
        let open = self.open.borrow_mut().remove(&tag).is_some();
        if !open && matches!(response, Response::Health(_) | Response::Invalid) {
            self.others.set(self.others.get().saturating_sub(1));
        }
        if !open && matches!(response, Response::Completed(_) | Response::Rejected { .. } | Response::Failed)
        {
            return;
        }
        let mut fields = Vec::new();
        fields.extend(advertised_share.map(|value| ("load", value.to_string())));
        if let Response::Rejected { retry_after_ms, do_not_retry } = &response {
            if *retry_after_ms > 0.0 {
                fields.push(("pushback", retry_after_ms.round().to_string()));
            }
            if *do_not_retry {
                fields.push(("stop", "1".to_owned()));
            }
        }
        msgpack::put_array(out, 4);
        msgpack::put_uint(out, 1);
        msgpack::put_uint(out, tag);
        let error = match &response {
            Response::Completed(_) | Response::Health(_) => None,
            Response::Rejected { .. } => Some("Backoff"),
            Response::Failed => Some("Failed"),
            Response::Invalid => Some("Invalid"),
        };
        match error {
            Some(name) => {
                msgpack::put_array(out, 2);
                msgpack::put_str(out, name);
            }
            None => {
                msgpack::put_nil(out);
                msgpack::put_array(out, 2);
                match &response {
                    Response::Completed(body) => msgpack::put_bin(out, body),
                    Response::Health(good) => msgpack::put_bool(out, *good),
                    _ => {}
                }
            }
        }
        msgpack::put_map(out, fields.len() as u8);
        for (name, value) in &fields {
            msgpack::put_str(out, name);
            msgpack::put_str(out, value);
        }
        if error.is_some() {
            msgpack::put_nil(out);
        }
    }
}
