//! Redelivery of commands over a new link to the worker pool.

use super::request::UnconfirmedCommand;
use super::state::Dispatcher;
use crate::admission::{Event, RequestId, RetrySafety};
use crate::server::messages::PoolCommand;
use crate::server::worker_pool::{Delivery, Redelivery, RedeliveryContext, redelivery};
use slog::info;

/// Numbers of unconfirmed commands by what became of them with a new link.
#[derive(Default)]
struct RedeliveryCounts {
    /// Commands that were sent, or sent again.
    sent: usize,
    /// Upstream calls that were skipped because their replies may have been lost.
    skipped_calls: usize,
    /// Commands that are known to be carried out.
    delivered: usize,
    /// Commands in doubt: they may have been lost, and were not sent again.
    in_doubt: usize,
}

impl Dispatcher {
    /// Decides on all unconfirmed commands, and sends those that are due over the new link.
    pub(super) fn redeliver_commands(&mut self) {
        let mut counts = RedeliveryCounts::default();
        for id in self.requests.ids_where(|request| !request.unconfirmed.is_empty()) {
            if self.redeliver_request_commands(id, &mut counts) {
                self.events.push_back(Event::RunInDoubt(id));
            }
            self.end_answered_run_in_doubt(id);
        }
        info!(self.log, "worker pool accepts commands"; "commands_in_doubt" => counts.in_doubt,
            "delivered_commands" => counts.delivered, "skipped_calls" => counts.skipped_calls,
            "resent_commands" => counts.sent);
        self.dispatch_pending_events();
    }

    /// Decides on the unconfirmed commands of a request, and returns whether one of them stays in doubt.
    fn redeliver_request_commands(&mut self, id: RequestId, counts: &mut RedeliveryCounts) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        let class = &self.settings.classes[request.class];
        let context = RedeliveryContext {
            is_idempotent: class.retry_safety == RetrySafety::Idempotent,
            may_skip_calls: class.degraded_weight > 0.0,
            is_answered: request.reply.is_none(),
        };
        for unconfirmed in &mut request.unconfirmed {
            unconfirmed.delivery = self.pool.delivery_after_link_end(unconfirmed.delivery);
            let Redelivery::Send(command) = redelivery(&unconfirmed.command, unconfirmed.delivery, context)
            else {
                counts.count_unsent(unconfirmed.delivery);
                continue;
            };
            if is_reply_replaced(&unconfirmed.command, &command) {
                request.degraded = true;
                counts.skipped_calls += 1;
            } else {
                counts.sent += 1;
            }
            let delivery = self.pool.send(command.clone());
            *unconfirmed = UnconfirmedCommand { command, delivery };
        }
        request.unconfirmed.iter().any(|unconfirmed| unconfirmed.delivery == Delivery::InDoubt)
    }
}

impl RedeliveryCounts {
    fn count_unsent(&mut self, delivery: Delivery) {
        if delivery == Delivery::Delivered {
            self.delivered += 1;
        } else {
            self.in_doubt += 1;
        }
    }
}

/// Returns whether an upstream reply was replaced by the command to continue without it.
fn is_reply_replaced(issued: &PoolCommand, sent: &PoolCommand) -> bool {
    matches!((issued, sent), (PoolCommand::UpstreamReply { .. }, PoolCommand::SkipUpstreamCall { .. }))
}
