//! Parts of the model: the processes, their links, and the exploration and comparison of states.

pub mod explore;
pub mod fault;
mod judge;
pub mod links;
pub mod setup;
pub mod world;
