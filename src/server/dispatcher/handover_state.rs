//! What the dispatcher keeps of a handover: to the process after this one, and from the one before.

use super::waiting_requests::WaitingRequests;
use crate::admission::RequestId;
use crate::config::Config;
use crate::server::messages::{ConnectionMessage, IncomingRequest, ReplyHandle, SuccessorFrame};
use crate::server::request_ids::RequestIdSequence;
use async_channel::Sender;
use dunlinspread_handover::{Predecessor, PredecessorPhase, ServerIdentity, ToPredecessor, ToSuccessor};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::net::TcpListener;
use std::rc::Rc;

/// What the successor tells clients through this process.
#[derive(Clone, Copy)]
pub(super) struct SuccessorHealth {
    pub(super) healthy: bool,
    pub(super) advertised_share: Option<f64>,
}

/// The state of a handover to a successor.
pub(super) struct HandingOver {
    pub(super) machine: Predecessor,
    /// The listening socket, of which the successor gets a descriptor.
    pub(super) listening_socket: Option<TcpListener>,
    /// Frames for the successor, while a link is up.
    pub(super) successor: Option<Sender<SuccessorFrame>>,
    /// Requests that wait for the end of the transfer.
    pub(super) held: WaitingRequests<IncomingRequest>,
    /// Where the responses to forwarded requests go.
    pub(super) forwarded: WaitingRequests<ReplyHandle>,
    pub(super) successor_health: SuccessorHealth,
    /// The number of the time limit that is running.
    pub(super) time_limit: u64,
}

impl HandingOver {
    /// Returns the state of a process that hands over to nobody.
    pub(super) fn new() -> HandingOver {
        HandingOver {
            machine: Predecessor::new(ServerIdentity::default()),
            listening_socket: None,
            successor: None,
            held: WaitingRequests::default(),
            forwarded: WaitingRequests::default(),
            successor_health: SuccessorHealth { healthy: true, advertised_share: None },
            time_limit: 0,
        }
    }

    /// Returns whether the keys are on their way to the successor.
    pub(super) fn is_transferring(&self) -> bool {
        self.machine.phase() == PredecessorPhase::Transferring
    }

    /// Returns whether the keys are on their way to the successor, or there.
    pub(super) fn is_under_way(&self) -> bool {
        self.is_transferring() || self.is_handed_over()
    }

    /// Returns whether the successor decides.
    pub(super) fn is_handed_over(&self) -> bool {
        self.machine.phase() == PredecessorPhase::HandedOver
    }

    /// Returns what the successor tells clients, once it decides.
    pub(super) fn successor_health(&self) -> Option<SuccessorHealth> {
        self.is_handed_over().then_some(self.successor_health)
    }

    /// Returns the number of requests that are held or forwarded.
    pub(super) fn len(&self) -> usize {
        self.held.len() + self.forwarded.len()
    }

    pub(super) fn send(&self, message: ToSuccessor) {
        self.send_with(SuccessorFrame { message, descriptor: None });
    }

    pub(super) fn send_with(&self, frame: SuccessorFrame) {
        if let Some(successor) = &self.successor {
            // The queue is unbounded; it is closed once the link has ended, which is told by a message of its own.
            let _ = successor.try_send(frame);
        }
    }
}

/// The state of a handover from a predecessor.
pub(super) struct TakingOver {
    /// Whether this process decides.
    pub(super) is_owner: bool,
    /// Told once the link to the worker pool is up.
    pub(super) can_serve: Option<Sender<()>>,
    /// Frames for the predecessor, from the commit to its end.
    pub(super) predecessor: Option<Sender<ToPredecessor>>,
    /// Takes the responses to forwarded requests.
    pub(super) responses: Option<Sender<ConnectionMessage>>,
    /// Runs of the predecessor whose end is awaited, by key: their attempt's number there and the id here.
    pub(super) pending_runs: HashMap<Vec<u8>, PendingRun>,
    /// Forwarded requests by their number at the predecessor.
    pub(super) forwarded: HashMap<u64, RequestId>,
    pub(super) predecessor_load: PredecessorLoad,
    pub(super) told_health: Option<(bool, Option<f64>)>,
    pub(super) request_ids: Rc<RequestIdSequence>,
}

/// What the predecessor still runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PredecessorLoad {
    /// Runs.
    pub(super) runs: u64,
    /// The memory that they take, kB.
    pub(super) memory_kb: f64,
}

/// A run of the predecessor whose end is awaited.
pub(super) struct PendingRun {
    /// The number of its attempt at the predecessor.
    pub(super) attempt: u64,
    /// The id under which its key is known here.
    pub(super) id: RequestId,
}

impl TakingOver {
    /// Returns the state of a process that decides from its start on.
    pub(super) fn new(request_ids: Rc<RequestIdSequence>) -> TakingOver {
        TakingOver {
            is_owner: true,
            can_serve: None,
            predecessor: None,
            responses: None,
            pending_runs: HashMap::new(),
            forwarded: HashMap::new(),
            predecessor_load: PredecessorLoad::default(),
            told_health: None,
            request_ids,
        }
    }
}

/// Returns which server a process with this configuration is.
///
/// The tenants are stated by a digest: their names, of which there may be several hundred thousand, would not fit in a
/// frame.
pub fn server_identity(config: &Config) -> ServerIdentity {
    let mut digest = Sha256::new();
    for tenant in &config.tenants {
        digest.update((tenant.len() as u64).to_be_bytes());
        digest.update(tenant);
    }
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    ServerIdentity { name: config.name.clone(), classes: config.classes.clone(), tenants: vec![digest] }
}
