//! Encoding and decoding of messages.

use super::convert::{check_max, digest, position};
use super::{DecodeError, wire};
use crate::message::{
    BUCKETS, BucketContent, MAX_AGE_MS, MAX_REPORTED_REFUSALS, MAX_REPORTED_ZONES, Member, Refusal, ToClient,
    ToServer, ZoneProgress,
};
use crate::resource::{Position, Transaction};
use prost::Message as _;
use std::sync::Arc;

/// Appends the encoding of a message to a server.
pub fn encode_to_server(message: &ToServer, out: &mut Vec<u8>) {
    use wire::to_server::Kind;
    let kind = match message {
        ToServer::Watch { member, position, digest } => Kind::Watch(wire::Watch {
            member: Some(member.into()),
            position: Some((*position).into()),
            digest: Some((*digest).into()),
        }),
        ToServer::FetchDifferences { bucket_digests } => {
            Kind::FetchDifferences(wire::FetchDifferences { bucket_digests: bucket_digests.clone() })
        }
        ToServer::PieceTaken { sequence } => Kind::PieceTaken(*sequence),
        ToServer::Progress { zones, refusals } => Kind::Progress(wire::Progress {
            zones: zones.iter().map(wire::ZoneProgress::from).collect(),
            refusals: refusals.iter().map(wire::Refusal::from).collect(),
        }),
        ToServer::Alive => Kind::Alive(wire::Alive {}),
    };
    encode(&wire::ToServer { kind: Some(kind) }, out);
}

/// Decodes a message to a server.
///
/// # Errors
/// Returns a [`DecodeError`] for the first invalid field.
pub fn decode_to_server(payload: &[u8]) -> Result<ToServer, DecodeError> {
    use wire::to_server::Kind;
    let message = wire::ToServer::decode(payload)?;
    match message.kind.ok_or(DecodeError::Missing("message to a server"))? {
        Kind::Watch(watch) => Ok(ToServer::Watch {
            member: Member::try_from(watch.member.ok_or(DecodeError::Missing("watch.member"))?)?,
            position: position("watch.position", watch.position)?,
            digest: digest("watch.digest", watch.digest)?,
        }),
        Kind::FetchDifferences(fetch) => {
            let count = fetch.bucket_digests.len();
            if count != 0 && count != BUCKETS {
                return Err(DecodeError::Value { field: "bucket_digests", value: count as u64 });
            }
            Ok(ToServer::FetchDifferences { bucket_digests: fetch.bucket_digests })
        }
        Kind::PieceTaken(sequence) => Ok(ToServer::PieceTaken { sequence }),
        Kind::Alive(_) => Ok(ToServer::Alive),
        Kind::Progress(progress) => {
            check_max("zones", progress.zones.len(), MAX_REPORTED_ZONES)?;
            check_max("refusals", progress.refusals.len(), MAX_REPORTED_REFUSALS)?;
            Ok(ToServer::Progress {
                zones: convert(progress.zones, ZoneProgress::try_from)?,
                refusals: convert(progress.refusals, Refusal::try_from)?,
            })
        }
    }
}

/// Appends the encoding of a message to a client.
pub fn encode_to_client(message: &ToClient, out: &mut Vec<u8>) {
    use wire::to_client::Kind;
    let kind = match message {
        ToClient::Deltas(transactions) => Kind::Deltas(wire::Deltas {
            transactions: transactions.iter().map(|transaction| (&**transaction).into()).collect(),
        }),
        ToClient::Resync { head } => Kind::Resync((*head).into()),
        ToClient::Busy { retry_after_ms } => Kind::Busy(*retry_after_ms),
        ToClient::Piece { sequence, buckets } => Kind::Piece(wire::Piece {
            sequence: *sequence,
            buckets: buckets.iter().map(wire::BucketContent::from).collect(),
        }),
        ToClient::SnapshotEnd { position, digest, pieces, published_unix_ms } => {
            Kind::SnapshotEnd(wire::SnapshotEnd {
                position: Some((*position).into()),
                digest: Some((*digest).into()),
                pieces: *pieces,
                published_unix_ms: *published_unix_ms,
            })
        }
        ToClient::Heartbeat { head, age_ms } => {
            Kind::Heartbeat(wire::Heartbeat { epoch: head.epoch, revision: head.revision, age_ms: *age_ms })
        }
    };
    encode(&wire::ToClient { kind: Some(kind) }, out);
}

/// Decodes a message to a client.
///
/// # Errors
/// Returns a [`DecodeError`] for the first invalid field.
pub fn decode_to_client(payload: &[u8]) -> Result<ToClient, DecodeError> {
    use wire::to_client::Kind;
    let message = wire::ToClient::decode(payload)?;
    Ok(match message.kind.ok_or(DecodeError::Missing("message to a client"))? {
        Kind::Deltas(deltas) => {
            let read = |transaction| Transaction::try_from(transaction).map(Arc::new);
            ToClient::Deltas(convert(deltas.transactions, read)?)
        }
        Kind::Resync(head) => ToClient::Resync { head: head.into() },
        Kind::Busy(retry_after_ms) => ToClient::Busy { retry_after_ms },
        Kind::Piece(piece) => {
            check_max("buckets", piece.buckets.len(), BUCKETS)?;
            let buckets = convert(piece.buckets, BucketContent::try_from)?;
            ToClient::Piece { sequence: piece.sequence, buckets }
        }
        Kind::SnapshotEnd(end) => ToClient::SnapshotEnd {
            position: position("snapshot_end.position", end.position)?,
            digest: digest("snapshot_end.digest", end.digest)?,
            pieces: end.pieces,
            published_unix_ms: end.published_unix_ms,
        },
        Kind::Heartbeat(heartbeat) => decode_heartbeat(&heartbeat)?,
    })
}

fn decode_heartbeat(heartbeat: &wire::Heartbeat) -> Result<ToClient, DecodeError> {
    let age_ms = heartbeat.age_ms;
    if age_ms > MAX_AGE_MS {
        return Err(DecodeError::Value { field: "heartbeat.age_ms", value: age_ms });
    }
    let head = Position { epoch: heartbeat.epoch, revision: heartbeat.revision };
    Ok(ToClient::Heartbeat { head, age_ms })
}

fn convert<W, T>(
    items: Vec<W>,
    convert_one: impl Fn(W) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    items.into_iter().map(convert_one).collect()
}

fn encode(message: &impl prost::Message, out: &mut Vec<u8>) {
    // `encode_raw` needs no size check here: a vector grows, unlike a buffer of fixed size.
    out.reserve(message.encoded_len());
    message.encode_raw(out);
}
