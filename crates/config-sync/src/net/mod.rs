//! Tasks that own sockets, timers and files, and carry out the actions of the state machines. They run on
//! `async-io` and `async-executor`. A publisher or relay has a thread of its own; subscribers are futures,
//! and one executor can run thousands of them.

mod client_settings;
mod clock;
mod compaction;
mod encoder;
mod link;
mod node;
mod notify;
mod proposal;
mod publisher;
mod publisher_driver;
mod publisher_store;
mod relay;
mod sessions;
mod settings;
mod shared_tables;
mod socket;
mod state_keeper;
mod subscriber;
mod subscriber_handle;
mod update_queue;

pub use client_settings::ClientSettings;
pub use node::NodeStatus;
pub use proposal::{Pending, ProposeFailure};
pub use publisher::{OpenError, PublisherNode, PublisherNodeSettings};
pub use relay::{RelayNode, RelayNodeSettings};
pub use shared_tables::SharedTables;
pub use subscriber::{Confirmation, Observer, SubscriberTask};
pub use subscriber_handle::{SubscriberHandle, SubscriberStatus};
pub(crate) use update_queue::update_queue;
