//! The adapter to the simulator's protocol: batches of text messages in, messages of actions out.
//!
//! A batch begins with a clock message, which states the time, and ends with a flush, to which the host
//! replies. Each message in between is a line with a name and `key=value` fields and is addressed to one of
//! the hosted instances; the reply contains the messages of the resulting actions in order. All decisions are
//! made by [`AdmissionController`](crate::admission::AdmissionController).

mod error;
mod format;
mod host;
mod parse;
mod request_ids;
mod words;

pub use error::{MessageError, ProtocolError};
pub use host::serve;
