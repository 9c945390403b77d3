//! Reading and writing of frames on a socket.

use crate::codec::DecodeError;
use crate::frame::{FrameDecoder, FrameError};
use async_io::Async;
use futures_lite::future::yield_now;
use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

/// Bytes taken from a socket in one read.
const READ_BYTES: usize = 16 * 1024;
/// After so many reads or writes without a wait, other tasks of the executor get their turn.
const TURN: u32 = 16;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The other end closed it.
    #[error("closed by the other end")]
    Closed,
    /// The system gave an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A bad frame.
    #[error("bad frame: {0}")]
    Frame(#[from] FrameError),
    /// A frame that carries no valid message.
    #[error("bad frame: its message: {0}")]
    Message(#[from] DecodeError),
    /// The other end does not read what it is sent.
    #[error("the other end does not read: {0} bytes unsent")]
    Unread(usize),
    /// The session was ended while something was still to be sent.
    #[error("ended with bytes unsent")]
    Abandoned,
}

impl ConnectionError {
    /// Whether bytes came that are no frame or no message.
    pub(super) fn is_bad_frame(&self) -> bool {
        matches!(self, ConnectionError::Frame(_) | ConnectionError::Message(_))
    }
}

/// Counts the steps of a task that does not wait, so that it gives way.
#[derive(Default)]
pub(super) struct Turn(u32);

impl Turn {
    /// Gives way now and then.
    pub(super) async fn step(&mut self) {
        self.0 += 1;
        if self.0 >= TURN {
            self.0 = 0;
            yield_now().await;
        }
    }
}

/// Reads what is there into the decoder; none if nothing is there now.
pub(super) fn try_read(
    stream: &Async<TcpStream>,
    decoder: &mut FrameDecoder,
) -> Result<Option<usize>, ConnectionError> {
    let mut bytes = [0; READ_BYTES];
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

/// Writes some of the bytes; none if the socket takes nothing now.
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
