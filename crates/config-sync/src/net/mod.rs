//! The tasks that own sockets, timers and files, and carry out what the state machines decide. They run on `async-io` and
//! `async-executor`: a publisher or relay on a thread of its own, subscribers as futures, thousands of them on one
//! executor if wanted.

mod clock;
mod publisher;
mod relay;
mod socket;
mod subscriber;

pub use publisher::{OpenError, Pending, ProposeFailure, PublisherNode, PublisherNodeSettings};
pub use relay::{RelayNode, RelayNodeSettings};
pub use subscriber::{
    Confirmation, Observer, SharedTables, SubscriberHandle, SubscriberStatus, SubscriberTask,
};
