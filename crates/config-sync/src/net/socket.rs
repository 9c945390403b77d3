//! Non-blocking reads and writes on a socket.

use crate::codec::DecodeError;
use crate::frame::{FrameDecoder, FrameError};
use async_io::Async;
use futures_lite::future::yield_now;
use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

/// Buffer size of one read from a socket, bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Number of steps (such as reads or writes) without waiting after which a task yields to others on the
/// executor.
const STEPS_PER_YIELD: u32 = 16;

/// Reason why a connection ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame has an invalid length, version or tag.
    #[error("bad frame: {0}")]
    Frame(#[from] FrameError),
    /// A frame doesn't contain a valid message.
    #[error("bad frame: invalid message: {0}")]
    Message(#[from] DecodeError),
    /// The peer doesn't read the data sent to it. Holds the number of unsent bytes.
    #[error("the peer does not read: {0} bytes unsent")]
    Unread(usize),
    /// The session was closed while frames were still to be sent.
    #[error("closed with bytes unsent")]
    Aborted,
}

impl ConnectionError {
    /// Returns whether the peer sent bytes that are not a valid frame or message.
    pub(super) fn is_bad_frame(&self) -> bool {
        matches!(self, ConnectionError::Frame(_) | ConnectionError::Message(_))
    }
}

/// Counts the steps of a task that doesn't wait, so that it yields regularly.
#[derive(Default)]
pub(super) struct YieldBudget(u32);

impl YieldBudget {
    /// Counts a step and yields after every [`STEPS_PER_YIELD`] steps.
    pub(super) async fn step(&mut self) {
        self.0 += 1;
        if self.0 >= STEPS_PER_YIELD {
            self.0 = 0;
            yield_now().await;
        }
    }
}

/// Reads available bytes into the decoder and returns their number; none if no bytes are available.
pub(super) fn try_read(
    stream: &Async<TcpStream>,
    decoder: &mut FrameDecoder,
) -> Result<Option<usize>, ConnectionError> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    loop {
        match stream.get_ref().read(&mut bytes) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(count) => {
                decoder.feed(&bytes[..count]);
                return Ok(Some(count));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Writes some of the bytes and returns their number; none if the socket's buffer is full.
pub(super) fn try_write(stream: &Async<TcpStream>, bytes: &[u8]) -> Result<Option<usize>, ConnectionError> {
    loop {
        match stream.get_ref().write(bytes) {
            Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
            Ok(count) => return Ok(Some(count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
}
