//! Random history of requests at a server whose table is transferred to another process.

pub mod process;
pub mod server;
pub mod step;
