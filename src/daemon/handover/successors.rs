//! Successors: the task that accepts them, one at a time, and carries their frames to the dispatcher.

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

/// Events of a link that wait for the dispatcher, before the successor has to wait.
const LINK_EVENTS: usize = 64;
/// Pause after a failure to listen or to accept, ms.
const RETRY_MS: f64 = 500.0;
/// Time for the last frames of a link that this side closes, ms.
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
            // Bound anew after each link: a successor that took the name over and ended has left it to nobody. The
            // listener before lives until then, so that a successor always finds one.
            match HandoverListener::bind(&self.directory) {
                Ok(listener) => {
                    drop(previous.take());
                    self.serve_next(&listener).await;
                    previous = Some(listener);
                }
                Err(error) => {
                    error!(self.log, "handover: not listening for a successor"; "error" => %error);
                    self.wheel.sleep(RETRY_MS).await;
                }
            }
        }
    }

    /// Serves the next successor, and refuses others meanwhile.
    async fn serve_next(&self, listener: &HandoverListener) {
        let stream = self.accept(listener).await;
        or(self.serve(stream), self.refuse_others(listener)).await;
    }

    async fn accept(&self, listener: &HandoverListener) -> HandoverStream {
        loop {
            match listener.accept().await {
                Ok(stream) => return stream,
                Err(error) => {
                    warn!(self.log, "handover: successor not accepted"; "error" => %error);
                    self.wheel.sleep(RETRY_MS).await;
                }
            }
        }
    }

    async fn refuse_others(&self, listener: &HandoverListener) {
        let busy = ToSuccessor::Refuse { reason: RefuseReason::Busy }.encode();
        loop {
            let stream = self.accept(listener).await;
            // It learns of the refusal, or of the end of the link.
            let _ = stream.send(&busy, None).await;
        }
    }

    /// Carries the frames of a successor until the link ends, or this side has closed it.
    async fn serve(&self, stream: HandoverStream) {
        let (frames, frames_to_send) = async_channel::unbounded();
        let (outgoing, outgoing_frames) = async_channel::unbounded();
        let (events, link_events) = async_channel::bounded(LINK_EVENTS);
        self.tell(SuccessorMessage::Connected(frames)).await;
        let _link = self.executor.spawn(run_link(stream, outgoing_frames, events));
        let closed_here = async {
            send_to_successor(frames_to_send, outgoing).await;
            self.wheel.sleep(CLOSE_TIMEOUT_MS).await;
        };
        or(self.read(link_events), closed_here).await;
        self.tell(SuccessorMessage::Disconnected).await;
    }

    /// Passes frames on until the link ends, or one can't be read before the commit.
    async fn read(&self, events: Receiver<LinkEvent>) {
        while let Ok(LinkEvent::Frame(frame)) = events.recv().await {
            match ToPredecessor::decode(&frame.bytes) {
                Ok(frame) => self.tell(message(frame)).await,
                Err(error) if self.status.is_handed_over() => self.log_faulty_frame(&error),
                Err(error) => return self.log_faulty_frame(&error),
            }
        }
    }

    fn log_faulty_frame(&self, error: &DecodeError) {
        warn!(self.log, "handover: faulty frame of the successor"; "error" => %error);
    }

    async fn tell(&self, message: SuccessorMessage) {
        // The dispatcher's mailbox closes only at the end of the process.
        let _ = self.dispatcher.send(DispatcherMessage::Successor(message)).await;
    }
}

/// Returns a frame as the dispatcher takes it.
fn message(frame: ToPredecessor) -> SuccessorMessage {
    match frame {
        ToPredecessor::Hello { version, identity } => {
            SuccessorMessage::Step(PredecessorInput::Hello { version, identity })
        }
        ToPredecessor::RequestTransfer => SuccessorMessage::Step(PredecessorInput::RequestTransfer),
        ToPredecessor::Loaded { keys } => SuccessorMessage::Step(PredecessorInput::Loaded { keys }),
        frame @ (ToPredecessor::Response(_) | ToPredecessor::Health { .. }) => SuccessorMessage::Frame(frame),
    }
}
