//! The task of one connection: reads requests, writes responses, and closes without losing responses.

use super::connection::Connection;
use super::connection_state::LINGER_TIMEOUT_MS;
use super::context::FrontendContext;
use super::error::ConnectionError;
use super::late_requests::RequestEnd;
use super::reader::{READ_BUFFER_BYTES, read_requests};
use super::writer::{WriteEnd, write_responses};
use crate::server::messages::{ConnectionMessage, DispatcherMessage};
use crate::server::supervisor::catch_panic;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use std::cell::Cell;
use std::future::Future;
use std::net::{Shutdown, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;

/// Time limit for writing the queued responses when a connection is closed, ms.
const FLUSH_TIMEOUT_MS: f64 = 50.0;
/// Maximum number of bytes that are read and discarded after the sending side was shut down.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Reason why a connection ended.
enum ConnectionEnd {
    /// The client closed the connection, or the connection was lost.
    ClosedByClient,
    /// The client broke the protocol or exceeded a limit.
    Faulty(ConnectionError),
    /// All responses are written, and no more will follow.
    ResponsesWritten,
}

impl From<WriteEnd> for ConnectionEnd {
    fn from(end: WriteEnd) -> ConnectionEnd {
        match end {
            WriteEnd::ResponsesWritten => ConnectionEnd::ResponsesWritten,
            WriteEnd::ConnectionLost => ConnectionEnd::ClosedByClient,
            WriteEnd::Faulty(error) => ConnectionEnd::Faulty(error),
        }
    }
}

/// Serves a connection until it is closed.
pub(super) async fn serve(
    connection: &Connection,
    context: &FrontendContext,
    stream: Rc<Async<TcpStream>>,
    responses: Receiver<ConnectionMessage>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let writer_ended = Cell::new(false);
    let mut writer = pin!(async {
        let end = write_responses(connection, context, &stream, responses).await;
        writer_ended.set(true);
        ConnectionEnd::from(end)
    });
    let reader = async {
        match read_requests(connection, context, &stream).await {
            Ok(()) => ConnectionEnd::ClosedByClient,
            Err(error) => ConnectionEnd::Faulty(error),
        }
    };
    let end = catch_panic(or(reader, writer.as_mut())).await;
    let ended_at = context.clock.now();
    connection.finish(ended_at);
    cancel_open_requests(connection, context, ended_at).await;
    let responses_written = match end {
        Err(panic) => {
            // A server fault in this task closes this client's connection and has no other effect.
            return context.client_log.task_panicked(context.clock.now(), &panic);
        }
        Ok(ConnectionEnd::ResponsesWritten) => true,
        Ok(end) => {
            if let ConnectionEnd::Faulty(error) = end {
                context.client_log.connection_error(context.clock.now(), error);
            }
            !writer_ended.get() && flush(context, writer).await
        }
    };
    if responses_written {
        linger(connection, context, &stream).await;
    }
}

/// Notifies the dispatcher that the client no longer waits for any of its requests.
async fn cancel_open_requests(connection: &Connection, context: &FrontendContext, now: f64) {
    for request in connection.cancel_all_requests() {
        context.client_log.request_ended(now, connection, &request.progress, RequestEnd::ConnectionEnded);
        // The dispatcher's queue closes only at the end of the process.
        let _ = context.dispatcher.send(DispatcherMessage::ClientGone(request.id)).await;
    }
}

/// Lets the writer write the queued responses, and returns whether it finished in time.
async fn flush(context: &FrontendContext, writer: Pin<&mut impl Future<Output = ConnectionEnd>>) -> bool {
    let written = async { matches!(writer.await, ConnectionEnd::ResponsesWritten) };
    let timed_out = async {
        context.wheel.sleep(FLUSH_TIMEOUT_MS).await;
        false
    };
    or(written, timed_out).await
}

/// Shuts down the sending side, then reads and discards what the client still sends, limited in time and
/// bytes.
async fn linger(connection: &Connection, context: &FrontendContext, mut stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    connection.is_lingering.set(true);
    let discard = async {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(length) => {
                    context.client_log.discarded_bytes(context.clock.now(), connection, length);
                    remaining = remaining.saturating_sub(length);
                }
            }
        }
        // A client that doesn't stop sending gets only this much time to read its responses.
        context.wheel.sleep(FLUSH_TIMEOUT_MS).await;
    };
    or(discard, context.wheel.sleep(LINGER_TIMEOUT_MS)).await;
}
