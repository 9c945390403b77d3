//! An in-memory disk that reproduces the failures of real disks, seeded for repeatable runs.
//!
//! Simulated faults: the power fails at any operation, and unsynced data survives in part, by sector and in
//! any order; unsynced names survive or disappear; writes are short; the disk is full; a sync fails, and the
//! data it covered stays visible but does not reach the disk.

mod disk;
mod faults;
mod file;
mod inode;
mod names;
mod state;

pub use disk::SimDisk;
pub use faults::Faults;
