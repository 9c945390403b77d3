//! The log: commits, segments, snapshots. One owner at a time, who waits for the disk. It must never report a record
//! durable that a crash could still take, and after an error that leaves this unknown it must never report one again.

use crate::disk::{Disk, DiskFile, read_up_to, write_all};
use crate::error::{ReplayRejection, StoreError};
use crate::frame::{self, FILE_HEADER_BYTES, FRAME_HEADER_BYTES, FileHeader, FileKind, FrameHeader};
use crate::recover::{RecoveredLog, SegmentEnd, TornTail, range, replay};
use std::ops::Range;
use std::sync::Arc;

/// How a store is kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whose store it is. One of another owner is refused.
    pub owner: String,
    /// A segment that has grown to this many bytes is followed by a new one. Recovery holds one segment in memory.
    pub segment_bytes: u64,
    /// The longest record, in bytes.
    pub max_record: usize,
    /// What goes into the checksums, unknown to those whose bytes are stored.
    pub salt: u64,
    /// The time that new files bear, Unix ms; for people only.
    pub now_ms: u64,
}

impl Options {
    /// The usual ones: segments of 16 MiB, records of 1 MiB at most.
    pub fn new(owner: &str) -> Options {
        use std::hash::{BuildHasher as _, RandomState};
        let salt = RandomState::new().hash_one(owner);
        Options { owner: owner.to_owned(), segment_bytes: 16 << 20, max_record: 1 << 20, salt, now_ms: 0 }
    }
}

/// What a visitor is shown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayItem<'a> {
    /// The newest snapshot: it stands for all records before that number.
    Snapshot(u64, &'a [u8]),
    /// A record and its number.
    Record(u64, &'a [u8]),
}

/// What opening a store found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// The number that the next record gets.
    pub next_record: u64,
    /// The first number after the newest snapshot; none without one.
    pub snapshot_before: Option<u64>,
    /// Records after it.
    pub records: u64,
    /// Bytes read.
    pub bytes_read: u64,
    /// The store was closed in good order.
    pub closed_cleanly: bool,
    /// What the last commit before a crash had left in pieces.
    pub torn_tail: Option<TornTail>,
}

impl Recovery {
    fn of(found: &RecoveredLog) -> Recovery {
        Recovery {
            next_record: found.next,
            snapshot_before: found.snapshot.is_some().then_some(found.floor),
            records: found.records,
            bytes_read: found.bytes,
            closed_cleanly: found.last.as_ref().is_none_or(|l| l.closed),
            torn_tail: found.torn_tail(),
        }
    }
}

/// A log of records in a directory.
pub struct Log {
    disk: Arc<dyn Disk>,
    options: Options,
    segments: Vec<(u64, String)>,
    snapshot: Option<String>,
    floor: u64,
    file: Box<dyn DiskFile>,
    salt: u64,
    /// Where the next frame goes, and the number of its first record.
    end: u64,
    next: u64,
    /// A commit that failed may have left bytes behind `end`.
    dirty: bool,
    poisoned: Option<String>,
    buffer: Vec<u8>,
}

impl Drop for Log {
    fn drop(&mut self) {
        self.disk.unlock();
    }
}

/// Gives the lock back if opening fails.
struct Locked<'a>(Option<&'a dyn Disk>);

impl Drop for Locked<'_> {
    fn drop(&mut self) {
        if let Some(disk) = self.0 {
            disk.unlock();
        }
    }
}

impl Log {
    /// Opens the store on `disk`, a new one if nothing is there, and shows the visitor all that is in it.
    ///
    /// When this returns, all that was shown is durable, also what an earlier process wrote and never got to sync.
    ///
    /// # Errors
    /// If another process has it, if it is another owner's or of a newer version, if it is damaged anywhere but in
    /// what a crash may have left of the last commit, if the visitor rejects a record, or if the disk fails.
    pub fn open(
        disk: Arc<dyn Disk>,
        options: Options,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<(Log, Recovery), StoreError> {
        assert!(
            options.owner.len() <= frame::MAX_OWNER_BYTES,
            "the owner's name is bounded by whoever reads it"
        );
        disk.lock()?;
        let mut locked = Locked(Some(&*disk));
        let mut found = replay(&*disk, &options.owner, &mut visit)?;
        let recovery = Recovery::of(&found);
        // A process that was killed may have renamed and never synced: before anything is removed because of a file that
        // is seen, that file's name has to be durable.
        disk.sync_dir().map_err(StoreError::io("syncing directory", &disk.name()))?;
        for name in std::mem::take(&mut found.leftover) {
            // What can't be removed now is no harm and is tried again at the next opening.
            let _ = disk.remove(&name);
        }
        let (file, last) = match (found.segments.last(), found.last.take()) {
            (Some((_, name)), Some(last)) => (settle(&*disk, name, &last)?, last),
            _ => {
                let (file, last) = begin_segment(&*disk, &options, 1)?;
                found.segments.push((1, frame::segment_name(1)));
                (file, last)
            }
        };
        locked.0 = None;
        drop(locked);
        let RecoveredLog { floor, snapshot, segments, next, .. } = found;
        let log = Log {
            disk,
            options,
            segments,
            snapshot,
            floor,
            file,
            salt: last.salt,
            end: last.end,
            next,
            dirty: false,
            poisoned: None,
            buffer: Vec::new(),
        };
        Ok((log, recovery))
    }

    /// Shows the visitor a store without opening it: nothing is changed or locked, and what a running process has not
    /// yet finished writing shows as a cut.
    ///
    /// # Errors
    /// As [`Log::open`].
    pub fn read(
        disk: &dyn Disk,
        owner: &str,
        mut visit: impl FnMut(ReplayItem<'_>) -> Result<(), ReplayRejection>,
    ) -> Result<Recovery, StoreError> {
        let found = replay(disk, owner, &mut visit)?;
        Ok(Recovery::of(&found))
    }

    /// Shows the visitor the records with these numbers, all of which were reported durable. The store may be open and
    /// written to meanwhile, by this process or another.
    ///
    /// # Errors
    /// If they are not all there, or the visitor rejects one.
    pub fn read_range(
        disk: &dyn Disk,
        owner: &str,
        records: Range<u64>,
        mut visit: impl FnMut(u64, &[u8]) -> Result<(), ReplayRejection>,
    ) -> Result<(), StoreError> {
        range(disk, owner, records, &mut |visited| match visited {
            ReplayItem::Record(number, bytes) => visit(number, bytes),
            ReplayItem::Snapshot(..) => Ok(()),
        })
    }

    /// The number that the next record gets.
    pub fn next_record(&self) -> u64 {
        self.next
    }

    /// Why nothing can be written any more, if so.
    pub fn poison_cause(&self) -> Option<&str> {
        self.poisoned.as_deref()
    }

    /// How many segments there are.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    fn poison(&mut self, e: StoreError) -> StoreError {
        self.poisoned.get_or_insert_with(|| e.to_string());
        e
    }

    fn usable(&self) -> Result<(), StoreError> {
        match &self.poisoned {
            Some(cause) => Err(StoreError::Poisoned { cause: cause.clone() }),
            None => Ok(()),
        }
    }

    /// Writes records and makes them durable, all or none; their numbers.
    ///
    /// # Errors
    /// [`StoreError::NoSpace`] and [`StoreError::TooLarge`]: none of them is there, and the log can go on. Any other:
    /// it is unknown which are there, and the log is closed to writing.
    pub fn commit<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<Range<u64>, StoreError> {
        self.usable()?;
        let max = self.options.max_record;
        if let Some(len) = records.iter().map(|r| r.as_ref().len()).find(|len| *len > max) {
            return Err(StoreError::TooLarge { len, max });
        }
        if records.is_empty() {
            return Ok(self.next..self.next);
        }
        let all: usize = records.iter().map(|r| r.as_ref().len() + frame::RECORD_HEADER_BYTES).sum();
        let limit = u32::MAX as usize / 2;
        if all > limit {
            return Err(StoreError::TooLarge { len: all, max: limit });
        }
        if self.end >= self.options.segment_bytes {
            self.rotate()?;
        }
        self.write_frame(records, 0)?;
        let first = self.next;
        self.next += records.len() as u64;
        Ok(first..self.next)
    }

    fn write_frame<R: AsRef<[u8]>>(&mut self, records: &[R], flags: u32) -> Result<(), StoreError> {
        self.clean_tail()?;
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        buffer.resize(FRAME_HEADER_BYTES, 0);
        for (number, record) in (self.next..).zip(records) {
            frame::encode_record(&mut buffer, number, record.as_ref());
        }
        let header = FrameHeader {
            len: (buffer.len() - FRAME_HEADER_BYTES) as u32,
            first: self.next,
            durable: self.next,
            count: records.len() as u32,
            flags,
        };
        buffer[..FRAME_HEADER_BYTES].copy_from_slice(&header.encode(self.salt));
        let written = write_all(&mut *self.file, self.end, &buffer);
        let len = buffer.len() as u64;
        buffer.shrink_to(1 << 20);
        self.buffer = buffer;
        let name = self.current().to_owned();
        if let Err(e) = written.map_err(StoreError::io("writing", &name)) {
            self.dirty = true;
            return Err(match e {
                // Nothing of it was synced, and the next commit first takes it away: this one is not there.
                StoreError::NoSpace { .. } => {
                    // Room for others; if it fails, it is done before the next commit.
                    let _ = self.file.truncate(self.end).map(|()| self.dirty = false);
                    e
                }
                _ => self.poison(e),
            });
        }
        if let Err(source) = self.file.sync() {
            // Also for a full disk: after a failed sync the system may count as written what never was.
            return Err(self.poison(StoreError::Io { operation: "syncing", file: name, source }));
        }
        self.end += len;
        Ok(())
    }

    /// Takes away what a failed commit left, so that it can never be taken for a later one's.
    fn clean_tail(&mut self) -> Result<(), StoreError> {
        if self.dirty {
            let cut = self.file.truncate(self.end);
            if let Err(e) = cut.map_err(StoreError::io("cutting", self.current())) {
                return Err(self.poison(e));
            }
            self.dirty = false;
        }
        Ok(())
    }

    fn current(&self) -> &str {
        self.segments.last().map_or("", |(_, name)| name)
    }

    fn rotate(&mut self) -> Result<(), StoreError> {
        if self.dirty {
            // In a segment that is not the last, leftovers would count as damage.
            self.clean_tail()?;
            if let Err(e) = self.file.sync().map_err(StoreError::io("syncing", self.current())) {
                return Err(self.poison(e));
            }
        }
        match begin_segment(&*self.disk, &self.options, self.next) {
            Ok((file, last)) => {
                (self.file, self.salt, self.end) = (file, last.salt, last.end);
                self.segments.push((self.next, frame::segment_name(self.next)));
                Ok(())
            }
            Err(e @ StoreError::NoSpace { .. }) => Err(e),
            Err(e) => Err(self.poison(e)),
        }
    }

    /// Has `content` stand for all records before `before` from now on. Segments that hold only such go.
    ///
    /// # Errors
    /// As [`Log::commit`].
    ///
    /// # Panics
    /// If there are no records up to `before` yet.
    pub fn snapshot(&mut self, before: u64, content: &[u8]) -> Result<(), StoreError> {
        self.usable()?;
        assert!(before <= self.next && before >= self.floor, "a snapshot stands for records that are there");
        let header = FileHeader {
            kind: FileKind::Snapshot,
            version: frame::FORMAT_VERSION,
            base: before,
            created_ms: self.options.now_ms,
            owner: self.options.owner.clone(),
            salt: 0,
            content: (content.len() as u64, crc32c::crc32c(content)),
        };
        let name = frame::snapshot_name(before);
        match write_file_atomically(&*self.disk, &name, &[&header.encode(), content]) {
            Ok(_) => {}
            Err(e @ StoreError::NoSpace { .. }) => return Err(e),
            Err(e) => return Err(self.poison(e)),
        }
        let older = self.snapshot.replace(name.clone()).filter(|older| *older != name);
        self.floor = before;
        // All below is no longer needed. What can't be removed now is removed at the next opening.
        let gone = self.segments.partition_point(|(base, _)| *base <= before).saturating_sub(1);
        for name in older.into_iter().chain(self.segments.drain(..gone).map(|(_, name)| name)) {
            let _ = self.disk.remove(&name);
        }
        Ok(())
    }

    /// Closes the store in good order: any damage found later is known to be damage.
    ///
    /// # Errors
    /// If that can't be written; the store is as good as after a crash.
    pub fn close(mut self) -> Result<(), StoreError> {
        self.usable()?;
        self.write_frame::<&[u8]>(&[], frame::FLAG_CLOSED_CLEANLY)
    }
}

/// Writes a new file under a name for the time being, makes it durable, and only then gives it its name, durably: after a
/// crash it is there whole or not at all.
///
/// # Errors
/// Of the disk. After any but [`StoreError::NoSpace`] it is unknown whether it is there.
pub fn write_file_atomically(
    disk: &dyn Disk,
    name: &str,
    parts: &[&[u8]],
) -> Result<Box<dyn DiskFile>, StoreError> {
    let making = format!("{name}.tmp");
    let write = || -> Result<Box<dyn DiskFile>, StoreError> {
        let mut file = disk.create(&making).map_err(StoreError::io("making", &making))?;
        let mut at = 0;
        for part in parts {
            write_all(&mut *file, at, part).map_err(StoreError::io("writing", &making))?;
            at += part.len() as u64;
        }
        let failed = |source| StoreError::Io { operation: "syncing", file: making.clone(), source };
        file.sync().map_err(failed)?;
        disk.rename(&making, name).map_err(StoreError::io("renaming", &making))?;
        Ok(file)
    };
    let file = write().inspect_err(|_| drop(disk.remove(&making)))?;
    let failed = |source| StoreError::Io { operation: "syncing directory", file: disk.name(), source };
    disk.sync_dir().map_err(failed)?;
    Ok(file)
}

fn begin_segment(
    disk: &dyn Disk,
    options: &Options,
    base: u64,
) -> Result<(Box<dyn DiskFile>, SegmentEnd), StoreError> {
    // Each segment's salt is another: bytes of a removed segment that turn up in a new one's blocks mean nothing there.
    let salt = options.salt ^ base.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let header = FileHeader {
        kind: FileKind::Segment,
        version: frame::FORMAT_VERSION,
        base,
        created_ms: options.now_ms,
        owner: options.owner.clone(),
        salt,
        content: (0, 0),
    };
    let file = write_file_atomically(disk, &frame::segment_name(base), &[&header.encode()])?;
    let end = FILE_HEADER_BYTES as u64;
    Ok((file, SegmentEnd { end, size: end, salt, closed: true }))
}

/// Makes the good part of the last segment durable and takes away what is behind it. After a failed sync the system
/// may show bytes that are on no disk; so what was found is written anew rather than synced once more.
fn settle(disk: &dyn Disk, name: &str, last: &SegmentEnd) -> Result<Box<dyn DiskFile>, StoreError> {
    let mut file = disk.open(name).map_err(StoreError::io("opening", name))?;
    if last.closed {
        return Ok(file);
    }
    let mut good = vec![0; usize::try_from(last.end).unwrap_or(usize::MAX)];
    let got = read_up_to(&*file, 0, &mut good).map_err(StoreError::io("reading", name))?;
    if got < good.len() {
        let fault = "the file became shorter while it was read".to_owned();
        return Err(StoreError::Damaged { file: name.to_owned(), offset: got as u64, fault });
    }
    match write_file_atomically(disk, name, &[&good]) {
        // A full disk must not keep the store from being opened: it is what has to be looked at.
        Err(StoreError::NoSpace { .. }) => {
            file.truncate(last.end).map_err(StoreError::io("cutting", name))?;
            let failed = |source| StoreError::Io { operation: "syncing", file: name.to_owned(), source };
            file.sync().map_err(failed)?;
            Ok(file)
        }
        placed => placed,
    }
}
