//! A disk in memory that fails as disks do, from a seed.
//!
//! The power is cut at any operation, and of what was not synced a part is kept, by sectors and in any order; names that
//! were not synced come and go; writes are short; the disk is full; a sync fails, and what it covered is visible from
//! then on but is on no disk.

mod disk;
mod faults;
mod file;
mod inode;
mod names;
mod state;

pub use disk::SimDisk;
pub use faults::Faults;
