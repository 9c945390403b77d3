//! Keeps a subscriber's state on disk, on a thread of its own: the subscriber never waits for the disk. A disk that is
//! slow, full or broken costs a line in the log and the state's age after a restart, nothing else.

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

/// Records that may wait for the disk; past them the whole state is written once there is room.
const MAX_WAITING: usize = 64;
/// Where the files of a damaged state are put, within its directory.
const SET_ASIDE: &str = "damaged";

/// Why a state can't be kept on disk.
#[derive(Debug, thiserror::Error)]
enum KeepError {
    /// Its directory can't be made.
    #[error(transparent)]
    Directory(io::Error),
    /// Its store can't be opened or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Its store is damaged, and its files can't be moved out of the way.
    #[error("{damage}; and it can't be put aside: {error}")]
    NotSetAside { damage: StoreError, error: io::Error },
}

/// The subscriber's end.
pub(super) struct StateKeeper {
    records: Option<SyncSender<QueuedRecord>>,
    /// Set by the thread, and cleared when the schedule was told.
    failed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    schedule: WriteSchedule,
}

impl StateKeeper {
    /// Opens the store in a directory, with the state in it. None if it can't be kept there, which is logged.
    pub(super) fn open(
        directory: &Path,
        owner: &str,
        log: &Logger,
    ) -> (Option<StateKeeper>, Option<PersistedState>) {
        let opened = open_or_set_aside(directory, owner, log);
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
        let (records, inbox) = sync_channel(MAX_WAITING);
        let failed = Arc::new(AtomicBool::new(false));
        let mut disk = DiskThread { store: Some(store), directory, owner, log, failed: failed.clone() };
        let run = move || disk.run(&inbox);
        let thread = std::thread::Builder::new().name("config-state".to_owned()).spawn(run)?;
        let schedule = WriteSchedule::default();
        Ok(StateKeeper { records: Some(records), failed, thread: Some(thread), schedule })
    }

    /// Hands a record to the thread; never waits.
    pub(super) fn keep(&mut self, record: Persist) {
        if let Some(queued) = self.schedule.next(record) {
            self.hand_over(queued);
        }
    }

    /// Writes the whole state if that is due and possible.
    pub(super) fn catch_up(&mut self, now: Millis, subscriber: &Subscriber) {
        if self.failed.swap(false, Ordering::Relaxed) {
            self.schedule.on_failure(now);
        }
        if !self.schedule.is_whole_state_due(now) {
            return;
        }
        if let Some(state) = subscriber.confirmed_state() {
            let queued = self.schedule.whole_state(state);
            self.hand_over(queued);
        }
    }

    fn hand_over(&mut self, queued: QueuedRecord) {
        let Some(records) = &self.records else { return };
        if let Err(TrySendError::Full(queued) | TrySendError::Disconnected(queued)) = records.try_send(queued)
        {
            self.schedule.on_not_queued(&queued);
        }
    }
}

impl Drop for StateKeeper {
    /// What was handed over is still written.
    fn drop(&mut self) {
        self.records = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct DiskThread {
    /// None after a failure, until the subscriber has it tried again.
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
            batch.extend(inbox.try_iter().take(MAX_WAITING));
            if let Err(error) = self.keep(batch) {
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

    fn keep(&mut self, batch: Vec<QueuedRecord>) -> Result<(), KeepError> {
        let records = writable_records(batch, self.store.is_some());
        if records.is_empty() {
            return Ok(());
        }
        let mut store = match self.store.take() {
            Some(store) => store,
            None => open_or_set_aside(&self.directory, &self.owner, &self.log)?.0,
        };
        store.keep(&records)?;
        self.store = Some(store);
        Ok(())
    }
}

/// Opens the store. The files of a damaged one are put aside: what they held is fetched anew.
fn open_or_set_aside(
    directory: &Path,
    owner: &str,
    log: &Logger,
) -> Result<(StateStore, Option<PersistedState>), KeepError> {
    std::fs::create_dir_all(directory).map_err(KeepError::Directory)?;
    let disk = RealDisk::new(directory)?;
    let disk: Arc<dyn Disk> = Arc::new(disk);
    let damage = match StateStore::open(disk.clone(), owner) {
        Ok(opened) => return Ok(opened),
        Err(damage @ (StoreError::Damaged { .. } | StoreError::Gap { .. } | StoreError::Rejected { .. })) => {
            damage
        }
        Err(other) => return Err(other.into()),
    };
    if let Err(error) = set_aside(directory) {
        return Err(KeepError::NotSetAside { damage, error });
    }
    warn!(log, "state on disk damaged and moved aside, fetching a snapshot";
        "component" => "config_sync", "error" => %damage, "to" => %directory.join(SET_ASIDE).display());
    Ok(StateStore::open(disk, owner)?)
}

/// Moves the files of a store into a directory below it, in place of those of an earlier time.
fn set_aside(directory: &Path) -> io::Result<()> {
    let to = directory.join(SET_ASIDE);
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
