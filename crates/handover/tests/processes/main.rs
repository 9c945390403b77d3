//! Predecessor and successors as processes on a FIFO link, with the real machines and the real frames: explored in
//! every order of events within small bounds (`model`), and played at random beyond them (`random_play`).

mod link;
mod model;
mod predecessor_process;
mod random_play;
mod rules;
mod successor_process;
mod world;
