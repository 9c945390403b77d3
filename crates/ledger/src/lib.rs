//! The usage ledger: the usage of each tenant by class, outcome and period, as an append-only sequence of
//! lines.
//!
//! Lines are never changed; a correction is a separate line. Closed periods are exported in numbered batches,
//! each of which the collector counts exactly once. The crate opens no connections and implements no protocol
//! other than [`export_protocol`]. Lines are stored in a `dunlinspread-store`.
//!
//! - [`UsageAccumulator`] decides which lines are written when, and when a reply may be sent.
//! - [`LedgerState`] is the state after a number of lines, against which the next line is checked.
//! - [`totals`] computes totals from lines, and [`batch`] builds the batches of closed periods from them.
//! - [`BatchReceiver`] is a collector that stores batches in a directory.
//! - [`reconcile`] and [`digest_comparison`] compare the exports of several servers.
#![forbid(unsafe_code)]

mod account_name;
mod accumulator;
pub mod batch;
mod batch_receiver;
pub mod digest_comparison;
pub mod export_protocol;
mod line;
mod line_id;
pub mod operator_request;
mod outcome;
pub mod reconcile;
mod state;
mod totals;
mod usage_table;

pub use account_name::{AccountName, AccountNameError, MAX_ACCOUNT_NAME_BYTES, UNATTRIBUTED};
pub use accumulator::{
    Action, CloseRejected, DurabilityMode, EntryRejected, FailurePolicy, LedgerGauges, LedgerSettings,
    Notice, RecoveredLedger, ReplyDecision, UsageAccumulator, UsageRecord,
};
pub use batch_receiver::{BatchReceiver, BatchReceiverError, BatchSource, Damage};
pub use line::{Amount, Close, Correction, Entry, Export, Line, LineError, LineKind, Start, Unbilled, Usage};
pub use line_id::{LineId, LineIdText};
pub use outcome::Outcome;
pub use state::LedgerState;
pub use totals::{NetUsage, UsageGroup, read_lines, totals};
pub use usage_table::{UsageKey, UsageTable};
