//! Simulation of the real state machines in virtual time over six regions: topology, network, processes,
//! seeded faults and checks.

mod faults;
mod history;
mod network;
mod processes;
mod report;
mod subscribers;
mod topology;
mod world;

pub use report::Report;

/// Runs the simulation of one seed.
pub fn run(seed: u64, subscribers: usize) -> Report {
    world::World::new(seed, subscribers).run()
}

/// Runs the simulation with a fault: each change is reported to the publisher as durable as soon as it is
/// given to the disk.
pub fn run_reported_before_durable(seed: u64, subscribers: usize) -> Report {
    let mut world = world::World::new(seed, subscribers);
    world.reports_before_durable = true;
    world.run()
}
