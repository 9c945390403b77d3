//! Typed messages between the tasks of the server, with one module for each receiver.
//!
//! This module depends on no task: each task depends on the messages and on no other task, so that a task can
//! be replaced, or a second frontend added, without changes to the rest. This module depends on no wire
//! protocol either.

mod connection;
mod dispatcher;
mod dispatcher_mailbox;
mod export_worker;
mod handover;
mod listener;
mod registry;
mod request_progress;
mod upstream;
mod usage;
mod worker_pool;

pub use connection::{ConnectionMessage, ReplyHandle, Response};
pub use dispatcher::{DispatcherMessage, IncomingRequest, Reconfigured};
pub use dispatcher_mailbox::{DispatcherInbox, DispatcherSender, MailboxError, dispatcher_mailbox};
pub use export_worker::{EntryLine, ExportWorkerMessage};
pub use handover::{PredecessorMessage, SuccessorFrame, SuccessorMessage};
pub use listener::ListenerMessage;
pub use registry::RegistryMessage;
pub use request_progress::{ReadRequest, RequestProgress};
pub use upstream::{UpstreamCall, UpstreamMessage};
pub use usage::UsageMessage;
pub use worker_pool::{
    CommandNumber, LinkCommand, PoolCommand, PoolEvent, RejectedCommand, RunOutcome, WorkerPoolMessage,
};
