//! The usage ledger: what each tenant used, by class, outcome and period, as an append-only sequence of lines.
//!
//! Lines are never changed; a correction is a line of its own. Closed periods are exported in numbered batches, each
//! counted exactly once by the collector. The crate opens no connections and knows no protocol beyond
//! [`export_protocol`]; its lines are kept in a `dunlinspread-store`.
//!
//! - [`UsageAccumulator`] decides which lines are written when, and when a reply may be sent;
//! - [`LedgerState`] is the state that the lines so far imply for the next one;
//! - [`totals`] adds up lines; [`batch`] builds the batches of a closed period from them;
//! - [`BatchReceiver`] is a collector that keeps batches in a directory;
//! - [`reconcile`] and [`digest_comparison`] compare what several servers exported.
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
