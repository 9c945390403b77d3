//! Messages between predecessor and successor. Times are Unix milliseconds.

/// Version of the protocol. A handover requires that both processes have the same version.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identity of the server that a process runs as.
///
/// It has to be equal in both processes, because messages refer to classes and tenants by their position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServerIdentity {
    /// The server's name.
    pub name: String,
    /// The names of the server's classes, by position.
    pub classes: Vec<String>,
    /// The names of the server's tenants, by position.
    pub tenants: Vec<String>,
}

/// A frame from the successor.
#[derive(Clone, Debug, PartialEq)]
pub enum ToPredecessor {
    /// Identifies the successor; the first frame on a link.
    Hello {
        /// The successor's [`PROTOCOL_VERSION`].
        version: u32,
        /// The identity of the successor. Empty if the frame came from another version without an identity.
        identity: ServerIdentity,
    },
    /// Requests the transfer: the successor is connected to its worker pool.
    RequestTransfer,
    /// Confirms that the successor has loaded all keys.
    Loaded {
        /// Number of loaded keys; has to equal the number in [`ToSuccessor::SnapshotEnd`].
        keys: u64,
    },
    /// The response to a forwarded request.
    Response(ForwardedResponse),
    /// The successor's health. Sent after each change, from the commit on.
    Health {
        /// Whether health checks are answered as healthy.
        healthy: bool,
        /// The share of their usual traffic that clients should send, if it is limited.
        advertised_share: Option<f64>,
    },
}

/// A frame from the predecessor.
#[derive(Clone, Debug, PartialEq)]
pub enum ToSuccessor {
    /// Accepts `Hello`. The file descriptor of the listening socket is sent along with this frame.
    Welcome {
        /// The predecessor's [`PROTOCOL_VERSION`].
        version: u32,
        /// The key for hashing request bodies, so that both processes compute the same hashes.
        body_hash_key: [u8; 32],
        /// Whether the server is evacuated.
        evacuated: bool,
    },
    /// Refuses the handover. The predecessor closes the link after this frame.
    Refuse {
        /// The reason for the refusal.
        reason: RefuseReason,
    },
    /// A piece of the snapshot, with the records of some keys.
    Keys(Vec<KeyRecord>),
    /// Ends the snapshot.
    SnapshotEnd {
        /// Number of keys in the whole snapshot.
        keys: u64,
    },
    /// Transfers the ownership of all keys: the predecessor has given it up, and the successor takes it on
    /// receipt.
    Commit,
    /// Reports the end of a run that the snapshot contained as running. May be sent before the commit.
    RunEnded {
        /// The key.
        key: Vec<u8>,
        /// The attempt whose run has ended.
        attempt: u64,
        /// The outcome of the run.
        end: RunEnd,
    },
    /// Forwards a request that the predecessor received. Sent only after the commit.
    Request(ForwardedRequest),
    /// Reports that the client of a forwarded request has disconnected. Sent only after the commit.
    Cancel {
        /// The number of the forwarded request.
        request: u64,
    },
    /// Reports the predecessor's unfinished runs, after each change. Sent only after the commit.
    RunsInProgress {
        /// Number of unfinished runs.
        runs: u64,
        /// Memory of the unfinished runs, kB.
        memory_kb: f64,
    },
    /// Announces that the snapshot may lack keys that have run, because an earlier successor died after the
    /// commit and the keys that it ran are lost. Until the given time the successor fails requests with keys
    /// that it doesn't know, as the predecessor does. Sent before `SnapshotEnd`.
    KeysUnknown {
        /// The time until which requests with unknown keys fail.
        until: f64,
    },
}

/// Reason why the predecessor refuses a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The successor has a different version of the protocol.
    OtherVersion,
    /// The successor has a different server name, or different classes or tenants.
    OtherIdentity,
    /// The predecessor has a link to another successor.
    Busy,
    /// The predecessor is shutting down.
    ShuttingDown,
}

/// A request that the predecessor forwards to the successor.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// The number of the request, unique on the link.
    pub request: u64,
    /// The number of the client's attempt.
    pub attempt: u64,
    /// The position of the request's class.
    pub class: u32,
    /// Time at which the request reached the machine.
    pub received_at: f64,
    /// Memory of the request while it is queued, kB.
    pub request_kb: f64,
    /// Priority of the request, 0 to 1.
    pub priority: f64,
    /// The idempotency key of the request, for classes that have keys.
    pub key: Option<Vec<u8>>,
    /// The client timeout, ms, if the client sent it.
    pub timeout_ms: Option<f64>,
    /// The position of the request's tenant.
    pub tenant: u32,
    /// The billed account, if there is one.
    pub account: Option<String>,
    /// Whether the result of the request may be shared with other requests.
    pub shareable: bool,
    /// The body of the request.
    pub body: Vec<u8>,
}

/// The successor's response to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedResponse {
    /// The number of the forwarded request.
    pub request: u64,
    /// The outcome of the request.
    pub outcome: ForwardedOutcome,
    /// The share of its usual traffic that the client should send, if it is limited.
    pub advertised_share: Option<f64>,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardedOutcome {
    /// The request ran and had this result.
    Completed(Vec<u8>),
    /// The request was rejected and has not run.
    Rejected {
        /// Time after which the client may retry, ms.
        retry_after_ms: f64,
        /// Whether the client must not retry at another server.
        do_not_retry: bool,
    },
    /// The request failed; it may have run.
    Failed,
    /// The request was invalid.
    Invalid,
}

/// Outcome of a run of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The run completed with this result.
    Completed(Vec<u8>),
    /// The run failed, or its outcome is unknown.
    Failed,
    /// The run never began.
    NotStarted,
}

/// Record of a key of the idempotency table.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The key.
    pub key: Vec<u8>,
    /// The position of the key's class.
    pub class: u32,
    /// The last run of the key, if there was one.
    pub run: Option<RunRecord>,
    /// Attempts received up to this time are duplicates of an earlier run that was superseded, if there was
    /// one.
    pub previous_window_end: Option<f64>,
}

/// Record of a run of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The number of the attempt that was run.
    pub attempt: u64,
    /// The hash of the attempt's body.
    pub body_hash: u64,
    /// Attempts received up to this time are duplicates of the run.
    pub window_end: f64,
    /// The state of the run.
    pub state: RunRecordState,
}

/// State of a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunRecordState {
    /// The run is in progress at the predecessor, which sends [`ToSuccessor::RunEnded`] when it ends.
    Running,
    /// The run failed, or its result is no longer cached.
    Failed,
    /// The run completed with this result.
    Completed(Vec<u8>),
}
