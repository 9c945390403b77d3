//! Encoding of messages and records as Protocol Buffers, and decoding that validates every field: names,
//! counts, kinds and bounds. The layout is specified in `docs/formats/config-sync.md`.

mod convert;
mod message;
mod record;
mod wire;

pub use message::{decode_to_client, decode_to_server, encode_to_client, encode_to_server};
pub use record::{
    RECORD_VERSION, Record, SnapshotHeader, SnapshotReader, decode_record, encode_record, encode_snapshot,
};

/// Error: bytes are not a valid message or record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not valid Protocol Buffers.
    #[error("invalid encoding: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// A required field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field exceeds its bound.
    #[error("`{field}` is {found}, at most {max} allowed")]
    TooMany {
        /// Name of the field.
        field: &'static str,
        /// Actual value.
        found: usize,
        /// Allowed maximum.
        max: usize,
    },
    /// A name is empty or too long.
    #[error("`{field}`: name of {bytes} bytes, expected 1 to {max}")]
    Name {
        /// Name of the field.
        field: &'static str,
        /// Actual length, in bytes.
        bytes: usize,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// A field has an invalid value.
    #[error("`{field}` has the invalid value {value}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Actual value.
        value: u64,
    },
    /// The changes are invalid: no publisher may accept them.
    #[error("`changes`: {0}")]
    Changes(#[from] crate::resource::Invalid),
    /// The version of a record is not supported.
    #[error("record of version {0}, this program supports versions up to {RECORD_VERSION}")]
    Version(u8),
}
