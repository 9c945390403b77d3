//! How frames are written as bytes, in the encoding of Protocol Buffers, and read back with every field checked. The
//! layout is in `docs/formats/handover.md`.

mod check;
mod convert;
mod key_record;
mod pieces;
mod to_predecessor;
mod to_successor;
mod wire;

pub use pieces::{SNAPSHOT_PIECE_BYTES, snapshot_pieces};

/// The longest frame, without the length before it, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why bytes are no frame.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are not in the encoding.
    #[error("not in the encoding: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// The frame is too long.
    #[error("a frame of {bytes} bytes, wanted at most {most}")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The most it may have.
        most: usize,
    },
    /// The frame is of no kind that this version knows: of a newer version, or of the other direction.
    #[error("a frame {direction} of an unknown kind")]
    UnknownKind {
        /// Whom it was for.
        direction: &'static str,
    },
    /// A field that has to be there is not.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A number is not finite, or is negative where that means nothing.
    #[error("`{field}` is {value}, wanted a finite number of at least 0")]
    Number {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A field has the wrong length.
    #[error("`{field}` has {bytes} bytes, wanted {wanted}")]
    Length {
        /// The field.
        field: &'static str,
        /// Its length.
        bytes: usize,
        /// The length that it has to have.
        wanted: usize,
    },
    /// A field has a value that means nothing.
    #[error("`{field}` has the value {value}, which means nothing")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
    },
}
