//! [`Log`]: commits, segments and snapshots, for one owner that may wait for the disk.
//!
//! # Invariants
//! A record is reported durable only once no crash can take it. After an error that leaves this unknown no record is
//! reported durable any more.

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

/// The longest commit, in bytes: its length has to fit a frame's header.
const MAX_COMMIT_BYTES: usize = u32::MAX as usize / 2;

/// A log of records in a directory.
pub struct Log {
    /// The first field, so that the directory is unlocked before the segment is closed.
    _lock: DirectoryLock,
    disk: Arc<dyn Disk>,
    options: Options,
    segments: Vec<BaseFile>,
    /// The last of `segments`.
    tail: OpenSegment,
    /// The file of the newest snapshot.
    snapshot: Option<String>,
    /// The number of the first record after that snapshot.
    first_record: u64,
    /// The number of the next record.
    next_record: u64,
    /// The error after which nothing is written any more.
    poison_cause: Option<String>,
}

impl Log {
    /// Opens the store on `disk`, a new one if nothing is there, and shows the visitor all that is in it.
    ///
    /// When this returns, all that was shown is durable, also what an earlier process wrote and never got to sync.
    ///
    /// # Errors
    /// If another process has it locked, if it is another owner's or of a newer version, if it is damaged anywhere but
    /// in what a crash may have left of the last commit, if the visitor rejects a record, or if the disk fails.
    ///
    /// # Panics
    /// If the owner's name is longer than [`MAX_OWNER_BYTES`].
    pub fn open(
        disk: Arc<dyn Disk>,
        options: Options,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<(Log, Recovery), StoreError> {
        assert!(options.owner.len() <= MAX_OWNER_BYTES, "the owner's name is bounded by whoever reads it");
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

    /// Shows the visitor a store without opening it: nothing is changed or locked, and what a running process has not
    /// yet finished writing shows as a torn tail.
    ///
    /// # Errors
    /// As [`Log::open`].
    pub fn read(
        disk: &dyn Disk,
        owner: &str,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<Recovery, StoreError> {
        let recovered = replay(disk, owner, &mut visit)?;
        Ok(Recovery::of(&recovered))
    }

    /// Shows the visitor the records with these numbers, all of which were reported durable. The store may be open and
    /// written to meanwhile, by this process or another.
    ///
    /// # Errors
    /// If they are not all there, or if the visitor rejects one.
    pub fn read_range(
        disk: &dyn Disk,
        owner: &str,
        range: Range<u64>,
        mut visit: impl FnMut(u64, &[u8]) -> Result<(), ReplayRejection>,
    ) -> Result<(), StoreError> {
        range_read::read_range(disk, owner, range, &mut visit)
    }

    /// Returns the number that the next record gets.
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Returns the error after which nothing is written any more, if there was one.
    pub fn poison_cause(&self) -> Option<&str> {
        self.poison_cause.as_deref()
    }

    /// Returns how many segments there are.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Writes records and makes them durable, all or none, and returns their numbers.
    ///
    /// # Errors
    /// [`StoreError::NoSpace`] and [`StoreError::TooLarge`]: none of them is there, and the log can go on. Any other:
    /// it is unknown which are there, and the log is closed to writing.
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

    /// Replaces all records before `before` by `content`, and removes the segments that hold only such.
    ///
    /// # Errors
    /// As [`Log::commit`].
    ///
    /// # Panics
    /// If there are no records up to `before` yet, or if a later snapshot was taken.
    pub fn snapshot(&mut self, before: u64, content: &[u8]) -> Result<(), StoreError> {
        self.check_not_poisoned()?;
        let range = self.first_record..=self.next_record;
        assert!(range.contains(&before), "a snapshot stands for records that are there");
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

    /// Closes the store cleanly, so that damage found later is known to be damage.
    ///
    /// # Errors
    /// If that can't be written. The store is then as after a crash.
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

    /// Begins a new segment.
    fn rotate(&mut self) -> Result<(), StoreError> {
        if self.tail.has_leftover() {
            // In a segment that is not the last, leftovers would count as damage.
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

    /// Removes what the newest snapshot stands for. What can't be removed now is removed at the next opening.
    fn remove_before_snapshot(&mut self, older_snapshot: Option<String>) {
        let needed_from = self.segments.partition_point(|s| s.base <= self.first_record).saturating_sub(1);
        let segments = self.segments.drain(..needed_from).map(|segment| segment.name);
        for name in older_snapshot.into_iter().chain(segments) {
            let _ = self.disk.remove(&name);
        }
    }

    /// Closes the log to writing because of `error`, and returns it.
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

/// Removes the files that a replay found to be obsolete.
fn remove_obsolete(disk: &dyn Disk, names: &[String]) -> Result<(), StoreError> {
    // A process that was killed may have renamed a file and not synced the directory. Before anything is removed because
    // of a file that is seen, that file's name has to be durable.
    disk.sync_dir().map_err(StoreError::io("syncing directory", &disk.name()))?;
    for name in names {
        // What can't be removed now is tried again at the next opening.
        let _ = disk.remove(name);
    }
    Ok(())
}
