//! Typed messages put into frames, on their way to the other process.

use crate::server::handover::OutgoingFrame;
use crate::server::messages::{ConnectionMessage, Response, SuccessorFrame};
use async_channel::{Receiver, Sender};
use dunlinspread_handover::{ForwardedOutcome, ForwardedResponse, ToPredecessor};

/// Passes frames on to the link to the successor, until their queue is closed.
pub(super) async fn send_to_successor(messages: Receiver<SuccessorFrame>, link: Sender<OutgoingFrame>) {
    while let Ok(SuccessorFrame { message, descriptor }) = messages.recv().await {
        let frame = OutgoingFrame { bytes: message.encode(), descriptor };
        if link.send(frame).await.is_err() {
            return;
        }
    }
}

/// Passes frames on to the link to the predecessor, until their queue is closed.
pub(super) async fn send_to_predecessor(messages: Receiver<ToPredecessor>, link: Sender<OutgoingFrame>) {
    while let Ok(message) = messages.recv().await {
        if link.send(frame(&message)).await.is_err() {
            return;
        }
    }
}

/// Returns a frame for the predecessor.
pub(super) fn frame(message: &ToPredecessor) -> OutgoingFrame {
    OutgoingFrame { bytes: message.encode(), descriptor: None }
}

/// Passes the responses to forwarded requests back to the predecessor, as long as it lives.
pub(super) async fn return_responses(
    responses: Receiver<ConnectionMessage>,
    predecessor: Sender<ToPredecessor>,
) {
    while let Ok(message) = responses.recv().await {
        let ConnectionMessage::Response { tag, response, advertised_share } = message else { continue };
        let Some(outcome) = forwarded_outcome(response) else { continue };
        let response = ForwardedResponse { request: tag, outcome, advertised_share };
        // After the end of the predecessor responses are read and dropped.
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
