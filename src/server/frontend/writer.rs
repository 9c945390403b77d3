//! The writing side of a connection: encodes and writes responses.

use super::connection::{Connection, Settlement};
use super::context::FrontendContext;
use super::error::ConnectionError;
use super::late_requests::RequestEnd;
use super::response_encoder::{encode_response, encode_shutdown};
use crate::server::fault_injection::{self, StopPoint};
use crate::server::messages::ConnectionMessage;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncWriteExt, StreamExt};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::pin::pin;

/// Time limit of a write, ms, after which the connection is closed. It is longer than the longest network
/// partition.
const WRITE_TIMEOUT_MS: f64 = 30_000.0;
/// Number of encoded bytes from which a batch is written, and maximum capacity that the buffer keeps between
/// writes.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Reason why the writer ended.
pub(super) enum WriteEnd {
    /// The response queue is closed and empty.
    ResponsesWritten,
    /// The connection was lost.
    ConnectionLost,
    /// The connection is closed because of this error: the client accepts no bytes.
    Faulty(ConnectionError),
}

/// Writes responses until their queue is closed and empty.
pub(super) async fn write_responses(
    connection: &Connection,
    context: &FrontendContext,
    mut stream: &Async<TcpStream>,
    responses: Receiver<ConnectionMessage>,
) -> WriteEnd {
    let mut responses = pin!(responses);
    let mut buffer = Vec::new();
    while let Some(message) = responses.next().await {
        buffer.clear();
        buffer.shrink_to(WRITE_BUFFER_BYTES);
        let now = context.clock.now();
        let mut next = Some(message);
        while let Some(message) = next {
            encode(connection, context, now, &message, &mut buffer);
            next = if buffer.len() < WRITE_BUFFER_BYTES { responses.try_recv().ok() } else { None };
        }
        connection.state.borrow_mut().record_activity(now);
        let timed_out = async {
            context.wheel.sleep(WRITE_TIMEOUT_MS).await;
            Err(ErrorKind::TimedOut.into())
        };
        fault_injection::maybe_stop(StopPoint::ResponseDecided);
        connection.is_writing.set(true);
        let written = or(stream.write_all(&buffer), timed_out).await;
        connection.is_writing.set(false);
        match written {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                return WriteEnd::Faulty(ConnectionError::WriteStalled);
            }
            Err(_) => return WriteEnd::ConnectionLost,
        }
    }
    WriteEnd::ResponsesWritten
}

fn encode(
    connection: &Connection,
    context: &FrontendContext,
    now: f64,
    message: &ConnectionMessage,
    buffer: &mut Vec<u8>,
) {
    let ConnectionMessage::Response { tag, response, advertised_share } = message else {
        return encode_shutdown(buffer);
    };
    match connection.settle(*tag, response) {
        Settlement::Request(request) => {
            context.client_log.request_ended(now, connection, &request.progress, RequestEnd::Written);
        }
        Settlement::Other => {}
        Settlement::NotOwed => return,
    }
    encode_response(*tag, response, *advertised_share, buffer);
}
