//! Records in the stores of publishers and subscribers: transactions, starts of epochs, and snapshots of a
//! whole table, which replace all earlier records.

use super::convert::{digest, position};
use super::{DecodeError, wire};
use crate::resource::{Change, Digest, Position, Resource, Transaction};
use prost::Message as _;
use std::sync::Arc;

/// Current version of the record format.
pub const RECORD_VERSION: u8 = 1;

/// A record of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A new epoch begins at revision 0 with the current table.
    Epoch(u64),
    /// A transaction that follows the previous one.
    Transaction {
        /// The transaction.
        transaction: Arc<Transaction>,
        /// Whether the round server that owns the state refused the transaction; false in a publisher's store.
        refused: bool,
    },
}

/// Header of a snapshot, followed by the resources of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotHeader {
    /// Position of the snapshot.
    pub position: Position,
    /// Digest of the whole table.
    pub digest: Digest,
    /// Time at which the publisher accepted the last transaction, Unix ms.
    pub published_unix_ms: u64,
    /// Number of resources that follow.
    pub resources: u64,
    /// Changes that lead from the table to the settings in force in a round server; empty in a publisher's
    /// store.
    pub held_back: Vec<Change>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(oneof = "Kind", tags = "1, 2, 3")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(uint64, tag = "1")]
    Epoch(u64),
    #[prost(message, tag = "2")]
    Transaction(wire::Transaction),
    #[prost(message, tag = "3")]
    RefusedTransaction(wire::Transaction),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHeader {
    #[prost(message, optional, tag = "1")]
    position: Option<wire::Position>,
    #[prost(message, optional, tag = "2")]
    digest: Option<wire::Digest>,
    #[prost(uint64, tag = "3")]
    published_unix_ms: u64,
    #[prost(uint64, tag = "4")]
    resources: u64,
    #[prost(message, repeated, tag = "5")]
    held_back: Vec<wire::Change>,
}

/// Returns the encoding of a record.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let kind = match record {
        Record::Epoch(epoch) => Kind::Epoch(*epoch),
        Record::Transaction { transaction, refused: false } => Kind::Transaction((&**transaction).into()),
        Record::Transaction { transaction, refused: true } => {
            Kind::RefusedTransaction((&**transaction).into())
        }
    };
    let record = WireRecord { kind: Some(kind) };
    let mut bytes = Vec::with_capacity(1 + record.encoded_len());
    bytes.push(RECORD_VERSION);
    record.encode_raw(&mut bytes);
    bytes
}

/// Decodes a record.
///
/// # Errors
/// Returns a [`DecodeError`] for the first invalid field.
pub fn decode_record(bytes: &[u8]) -> Result<Record, DecodeError> {
    let record = WireRecord::decode(strip_version(bytes)?)?;
    match record.kind.ok_or(DecodeError::Missing("record"))? {
        Kind::Epoch(epoch) => Ok(Record::Epoch(epoch)),
        Kind::Transaction(transaction) => transaction_record(transaction, false),
        Kind::RefusedTransaction(transaction) => transaction_record(transaction, true),
    }
}

fn transaction_record(transaction: wire::Transaction, refused: bool) -> Result<Record, DecodeError> {
    Ok(Record::Transaction { transaction: Arc::new(transaction.try_into()?), refused })
}

/// Returns the encoding of a snapshot. `header.resources` must be the number of resources.
pub fn encode_snapshot<'a>(
    header: &SnapshotHeader,
    resources: impl Iterator<Item = &'a Resource>,
) -> Vec<u8> {
    let header = WireHeader {
        position: Some(header.position.into()),
        digest: Some(header.digest.into()),
        published_unix_ms: header.published_unix_ms,
        resources: header.resources,
        held_back: header.held_back.iter().map(wire::Change::from).collect(),
    };
    let mut bytes = vec![RECORD_VERSION];
    put_delimited(&header, &mut bytes);
    for resource in resources {
        put_delimited(&wire::Resource::from(resource), &mut bytes);
    }
    bytes
}

fn put_delimited(message: &impl prost::Message, bytes: &mut Vec<u8>) {
    prost::encode_length_delimiter(message.encoded_len(), bytes).expect("a vector grows");
    message.encode_raw(bytes);
}

/// Decodes a snapshot one resource at a time, so that the resources are not held in memory twice.
#[derive(Debug)]
pub struct SnapshotReader<'a> {
    header: SnapshotHeader,
    remaining: u64,
    rest: &'a [u8],
}

impl<'a> SnapshotReader<'a> {
    /// Decodes the header.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] for the first invalid field.
    pub fn new(bytes: &'a [u8]) -> Result<SnapshotReader<'a>, DecodeError> {
        let mut rest = strip_version(bytes)?;
        let header = WireHeader::decode_length_delimited(&mut rest)?;
        let header = SnapshotHeader {
            position: position("snapshot.position", header.position)?,
            digest: digest("snapshot.digest", header.digest)?,
            published_unix_ms: header.published_unix_ms,
            resources: header.resources,
            held_back: header.held_back.into_iter().map(Change::try_from).collect::<Result<_, _>>()?,
        };
        Ok(SnapshotReader { remaining: header.resources, header, rest })
    }

    /// Returns the header of the snapshot.
    pub fn header(&self) -> &SnapshotHeader {
        &self.header
    }

    fn read(&mut self) -> Result<Resource, DecodeError> {
        wire::Resource::decode_length_delimited(&mut self.rest)?.try_into()
    }
}

impl Iterator for SnapshotReader<'_> {
    type Item = Result<Resource, DecodeError>;

    /// Returns the next resource. A truncated snapshot, or one with bytes after the last resource, ends with
    /// an error.
    fn next(&mut self) -> Option<Self::Item> {
        if self.remaining == 0 {
            let trailing = std::mem::take(&mut self.rest).len();
            let error = DecodeError::Value { field: "snapshot.bytes_behind", value: trailing as u64 };
            return (trailing > 0).then_some(Err(error));
        }
        self.remaining -= 1;
        let read = self.read();
        if read.is_err() {
            self.remaining = 0;
            self.rest = &[];
        }
        Some(read)
    }
}

fn strip_version(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    match bytes.split_first() {
        Some((&RECORD_VERSION, rest)) => Ok(rest),
        Some((version, _)) => Err(DecodeError::Version(*version)),
        None => Err(DecodeError::Missing("record")),
    }
}
