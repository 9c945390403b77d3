//! The simulator's protocol: batches of text messages in, the actions that follow out.
//!
//! A batch begins with the time and ends with a flush, which the reply answers. Each message between them is a line of
//! a name and `key=value` fields and goes to one of the hosted instances; the messages of actions go out in turn.
//! Nothing is decided here: [`AdmissionController`](crate::admission::AdmissionController) decides.

mod error;
mod format;
mod host;
mod parse;
mod request_ids;
mod words;

pub use error::{MessageError, ProtocolError};
pub use host::serve;
