//! One call to the upstream service.

use super::call_log::CallLog;
use super::connection_pool::ConnectionPool;
use super::error::CallError;
use super::protocol;
use crate::admission::Outcome;
use crate::codec::http;
use crate::server::fault_injection::{self, PanicPoint};
use crate::server::messages::UpstreamCall;
use crate::server::supervisor::catch_panic;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_io::Async;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// State shared by all calls.
pub(super) struct CallContext {
    /// Address of the upstream service.
    pub(super) address: Cell<SocketAddr>,
    /// Idle connections kept for reuse.
    pub(super) connections: RefCell<ConnectionPool>,
    /// The clock.
    pub(super) clock: Clock,
    /// The timers.
    pub(super) wheel: Rc<TimerWheel>,
    /// The log of failed calls.
    pub(super) log: CallLog,
}

/// The outcome of a call, with the body of its reply.
pub(super) struct CallResult {
    /// Outcome of the call.
    pub(super) outcome: Outcome,
    /// Body of the reply; empty if there is no reply.
    pub(super) body: Vec<u8>,
}

impl CallResult {
    /// Returns a result without a reply.
    pub(super) fn without_reply(outcome: Outcome) -> CallResult {
        CallResult { outcome, body: Vec::new() }
    }
}

impl CallContext {
    /// Makes a call that was requested at `requested_at`, within its time limit.
    pub(super) async fn make_call(&self, call: &UpstreamCall, requested_at: f64) -> CallResult {
        let time_left_ms = call.timeout_ms - (self.clock.now() - requested_at);
        // Before its first byte is written a call can't have run, whatever happens to the connection.
        let request_sent = Cell::new(false);
        let timed_out = async {
            self.wheel.sleep(time_left_ms).await;
            let outcome = if request_sent.get() { Outcome::TimedOut } else { Outcome::Unreachable };
            CallResult::without_reply(outcome)
        };
        let exchange = async {
            match self.exchange(call, time_left_ms, &request_sent).await {
                Ok(result) => result,
                Err(error) => {
                    self.log.call_failed(self.clock.now(), &error);
                    CallResult::without_reply(error.outcome())
                }
            }
        };
        match catch_panic(or(exchange, timed_out)).await {
            Ok(result) => result,
            Err(panic) => {
                self.log.task_panicked(self.clock.now(), &panic);
                let outcome = if request_sent.get() { Outcome::ConnectionLost } else { Outcome::Unreachable };
                CallResult::without_reply(outcome)
            }
        }
    }

    async fn exchange(
        &self,
        call: &UpstreamCall,
        time_left_ms: f64,
        request_sent: &Cell<bool>,
    ) -> Result<CallResult, CallError> {
        fault_injection::maybe_panic(PanicPoint::UpstreamConnect);
        let address = self.address.get();
        let pooled = self.pooled_connection(call);
        let is_reused = pooled.is_some();
        let stream = match pooled {
            Some(stream) => stream,
            None => Async::<TcpStream>::connect(address).await.map_err(CallError::Connect)?,
        };
        let _ = stream.get_ref().set_nodelay(true);
        let request = protocol::encode_call(call.attempt, time_left_ms, &address.to_string(), &call.body);
        request_sent.set(true);
        let mut writer = &stream;
        writer.write_all(&request).await.map_err(CallError::Write)?;
        fault_injection::maybe_panic(PanicPoint::UpstreamRequestSent);
        let (reply, may_reuse) = match read_reply(&stream).await {
            Ok(reply) => reply,
            Err(error) => {
                if is_reused && matches!(error, CallError::Read(_)) {
                    // The other pooled connections have been idle at least as long. They are closed, so that
                    // the next call doesn't fail in the same way.
                    self.connections.borrow_mut().clear();
                }
                return Err(error);
            }
        };
        if may_reuse && address == self.address.get() {
            self.connections.borrow_mut().put(self.clock.now(), stream);
        }
        Ok(CallResult { outcome: protocol::outcome(&reply), body: reply.body })
    }

    /// Returns an idle connection for a call. The service may close an idle connection just as the call is
    /// sent: the call never ran, but the failure doesn't prove it. A call that can't be retried therefore
    /// gets a new connection.
    fn pooled_connection(&self, call: &UpstreamCall) -> Option<Async<TcpStream>> {
        if call.at_most_once {
            return None;
        }
        self.connections.borrow_mut().take(self.clock.now())
    }
}

/// Reads a reply, and returns it with whether the connection can be reused.
async fn read_reply(mut stream: &Async<TcpStream>) -> Result<(http::Reply, bool), CallError> {
    let mut decoder = http::Decoder::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await.map_err(CallError::Read)?;
        let is_closed = length == 0;
        decoder.feed(&buffer[..length]);
        if let Some(reply) = decoder.next_reply(is_closed).map_err(CallError::Decode)? {
            let may_reuse = reply.keep_alive && !is_closed && decoder.is_empty();
            return Ok((reply, may_reuse));
        }
        if is_closed {
            return Err(CallError::Closed);
        }
    }
}
