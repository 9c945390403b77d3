//! A model of one request between a server and a worker pool.

mod pool;
mod rules;
mod server;
mod system;

pub use rules::{AT_MOST_ONE_RUN, ENDS_WITHOUT_FURTHER_BREAKS, NO_WRONG_REPLY};
pub use server::send_again;
pub use system::{RequestKind, RequestModel};
