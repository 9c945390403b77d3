//! Usage ledger of the server: billing of final replies, export of closed periods and comparison of digests.
//!
//! Billing runs on the serving thread; the store and the export worker each run on a separate thread. They
//! communicate by the messages in [`messages`](crate::server::messages).

mod batch_exporter;
pub mod billing;
pub mod digest_exchange;
pub mod digest_frame;
mod dispatcher_link;
mod error;
mod export_error;
mod export_transport;
pub mod export_worker;
mod operator_requests;
mod retention;
pub mod usage_store;

pub use billing::{Billing, BillingOptions, RequestUsage};
pub use digest_exchange::DigestExchange;
pub use error::UsageError;
pub use export_worker::{ExportWorker, ExportWorkerOptions};
pub use usage_store::{OpenedLedger, UsageStore};
