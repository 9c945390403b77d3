//! How messages and records are written as bytes, in the encoding of Protocol Buffers, and read back with every field
//! checked: names, counts, kinds and bounds. The layout is in `docs/formats/config-sync.md`.

mod convert;
mod message;
mod record;
mod wire;

pub use message::{decode_to_client, decode_to_server, encode_to_client, encode_to_server};
pub use record::{
    RECORD_VERSION, Record, SnapshotHeader, SnapshotReader, decode_record, encode_record, encode_snapshot,
};

/// Why bytes are no message or record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not in the encoding.
    #[error("not in the encoding: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// A field that has to be there is not.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field is out of its bounds.
    #[error("`{field}` is {found}, wanted at most {most}")]
    TooMany {
        /// The field.
        field: &'static str,
        /// What it is.
        found: usize,
        /// What it may be.
        most: usize,
    },
    /// A name is empty or too long.
    #[error("`{field}`: a name of {bytes} bytes, wanted 1 to {most}")]
    Name {
        /// The field.
        field: &'static str,
        /// Its length.
        bytes: usize,
        /// The most it may have.
        most: usize,
    },
    /// A field has a value that means nothing.
    #[error("`{field}` has the value {value}, which means nothing")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
    /// Changes that no publisher may accept.
    #[error("`changes`: {0}")]
    Changes(#[from] crate::resource::Invalid),
    /// A record of a version that is not known.
    #[error("a record of version {0}, this program reads up to {RECORD_VERSION}")]
    Version(u8),
}
