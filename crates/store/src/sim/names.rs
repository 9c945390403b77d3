//! [`Names`]: the directory of a simulated disk.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;

/// Index of a file's content in the table of inodes.
pub(super) type InodeIndex = usize;

type NameTable = BTreeMap<String, InodeIndex>;

/// A change of names that has not been synced yet.
enum NameChange {
    Link { name: String, inode: InodeIndex },
    Rename { from: String, to: String },
    Remove { name: String },
}

/// The names of files, with and without the unsynced changes.
#[derive(Default)]
pub(super) struct Names {
    visible: NameTable,
    durable: NameTable,
    pending: Vec<NameChange>,
}

impl Names {
    /// Returns the names as processes see them.
    pub fn visible(&self) -> &BTreeMap<String, InodeIndex> {
        &self.visible
    }

    /// Gives a file a name, which is not durable until the directory is synced.
    pub fn link(&mut self, name: &str, inode: InodeIndex) {
        self.visible.insert(name.to_owned(), inode);
        self.pending.push(NameChange::Link { name: name.to_owned(), inode });
    }

    /// Gives a file a name and makes the name durable.
    pub fn link_durable(&mut self, name: &str, inode: InodeIndex) {
        self.visible.insert(name.to_owned(), inode);
        self.durable.insert(name.to_owned(), inode);
    }

    /// Renames a file, which is not durable until the directory is synced.
    pub fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let inode = self.visible.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.visible.insert(to.to_owned(), inode);
        self.pending.push(NameChange::Rename { from: from.to_owned(), to: to.to_owned() });
        Ok(())
    }

    /// Removes a name, which is not durable until the directory is synced.
    pub fn remove(&mut self, name: &str) -> io::Result<()> {
        self.visible.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.pending.push(NameChange::Remove { name: name.to_owned() });
        Ok(())
    }

    /// Removes a name and makes the removal durable.
    pub fn remove_durable(&mut self, name: &str) {
        self.visible.remove(name);
        self.durable.remove(name);
    }

    /// Makes all names durable.
    pub fn sync(&mut self) {
        self.pending.clear();
        self.durable = self.visible.clone();
    }

    /// Makes each pending change durable with probability `persisted_share`, discards the others, and resets
    /// the visible names to the durable ones.
    pub fn power_cycle(&mut self, persisted_share: f64, rng: &mut ChaCha8Rng) {
        let mut all_applied = self.durable.clone();
        for change in self.pending.drain(..) {
            let renamed = match &change {
                NameChange::Rename { from, .. } => all_applied.get(from).copied(),
                NameChange::Link { .. } | NameChange::Remove { .. } => None,
            };
            apply(&mut all_applied, &change, renamed);
            if rng.random_bool(persisted_share) {
                apply(&mut self.durable, &change, renamed);
            }
        }
        self.visible = self.durable.clone();
    }
}

/// Applies a change. `renamed` is the file that a rename moves, if it exists.
fn apply(names: &mut NameTable, change: &NameChange, renamed: Option<InodeIndex>) {
    match change {
        NameChange::Link { name, inode } => drop(names.insert(name.clone(), *inode)),
        NameChange::Rename { from, to } => {
            names.remove(from);
            if let Some(inode) = renamed {
                names.insert(to.clone(), inode);
            }
        }
        NameChange::Remove { name } => drop(names.remove(name)),
    }
}
