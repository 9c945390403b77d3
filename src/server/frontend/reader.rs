//! The reading side of a connection: decodes the client's bytes into messages to the dispatcher.

use super::connection::{Connection, OpenRequest};
use super::connection_state::ReadProgress;
use super::context::FrontendContext;
use super::error::ConnectionError;
use super::late_requests::RequestEnd;
use super::request_decoder::{ClientMessage, decode_request, parse_message};
use crate::codec::msgpack::{Decoder, Value};
use crate::server::fault_injection::{self, PanicPoint, SlowPoint, StopPoint};
use crate::server::messages::{DispatcherMessage, IncomingRequest, ReadRequest, RequestProgress};
use async_io::Async;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::rc::Rc;

/// Maximum number of bytes per read.
pub(super) const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Maximum number of messages handled in one turn of a connection.
const MESSAGES_PER_TURN: u64 = 4;
/// Time allowed for writing the response to a message that can't be decoded, ms.
const ERROR_RESPONSE_MS: f64 = 50.0;

/// Reads requests until the client closes the connection. Once the connection finishes, further bytes are
/// discarded.
///
/// # Errors
/// Returns [`ConnectionError::ResponseQueueFull`] if the client reads no responses, and another
/// [`ConnectionError`] if it breaks the protocol.
pub(super) async fn read_requests(
    connection: &Connection,
    context: &FrontendContext,
    stream: &Async<TcpStream>,
) -> Result<(), ConnectionError> {
    let mut reader =
        RequestReader { connection, context, decoder: Decoder::default(), messages_read: 0, read_at: 0.0 };
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        match read_in_turn(connection, context, stream, &mut buffer).await {
            // A close or reset by the client is not an error of the protocol.
            Ok(0) | Err(_) => return Ok(()),
            Ok(length) if !connection.accepts_requests() => {
                context.client_log.discarded_bytes(context.clock.now(), connection, length);
                continue;
            }
            Ok(length) => reader.decoder.feed(&buffer[..length]),
        }
        fault_injection::maybe_panic(PanicPoint::ConnectionRead);
        reader.read_at = context.clock.now();
        connection.state.borrow_mut().record_bytes_read(reader.read_at);
        reader.handle_buffered().await?;
    }
}

/// Reads the bytes that have arrived, once it is the connection's turn.
async fn read_in_turn(
    connection: &Connection,
    context: &FrontendContext,
    stream: &Async<TcpStream>,
    buffer: &mut [u8],
) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        await_turn(connection, context).await;
        match stream.get_ref().read(buffer) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            read => return read,
        }
    }
}

/// Waits for the connection's turn.
async fn await_turn(connection: &Connection, context: &FrontendContext) {
    connection.state.borrow_mut().set_awaits_turn(true);
    context.read_turns.next().await;
    connection.state.borrow_mut().set_awaits_turn(false);
}

struct RequestReader<'a> {
    connection: &'a Connection,
    context: &'a FrontendContext,
    decoder: Decoder,
    messages_read: u64,
    /// Time at which the bytes in the buffer were read, Unix ms.
    read_at: f64,
}

impl RequestReader<'_> {
    /// Handles all complete messages in the buffer.
    async fn handle_buffered(&mut self) -> Result<(), ConnectionError> {
        let read_before = self.messages_read;
        loop {
            match self.decoder.next_message() {
                Ok(Some(message)) => {
                    if let Some(distributed) = &self.context.distributed {
                        distributed.wait_for_pending_change(&self.context.wheel).await;
                    }
                    // The connection is finishing, after a notification or a time limit: a message that
                    // crosses the close is not handled.
                    if !self.connection.accepts_requests() {
                        return Ok(());
                    }
                    self.handle_message(&message).await?;
                }
                Ok(None) => {
                    self.connection.state.borrow_mut().record_read(ReadProgress {
                        completed_message: self.messages_read != read_before,
                        ends_in_partial_message: !self.decoder.is_empty(),
                    });
                    return Ok(());
                }
                Err(error) => {
                    self.reject_undecodable().await;
                    return Err(ConnectionError::Decode(error));
                }
            }
        }
    }

    async fn handle_message(&mut self, message: &Value) -> Result<(), ConnectionError> {
        fault_injection::maybe_slow_down(SlowPoint::ClientMessage);
        // The dispatcher closes the queue of a client that reads no responses; the writer may be stuck.
        if self.connection.is_response_queue_closed() {
            return Err(ConnectionError::ResponseQueueFull);
        }
        match parse_message(message)? {
            ClientMessage::Request { id, method, args } => {
                self.begin_request(id)?;
                self.handle_request(id, method, args).await;
            }
            ClientMessage::HealthCheck { id } => {
                self.begin_request(id)?;
                self.connection.expect_other_response();
                let reply = self.connection.reply_handle(id);
                self.send(DispatcherMessage::HealthCheck(reply)).await;
            }
            ClientMessage::MalformedRequest { id } => {
                self.begin_request(id)?;
                self.reject_invalid(id).await;
            }
            ClientMessage::Cancel { ids } => self.handle_cancel(ids).await,
            ClientMessage::UnknownNotification => {}
        }
        self.messages_read += 1;
        if self.messages_read % MESSAGES_PER_TURN == 0 {
            // Other connections are read, and the requests read so far decided, before more messages are
            // handled.
            await_turn(self.connection, self.context).await;
            // A client whose messages are still being handled is not idle.
            self.connection.state.borrow_mut().record_activity(self.context.clock.now());
        }
        Ok(())
    }

    fn begin_request(&self, message_id: u64) -> Result<(), ConnectionError> {
        if self.connection.is_open(message_id) {
            return Err(ConnectionError::DuplicateMessageId);
        }
        self.connection.state.borrow_mut().record_request();
        Ok(())
    }

    async fn handle_request(&self, message_id: u64, method: &[u8], args: &[Value]) {
        let reply = self.connection.reply_handle(message_id);
        let request = if self.connection.may_open_request() {
            decode_request(self.context, method, args, reply)
        } else {
            None
        };
        let Some(mut request) = request else { return self.reject_invalid(message_id).await };
        let progress = self.progress_of(&request);
        request.reply.progress = Some(progress.clone());
        self.connection.open_request(message_id, OpenRequest { id: request.id, progress });
        fault_injection::maybe_stop(StopPoint::RequestRead);
        self.send(DispatcherMessage::Request(Box::new(request))).await;
    }

    fn progress_of(&self, request: &IncomingRequest) -> Rc<RequestProgress> {
        let class = &self.context.classes[request.class];
        let due_at = request.received_at + request.timeout_ms.unwrap_or(class.client_timeout_ms);
        Rc::new(RequestProgress::new(ReadRequest {
            attempt: request.attempt,
            received_at: request.received_at,
            due_at,
            accepted_at: self.connection.accepted_at,
            read_at: self.read_at,
        }))
    }

    async fn handle_cancel(&self, message_ids: Vec<u64>) {
        for message_id in message_ids {
            if let Some(request) = self.connection.cancel_request(message_id) {
                let (progress, end) = (&request.progress, RequestEnd::Withdrawn);
                self.context.client_log.request_ended(self.read_at, self.connection, progress, end);
                let _ = self.context.dispatcher.send(DispatcherMessage::ClientGone(request.id)).await;
            }
        }
    }

    async fn reject_undecodable(&self) {
        if let Some(message_id) = self.decoder.request_id() {
            self.reject_invalid(message_id).await;
            // The response has to be written before the connection is closed.
            self.context.wheel.sleep(ERROR_RESPONSE_MS).await;
        }
    }

    async fn reject_invalid(&self, message_id: u64) {
        self.connection.expect_other_response();
        let reply = self.connection.reply_handle(message_id);
        let _ = self.context.dispatcher.send(DispatcherMessage::InvalidRequest(reply)).await;
    }

    /// Sends a message whose names were resolved. The guard keeps a change of settings from overtaking it.
    async fn send(&self, message: DispatcherMessage) {
        let _guard = self.context.distributed.as_ref().map(|distributed| distributed.guard_lookup());
        // The dispatcher's queue closes only at the end of the process.
        let _ = self.context.dispatcher.send(message).await;
    }
}
