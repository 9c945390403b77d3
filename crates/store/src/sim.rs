//! A disk in memory that fails as disks do, from a seed: the power is cut at any operation, and what was not synced is
//! kept in part, by sectors and in any order; names that were not synced come and go; writes are short; the disk is
//! full; a sync fails, and what it covered is shown from then on but is on no disk.

use crate::disk::{Disk, DiskFile};
use crate::error::StoreError;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a disk writes whole or not at all, in bytes.
const SECTOR: usize = 512;

/// What is to go wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The power is cut at this operation, counted from 0; it and all after it fail.
    pub crash_at: Option<u64>,
    /// The syncs that fail, of files and of the directory, counted from 0.
    pub failing_syncs: Vec<u64>,
    /// The bytes that fit, of all files.
    pub capacity_bytes: Option<u64>,
    /// Files can't be cut.
    pub failing_truncates: bool,
    /// Writes and reads take only a part now and then.
    pub short_transfers: bool,
}

enum ContentChange {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

#[derive(Default)]
struct Inode {
    durable: Vec<u8>,
    visible: Vec<u8>,
    pending: Vec<ContentChange>,
}

#[derive(Clone)]
enum NameChange {
    Link(String, usize),
    Rename(String, String),
    Remove(String),
}

struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    pending_names: Vec<NameChange>,
    faults: Faults,
    rng: ChaCha8Rng,
    operations: u64,
    syncs: u64,
    powered_off: bool,
    locked: bool,
}

/// The disk. Clones are the same disk.
#[derive(Clone)]
pub struct SimDisk(Arc<Mutex<State>>);

fn write_bytes(bytes: &mut Vec<u8>, at: usize, data: &[u8]) {
    if bytes.len() < at + data.len() {
        bytes.resize(at + data.len(), 0);
    }
    bytes[at..at + data.len()].copy_from_slice(data);
}

fn apply_name_change(names: &mut BTreeMap<String, usize>, change: &NameChange, renamed: Option<usize>) {
    match change {
        NameChange::Link(name, inode) => drop(names.insert(name.clone(), *inode)),
        NameChange::Rename(from, to) => {
            names.remove(from);
            if let Some(inode) = renamed {
                names.insert(to.clone(), inode);
            }
        }
        NameChange::Remove(name) => drop(names.remove(name)),
    }
}

impl SimDisk {
    /// An empty disk without faults; all its chance comes from `seed`.
    pub fn new(seed: u64) -> SimDisk {
        SimDisk(Arc::new(Mutex::new(State {
            inodes: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            pending_names: Vec::new(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            operations: 0,
            syncs: 0,
            powered_off: false,
            locked: false,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what goes wrong from now on; operations and syncs are counted anew.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        (state.faults, state.operations, state.syncs) = (faults, 0, 0);
    }

    /// Operations since the faults were set.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Syncs since the faults were set.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Whether the power was cut.
    pub fn is_powered_off(&self) -> bool {
        self.state().powered_off
    }

    /// The process ends, the machine goes on: nothing is lost, synced or not. Faults are over.
    pub fn restart_process(&self) {
        let mut state = self.state();
        state.faults = Faults::default();
        (state.powered_off, state.locked) = (false, false);
    }

    /// The power goes, and comes back: of what was not synced, some is there and some is not. Faults are over.
    pub fn power_cycle(&self) {
        let mut state = self.state();
        let State { inodes, names, durable_names, pending_names, rng, .. } = &mut *state;
        // Now and then nothing or everything had got there by itself.
        let persisted_share = [0.0, 0.5, 0.5, 0.9, 1.0][rng.random_range(0..5)];
        let mut inode_of = durable_names.clone();
        for change in pending_names.drain(..) {
            let renamed = match &change {
                NameChange::Rename(from, _) => inode_of.get(from).copied(),
                _ => None,
            };
            apply_name_change(&mut inode_of, &change, renamed);
            if rng.random_bool(persisted_share) {
                apply_name_change(durable_names, &change, renamed);
            }
        }
        *names = durable_names.clone();
        for inode in inodes.iter_mut() {
            let pending = std::mem::take(&mut inode.pending);
            persist(inode, pending, persisted_share, rng);
            inode.visible = inode.durable.clone();
        }
        state.faults = Faults::default();
        (state.powered_off, state.locked) = (false, false);
    }

    /// A file's bytes as they are seen now.
    pub fn file_bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        let inode = state.names.get(name)?;
        Some(state.inodes[*inode].visible.clone())
    }

    /// Puts a file there, durable.
    pub fn insert_durable(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state();
        state.inodes.push(Inode { durable: bytes.to_vec(), visible: bytes.to_vec(), pending: Vec::new() });
        let inode = state.inodes.len() - 1;
        state.names.insert(name.to_owned(), inode);
        state.durable_names.insert(name.to_owned(), inode);
    }

    /// Takes a file away, durably.
    pub fn remove_durable(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.durable_names.remove(name);
    }
}

/// Brings some of the changes to the disk, sector by sector.
fn persist(inode: &mut Inode, changes: Vec<ContentChange>, persisted_share: f64, rng: &mut ChaCha8Rng) {
    for change in changes {
        match change {
            ContentChange::Write(at, data) => {
                let mut from = 0;
                while from < data.len() {
                    let to = ((at + from) / SECTOR * SECTOR + SECTOR - at).min(data.len());
                    if rng.random_bool(persisted_share) {
                        write_bytes(&mut inode.durable, at + from, &data[from..to]);
                    }
                    from = to;
                }
                // The length may have got there and the bytes not.
                if rng.random_bool(persisted_share) && inode.durable.len() < at + data.len() {
                    inode.durable.resize(at + data.len(), 0);
                }
            }
            ContentChange::Truncate(len) => {
                if rng.random_bool(persisted_share) {
                    inode.durable.truncate(len);
                }
            }
        }
    }
}

impl State {
    /// Counts an operation; an error if the power is gone.
    fn begin_operation(&mut self) -> io::Result<()> {
        self.powered_off |= self.faults.crash_at == Some(self.operations);
        self.operations += 1;
        if self.powered_off { Err(io::Error::other("the power was cut")) } else { Ok(()) }
    }

    fn sync_fails(&mut self) -> bool {
        self.syncs += 1;
        self.faults.failing_syncs.contains(&(self.syncs - 1))
    }

    fn used(&self) -> u64 {
        self.names.values().map(|inode| self.inodes[*inode].visible.len() as u64).sum()
    }

    /// A part of a length, if things are short now.
    fn transfer_length(&mut self, len: usize) -> usize {
        let short = self.faults.short_transfers && len > 1 && self.rng.random_bool(0.3);
        if short { self.rng.random_range(1..len) } else { len }
    }
}

impl Disk for SimDisk {
    fn name(&self) -> String {
        "simulated disk".to_owned()
    }

    fn lock(&self) -> Result<(), StoreError> {
        let mut state = self.state();
        if state.locked {
            let (directory, holder) = ("simulated disk".to_owned(), "another process".to_owned());
            return Err(StoreError::Locked { directory, holder });
        }
        state.locked = true;
        Ok(())
    }

    fn unlock(&self) {
        self.state().locked = false;
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.begin_operation()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.state();
        state.begin_operation()?;
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(name.to_owned(), inode);
        state.pending_names.push(NameChange::Link(name.to_owned(), inode));
        Ok(Box::new(SimFile { disk: self.clone(), inode }))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.state();
        state.begin_operation()?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(SimFile { disk: self.clone(), inode }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        state.pending_names.push(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        state.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.pending_names.push(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_dir(&self) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        if state.sync_fails() {
            return Err(io::Error::other("input/output error"));
        }
        state.pending_names.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }
}

struct SimFile {
    disk: SimDisk,
    inode: usize,
}

impl DiskFile for SimFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let at = offset as usize;
        let mut len = state.transfer_length(bytes.len());
        if let Some(capacity) = state.faults.capacity_bytes {
            let old = state.inodes[self.inode].visible.len();
            let room = capacity.saturating_sub(state.used()) as usize + old.saturating_sub(at);
            if room == 0 && !bytes.is_empty() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            len = len.min(room);
        }
        let inode = &mut state.inodes[self.inode];
        write_bytes(&mut inode.visible, at, &bytes[..len]);
        inode.pending.push(ContentChange::Write(at, bytes[..len].to_vec()));
        Ok(len)
    }

    fn read_at(&self, offset: u64, bytes: &mut [u8]) -> io::Result<usize> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let want = state.transfer_length(bytes.len());
        let visible = &state.inodes[self.inode].visible;
        let from = visible.get(offset as usize..).unwrap_or_default();
        let len = want.min(from.len());
        bytes[..len].copy_from_slice(&from[..len]);
        Ok(len)
    }

    fn size(&self) -> io::Result<u64> {
        Ok(self.disk.state().inodes[self.inode].visible.len() as u64)
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        if state.faults.failing_truncates {
            return Err(io::Error::other("input/output error"));
        }
        let inode = &mut state.inodes[self.inode];
        inode.visible.truncate(len as usize);
        inode.pending.push(ContentChange::Truncate(len as usize));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let fails = state.sync_fails();
        let State { inodes, rng, .. } = &mut *state;
        let inode = &mut inodes[self.inode];
        let pending = std::mem::take(&mut inode.pending);
        if fails {
            // The system drops its record of what was to be written: it is seen, and no later sync brings it there.
            persist(inode, pending, 0.5, rng);
            return Err(io::Error::other("input/output error"));
        }
        // Not what is seen: what an earlier sync failed to bring there stays missing.
        persist(inode, pending, 1.0, rng);
        Ok(())
    }
}
