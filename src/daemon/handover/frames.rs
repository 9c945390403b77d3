//! Encoding of handover messages as frames, and forwarding of the frames to the other process.

use crate::server::handover::OutgoingFrame;
use crate::server::messages::{ConnectionMessage, Response, SuccessorFrame};
use async_channel::{Receiver, Sender};
use dunlinspread_handover::{ForwardedOutcome, ForwardedResponse, ToPredecessor};

/// Encodes queued messages and sends them on the link to the successor, until the queue or the link is
/// closed.
pub(super) async fn send_to_successor(messages: Receiver<SuccessorFrame>, link: Sender<OutgoingFrame>) {
    while let Ok(SuccessorFrame { message, descriptor }) = messages.recv().await {
        let frame = OutgoingFrame { bytes: message.encode(), descriptor };
        if link.send(frame).await.is_err() {
            return;
        }
    }
}

/// Encodes queued messages and sends them on the link to the predecessor, until the queue or the link is
/// closed.
pub(super) async fn send_to_predecessor(messages: Receiver<ToPredecessor>, link: Sender<OutgoingFrame>) {
    while let Ok(message) = messages.recv().await {
        if link.send(frame(&message)).await.is_err() {
            return;
        }
    }
}

/// Encodes a message to the predecessor as a frame.
pub(super) fn frame(message: &ToPredecessor) -> OutgoingFrame {
    OutgoingFrame { bytes: message.encode(), descriptor: None }
}

/// Sends the responses to forwarded requests back to the predecessor while it is running.
pub(super) async fn return_responses(
    responses: Receiver<ConnectionMessage>,
    predecessor: Sender<ToPredecessor>,
) {
    while let Ok(message) = responses.recv().await {
        let ConnectionMessage::Response { tag, response, advertised_share } = message else { continue };
        let Some(outcome) = forwarded_outcome(response) else { continue };
        let response = ForwardedResponse { request: tag, outcome, advertised_share };
        // Once the predecessor has ended, responses are received and dropped.
        let _ = predecessor.send(ToPredecessor::Response(response)).await;
    }
}

fn forwarded_outcome(response: Response) -> Option<ForwardedOutcome> {
    match response {
        Response::Completed(result) => Some(ForwardedOutcome::Completed(result.to_vec())),
        Response::Rejected { retry_after_ms, do_not_retry } => {
            Some(ForwardedOutcome::Rejected { retry_after_ms, do_not_retry })
        }
        Response::Failed => Some(ForwardedOutcome::Failed),
        Response::Invalid => Some(ForwardedOutcome::Invalid),
        Response::Health(_) => None,
    }
}
