//! Connection between two processes of one server, over which frames and file descriptors are sent.

use super::error::HandoverSocketError;
use super::frame::{FrameAssembler, ReceivedFrame, encode_header};
use async_io::Async;
use rustix::io::retry_on_intr;
use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use rustix::process::geteuid;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// Size in bytes of the read buffer, and with it the maximum length of one read.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Connection to another process of the same user. It can be read and written concurrently.
#[derive(Debug)]
pub struct HandoverStream {
    stream: Async<UnixStream>,
    read_state: RefCell<ReadState>,
    /// Whether a frame was started and is not completely written.
    is_frame_unfinished: Cell<bool>,
}

#[derive(Debug)]
struct ReadState {
    assembler: FrameAssembler,
    buffer: Vec<u8>,
}

/// Result of one read from the socket.
enum ReadStep {
    /// A frame is complete.
    Frame(ReceivedFrame),
    /// The frame is not complete yet.
    Partial,
    /// The peer closed the connection.
    Closed,
}

impl HandoverStream {
    /// Returns a stream over a connected socket.
    ///
    /// # Errors
    /// - [`HandoverSocketError::PeerOfOtherUser`] if the peer process runs as another user.
    /// - [`HandoverSocketError::Connection`] if the peer's credentials can't be read or the socket can't be
    ///   set up.
    pub fn new(stream: UnixStream) -> Result<Self, HandoverSocketError> {
        let peer = socket_peercred(&stream).map_err(|error| HandoverSocketError::Connection(error.into()))?;
        if peer.uid != geteuid() {
            return Err(HandoverSocketError::PeerOfOtherUser(peer.uid.as_raw()));
        }
        let read_state =
            ReadState { assembler: FrameAssembler::default(), buffer: vec![0; READ_BUFFER_BYTES] };
        Ok(HandoverStream {
            stream: Async::new(stream).map_err(HandoverSocketError::Connection)?,
            read_state: RefCell::new(read_state),
            is_frame_unfinished: Cell::new(false),
        })
    }

    /// Writes a frame and sends `descriptor` with it. Only one call may be in progress at a time.
    ///
    /// # Errors
    /// - [`HandoverSocketError::FrameTooLong`] if the frame exceeds the maximum length.
    /// - [`HandoverSocketError::UnfinishedFrame`] if an earlier frame was written only in part, because its
    ///   call failed, was dropped or is still in progress.
    /// - [`HandoverSocketError::Write`] if writing fails.
    pub async fn send(
        &self,
        frame: &[u8],
        descriptor: Option<BorrowedFd<'_>>,
    ) -> Result<(), HandoverSocketError> {
        let header = encode_header(frame.len())?;
        if self.is_frame_unfinished.replace(true) {
            return Err(HandoverSocketError::UnfinishedFrame);
        }
        let mut written = 0;
        while written < header.len() + frame.len() {
            let remaining_header = header.get(written..).unwrap_or_default();
            let remaining_frame = &frame[written.saturating_sub(header.len())..];
            let parts = [IoSlice::new(remaining_header), IoSlice::new(remaining_frame)];
            // The descriptor is sent with the first byte.
            let attached_descriptor = descriptor.filter(|_| written == 0);
            let result =
                self.stream.write_with(|stream| write_once(stream, &parts, attached_descriptor)).await;
            written += result.map_err(HandoverSocketError::Write)?;
        }
        self.is_frame_unfinished.set(false);
        Ok(())
    }

    /// Reads the next frame. Returns `None` if the peer closed the connection after the previous frame. The
    /// call is cancel-safe: if it is dropped, the next call continues with the bytes read so far.
    ///
    /// # Errors
    /// - [`HandoverSocketError::Read`] if reading fails.
    /// - [`HandoverSocketError::TruncatedFrame`] if the connection closes in the middle of a frame.
    /// - [`HandoverSocketError::FrameTooLong`] if a frame exceeds the maximum length.
    /// - [`HandoverSocketError::DescriptorLost`] if the frame's descriptor can't be received.
    pub async fn receive(&self) -> Result<Option<ReceivedFrame>, HandoverSocketError> {
        loop {
            let step = self.stream.read_with(|stream| self.read_step(stream)).await;
            match step.map_err(HandoverSocketError::Read)?? {
                ReadStep::Frame(frame) => return Ok(Some(frame)),
                ReadStep::Partial => {}
                ReadStep::Closed if self.read_state.borrow().assembler.is_empty() => return Ok(None),
                ReadStep::Closed => return Err(HandoverSocketError::TruncatedFrame),
            }
        }
    }

    /// Shuts down one or both directions. The peer can still read what was written before.
    pub fn shut_down(&self, direction: Shutdown) {
        // Fails if the connection is already closed, which has the same effect.
        let _ = self.stream.get_ref().shutdown(direction);
    }

    /// Reads once and passes the bytes to the assembler. The outer result is that of the system call.
    fn read_step(&self, stream: &UnixStream) -> io::Result<Result<ReadStep, HandoverSocketError>> {
        let ReadState { assembler, buffer } = &mut *self.read_state.borrow_mut();
        let wanted = assembler.missing_bytes().min(buffer.len());
        let (length, descriptor) = match read_once(stream, &mut buffer[..wanted])? {
            Received::Bytes { length: 0, .. } => return Ok(Ok(ReadStep::Closed)),
            Received::Bytes { length, descriptor } => (length, descriptor),
            Received::DescriptorLost => return Ok(Err(HandoverSocketError::DescriptorLost)),
        };
        let assembled = assembler.feed(&buffer[..length], descriptor);
        Ok(assembled.map(|frame| frame.map_or(ReadStep::Partial, ReadStep::Frame)))
    }
}

/// Calls `sendmsg` once and returns the number of bytes written.
fn write_once(
    stream: &UnixStream,
    parts: &[IoSlice<'_>],
    descriptor: Option<BorrowedFd<'_>>,
) -> io::Result<usize> {
    let descriptors = descriptor.as_slice();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        // Always fits: the ancillary buffer has space for one descriptor.
        control.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    Ok(retry_on_intr(|| sendmsg(stream, parts, &mut control, SendFlags::NOSIGNAL))?)
}

/// Result of one `recvmsg` call.
enum Received {
    /// Number of bytes, 0 at the end of the stream, and the descriptor received with them.
    Bytes { length: usize, descriptor: Option<OwnedFd> },
    /// Bytes were received, but the descriptor sent with them was lost.
    DescriptorLost,
}

/// Calls `recvmsg` once. The first received descriptor is kept, and all others are closed.
fn read_once(stream: &UnixStream, buffer: &mut [u8]) -> io::Result<Received> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(buffer)];
    let read = retry_on_intr(|| recvmsg(stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC))?;
    let mut descriptors = control.drain().flat_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => descriptors.collect(),
        _ => Vec::new(),
    });
    let descriptor = descriptors.next();
    if descriptor.is_none() && read.flags.contains(ReturnFlags::CTRUNC) {
        return Ok(Received::DescriptorLost);
    }
    Ok(Received::Bytes { length: read.bytes, descriptor })
}
