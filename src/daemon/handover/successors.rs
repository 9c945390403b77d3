//! The task that accepts successors, one at a time, and forwards their frames to the dispatcher.

use super::frames::send_to_successor;
use crate::server::handover::{HandoverDirectory, HandoverListener, HandoverStream, LinkEvent, run_link};
use crate::server::messages::{DispatcherMessage, DispatcherSender, SuccessorMessage};
use crate::server::serving_status::ServingStatus;
use crate::server::timer_wheel::TimerWheel;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use dunlinspread_handover::{DecodeError, PredecessorInput, RefuseReason, ToPredecessor, ToSuccessor};
use futures_lite::future::or;
use slog::{Logger, error, warn};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of a link's events queued for the dispatcher; a full queue blocks the successor.
const MAX_WAITING_LINK_EVENTS: usize = 64;
/// Delay before retrying after listening or accepting failed, ms.
const RETRY_DELAY_MS: f64 = 500.0;
/// Time allowed for sending the last frames of a link that this process closes, ms.
const CLOSE_TIMEOUT_MS: f64 = 500.0;

/// The task that accepts successors.
pub(in crate::daemon) struct SuccessorAcceptor {
    pub(in crate::daemon) directory: HandoverDirectory,
    pub(in crate::daemon) dispatcher: DispatcherSender,
    pub(in crate::daemon) status: Arc<ServingStatus>,
    pub(in crate::daemon) executor: Rc<LocalExecutor<'static>>,
    pub(in crate::daemon) wheel: Rc<TimerWheel>,
    pub(in crate::daemon) log: Logger,
}

impl SuccessorAcceptor {
    /// Accepts successors until the process ends.
    pub(in crate::daemon) async fn run(self) {
        let mut previous = None;
        loop {
            // The name is bound again after each link: a successor may have bound it for itself and then
            // ended, which leaves no listener on it. The previous listener stays open until then, so that a
            // successor can always connect.
            match HandoverListener::bind(&self.directory) {
                Ok(listener) => {
                    drop(previous.take());
                    self.serve_next(&listener).await;
                    previous = Some(listener);
                }
                Err(error) => {
                    error!(self.log, "handover: not listening for a successor"; "error" => %error);
                    self.wheel.sleep(RETRY_DELAY_MS).await;
                }
            }
        }
    }

    /// Serves the next successor, and refuses others in the meantime.
    async fn serve_next(&self, listener: &HandoverListener) {
        let stream = self.accept(listener).await;
        or(self.serve_successor(stream), self.refuse_others(listener)).await;
    }

    async fn accept(&self, listener: &HandoverListener) -> HandoverStream {
        loop {
            match listener.accept().await {
                Ok(stream) => return stream,
                Err(error) => {
                    warn!(self.log, "handover: accepting a successor failed"; "error" => %error);
                    self.wheel.sleep(RETRY_DELAY_MS).await;
                }
            }
        }
    }

    async fn refuse_others(&self, listener: &HandoverListener) {
        let busy = ToSuccessor::Refuse { reason: RefuseReason::Busy }.encode();
        loop {
            let stream = self.accept(listener).await;
            // If sending fails, the other process sees the end of the link instead of the refusal.
            let _ = stream.send(&busy, None).await;
        }
    }

    /// Forwards the frames of a successor until the link ends or this process has closed it.
    async fn serve_successor(&self, stream: HandoverStream) {
        let (frames, frames_to_send) = async_channel::unbounded();
        let (outgoing, outgoing_frames) = async_channel::unbounded();
        let (events, link_events) = async_channel::bounded(MAX_WAITING_LINK_EVENTS);
        self.notify_dispatcher(SuccessorMessage::Connected(frames)).await;
        let _link = self.executor.spawn(run_link(stream, outgoing_frames, events));
        let closed_locally = async {
            send_to_successor(frames_to_send, outgoing).await;
            self.wheel.sleep(CLOSE_TIMEOUT_MS).await;
        };
        or(self.forward_frames(link_events), closed_locally).await;
        self.notify_dispatcher(SuccessorMessage::Disconnected).await;
    }

    /// Forwards frames to the dispatcher until the link ends or, before the commit, a frame can't be decoded.
    async fn forward_frames(&self, events: Receiver<LinkEvent>) {
        while let Ok(LinkEvent::Frame(frame)) = events.recv().await {
            match ToPredecessor::decode(&frame.bytes) {
                Ok(frame) => self.notify_dispatcher(dispatcher_message(frame)).await,
                Err(error) if self.status.is_handed_over() => self.log_faulty_frame(&error),
                Err(error) => return self.log_faulty_frame(&error),
            }
        }
    }

    fn log_faulty_frame(&self, error: &DecodeError) {
        warn!(self.log, "handover: faulty frame of the successor"; "error" => %error);
    }

    async fn notify_dispatcher(&self, message: SuccessorMessage) {
        // The dispatcher's mailbox closes only when the process ends.
        let _ = self.dispatcher.send(DispatcherMessage::Successor(message)).await;
    }
}

/// Converts a frame to the message that the dispatcher handles.
fn dispatcher_message(frame: ToPredecessor) -> SuccessorMessage {
    match frame {
        ToPredecessor::Hello { version, identity } => {
            SuccessorMessage::Step(PredecessorInput::Hello { version, identity })
        }
        ToPredecessor::RequestTransfer => SuccessorMessage::Step(PredecessorInput::RequestTransfer),
        ToPredecessor::Loaded { keys } => SuccessorMessage::Step(PredecessorInput::Loaded { keys }),
        frame @ (ToPredecessor::Response(_) | ToPredecessor::Health { .. }) => SuccessorMessage::Frame(frame),
    }
}
