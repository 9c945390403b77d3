//! The parts of the model: the processes and their links, and how states are explored and told apart.

pub mod explore;
pub mod fault;
mod judge;
pub mod links;
pub mod setup;
pub mod world;
