//! Encodes responses and notifications to clients.

use super::protocol;
use crate::codec::msgpack;
use crate::server::messages::Response;

/// Fields of a response by their names on the wire.
type Fields = Vec<(&'static str, String)>;

/// Appends the notification that no new request is accepted.
pub(super) fn encode_shutdown(out: &mut Vec<u8>) {
    msgpack::put_array(out, protocol::NOTIFICATION_ELEMENTS);
    msgpack::put_uint(out, protocol::TYPE_NOTIFICATION);
    msgpack::put_str(out, protocol::NOTIFICATION_SHUTDOWN);
    msgpack::put_array(out, 0);
}

/// Appends the response to a message.
pub(super) fn encode_response(
    message_id: u64,
    response: &Response,
    advertised_share: Option<f64>,
    out: &mut Vec<u8>,
) {
    let fields = response_fields(response, advertised_share);
    msgpack::put_array(out, protocol::RESPONSE_ELEMENTS);
    msgpack::put_uint(out, protocol::TYPE_RESPONSE);
    msgpack::put_uint(out, message_id);
    match response {
        Response::Completed(body) => encode_result(out, &fields, |out| msgpack::put_bin(out, body)),
        Response::Health(healthy) => encode_result(out, &fields, |out| msgpack::put_bool(out, *healthy)),
        Response::Rejected { .. } => encode_error(out, protocol::ERROR_REJECTED, &fields),
        Response::Failed => encode_error(out, protocol::ERROR_FAILED, &fields),
        Response::Invalid => encode_error(out, protocol::ERROR_INVALID, &fields),
    }
}

fn response_fields(response: &Response, advertised_share: Option<f64>) -> Fields {
    let mut fields = Fields::new();
    if let Some(share) = advertised_share {
        fields.push((protocol::FIELD_ADVERTISED_SHARE, share.to_string()));
    }
    if let Response::Rejected { retry_after_ms, do_not_retry } = response {
        if *retry_after_ms > 0.0 {
            fields.push((protocol::FIELD_RETRY_AFTER_MS, retry_after_ms.round().to_string()));
        }
        if *do_not_retry {
            fields.push((protocol::FIELD_DO_NOT_RETRY, protocol::FLAG_SET.to_owned()));
        }
    }
    fields
}

/// Appends nil as the error, then the result.
fn encode_result(out: &mut Vec<u8>, fields: &Fields, put_body: impl FnOnce(&mut Vec<u8>)) {
    msgpack::put_nil(out);
    msgpack::put_array(out, protocol::PAYLOAD_ELEMENTS);
    put_body(out);
    encode_fields(out, fields);
}

/// Appends the error, then nil as the result.
fn encode_error(out: &mut Vec<u8>, name: &str, fields: &Fields) {
    msgpack::put_array(out, protocol::PAYLOAD_ELEMENTS);
    msgpack::put_str(out, name);
    encode_fields(out, fields);
    msgpack::put_nil(out);
}

fn encode_fields(out: &mut Vec<u8>, fields: &Fields) {
    msgpack::put_map(out, fields.len() as u8);
    for (name, value) in fields {
        msgpack::put_str(out, name);
        msgpack::put_str(out, value);
    }
}
