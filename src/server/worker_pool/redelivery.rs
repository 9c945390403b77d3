//! Decision on a command whose link has ended: whether it is sent over the next link.
//!
//! # Invariants
//! A command that may have been carried out is sent again only if carrying it out a second time is harmless.
//! An upstream reply is not: it names no call, so that the run would take it for the reply to its next call.

use super::command_delivery::Delivery;
use crate::server::messages::PoolCommand;

/// The properties of a request that decide on its commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RedeliveryContext {
    /// Whether the request may be run more than once.
    pub is_idempotent: bool,
    /// Whether a run of the request's class may continue without its upstream call.
    pub may_skip_calls: bool,
    /// Whether the request has its final response, or its client has cancelled.
    pub is_answered: bool,
}

/// The decision on a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Redelivery {
    /// Send this command, which is the same one or takes its place.
    Send(PoolCommand),
    /// Send nothing: the command was carried out, or sending it again could do harm.
    Keep,
}

/// Returns the decision on a command with this delivery.
pub fn redelivery(command: &PoolCommand, delivery: Delivery, context: RedeliveryContext) -> Redelivery {
    match delivery {
        Delivery::NotWritten => Redelivery::Send(command.clone()),
        Delivery::InDoubt => redelivery_in_doubt(command, context),
        Delivery::Delivered | Delivery::Sent(_) => Redelivery::Keep,
    }
}

/// Returns the decision on a command that may have been carried out.
fn redelivery_in_doubt(command: &PoolCommand, context: RedeliveryContext) -> Redelivery {
    match *command {
        // The run may have ended in the meantime, and would run a second time.
        PoolCommand::Run { .. } if !context.is_idempotent => Redelivery::Keep,
        // Skipping names the call, and has no effect if the run no longer waits for it. The pool itself ends a
        // run that waits for a call of an answered request.
        PoolCommand::UpstreamReply { attempt, seq, .. } => {
            if !context.may_skip_calls || context.is_answered {
                return Redelivery::Keep;
            }
            Redelivery::Send(PoolCommand::SkipUpstreamCall { attempt, seq })
        }
        PoolCommand::Run { .. }
        | PoolCommand::Suspend { .. }
        | PoolCommand::Resume { .. }
        | PoolCommand::SkipUpstreamCall { .. } => Redelivery::Send(command.clone()),
        PoolCommand::ReadGauges { .. } => Redelivery::Keep,
    }
}
