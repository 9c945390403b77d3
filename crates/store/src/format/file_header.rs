//! The header that begins each segment and each snapshot.

use super::little_endian::{u32_at, u64_at};
use crc32c::crc32c;

/// The newest version of the format, and the one that is written.
pub const FORMAT_VERSION: u32 = 1;
/// The length of a file's header.
pub const FILE_HEADER_BYTES: usize = 128;
/// The longest name of an owner.
pub const MAX_OWNER_BYTES: usize = 79;

const SEGMENT_MAGIC: &[u8; 8] = b"DLSPSEG\n";
const SNAPSHOT_MAGIC: &[u8; 8] = b"DLSPSNP\n";

/// What kind of file a header begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A segment of the log.
    Segment,
    /// A snapshot.
    Snapshot,
}

/// Length and checksum of a snapshot's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentDigest {
    /// Length in bytes.
    pub len: u64,
    /// CRC-32C.
    pub checksum: u32,
}

impl ContentDigest {
    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> ContentDigest {
        ContentDigest { len: content.len() as u64, checksum: crc32c(content) }
    }
}

/// A file's header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileHeader {
    /// The kind of the file.
    pub kind: FileKind,
    /// The version of the format.
    pub version: u32,
    /// In a segment, the number of its first record; in a snapshot, of the first record after it.
    pub base: u64,
    /// When the file was made, Unix ms. It is for people; nothing is decided by it.
    pub created_ms: u64,
    /// The owner of the store.
    pub owner: String,
    /// In a segment, what goes into the checksum of each frame, so that no payload can be made to look like a frame.
    pub salt: u64,
    /// In a snapshot, the digest of what follows the header.
    pub content: ContentDigest,
}

/// Why a file's header can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The bytes are not a header, or are damaged.
    #[error("{0}")]
    Damaged(&'static str),
    /// The header is of a version that is not known here.
    #[error("format version {0} is not known here")]
    Version(u32),
}

impl FileHeader {
    /// Returns the header's bytes. A longer owner than [`MAX_OWNER_BYTES`] is cut; [`crate::Log::open`] accepts none.
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
    /// If the bytes do not begin with a header of a known version.
    pub fn decode(bytes: &[u8]) -> Result<FileHeader, HeaderError> {
        if bytes.len() < FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header is cut short"));
        }
        let kind = match &bytes[..8] {
            magic if magic == SEGMENT_MAGIC => FileKind::Segment,
            magic if magic == SNAPSHOT_MAGIC => FileKind::Snapshot,
            _ => return Err(HeaderError::Damaged("this is no file of a store")),
        };
        // The version is read before the checksum is compared: another version may sum otherwise.
        let version = u32_at(bytes, 8);
        if version > FORMAT_VERSION {
            return Err(HeaderError::Version(version));
        }
        if u32_at(bytes, 124) != crc32c(&bytes[..124]) || u32_at(bytes, 12) as usize != FILE_HEADER_BYTES {
            return Err(HeaderError::Damaged("the header's checksum is wrong"));
        }
        let owner = bytes.get(33..33 + (bytes[32] as usize).min(MAX_OWNER_BYTES)).unwrap_or_default();
        let owner = std::str::from_utf8(owner).map_err(|_| HeaderError::Damaged("the owner is no text"))?;
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
