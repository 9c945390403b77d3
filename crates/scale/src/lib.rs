//! Scale tests that need more than one process; the command `dunlinspread-scale` is their way in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod propagation;
