//! The wire structures, as specified in `docs/formats/handover.md`.
//!
//! A field number is never reused with another meaning. The two directions have different numbers, so that a
//! frame that is reflected to its sender is refused.

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ToPredecessor {
    #[prost(oneof = "to_predecessor::Kind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<to_predecessor::Kind>,
}

pub(super) mod to_predecessor {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        #[prost(message, tag = "2")]
        RequestTransfer(super::Empty),
        #[prost(message, tag = "3")]
        Loaded(super::KeyCount),
        #[prost(message, tag = "4")]
        Response(super::ForwardedResponse),
        #[prost(message, tag = "5")]
        Health(super::Health),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ToSuccessor {
    #[prost(oneof = "to_successor::Kind", tags = "17, 18, 19, 20, 21, 22, 23, 24, 25, 26")]
    pub kind: Option<to_successor::Kind>,
}

pub(super) mod to_successor {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "17")]
        Welcome(super::Welcome),
        #[prost(message, tag = "18")]
        Refuse(super::Refuse),
        #[prost(message, tag = "19")]
        Keys(super::Keys),
        #[prost(message, tag = "20")]
        SnapshotEnd(super::KeyCount),
        #[prost(message, tag = "21")]
        Commit(super::Empty),
        #[prost(message, tag = "22")]
        RunEnded(super::RunEnded),
        #[prost(message, tag = "23")]
        Request(super::ForwardedRequest),
        #[prost(message, tag = "24")]
        Cancel(super::Cancel),
        #[prost(message, tag = "25")]
        RunsInProgress(super::RunsInProgress),
        #[prost(message, tag = "26")]
        KeysUnknown(super::KeysUnknown),
    }
}

/// Message without fields.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Empty {}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct KeyCount {
    #[prost(uint64, tag = "1")]
    pub keys: u64,
}

/// The first frame of the successor. Its first field is the same in all versions, because it determines how
/// the other fields are read.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Hello {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(message, optional, tag = "2")]
    pub identity: Option<Identity>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Identity {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub classes: Vec<String>,
    #[prost(string, repeated, tag = "3")]
    pub tenants: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ForwardedResponse {
    #[prost(uint64, tag = "1")]
    pub request: u64,
    #[prost(double, optional, tag = "2")]
    pub advertised_share: Option<f64>,
    #[prost(oneof = "outcome::Kind", tags = "3, 4, 5, 6")]
    pub outcome: Option<outcome::Kind>,
}

pub(super) mod outcome {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(bytes, tag = "3")]
        Completed(Vec<u8>),
        #[prost(message, tag = "4")]
        Rejected(super::Rejected),
        #[prost(message, tag = "5")]
        Failed(super::Empty),
        #[prost(message, tag = "6")]
        Invalid(super::Empty),
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Rejected {
    #[prost(double, tag = "1")]
    pub retry_after_ms: f64,
    #[prost(bool, tag = "2")]
    pub do_not_retry: bool,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Health {
    #[prost(bool, tag = "1")]
    pub healthy: bool,
    #[prost(double, optional, tag = "2")]
    pub advertised_share: Option<f64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Welcome {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub body_hash_key: Vec<u8>,
    #[prost(bool, tag = "3")]
    pub evacuated: bool,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Refuse {
    #[prost(uint32, tag = "1")]
    pub reason: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Keys {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<KeyRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct KeyRecord {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(uint32, tag = "2")]
    pub class: u32,
    #[prost(message, optional, tag = "3")]
    pub run: Option<RunRecord>,
    #[prost(double, optional, tag = "4")]
    pub previous_window_end: Option<f64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RunRecord {
    #[prost(fixed64, tag = "1")]
    pub attempt: u64,
    #[prost(fixed64, tag = "2")]
    pub body_hash: u64,
    #[prost(double, tag = "3")]
    pub window_end: f64,
    #[prost(oneof = "run_state::Kind", tags = "4, 5, 6")]
    pub state: Option<run_state::Kind>,
}

pub(super) mod run_state {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "4")]
        Running(super::Empty),
        #[prost(message, tag = "5")]
        Failed(super::Empty),
        #[prost(bytes, tag = "6")]
        Completed(Vec<u8>),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RunEnded {
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    pub attempt: u64,
    #[prost(oneof = "run_end::Kind", tags = "3, 4, 5")]
    pub end: Option<run_end::Kind>,
}

pub(super) mod run_end {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(bytes, tag = "3")]
        Completed(Vec<u8>),
        #[prost(message, tag = "4")]
        Failed(super::Empty),
        #[prost(message, tag = "5")]
        NotStarted(super::Empty),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ForwardedRequest {
    #[prost(uint64, tag = "1")]
    pub request: u64,
    #[prost(fixed64, tag = "2")]
    pub attempt: u64,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(double, tag = "4")]
    pub received_at: f64,
    #[prost(double, tag = "5")]
    pub request_kb: f64,
    #[prost(double, tag = "6")]
    pub priority: f64,
    #[prost(bytes = "vec", optional, tag = "7")]
    pub key: Option<Vec<u8>>,
    #[prost(double, optional, tag = "8")]
    pub timeout_ms: Option<f64>,
    #[prost(uint32, tag = "9")]
    pub tenant: u32,
    #[prost(string, optional, tag = "10")]
    pub account: Option<String>,
    #[prost(bool, tag = "11")]
    pub shareable: bool,
    #[prost(bytes = "vec", tag = "12")]
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Cancel {
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct RunsInProgress {
    #[prost(uint64, tag = "1")]
    pub runs: u64,
    #[prost(double, tag = "2")]
    pub memory_kb: f64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct KeysUnknown {
    #[prost(double, tag = "1")]
    pub until: f64,
}
