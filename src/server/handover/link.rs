//! The task that carries frames between two processes of one server.

use super::error::HandoverSocketError;
use super::frame::{OutgoingFrame, ReceivedFrame};
use super::stream::HandoverStream;
use async_channel::{Receiver, Sender};
use futures_lite::future::zip;
use std::net::Shutdown;
use std::os::fd::AsFd;

/// What a link tells.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was read.
    Frame(ReceivedFrame),
    /// The link ended; nothing follows.
    Closed {
        /// Why it ended; `None` if the other side closed it.
        error: Option<HandoverSocketError>,
    },
}

/// Writes the frames of `outgoing` and sends those that are read to `incoming`, both in order, until the other side
/// closes the connection. [`LinkEvent::Closed`] is the last event, after all frames that could be read.
///
/// Closing `outgoing` lets what is queued be written and shuts down writing; reading goes on. A link that can't be
/// written any more is still read to its end. `outgoing` is closed at the end.
///
/// No more than one frame is held in each direction beside those in the channels: a receiver that takes no events lets
/// the other side wait.
pub async fn run_link(
    stream: HandoverStream,
    outgoing: Receiver<OutgoingFrame>,
    incoming: Sender<LinkEvent>,
) {
    let write = async {
        let written = write_frames(&stream, &outgoing).await;
        outgoing.close();
        stream.shut_down(Shutdown::Write);
        written
    };
    let read = async {
        let read = read_frames(&stream, &incoming).await;
        // What is queued is still written: the other side may have closed one direction alone.
        outgoing.close();
        if read.is_err() {
            stream.shut_down(Shutdown::Both);
        }
        read
    };
    let (written, read) = zip(write, read).await;
    let error = read.err().or(written.err());
    // It fails if nobody wants to know.
    let _ = incoming.send(LinkEvent::Closed { error }).await;
}

/// Writes until the queue is closed and empty.
async fn write_frames(
    stream: &HandoverStream,
    outgoing: &Receiver<OutgoingFrame>,
) -> Result<(), HandoverSocketError> {
    while let Ok(frame) = outgoing.recv().await {
        let descriptor = frame.descriptor.as_ref().map(AsFd::as_fd);
        stream.send(&frame.bytes, descriptor).await?;
    }
    Ok(())
}

/// Reads until the other side closes the connection, or nobody takes the events.
async fn read_frames(
    stream: &HandoverStream,
    incoming: &Sender<LinkEvent>,
) -> Result<(), HandoverSocketError> {
    while let Some(frame) = stream.receive().await? {
        if incoming.send(LinkEvent::Frame(frame)).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}
