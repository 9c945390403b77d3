//! Event loop of the dispatcher task, which handles one message at a time.

use super::state::Dispatcher;
use super::timers::SWEEP_INTERVAL_MS;
use crate::admission::{Event, Gauges};
use crate::server::evacuation::HealthInput;
use crate::server::fault_injection::{self, SlowPoint};
use crate::server::messages::{DispatcherInbox, DispatcherMessage, Response, SuccessorMessage};
use dunlinspread_handover::PredecessorEvent;
use futures_lite::future::yield_now;

/// Number of messages handled before the dispatcher yields to the other tasks, which write the resulting
/// responses.
const MESSAGES_PER_TURN: usize = 16;

impl Dispatcher {
    /// Runs the dispatcher until its mailbox closes.
    pub async fn run(mut self, mut inbox: DispatcherInbox) {
        self.schedule(SWEEP_INTERVAL_MS, DispatcherMessage::SweepKeys);
        if self.usage.is_some() {
            self.schedule(self.usage_tick_ms, DispatcherMessage::UsageTick);
        }
        let mut handled = 0;
        while let Some(message) = inbox.next().await {
            fault_injection::maybe_slow_down(SlowPoint::DispatcherMessage);
            self.handle_message(message);
            self.answer_due_in_handover();
            self.flush_usage();
            self.report_health_to_predecessor();
            self.notify_if_idle();
            handled += 1;
            if handled % MESSAGES_PER_TURN == 0 {
                yield_now().await;
            }
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::Request(incoming) => self.on_arrival(*incoming),
            DispatcherMessage::InvalidRequest(reply) => self.send_response(reply, Response::Invalid),
            DispatcherMessage::HealthCheck(reply) => {
                self.refresh_health();
                self.send_response(reply, Response::Health(self.is_healthy()));
            }
            DispatcherMessage::ClientGone(id) => self.on_client_gone(id),
            DispatcherMessage::Pool(event) => self.on_pool_event(event),
            DispatcherMessage::UpstreamCallEnded { id, outcome, body, took_ms } => {
                self.on_upstream_call_ended(id, outcome, body, took_ms);
            }
            DispatcherMessage::Timer(token) => self.on_timer(token),
            DispatcherMessage::GaugesTimedOut(tag) => self.on_gauges(tag, Gauges::default()),
            DispatcherMessage::Drain { stop_at } => self.on_drain(stop_at),
            DispatcherMessage::Successor(message) => self.on_successor_message(message),
            DispatcherMessage::Predecessor(message) => self.on_predecessor_message(message),
            DispatcherMessage::NotifyIdle(idle) => self.idle_notifier = Some(idle),
            DispatcherMessage::Reconfigured(reconfigured) => self.on_reconfigured(*reconfigured),
            DispatcherMessage::EvacuationChanged => self.on_evacuation_changed(),
            DispatcherMessage::SweepKeys => self.on_sweep(),
            DispatcherMessage::Usage(message) => self.on_usage_message(*message),
            DispatcherMessage::UsageTick => self.on_usage_tick(),
            DispatcherMessage::CloseUsage(writer) => self.close_usage(&writer),
        }
    }

    /// Starts the drain for a requested shutdown. Forwarded requests without a response fail when the process
    /// stops.
    fn on_drain(&mut self, stop_at: f64) {
        self.update_health(&[HealthInput::Shutdown]);
        self.update_readiness();
        self.advance_handover(PredecessorEvent::ShutdownRequested);
        // No successor is accepted from now on. The kernel completes connections as long as any descriptor of
        // the listening socket is open, and connections that no process accepts are lost.
        self.handing_over.listening_socket = None;
        let fail_forwarded = DispatcherMessage::Successor(SuccessorMessage::FailForwarded);
        self.schedule(stop_at - self.clock.now(), fail_forwarded);
        self.start_controller(None);
        self.dispatch_event(Event::Drain { stop_at });
    }

    /// Notifies the task that waits for the end of all requests, if there is one and no request is left.
    fn notify_if_idle(&mut self) {
        if self.idle_notifier.is_some() && self.requests.len() + self.handing_over.waiting_count() == 0 {
            if let Some(idle) = self.idle_notifier.take() {
                self.repeating_log.log_all_repeated();
                // The channel has capacity for this one message.
                let _ = idle.try_send(());
            }
        }
    }
}
