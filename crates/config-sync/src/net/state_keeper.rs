//! Stores a subscriber's state on disk from a separate thread, so that the subscriber never waits for the
//! disk. A disk that is slow, full or broken has only two effects: a log line, and an older state after a
//! restart.

use crate::resource::Millis;
use crate::state_store::StateStore;
use crate::subscriber::{Persist, PersistedState, Subscriber};
use crate::write_schedule::{QueuedRecord, WriteSchedule, writable_records};
use dunlinspread_store::{Disk, RealDisk, StoreError};
use slog::{Logger, error, warn};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// Maximum number of records queued for the disk. If the queue is full, the whole state is written once it
/// has room.
const MAX_QUEUED_RECORDS: usize = 64;
/// Subdirectory of the state directory that receives the files of a damaged state.
const DAMAGED_DIR: &str = "damaged";

/// Reason why a state can't be stored on disk.
#[derive(Debug, thiserror::Error)]
enum StateKeeperError {
    /// The state directory can't be created.
    #[error(transparent)]
    Directory(io::Error),
    /// The store can't be opened or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store is damaged, and its files can't be moved away.
    #[error("{damage}; its files can't be moved aside: {error}")]
    MoveDamaged { damage: StoreError, error: io::Error },
}

/// The subscriber's handle to the thread that writes its state.
pub(super) struct StateKeeper {
    records: Option<SyncSender<QueuedRecord>>,
    /// Set by the thread when a write fails, and cleared when the failure is passed to the schedule.
    failed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    schedule: WriteSchedule,
}

impl StateKeeper {
    /// Opens the store in a directory and reads the state in it. Returns no keeper, and logs the reason, if
    /// the state can't be stored there.
    pub(super) fn open(
        directory: &Path,
        owner: &str,
        log: &Logger,
    ) -> (Option<StateKeeper>, Option<PersistedState>) {
        let opened = open_or_move_damaged(directory, owner, log);
        let (store, state) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                error!(log, "state on disk unusable, a restart will begin empty";
                    "component" => "config_sync", "directory" => %directory.display(), "error" => %error);
                return (None, None);
            }
        };
        match StateKeeper::start(store, directory.to_owned(), owner.to_owned(), log.clone()) {
            Ok(keeper) => (Some(keeper), state),
            Err(error) => {
                error!(log, "state writer thread not started";
                    "component" => "config_sync", "error" => %error);
                (None, state)
            }
        }
    }

    fn start(store: StateStore, directory: PathBuf, owner: String, log: Logger) -> io::Result<StateKeeper> {
        let (records, inbox) = sync_channel(MAX_QUEUED_RECORDS);
        let failed = Arc::new(AtomicBool::new(false));
        let mut disk = DiskThread { store: Some(store), directory, owner, log, failed: failed.clone() };
        let run = move || disk.run(&inbox);
        let thread = std::thread::Builder::new().name("config-state".to_owned()).spawn(run)?;
        let schedule = WriteSchedule::default();
        Ok(StateKeeper { records: Some(records), failed, thread: Some(thread), schedule })
    }

    /// Queues a record for the thread. Never blocks.
    pub(super) fn persist(&mut self, record: Persist) {
        if let Some(queued) = self.schedule.next(record) {
            self.enqueue(queued);
        }
    }

    /// Queues the whole state if it is due and the subscriber has a confirmed state.
    pub(super) fn persist_whole_state_if_due(&mut self, now: Millis, subscriber: &Subscriber) {
        if self.failed.swap(false, Ordering::Relaxed) {
            self.schedule.on_failure(now);
        }
        if !self.schedule.is_whole_state_due(now) {
            return;
        }
        if let Some(state) = subscriber.confirmed_state() {
            let queued = self.schedule.whole_state(state);
            self.enqueue(queued);
        }
    }

    fn enqueue(&mut self, queued: QueuedRecord) {
        let Some(records) = &self.records else { return };
        if let Err(TrySendError::Full(queued) | TrySendError::Disconnected(queued)) = records.try_send(queued)
        {
            self.schedule.on_not_queued(&queued);
        }
    }
}

impl Drop for StateKeeper {
    /// Waits until the queued records are written.
    fn drop(&mut self) {
        self.records = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct DiskThread {
    /// The open store; none after a failure, until the subscriber requests a retry.
    store: Option<StateStore>,
    directory: PathBuf,
    owner: String,
    log: Logger,
    failed: Arc<AtomicBool>,
}

impl DiskThread {
    fn run(&mut self, inbox: &Receiver<QueuedRecord>) {
        while let Ok(first) = inbox.recv() {
            let mut batch = vec![first];
            batch.extend(inbox.try_iter().take(MAX_QUEUED_RECORDS));
            if let Err(error) = self.write(batch) {
                warn!(self.log, "writing state to disk failed, will be retried";
                    "component" => "config_sync", "error" => %error);
                self.failed.store(true, Ordering::Relaxed);
            }
        }
        if let Some(store) = self.store.take() {
            if let Err(error) = store.close() {
                warn!(self.log, "closing the state on disk failed";
                    "component" => "config_sync", "error" => %error);
            }
        }
    }

    fn write(&mut self, batch: Vec<QueuedRecord>) -> Result<(), StateKeeperError> {
        let records = writable_records(batch, self.store.is_some());
        if records.is_empty() {
            return Ok(());
        }
        let mut store = match self.store.take() {
            Some(store) => store,
            None => open_or_move_damaged(&self.directory, &self.owner, &self.log)?.0,
        };
        store.keep(&records)?;
        self.store = Some(store);
        Ok(())
    }
}

/// Opens the store. Moves the files of a damaged store aside and opens an empty one; the state is then
/// fetched again from a server.
fn open_or_move_damaged(
    directory: &Path,
    owner: &str,
    log: &Logger,
) -> Result<(StateStore, Option<PersistedState>), StateKeeperError> {
    std::fs::create_dir_all(directory).map_err(StateKeeperError::Directory)?;
    let disk = RealDisk::new(directory)?;
    let disk: Arc<dyn Disk> = Arc::new(disk);
    let damage = match StateStore::open(disk.clone(), owner) {
        Ok(opened) => return Ok(opened),
        Err(damage @ (StoreError::Damaged { .. } | StoreError::Gap { .. } | StoreError::Rejected { .. })) => {
            damage
        }
        Err(other) => return Err(other.into()),
    };
    if let Err(error) = move_damaged_files(directory) {
        return Err(StateKeeperError::MoveDamaged { damage, error });
    }
    warn!(log, "state on disk damaged and moved aside, fetching a snapshot";
        "component" => "config_sync", "error" => %damage, "to" => %directory.join(DAMAGED_DIR).display());
    Ok(StateStore::open(disk, owner)?)
}

/// Moves the files of a store into the subdirectory [`DAMAGED_DIR`], replacing the files of an earlier
/// damaged store.
fn move_damaged_files(directory: &Path) -> io::Result<()> {
    let to = directory.join(DAMAGED_DIR);
    if to.exists() {
        std::fs::remove_dir_all(&to)?;
    }
    std::fs::create_dir(&to)?;
    for entry in std::fs::read_dir(directory)? {
        let name = entry?.file_name();
        let is_store_file =
            name.to_str().is_some_and(|name| name.ends_with(".log") || name.ends_with(".snp"));
        if is_store_file {
            std::fs::rename(directory.join(&name), to.join(&name))?;
        }
    }
    sync_directory(directory)
}

fn sync_directory(directory: &Path) -> io::Result<()> {
    std::fs::File::open(directory)?.sync_all()
}
