//! Task that sends and receives the frames of a handover connection.

use super::error::HandoverSocketError;
use super::frame::{OutgoingFrame, ReceivedFrame};
use super::stream::HandoverStream;
use async_channel::{Receiver, Sender};
use futures_lite::future::zip;
use std::net::Shutdown;
use std::os::fd::AsFd;

/// Event of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A frame was read.
    Frame(ReceivedFrame),
    /// The link ended. This is its last event.
    Closed {
        /// The error that ended the link; `None` if the peer closed it.
        error: Option<HandoverSocketError>,
    },
}

/// Writes the frames from `outgoing` and sends the frames that it reads to `incoming`, both in order, until
/// the peer closes the connection. [`LinkEvent::Closed`] is the last event and follows all frames that could
/// be read.
///
/// When the caller closes `outgoing`, the queued frames are written, writing is shut down, and reading
/// continues. After a write error, frames are still read until the connection ends. `outgoing` is closed when
/// the link ends.
///
/// The link holds at most one frame per direction in addition to those in the channels, so a receiver that
/// does not read `incoming` applies backpressure to the peer.
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
        // Queued frames are still written: the peer may have closed only its sending direction.
        outgoing.close();
        if read.is_err() {
            stream.shut_down(Shutdown::Both);
        }
        read
    };
    let (written, read) = zip(write, read).await;
    let error = read.err().or(written.err());
    // Fails if the receiver was dropped; the event is not needed then.
    let _ = incoming.send(LinkEvent::Closed { error }).await;
}

/// Writes the queued frames until the queue is closed and empty.
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

/// Reads frames until the peer closes the connection or the receiver of events is dropped.
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
