//! What is known of requests that may run only once within a window: which try stands for a key, whether one of its
//! tries was run, and what came of that. A state machine without I/O, clock or chance; whoever owns the requests tells
//! it what happens and does what it answers.
//!
//! The promise that it keeps: of the tries of one key that reach the machine within the window of a try that was run,
//! none is run again, whatever is asked of it; and every try that waits for a result gets it, or its failure, once.
//!
//! ```
//! use dunlinspread_idempotency::{Bounds, Ending, Known, Reuse, Span, Table};
//!
//! let bounds = Bounds { keys: 1000, result_bytes: 1 << 20 };
//! let mut table: Table<Vec<u8>> = Table::new(bounds, vec![Span { window_ms: 5000.0, read_late_ms: 1000.0 }]);
//! let key: std::rc::Rc<[u8]> = b"pour 17"[..].into();
//! assert_eq!(table.arrive(&key, 0, 0xfeed, 1, 10.0), Known::New);
//! assert!(table.run(&key, 0xfeed, 1, 10.0).is_ok());
//! let _nobody_waits = table.ended(&key, 1, Ending::Result(b"done".to_vec()));
//! table.over(&key, 1);
//! // The next try is a repeat, and takes that result.
//! assert_eq!(table.arrive(&key, 0, 0xfeed, 2, 300.0), Known::Repeats(1));
//! assert_eq!(table.reuse(&key, 2, 300.0), Reuse::Now(Some(b"done".to_vec())));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod table;

pub use table::{Bounds, Ended, Ending, Known, Reuse, SecondRun, Span, Table, TryId};
