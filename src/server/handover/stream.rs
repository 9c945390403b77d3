//! A connection between two processes of one server.

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

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// A connection to another process of the same user. It can be read and written at the same time.
#[derive(Debug)]
pub struct HandoverStream {
    stream: Async<UnixStream>,
    reading: RefCell<Reading>,
    /// Whether a frame was begun and is not written to its end.
    is_frame_unfinished: Cell<bool>,
}

#[derive(Debug)]
struct Reading {
    assembler: FrameAssembler,
    buffer: Vec<u8>,
}

/// What one system call read.
enum ReadStep {
    /// A frame is whole.
    Frame(ReceivedFrame),
    /// A frame is not whole yet.
    Partial,
    /// The other side closed the connection.
    Closed,
}

impl HandoverStream {
    /// Uses a connected socket.
    ///
    /// # Errors
    /// If the process on the other side belongs to another user, or the socket can't be used.
    pub fn new(stream: UnixStream) -> Result<Self, HandoverSocketError> {
        let peer = socket_peercred(&stream).map_err(|error| HandoverSocketError::Connection(error.into()))?;
        if peer.uid != geteuid() {
            return Err(HandoverSocketError::PeerOfOtherUser(peer.uid.as_raw()));
        }
        let reading = Reading { assembler: FrameAssembler::default(), buffer: vec![0; READ_BUFFER_BYTES] };
        Ok(HandoverStream {
            stream: Async::new(stream).map_err(HandoverSocketError::Connection)?,
            reading: RefCell::new(reading),
            is_frame_unfinished: Cell::new(false),
        })
    }

    /// Writes a frame and `descriptor` beside it. One frame is written at a time.
    ///
    /// # Errors
    /// If the frame is too long, writing fails, or an earlier call was dropped before its frame was written.
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
            // The descriptor travels with the first byte.
            let sent_descriptor = descriptor.filter(|_| written == 0);
            let sent = self.stream.write_with(|stream| write_once(stream, &parts, sent_descriptor)).await;
            written += sent.map_err(HandoverSocketError::Write)?;
        }
        self.is_frame_unfinished.set(false);
        Ok(())
    }

    /// Reads the next frame; `None` if the other side closed the connection behind the last one. A call that is dropped
    /// loses nothing: the next one goes on where it was.
    ///
    /// # Errors
    /// If reading fails, the connection ends within a frame, a frame is too long, or its descriptor can't be received.
    pub async fn receive(&self) -> Result<Option<ReceivedFrame>, HandoverSocketError> {
        loop {
            let step = self.stream.read_with(|stream| self.read_step(stream)).await;
            match step.map_err(HandoverSocketError::Read)?? {
                ReadStep::Frame(frame) => return Ok(Some(frame)),
                ReadStep::Partial => {}
                ReadStep::Closed if self.reading.borrow().assembler.is_empty() => return Ok(None),
                ReadStep::Closed => return Err(HandoverSocketError::CutFrame),
            }
        }
    }

    /// Shuts down one or both directions. What was written before is still read by the other side.
    pub fn shut_down(&self, direction: Shutdown) {
        // It fails if the connection has ended, which is what is asked for.
        let _ = self.stream.get_ref().shutdown(direction);
    }

    fn read_step(&self, stream: &UnixStream) -> io::Result<Result<ReadStep, HandoverSocketError>> {
        let Reading { assembler, buffer } = &mut *self.reading.borrow_mut();
        let wanted = assembler.missing_bytes().min(buffer.len());
        let (length, descriptor) = match read_once(stream, &mut buffer[..wanted])? {
            Received::Bytes { length: 0, .. } => return Ok(Ok(ReadStep::Closed)),
            Received::Bytes { length, descriptor } => (length, descriptor),
            Received::WithoutDescriptor => return Ok(Err(HandoverSocketError::DescriptorLost)),
        };
        let assembled = assembler.feed(&buffer[..length], descriptor);
        Ok(assembled.map(|frame| frame.map_or(ReadStep::Partial, ReadStep::Frame)))
    }
}

/// Writes once, and returns the number of bytes written.
fn write_once(
    stream: &UnixStream,
    parts: &[IoSlice<'_>],
    descriptor: Option<BorrowedFd<'_>>,
) -> io::Result<usize> {
    let descriptors = descriptor.as_slice();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        // The space is made for one descriptor.
        control.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    Ok(retry_on_intr(|| sendmsg(stream, parts, &mut control, SendFlags::NOSIGNAL))?)
}

/// What came.
enum Received {
    /// Bytes, none at the end, and the descriptor beside them.
    Bytes { length: usize, descriptor: Option<OwnedFd> },
    /// Bytes without the descriptor that was sent beside them.
    WithoutDescriptor,
}

/// Reads once. The first descriptor that comes is kept, and others are closed.
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
        return Ok(Received::WithoutDescriptor);
    }
    Ok(Received::Bytes { length: read.bytes, descriptor })
}
