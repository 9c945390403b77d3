//! State of the dispatcher in a handover: to the successor of this process, and from its predecessor.

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

/// Health and advertised share that the successor reports, which this process passes on to clients.
#[derive(Clone, Copy)]
pub(super) struct SuccessorHealth {
    pub(super) healthy: bool,
    pub(super) advertised_share: Option<f64>,
}

/// The state of a handover to a successor.
pub(super) struct HandingOver {
    pub(super) state_machine: Predecessor,
    /// The listening socket; the successor receives a duplicate of its descriptor.
    pub(super) listening_socket: Option<TcpListener>,
    /// Queue of frames for the successor, while a link is up.
    pub(super) successor: Option<Sender<SuccessorFrame>>,
    /// Requests that are held until the transfer ends.
    pub(super) held: WaitingRequests<IncomingRequest>,
    /// Reply handles of the forwarded requests.
    pub(super) forwarded: WaitingRequests<ReplyHandle>,
    pub(super) successor_health: SuccessorHealth,
    /// Number of the latest step timer; a timeout with another number is ignored.
    pub(super) step_timer: u64,
}

impl HandingOver {
    /// Returns the state of a process without a successor.
    pub(super) fn new() -> HandingOver {
        HandingOver {
            state_machine: Predecessor::new(ServerIdentity::default()),
            listening_socket: None,
            successor: None,
            held: WaitingRequests::default(),
            forwarded: WaitingRequests::default(),
            successor_health: SuccessorHealth { healthy: true, advertised_share: None },
            step_timer: 0,
        }
    }

    /// Returns whether the keys are being transferred to the successor.
    pub(super) fn is_transferring(&self) -> bool {
        self.state_machine.phase() == PredecessorPhase::Transferring
    }

    /// Returns whether the keys are being transferred to the successor, or the handover is committed.
    pub(super) fn is_under_way(&self) -> bool {
        self.is_transferring() || self.is_handed_over()
    }

    /// Returns whether the handover is committed and the successor decides on requests.
    pub(super) fn is_handed_over(&self) -> bool {
        self.state_machine.phase() == PredecessorPhase::HandedOver
    }

    /// Returns the health that the successor reports; `None` before the handover is committed.
    pub(super) fn successor_health(&self) -> Option<SuccessorHealth> {
        self.is_handed_over().then_some(self.successor_health)
    }

    /// Returns the number of requests that are held or forwarded.
    pub(super) fn waiting_count(&self) -> usize {
        self.held.len() + self.forwarded.len()
    }

    pub(super) fn send(&self, message: ToSuccessor) {
        self.send_with(SuccessorFrame { message, descriptor: None });
    }

    pub(super) fn send_with(&self, frame: SuccessorFrame) {
        if let Some(successor) = &self.successor {
            // The queue is unbounded. It is closed once the link has ended, which a separate message reports.
            let _ = successor.try_send(frame);
        }
    }
}

/// The state of a handover from a predecessor.
pub(super) struct TakingOver {
    /// Whether this process owns the keys and decides on requests.
    pub(super) is_owner: bool,
    /// Notified once the link to the worker pool is up.
    pub(super) can_serve: Option<Sender<()>>,
    /// Queue of frames for the predecessor, from the commit until the predecessor ends.
    pub(super) predecessor: Option<Sender<ToPredecessor>>,
    /// Queue for the responses to forwarded requests.
    pub(super) responses: Option<Sender<ConnectionMessage>>,
    /// Runs of the predecessor whose end is awaited, by idempotency key.
    pub(super) pending_runs: HashMap<Vec<u8>, PendingRun>,
    /// Ids of the forwarded requests, by their number at the predecessor.
    pub(super) forwarded: HashMap<u64, RequestId>,
    pub(super) predecessor_load: PredecessorLoad,
    /// Health and advertised share last reported to the predecessor.
    pub(super) reported_health: Option<(bool, Option<f64>)>,
    pub(super) request_ids: Rc<RequestIdSequence>,
}

/// Load of the runs that continue in the predecessor.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PredecessorLoad {
    /// Number of runs.
    pub(super) runs: u64,
    /// Memory that the runs take, kB.
    pub(super) memory_kb: f64,
}

/// A run of the predecessor whose end is awaited.
pub(super) struct PendingRun {
    /// Number of the run's attempt at the predecessor.
    pub(super) attempt: u64,
    /// Id under which this process has recorded the run of the key.
    pub(super) id: RequestId,
}

impl TakingOver {
    /// Returns the state of a process that starts without a predecessor and decides from its start on.
    pub(super) fn new(request_ids: Rc<RequestIdSequence>) -> TakingOver {
        TakingOver {
            is_owner: true,
            can_serve: None,
            predecessor: None,
            responses: None,
            pending_runs: HashMap::new(),
            forwarded: HashMap::new(),
            predecessor_load: PredecessorLoad::default(),
            reported_health: None,
            request_ids,
        }
    }
}

/// Returns the identity of the server that a process with this configuration belongs to.
///
/// The identity has a digest of the tenants: their names, of which there may be several hundred thousand,
/// would not fit in a frame.
pub fn server_identity(config: &Config) -> ServerIdentity {
    let mut digest = Sha256::new();
    for tenant in &config.tenants {
        digest.update((tenant.len() as u64).to_be_bytes());
        digest.update(tenant);
    }
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    ServerIdentity { name: config.name.clone(), classes: config.classes.clone(), tenants: vec![digest] }
}
