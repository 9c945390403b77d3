//! The content of a batch, its encoding and its digest.

use crate::line::{Close, LineError, Unbilled};
use crate::line_id::LineId;
use crate::outcome::Outcome;
use prost::Message;
use sha2::{Digest as _, Sha256};

/// A batch, as it is sent to the collector and stored by it.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Id of the server's ledger. A server whose ledger was lost begins a new ledger with another id.
    #[prost(uint64, tag = "2")]
    pub ledger_id: u64,
    /// Number of the batch in its ledger, from 1.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Digest of the previous batch; empty in the first batch.
    #[prost(bytes = "vec", tag = "4")]
    pub previous: Vec<u8>,
    /// Closed periods to which the batch belongs.
    #[prost(message, required, tag = "5")]
    pub close: Close,
    /// Number of the close line.
    #[prost(uint64, tag = "6")]
    pub close_line: u64,
    /// Whether this is the last batch of these periods.
    #[prost(bool, tag = "7")]
    pub last: bool,
    /// Usage items.
    #[prost(message, repeated, tag = "8")]
    pub items: Vec<UsageItem>,
    /// Corrections entered by operators in these periods.
    #[prost(message, repeated, tag = "9")]
    pub corrections: Vec<CorrectionItem>,
    /// Records of usage that is missing from the usage lines.
    #[prost(message, repeated, tag = "10")]
    pub unbilled: Vec<Unbilled>,
}

/// Total usage of one tenant in one class with one outcome in one period.
#[derive(Clone, PartialEq, Message)]
pub struct UsageItem {
    /// Start of the period, in Unix ms.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// Start of the closed period in which the usage occurred, if it was entered in a later period.
    #[prost(uint64, optional, tag = "2")]
    pub original_period: Option<u64>,
    /// Account of the tenant.
    #[prost(string, tag = "3")]
    pub tenant: String,
    /// Name of the class.
    #[prost(string, tag = "4")]
    pub class: String,
    /// Number of the [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "5")]
    pub outcome: i32,
    /// Number of requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
    /// Time spent in the worker pool, in µs.
    #[prost(sint64, tag = "7")]
    pub pool_us: i64,
    /// Total size of the request bodies, in bytes.
    #[prost(sint64, tag = "8")]
    pub bytes_in: i64,
    /// Total size of the results, in bytes.
    #[prost(sint64, tag = "9")]
    pub bytes_out: i64,
}

/// A correction entered by an operator.
#[derive(Clone, PartialEq, Message)]
pub struct CorrectionItem {
    /// Id of the correction line.
    #[prost(message, required, tag = "1")]
    pub line: LineId,
    /// Id of the corrected line.
    #[prost(message, required, tag = "2")]
    pub corrects: LineId,
    /// Difference to the corrected usage. Its period is the one in which the correction was entered.
    #[prost(message, required, tag = "3")]
    pub item: UsageItem,
    /// Reason given by the operator.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// The SHA-256 digest of an encoded batch.
pub type Digest = [u8; 32];

impl Batch {
    /// Returns the encoded batch and its digest.
    pub fn encode_with_digest(&self) -> (Vec<u8>, Digest) {
        let bytes = self.encode_to_vec();
        let digest = digest(&bytes);
        (bytes, digest)
    }

    /// Decodes and validates a batch.
    ///
    /// # Errors
    /// Returns [`LineError::Encoding`] if the bytes cannot be decoded, or [`LineError::Invalid`] if no valid
    /// ledger can produce this batch.
    pub fn parse(bytes: &[u8]) -> Result<Batch, LineError> {
        let batch = Batch::decode(bytes)?;
        if batch.server.is_empty() || batch.number == 0 || batch.close.from >= batch.close.to {
            return Err(LineError::Invalid(
                "the batch has no server name, a zero number or an empty time span",
            ));
        }
        let corrections = batch.corrections.iter().map(|correction| &correction.item);
        let mut items = batch.items.iter().chain(corrections);
        if !items.all(|item| Outcome::is_billed(item.outcome)) {
            return Err(LineError::Invalid("a usage item has no valid outcome"));
        }
        Ok(batch)
    }
}

/// Returns the SHA-256 digest of these bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Returns the digest as lower-case hexadecimal text.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
