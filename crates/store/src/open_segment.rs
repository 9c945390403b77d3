//! [`OpenSegment`]: the segment that the log appends to.

use crate::atomic_file::write_file_atomically;
use crate::disk::{Disk, DiskFile, read_up_to, write_all};
use crate::error::StoreError;
use crate::format::{
    ContentDigest, FILE_HEADER_BYTES, FORMAT_VERSION, FRAME_HEADER_BYTES, FileHeader, FileKind, FrameHeader,
    encode_record, segment_name,
};
use crate::options::Options;
use crate::recovery::SegmentEnd;
use crate::store_files::damaged;

/// Capacity of the frame buffer that is kept between commits, in bytes.
const BUFFER_KEPT_BYTES: usize = 1 << 20;
/// Multiplier that gives each segment a different salt (2^64 divided by the golden ratio).
const SALT_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The last segment of a log, open for appending.
pub(crate) struct OpenSegment {
    file: Box<dyn DiskFile>,
    name: String,
    salt: u64,
    /// Offset at which the next frame is written.
    end: u64,
    /// Whether a failed write may have left bytes after `end`.
    has_leftover: bool,
    buffer: Vec<u8>,
}

impl OpenSegment {
    /// Creates a segment whose first record gets the number `base`.
    ///
    /// # Errors
    /// Returns [`StoreError::Io`] or [`StoreError::NoSpace`] if the disk fails.
    pub fn create(disk: &dyn Disk, options: &Options, base: u64) -> Result<OpenSegment, StoreError> {
        // Blocks of a removed segment may reappear in a new one. They have another salt, so they are not read
        // as frames.
        let salt = options.salt ^ base.wrapping_mul(SALT_MULTIPLIER);
        let header = FileHeader {
            kind: FileKind::Segment,
            version: FORMAT_VERSION,
            base,
            created_ms: options.now_ms,
            owner: options.owner.clone(),
            salt,
            content: ContentDigest::default(),
        };
        let name = segment_name(base);
        let file = write_file_atomically(disk, &name, &[&header.encode()])?;
        Ok(OpenSegment::at(file, name, salt, FILE_HEADER_BYTES as u64))
    }

    /// Opens an existing segment, makes its intact part durable, and removes the bytes after it.
    ///
    /// After a failed sync the operating system may return bytes that are not on the disk, so the intact part
    /// is rewritten instead of being synced again.
    ///
    /// # Errors
    /// Returns [`StoreError::Io`] if the disk fails, or [`StoreError::Damaged`] if the file is shorter than
    /// it was during the scan.
    pub fn recover(disk: &dyn Disk, name: &str, end: &SegmentEnd) -> Result<OpenSegment, StoreError> {
        let mut file = disk.open(name).map_err(StoreError::io("opening", name))?;
        if !end.closed_cleanly {
            file = rewrite_intact_part(disk, name, file, end.intact_bytes)?;
        }
        Ok(OpenSegment::at(file, name.to_owned(), end.salt, end.intact_bytes))
    }

    fn at(file: Box<dyn DiskFile>, name: String, salt: u64, end: u64) -> OpenSegment {
        OpenSegment { file, name, salt, end, has_leftover: false, buffer: Vec::new() }
    }

    /// Returns the segment's length in bytes.
    pub fn len(&self) -> u64 {
        self.end
    }

    /// Returns whether a failed write may have left bytes after the last frame.
    pub fn has_leftover(&self) -> bool {
        self.has_leftover
    }

    /// Removes the bytes that a failed write left, so that they are not read as a later frame.
    ///
    /// # Errors
    /// Returns the error of the disk. The bytes may still be there.
    pub fn remove_leftover(&mut self) -> Result<(), StoreError> {
        if self.has_leftover {
            self.file.truncate(self.end).map_err(StoreError::io("truncating", &self.name))?;
            self.has_leftover = false;
        }
        Ok(())
    }

    /// Makes the segment durable.
    ///
    /// # Errors
    /// Returns the error of the disk.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.file.sync().map_err(StoreError::io("syncing", &self.name))
    }

    /// Writes one frame and makes it durable.
    ///
    /// # Errors
    /// After [`StoreError::NoSpace`] the frame is not in the segment. After any other error that is unknown.
    pub fn append_frame<R: AsRef<[u8]>>(
        &mut self,
        first: u64,
        records: &[R],
        flags: u32,
    ) -> Result<(), StoreError> {
        let mut buffer = std::mem::take(&mut self.buffer);
        encode_frame(&mut buffer, self.salt, first, records, flags);
        let written = write_all(&mut *self.file, self.end, &buffer);
        let len = buffer.len() as u64;
        buffer.shrink_to(BUFFER_KEPT_BYTES);
        self.buffer = buffer;
        if let Err(error) = written.map_err(StoreError::io("writing", &self.name)) {
            self.has_leftover = true;
            if let StoreError::NoSpace { .. } = error {
                // Frees the space. If this fails, it is retried before the next frame.
                let _ = self.remove_leftover();
            }
            return Err(error);
        }
        // Not `StoreError::io`: after any failed sync, even for lack of space, the operating system may treat
        // data as written that never reached the disk.
        let sync_error = |source| StoreError::Io { operation: "syncing", file: self.name.clone(), source };
        self.file.sync().map_err(sync_error)?;
        self.end += len;
        Ok(())
    }
}

/// Replaces the content of `buffer` by an encoded frame.
fn encode_frame<R: AsRef<[u8]>>(buffer: &mut Vec<u8>, salt: u64, first: u64, records: &[R], flags: u32) {
    buffer.clear();
    buffer.resize(FRAME_HEADER_BYTES, 0);
    for (number, record) in (first..).zip(records) {
        encode_record(buffer, number, record.as_ref());
    }
    let header = FrameHeader {
        len: (buffer.len() - FRAME_HEADER_BYTES) as u32,
        first,
        durable: first,
        count: records.len() as u32,
        flags,
    };
    buffer[..FRAME_HEADER_BYTES].copy_from_slice(&header.encode(salt));
}

fn rewrite_intact_part(
    disk: &dyn Disk,
    name: &str,
    mut file: Box<dyn DiskFile>,
    intact_bytes: u64,
) -> Result<Box<dyn DiskFile>, StoreError> {
    let mut intact = vec![0; usize::try_from(intact_bytes).unwrap_or(usize::MAX)];
    let filled = read_up_to(&*file, 0, &mut intact).map_err(StoreError::io("reading", name))?;
    if filled < intact.len() {
        return Err(damaged(name, filled as u64, "the file became shorter while it was read"));
    }
    match write_file_atomically(disk, name, &[&intact]) {
        // A full disk must not prevent the store from being opened, because it has to be inspected in that
        // situation.
        Err(StoreError::NoSpace { .. }) => {
            file.truncate(intact_bytes).map_err(StoreError::io("truncating", name))?;
            let sync_error = |source| StoreError::Io { operation: "syncing", file: name.to_owned(), source };
            file.sync().map_err(sync_error)?;
            Ok(file)
        }
        written => written,
    }
}
