//! Encoding and decoding of frames with Protocol Buffers. Decoding validates every field.
//!
//! `docs/formats/handover.md` specifies the format.

mod check;
mod convert;
mod key_record;
mod pieces;
mod to_predecessor;
mod to_successor;
mod wire;

pub use pieces::{SNAPSHOT_PIECE_BYTES, snapshot_pieces};

/// Maximum length of a frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Error of decoding a frame.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not a valid Protocol Buffers message.
    #[error("invalid Protocol Buffers message: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame has {bytes} bytes, which exceeds the limit of {limit}")]
    TooLong {
        /// Length of the frame in bytes.
        bytes: usize,
        /// Maximum length of a frame in bytes.
        limit: usize,
    },
    /// The frame has a kind that this version doesn't know. It may be from a newer version or for the other
    /// direction.
    #[error("frame {direction} has an unknown kind")]
    UnknownKind {
        /// Direction of the frame: "to the predecessor" or "to the successor".
        direction: &'static str,
    },
    /// A required field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A number is negative or not finite.
    #[error("`{field}` is {value}, expected a finite number of at least 0")]
    Number {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: f64,
    },
    /// A field has the wrong length.
    #[error("`{field}` has {bytes} bytes, expected {expected}")]
    Length {
        /// Name of the field.
        field: &'static str,
        /// Length of the field in bytes.
        bytes: usize,
        /// Required length in bytes.
        expected: usize,
    },
    /// A field has an undefined value.
    #[error("`{field}` has the undefined value {value}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
    },
}
