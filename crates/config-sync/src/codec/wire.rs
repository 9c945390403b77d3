//! Structures on the wire and on disk, as specified in `docs/formats/config-sync.md`. Field numbers are never
//! reused with another meaning. Messages from clients and from servers have different numbers, so that a
//! frame reflected to its sender is rejected.

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ToServer {
    #[prost(oneof = "to_server::Kind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<to_server::Kind>,
}

pub(super) mod to_server {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "1")]
        Watch(super::Watch),
        #[prost(message, tag = "2")]
        FetchDifferences(super::FetchDifferences),
        #[prost(uint32, tag = "3")]
        PieceTaken(u32),
        #[prost(message, tag = "4")]
        Progress(super::Progress),
        #[prost(message, tag = "5")]
        Alive(super::Alive),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ToClient {
    #[prost(oneof = "to_client::Kind", tags = "17, 18, 19, 20, 21, 22")]
    pub kind: Option<to_client::Kind>,
}

pub(super) mod to_client {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "17")]
        Deltas(super::Deltas),
        #[prost(message, tag = "18")]
        Resync(super::Position),
        #[prost(uint64, tag = "19")]
        Busy(u64),
        #[prost(message, tag = "20")]
        Piece(super::Piece),
        #[prost(message, tag = "21")]
        SnapshotEnd(super::SnapshotEnd),
        #[prost(message, tag = "22")]
        Heartbeat(super::Heartbeat),
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Position {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// The fields of [`Position`], and the age of the server's state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Digest {
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub region: String,
    /// Role of the client: 1 for a relay, 2 for a subscriber.
    #[prost(uint32, tag = "4")]
    pub role: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Watch {
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    #[prost(message, optional, tag = "2")]
    pub position: Option<Position>,
    #[prost(message, optional, tag = "3")]
    pub digest: Option<Digest>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FetchDifferences {
    #[prost(fixed64, repeated, tag = "1")]
    pub bucket_digests: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Progress {
    #[prost(message, repeated, tag = "1")]
    pub zones: Vec<ZoneProgress>,
    #[prost(message, repeated, tag = "2")]
    pub refusals: Vec<Refusal>,
}

/// Keep-alive without fields.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Alive {}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ZoneProgress {
    #[prost(string, tag = "1")]
    pub zone: String,
    #[prost(uint32, tag = "2")]
    pub subscribers: u32,
    #[prost(message, optional, tag = "3")]
    pub least: Option<Position>,
    #[prost(uint32, tag = "4")]
    pub refusing: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Refusal {
    #[prost(string, tag = "1")]
    pub member: String,
    #[prost(message, optional, tag = "2")]
    pub position: Option<Position>,
    #[prost(string, tag = "3")]
    pub reason: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Deltas {
    #[prost(message, repeated, tag = "1")]
    pub transactions: Vec<Transaction>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Transaction {
    #[prost(message, optional, tag = "1")]
    pub position: Option<Position>,
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<Change>,
    #[prost(message, optional, tag = "3")]
    pub digest: Option<Digest>,
    #[prost(uint64, tag = "4")]
    pub published_unix_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Change {
    #[prost(oneof = "change::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<change::Kind>,
}

pub(super) mod change {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "1")]
        PutTenant(super::TenantAllowance),
        #[prost(message, tag = "2")]
        PutRoute(super::Route),
        #[prost(message, tag = "3")]
        PutClass(super::ClassLimit),
        #[prost(string, tag = "4")]
        DeleteTenant(String),
        #[prost(string, tag = "5")]
        DeleteRoute(String),
        #[prost(string, tag = "6")]
        DeleteClass(String),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct TenantAllowance {
    #[prost(string, tag = "1")]
    pub tenant: String,
    #[prost(uint64, tag = "2")]
    pub milli_per_second: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Route {
    #[prost(string, tag = "1")]
    pub route: String,
    #[prost(string, tag = "2")]
    pub class: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ClassLimit {
    #[prost(string, tag = "1")]
    pub class: String,
    #[prost(uint32, tag = "2")]
    pub max_running: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Resource {
    #[prost(oneof = "resource::Kind", tags = "1, 2, 3")]
    pub kind: Option<resource::Kind>,
}

pub(super) mod resource {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(in crate::codec) enum Kind {
        #[prost(message, tag = "1")]
        Tenant(super::TenantAllowance),
        #[prost(message, tag = "2")]
        Route(super::Route),
        #[prost(message, tag = "3")]
        Class(super::ClassLimit),
    }
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Piece {
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    #[prost(message, repeated, tag = "2")]
    pub buckets: Vec<BucketContent>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct BucketContent {
    #[prost(uint32, tag = "1")]
    pub bucket: u32,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SnapshotEnd {
    #[prost(message, optional, tag = "1")]
    pub position: Option<Position>,
    #[prost(message, optional, tag = "2")]
    pub digest: Option<Digest>,
    #[prost(uint32, tag = "3")]
    pub pieces: u32,
    #[prost(uint64, tag = "4")]
    pub published_unix_ms: u64,
}
