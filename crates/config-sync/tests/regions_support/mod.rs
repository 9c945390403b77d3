//! The real machines in virtual time over six regions: topology, network, processes, faults by seed, and what
//! is judged.

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

/// The same with a publisher that hears that a change is durable as soon as it is given to the disk.
pub fn play_told_before_durable(seed: u64, subscribers: usize) -> Report {
    let mut world = world::World::new(seed, subscribers);
    world.tells_before_durable = true;
    world.play()
}
