//! The real machines in virtual time over six regions: topology, network, processes, faults by seed, and what is judged.

mod faults;
mod history;
mod network;
mod processes;
mod report;
mod subscribers;
mod topology;
mod world;

pub use report::Report;

/// Plays one day of changes and faults.
pub fn play(seed: u64, subscribers: usize) -> Report {
    world::World::new(seed, subscribers).play()
}
