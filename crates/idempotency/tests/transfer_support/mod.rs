//! A history of requests in a server whose table moves to another process.

pub mod process;
pub mod server;
pub mod step;
