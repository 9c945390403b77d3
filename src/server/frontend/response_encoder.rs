//! Answers as bytes. It must never write one for a request that is no longer open.

use super::Connection;
use crate::codec::msgpack;
use crate::server::messages::{Answer, ToCaller};

impl Connection {
    pub(super) fn put(&self, letter: ToCaller, out: &mut Vec<u8>) {
        let ToCaller::Answer { tag, answer, said } = letter else {
            msgpack::put_array(out, 3);
            msgpack::put_uint(out, 2);
            msgpack::put_str(out, "shutdown");
            return msgpack::put_array(out, 0);
        };
        // One that was forgotten meanwhile is owed nothing. What was never taken for a request is not open, but gets
        // its error; what the core found to be none is open no longer, or its connection would never be idle.
        let open = self.open.borrow_mut().remove(&tag).is_some();
        if !open && matches!(answer, Answer::Health(_) | Answer::Invalid) {
            self.others.set(self.others.get().saturating_sub(1));
        }
        if !open && matches!(answer, Answer::Served(_) | Answer::Refused { .. } | Answer::Failed) {
            return;
        }
        let mut fields = Vec::new();
        fields.extend(said.map(|value| ("load", value.to_string())));
        if let Answer::Refused { retry_after_ms, last } = &answer {
            if *retry_after_ms > 0.0 {
                fields.push(("pushback", retry_after_ms.round().to_string()));
            }
            if *last {
                fields.push(("stop", "1".to_owned()));
            }
        }
        msgpack::put_array(out, 4);
        msgpack::put_uint(out, 1);
        msgpack::put_uint(out, tag);
        let error = match &answer {
            Answer::Served(_) | Answer::Health(_) => None,
            Answer::Refused { .. } => Some("Backoff"),
            Answer::Failed => Some("Failed"),
            Answer::Invalid => Some("Invalid"),
        };
        match error {
            Some(name) => {
                msgpack::put_array(out, 2);
                msgpack::put_str(out, name);
            }
            None => {
                msgpack::put_nil(out);
                msgpack::put_array(out, 2);
                match &answer {
                    Answer::Served(body) => msgpack::put_bin(out, body),
                    Answer::Health(good) => msgpack::put_bool(out, *good),
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
