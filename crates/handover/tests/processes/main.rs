//! Predecessor and successors as processes connected by FIFO links, with the real state machines and the real
//! encoding.
//!
//! `model` checks every order of events within small bounds. `random_play` checks random orders within larger
//! bounds.

mod link;
mod model;
mod predecessor_process;
mod random_play;
mod rules;
mod successor_process;
mod world;
