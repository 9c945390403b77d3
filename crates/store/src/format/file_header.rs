//! The header at the start of each segment and each snapshot.

use super::little_endian::{u32_at, u64_at};
use crc32c::crc32c;

/// Newest supported version of the format, which is the version written to new files.
pub const FORMAT_VERSION: u32 = 1;
/// Length of a file header in bytes.
pub const FILE_HEADER_BYTES: usize = 128;
/// Maximum length of an owner name in bytes.
pub const MAX_OWNER_BYTES: usize = 79;

const SEGMENT_MAGIC: &[u8; 8] = b"DLSPSEG\n";
const SNAPSHOT_MAGIC: &[u8; 8] = b"DLSPSNP\n";

/// The kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A segment of the log.
    Segment,
    /// A snapshot.
    Snapshot,
}

/// The length and checksum of a snapshot's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentDigest {
    /// Length of the content in bytes.
    pub len: u64,
    /// CRC-32C of the content.
    pub checksum: u32,
}

impl ContentDigest {
    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> ContentDigest {
        ContentDigest { len: content.len() as u64, checksum: crc32c(content) }
    }
}

/// The header of a segment or snapshot file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileHeader {
    /// Kind of the file.
    pub kind: FileKind,
    /// Version of the format.
    pub version: u32,
    /// Number of the first record in a segment, or of the first record after a snapshot.
    pub base: u64,
    /// Creation time of the file, Unix ms. For information only; no decision depends on it.
    pub created_ms: u64,
    /// Owner of the store.
    pub owner: String,
    /// In a segment, the salt that is included in the checksum of each frame header, so that no payload can
    /// be crafted to look like a frame.
    pub salt: u64,
    /// In a snapshot, the digest of the content after the header.
    pub content: ContentDigest,
}

/// The error of a file header that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The bytes are not a header, or the header is damaged.
    #[error("{0}")]
    Damaged(&'static str),
    /// The header has a format version that is not supported.
    #[error("format version {0} is not supported")]
    Version(u32),
}

impl FileHeader {
    /// Returns the encoded header. An owner name longer than [`MAX_OWNER_BYTES`] is truncated;
    /// [`crate::Log::open`] does not accept such names.
    pub fn encode(&self) -> [u8; FILE_HEADER_BYTES] {
        let mut out = [0; FILE_HEADER_BYTES];
        out[..8].copy_from_slice(match self.kind {
            FileKind::Segment => SEGMENT_MAGIC,
            FileKind::Snapshot => SNAPSHOT_MAGIC,
        });
        out[8..12].copy_from_slice(&self.version.to_le_bytes());
        out[12..16].copy_from_slice(&(FILE_HEADER_BYTES as u32).to_le_bytes());
        out[16..24].copy_from_slice(&self.base.to_le_bytes());
        out[24..32].copy_from_slice(&self.created_ms.to_le_bytes());
        let owner = &self.owner.as_bytes()[..self.owner.len().min(MAX_OWNER_BYTES)];
        out[32] = owner.len() as u8;
        out[33..33 + owner.len()].copy_from_slice(owner);
        let salt_or_len = match self.kind {
            FileKind::Segment => self.salt,
            FileKind::Snapshot => self.content.len,
        };
        out[112..120].copy_from_slice(&salt_or_len.to_le_bytes());
        out[120..124].copy_from_slice(&self.content.checksum.to_le_bytes());
        let checksum = crc32c(&out[..124]);
        out[124..].copy_from_slice(&checksum.to_le_bytes());
        out
    }

    /// Decodes a header.
    ///
    /// # Errors
    /// Returns [`HeaderError::Damaged`] if the bytes do not begin with an intact header, and
    /// [`HeaderError::Version`] if its version is not supported.
    pub fn decode(bytes: &[u8]) -> Result<FileHeader, HeaderError> {
        if bytes.len() < FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header is truncated"));
        }
        let kind = match &bytes[..8] {
            magic if magic == SEGMENT_MAGIC => FileKind::Segment,
            magic if magic == SNAPSHOT_MAGIC => FileKind::Snapshot,
            _ => return Err(HeaderError::Damaged("not a segment or snapshot file: unknown magic bytes")),
        };
        // The version is checked before the checksum, because another version may compute the checksum
        // differently.
        let version = u32_at(bytes, 8);
        if version > FORMAT_VERSION {
            return Err(HeaderError::Version(version));
        }
        if u32_at(bytes, 124) != crc32c(&bytes[..124]) || u32_at(bytes, 12) as usize != FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header's checksum or length is wrong"));
        }
        let owner = bytes.get(33..33 + (bytes[32] as usize).min(MAX_OWNER_BYTES)).unwrap_or_default();
        let owner = std::str::from_utf8(owner)
            .map_err(|_| HeaderError::Damaged("the owner name is not valid UTF-8"))?;
        let (salt_or_len, checksum) = (u64_at(bytes, 112), u32_at(bytes, 120));
        let (salt, content) = match kind {
            FileKind::Segment => (salt_or_len, ContentDigest::default()),
            FileKind::Snapshot => (0, ContentDigest { len: salt_or_len, checksum }),
        };
        Ok(FileHeader {
            kind,
            version,
            base: u64_at(bytes, 16),
            created_ms: u64_at(bytes, 24),
            owner: owner.to_owned(),
            salt,
            content,
        })
    }
}
