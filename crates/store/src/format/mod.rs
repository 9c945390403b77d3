//! Encoding and decoding of a store's files, without I/O. `docs/formats/store.md` describes the format.
//!
//! # Invariants
//! Decoding does not panic on any input. The bytes of one segment are not accepted as part of another
//! segment.

mod file_header;
mod file_name;
mod frame;
mod little_endian;

pub use file_header::{
    ContentDigest, FILE_HEADER_BYTES, FORMAT_VERSION, FileHeader, FileKind, HeaderError, MAX_OWNER_BYTES,
};
pub use file_name::{parse_file_name, segment_name, snapshot_name};
pub use frame::{
    DamagedRecord, FLAG_CLOSED_CLEANLY, FRAME_HEADER_BYTES, FrameHeader, RECORD_HEADER_BYTES, RecordIter,
    encode_record,
};
