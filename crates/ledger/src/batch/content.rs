//! The content of a batch, its bytes and their digest.

use crate::line::{Close, LineError, Unbilled};
use crate::line_id::LineId;
use crate::outcome::Outcome;
use prost::Message;
use sha2::{Digest as _, Sha256};

/// A batch as it is sent and stored.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The id of its ledger; a server whose ledger was lost begins another.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// The batch's number in that ledger, from 1.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The digest of the batch before, empty in the first.
    #[prost(bytes = "vec", tag = "4")]
    pub previous: Vec<u8>,
    /// The periods that it is of.
    #[prost(message, required, tag = "5")]
    pub close: Close,
    /// The number of the close line.
    #[prost(uint64, tag = "6")]
    pub close_line: u64,
    /// Whether it is the last of these periods.
    #[prost(bool, tag = "7")]
    pub last: bool,
    /// Usage.
    #[prost(message, repeated, tag = "8")]
    pub items: Vec<UsageItem>,
    /// Corrections that operators entered.
    #[prost(message, repeated, tag = "9")]
    pub corrections: Vec<CorrectionItem>,
    /// Usage that is in no line.
    #[prost(message, repeated, tag = "10")]
    pub unbilled: Vec<Unbilled>,
}

/// Usage of one tenant in one class with one outcome in one period.
#[derive(Clone, PartialEq, Message)]
pub struct UsageItem {
    /// The period, by its first ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The closed period in which it was used, if it was entered later.
    #[prost(uint64, optional, tag = "2")]
    pub original_period: Option<u64>,
    /// The tenant's account.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// The class, by name.
    #[prost(string, tag = "4")]
    pub class: String,
    /// The outcome's number.
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Time in the worker pool, µs.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// Bytes of requests' bodies.
    #[prost(sint64, tag = "8")]
    pub bytes_in: i64,
    /// Bytes of results.
    #[prost(sint64, tag = "9")]
    pub bytes_out: i64,
}

/// A correction that an operator entered.
#[derive(Clone, PartialEq, Message)]
pub struct CorrectionItem {
    /// The correction's own line.
    #[prost(message, required, tag = "1")]
    pub line: LineId,
    /// The line that it corrects.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// The difference; its period is the one in which it was entered.
    #[prost(message, required, tag = "3")]
    pub item: UsageItem,
    /// The reason, in the operator's words.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// The SHA-256 digest of a batch's bytes.
pub type Digest = [u8; 32];

impl Batch {
    /// Returns the batch's bytes and their digest.
    pub fn encode_with_digest(&self) -> (Vec<u8>, Digest) {
        let bytes = self.encode_to_vec();
        let digest = digest(&bytes);
        (bytes, digest)
    }

    /// Reads a batch from its bytes.
    ///
    /// # Errors
    /// If they are no batch that this program can have built.
    pub fn parse(bytes: &[u8]) -> Result<Batch, LineError> {
        let batch = Batch::decode(bytes)?;
        if batch.server.is_empty() || batch.number == 0 || batch.close.from >= batch.close.to {
            return Err(LineError::Invalid("the batch names no server, number or period"));
        }
        let corrections = batch.corrections.iter().map(|correction| &correction.item);
        let mut items = batch.items.iter().chain(corrections);
        if !items.all(|item| Outcome::is_billed(item.outcome)) {
            return Err(LineError::Invalid("an item has no outcome"));
        }
        Ok(batch)
    }
}

/// Returns the digest of bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Returns a digest as hexadecimal text.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
