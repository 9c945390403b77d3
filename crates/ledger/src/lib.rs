//! A ledger of use: what each society used, in which class, with which outcome, in which period. Lines are only ever
//! added; corrections are lines; closed periods go out in numbered batches, exactly once. It knows no protocol and makes
//! no connection; its store is a `dunlinspread-store`.
//!
//! [`Book`] makes the lines, [`State`] sums them up for the next line,.
#![forbid(unsafe_code)]

mod account;
pub mod batch;
mod book;
pub mod deliver;
mod inbox;
mod line;
pub mod reconcile;
pub mod request;
mod state;
mod table;
mod totals;
pub mod witness;

pub use account::{Account, MAX_NAME, NotAName, UNATTRIBUTED};
pub use book::{Action, Book, Figures, Mode, Note, OnFailure, Rules, Use, Verdict};
pub use inbox::{Inbox, InboxError};
pub use line::{
    Amount, BadLine, Close, Correction, Entry, Export, Kind, Line, LineId, LineIdText, Outcome, Start,
    Unbilled, Usage,
};
pub use request::{Request, Wish};
pub use state::State;
pub use table::{Key, Table};
pub use totals::{Net, Sum, read_lines, totals};
