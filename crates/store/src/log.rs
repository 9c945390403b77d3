//! [`Log`]: commits, segments and snapshots, for a single owner that may block on the disk.
//!
//! # Invariants
//! A record is reported durable only once no crash can lose it. After an error that leaves the durability of
//! records unknown, no further record is reported durable.

use crate::atomic_file::write_file_atomically;
use crate::directory_lock::DirectoryLock;
use crate::disk::Disk;
use crate::error::{ReplayRejection, StoreError};
use crate::format::{
    ContentDigest, FLAG_CLOSED_CLEANLY, FORMAT_VERSION, FileHeader, FileKind, MAX_OWNER_BYTES,
    RECORD_HEADER_BYTES, segment_name, snapshot_name,
};
use crate::open_segment::OpenSegment;
use crate::options::Options;
use crate::range_read;
use crate::recovery::{BaseFile, RecoveredLog, Recovery, ReplayItem};
use crate::replay::replay;
use std::ops::Range;
use std::sync::Arc;

/// Maximum length of a commit in bytes. The length must fit into the `u32` of a frame header.
const MAX_COMMIT_BYTES: usize = u32::MAX as usize / 2;

/// A log of records in a directory.
pub struct Log {
    /// The lock on the directory. It is the first field so that the directory is unlocked before the segment
    /// is closed.
    _lock: DirectoryLock,
    disk: Arc<dyn Disk>,
    options: Options,
    segments: Vec<BaseFile>,
    /// The last segment of `segments`, open for appending.
    tail: OpenSegment,
    /// File name of the newest snapshot, if there is one.
    snapshot: Option<String>,
    /// Number of the first record after the newest snapshot.
    first_record: u64,
    /// Number that the next record gets.
    next_record: u64,
    /// The error that closed the log to writing, if there was one.
    poison_cause: Option<String>,
}

impl Log {
    /// Opens the store on `disk`, creating it if the directory is empty, and passes its whole content to the
    /// visitor.
    ///
    /// When this function returns, everything passed to the visitor is durable, including data that an
    /// earlier process wrote but did not sync.
    ///
    /// # Errors
    /// - [`StoreError::Locked`] if another process has locked the directory.
    /// - [`StoreError::Owner`] if the store belongs to another owner, and [`StoreError::Version`] if it has a
    ///   newer format.
    /// - [`StoreError::Damaged`] or [`StoreError::Gap`] if the store is damaged or incomplete anywhere except
    ///   in the remains of the last commit before a crash.
    /// - [`StoreError::Rejected`] if the visitor rejects a record.
    /// - [`StoreError::Io`] or [`StoreError::NoSpace`] if the disk fails.
    ///
    /// # Panics
    /// Panics if the owner's name is longer than [`MAX_OWNER_BYTES`].
    pub fn open(
        disk: Arc<dyn Disk>,
        options: Options,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<(Log, Recovery), StoreError> {
        assert!(options.owner.len() <= MAX_OWNER_BYTES, "the owner's name exceeds MAX_OWNER_BYTES");
        let lock = DirectoryLock::acquire(disk.clone())?;
        let recovered = replay(&*disk, &options.owner, &mut visit)?;
        let recovery = Recovery::of(&recovered);
        remove_obsolete(&*disk, &recovered.obsolete)?;
        let RecoveredLog { first_record, snapshot, mut segments, next_record, end, .. } = recovered;
        let tail = match (segments.last(), end) {
            (Some(last), Some(end)) => OpenSegment::recover(&*disk, &last.name, &end)?,
            _ => {
                let tail = OpenSegment::create(&*disk, &options, 1)?;
                segments.push(BaseFile { base: 1, name: segment_name(1) });
                tail
            }
        };
        let log = Log {
            _lock: lock,
            disk,
            options,
            segments,
            tail,
            snapshot,
            first_record,
            next_record,
            poison_cause: None,
        };
        Ok((log, recovery))
    }

    /// Passes the content of a store to the visitor without opening it: nothing is changed or locked. A
    /// commit that a running process has not finished writing is reported as a torn tail.
    ///
    /// # Errors
    /// Returns the errors of [`Log::open`], except [`StoreError::Locked`].
    pub fn read(
        disk: &dyn Disk,
        owner: &str,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<Recovery, StoreError> {
        let recovered = replay(disk, owner, &mut visit)?;
        Ok(Recovery::of(&recovered))
    }

    /// Passes the records with numbers in `range` to the visitor. All of them must have been reported
    /// durable. The store may be open and written to at the same time, by this process or another.
    ///
    /// # Errors
    /// Returns [`StoreError::Gap`] if a record of the range is missing, [`StoreError::Rejected`] if the
    /// visitor rejects one, and the errors of [`Log::read`] if a file can't be read or is damaged.
    pub fn read_range(
        disk: &dyn Disk,
        owner: &str,
        range: Range<u64>,
        mut visit: impl FnMut(u64, &[u8]) -> Result<(), ReplayRejection>,
    ) -> Result<(), StoreError> {
        range_read::read_range(disk, owner, range, &mut visit)
    }

    /// Returns the number that the next record will get.
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Returns the error that closed the log to writing, if there was one.
    pub fn poison_cause(&self) -> Option<&str> {
        self.poison_cause.as_deref()
    }

    /// Returns the number of segments.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Writes records atomically, makes them durable, and returns their numbers.
    ///
    /// # Errors
    /// After [`StoreError::NoSpace`] and [`StoreError::TooLarge`], none of the records is in the log, and the
    /// log remains usable. After any other error it is unknown whether the records are in the log, and the
    /// log is closed to writing.
    pub fn commit<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<Range<u64>, StoreError> {
        self.check_not_poisoned()?;
        self.check_lengths(records)?;
        if records.is_empty() {
            return Ok(self.next_record..self.next_record);
        }
        if self.tail.len() >= self.options.segment_bytes {
            self.rotate()?;
        }
        self.append_frame(records, 0)?;
        let first = self.next_record;
        self.next_record += records.len() as u64;
        Ok(first..self.next_record)
    }

    /// Replaces all records before `before` by `content`, and removes the segments that hold only replaced
    /// records.
    ///
    /// # Errors
    /// Returns the errors of [`Log::commit`], with the same meaning for the snapshot.
    ///
    /// # Panics
    /// Panics if `before` is beyond the next record, or if a later snapshot was already taken.
    pub fn snapshot(&mut self, before: u64, content: &[u8]) -> Result<(), StoreError> {
        self.check_not_poisoned()?;
        let range = self.first_record..=self.next_record;
        assert!(range.contains(&before), "a snapshot replaces only records that are in the log");
        let header = FileHeader {
            kind: FileKind::Snapshot,
            version: FORMAT_VERSION,
            base: before,
            created_ms: self.options.now_ms,
            owner: self.options.owner.clone(),
            salt: 0,
            content: ContentDigest::of(content),
        };
        let name = snapshot_name(before);
        let written = write_file_atomically(&*self.disk, &name, &[&header.encode(), content]);
        written.map_err(|error| self.poison_unless_no_space(error))?;
        let older = self.snapshot.replace(name.clone()).filter(|older| *older != name);
        self.first_record = before;
        self.remove_before_snapshot(older);
        Ok(())
    }

    /// Closes the store cleanly, so that a later fault at its end is recognised as damage and not as a torn
    /// commit.
    ///
    /// # Errors
    /// Returns the error of the disk if the closing frame can't be written, or [`StoreError::Poisoned`] if
    /// the log is closed to writing. The store is then in the same state as after a crash.
    pub fn close(mut self) -> Result<(), StoreError> {
        self.check_not_poisoned()?;
        self.append_frame::<&[u8]>(&[], FLAG_CLOSED_CLEANLY)
    }

    fn check_not_poisoned(&self) -> Result<(), StoreError> {
        match &self.poison_cause {
            Some(cause) => Err(StoreError::Poisoned { cause: cause.clone() }),
            None => Ok(()),
        }
    }

    fn check_lengths<R: AsRef<[u8]>>(&self, records: &[R]) -> Result<(), StoreError> {
        let max = self.options.max_record;
        if let Some(len) = records.iter().map(|record| record.as_ref().len()).find(|len| *len > max) {
            return Err(StoreError::TooLarge { len, max });
        }
        let len = records.iter().map(|record| record.as_ref().len() + RECORD_HEADER_BYTES).sum();
        if len > MAX_COMMIT_BYTES {
            return Err(StoreError::TooLarge { len, max: MAX_COMMIT_BYTES });
        }
        Ok(())
    }

    fn append_frame<R: AsRef<[u8]>>(&mut self, records: &[R], flags: u32) -> Result<(), StoreError> {
        self.remove_leftover()?;
        let appended = self.tail.append_frame(self.next_record, records, flags);
        appended.map_err(|error| self.poison_unless_no_space(error))
    }

    fn remove_leftover(&mut self) -> Result<(), StoreError> {
        let removed = self.tail.remove_leftover();
        removed.map_err(|error| self.poison(error))
    }

    /// Starts a new segment.
    fn rotate(&mut self) -> Result<(), StoreError> {
        if self.tail.has_leftover() {
            // In any segment but the last, bytes left by a failed write would count as damage.
            self.remove_leftover()?;
            let synced = self.tail.sync();
            synced.map_err(|error| self.poison(error))?;
        }
        let base = self.next_record;
        let created = OpenSegment::create(&*self.disk, &self.options, base);
        self.tail = created.map_err(|error| self.poison_unless_no_space(error))?;
        self.segments.push(BaseFile { base, name: segment_name(base) });
        Ok(())
    }

    /// Removes the files that the newest snapshot replaces. Files that can't be removed now are removed when
    /// the store is next opened.
    fn remove_before_snapshot(&mut self, older_snapshot: Option<String>) {
        let needed_from = self.segments.partition_point(|s| s.base <= self.first_record).saturating_sub(1);
        let segments = self.segments.drain(..needed_from).map(|segment| segment.name);
        for name in older_snapshot.into_iter().chain(segments) {
            let _ = self.disk.remove(&name);
        }
    }

    /// Closes the log to writing because of `error`, and returns the error.
    fn poison(&mut self, error: StoreError) -> StoreError {
        self.poison_cause.get_or_insert_with(|| error.to_string());
        error
    }

    fn poison_unless_no_space(&mut self, error: StoreError) -> StoreError {
        match error {
            StoreError::NoSpace { .. } => error,
            error => self.poison(error),
        }
    }
}

/// Removes the files that a replay has identified as obsolete.
fn remove_obsolete(disk: &dyn Disk, names: &[String]) -> Result<(), StoreError> {
    // A killed process may have renamed a file without syncing the directory. The name of that file must be
    // durable before other files are removed because it exists.
    disk.sync_dir().map_err(StoreError::io("syncing directory", &disk.name()))?;
    for name in names {
        // A file that can't be removed now is removed when the store is next opened.
        let _ = disk.remove(name);
    }
    Ok(())
}
