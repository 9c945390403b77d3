//! What predecessor and successor tell each other. Times are Unix ms.

/// The version of the protocol. Two processes of different versions don't hand over.
pub const PROTOCOL_VERSION: u32 = 1;

/// Which server a process is. Both processes have to agree on it, since classes and tenants are told by their position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServerIdentity {
    /// The server's name.
    pub name: String,
    /// The names of its classes, in their order.
    pub classes: Vec<String>,
    /// The names of its tenants, in their order.
    pub tenants: Vec<String>,
}

/// A frame from the successor.
#[derive(Clone, Debug, PartialEq)]
pub enum ToPredecessor {
    /// The first frame of a link.
    Hello {
        /// The successor's [`PROTOCOL_VERSION`].
        version: u32,
        /// Which server the successor is. Empty when it was read from another version that has none.
        identity: ServerIdentity,
    },
    /// The successor's link to the worker pool is up: the transfer may begin.
    RequestTransfer,
    /// All keys are loaded.
    Loaded {
        /// How many; it has to equal the number in [`ToSuccessor::SnapshotEnd`].
        keys: u64,
    },
    /// The response to a forwarded request.
    Response(ForwardedResponse),
    /// The successor's health, after each change, from the commit on.
    Health {
        /// What health checks are answered.
        healthy: bool,
        /// The share of the usual traffic that clients are asked to send, if it is limited.
        advertised_share: Option<f64>,
    },
}

/// A frame from the predecessor.
#[derive(Clone, Debug, PartialEq)]
pub enum ToSuccessor {
    /// The answer to `Hello`. The descriptor of the listening socket travels beside this frame.
    Welcome {
        /// The predecessor's [`PROTOCOL_VERSION`].
        version: u32,
        /// The key under which bodies are hashed, so that both processes have the same hashes.
        body_hash_key: [u8; 32],
        /// Whether operators have evacuated the server.
        evacuated: bool,
    },
    /// The predecessor doesn't hand over, and closes the link.
    Refuse {
        /// Why not.
        reason: RefuseReason,
    },
    /// A piece of the snapshot.
    Keys(Vec<KeyRecord>),
    /// The end of the snapshot.
    SnapshotEnd {
        /// How many keys it has.
        keys: u64,
    },
    /// The predecessor owns no key any more; whoever reads this does.
    Commit,
    /// A run of a key that was sent as running has ended; also before the commit.
    RunEnded {
        /// The key.
        key: Vec<u8>,
        /// The attempt that ran.
        attempt: u64,
        /// How it ended.
        end: RunEnd,
    },
    /// A request that came to the predecessor; after the commit only.
    Request(ForwardedRequest),
    /// The client of a forwarded request has left; after the commit only.
    Cancel {
        /// The number of the request.
        request: u64,
    },
    /// The runs that the predecessor has begun and that go on, at each change; after the commit only.
    RunsInProgress {
        /// How many.
        runs: u64,
        /// Their memory, kB.
        memory_kb: f64,
    },
    /// The snapshot may lack keys that ran, since an earlier successor died with what it ran: until then the successor
    /// fails requests of keys that it doesn't know, as the predecessor does. Before `SnapshotEnd`.
    KeysUnknown {
        /// Until when.
        until: f64,
    },
}

/// Why the predecessor doesn't hand over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The successor's version of the protocol is another one.
    OtherVersion,
    /// The successor is another server, or has other classes or tenants.
    OtherIdentity,
    /// Another successor is being served.
    Busy,
    /// The predecessor is ending.
    ShuttingDown,
}

/// A request that the predecessor passes on.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedRequest {
    /// Its number, unique on the link.
    pub request: u64,
    /// The client's attempt.
    pub attempt: u64,
    /// The position of its class.
    pub class: u32,
    /// When it reached the machine.
    pub received_at: f64,
    /// Its memory while queued, kB.
    pub request_kb: f64,
    /// Its priority, 0 to 1.
    pub priority: f64,
    /// Its key in the idempotency table, for classes that have keys.
    pub key: Option<Vec<u8>>,
    /// How long the client waits, ms, when it says so.
    pub timeout_ms: Option<f64>,
    /// The position of its tenant.
    pub tenant: u32,
    /// The billed account, if any.
    pub account: Option<String>,
    /// Whether its result may be shared with other requests.
    pub shareable: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// The successor's answer to a forwarded request.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardedResponse {
    /// The number of the request.
    pub request: u64,
    /// How it ended.
    pub outcome: ForwardedOutcome,
    /// The share of the usual traffic that the client is asked to send, if it is limited.
    pub advertised_share: Option<f64>,
}

/// How a forwarded request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwardedOutcome {
    /// It ran, with this result.
    Completed(Vec<u8>),
    /// It did not run.
    Rejected {
        /// When the client may try again, ms.
        retry_after_ms: f64,
        /// Whether it shall try no other server.
        do_not_retry: bool,
    },
    /// It failed, or may have run.
    Failed,
    /// It was no valid request.
    Invalid,
}

/// How a run of a key ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// With this result.
    Completed(Vec<u8>),
    /// It failed, or its end is unknown.
    Failed,
    /// It never began.
    NotStarted,
}

/// A key of the idempotency table.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The key.
    pub key: Vec<u8>,
    /// The position of its class.
    pub class: u32,
    /// The attempt that was run, if any.
    pub run: Option<RunRecord>,
    /// Until when attempts are duplicates of a run before, if there was one.
    pub previous_window_end: Option<f64>,
}

/// A run of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRecord {
    /// The attempt that was run.
    pub attempt: u64,
    /// The hash of its body.
    pub body_hash: u64,
    /// Attempts received up to this time are its duplicates.
    pub window_end: f64,
    /// Its state.
    pub state: RunRecordState,
}

/// The state of a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunRecordState {
    /// It goes on at the predecessor, which will send [`ToSuccessor::RunEnded`].
    Running,
    /// It failed, or its result is no longer kept.
    Failed,
    /// It completed with this result.
    Completed(Vec<u8>),
}
