//! Table of the idempotency keys of requests that may run at most once within a key window, with the results
//! of their runs.
//!
//! [`IdempotencyTable`] is a state machine without I/O, clock or randomness. Its caller, which owns the
//! requests, reports each event with its time (an attempt arrives, a run begins or ends, an attempt finishes)
//! and acts on the returned value.
//!
//! # Invariants
//! - After an attempt was run, no other attempt of its key that is received within the key window is run.
//! - Each attempt that waits for a result is returned exactly once, when the run ends or is superseded.
//! - These invariants also hold across a transfer to another process ([`IdempotencyTable::export`],
//!   [`IdempotencyTable::import`]).
//! - The number of keys and the bytes of cached results stay within [`Bounds`].
//!
//! ```
//! use dunlinspread_idempotency::{Bounds, IdempotencyTable, KeyWindow, Lookup, ReuseOutcome, RunResult};
//!
//! let bounds = Bounds { keys: 1000, result_bytes: 1 << 20 };
//! let class = KeyWindow { window_ms: 5000.0, max_read_delay_ms: 1000.0 };
//! let mut table: IdempotencyTable<Vec<u8>> = IdempotencyTable::new(bounds, vec![class]);
//! let key: std::rc::Rc<[u8]> = b"order 17"[..].into();
//! assert_eq!(table.arrive(&key, 0, 0xfeed, 1, 10.0), Lookup::New);
//! assert!(table.begin_run(&key, 0xfeed, 1, 10.0).is_ok());
//! let _no_waiters = table.finish_run(&key, 1, RunResult::Completed(b"done".to_vec()));
//! table.finish_attempt(&key, 1);
//! // The next attempt is a duplicate of the first one and reuses its result.
//! assert_eq!(table.arrive(&key, 0, 0xfeed, 2, 300.0), Lookup::DuplicateOf(1));
//! assert_eq!(table.reuse_result(&key, 2, 300.0), ReuseOutcome::Ready(Some(b"done".to_vec())));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod blackout;
mod entry;
mod outcome;
mod record;
mod result_cache;
mod settings;
mod table;
mod transfer;

pub use outcome::{AttemptId, DuplicateRun, FailedRun, FinishedRun, Lookup, ReuseOutcome, RunResult};
pub use record::{ImportError, KeyRecord, RunRecord, RunRecordState};
pub use settings::{Bounds, KeyWindow};
pub use table::IdempotencyTable;
