//! Why the simulator's input can't be served.

use thiserror::Error;

/// Why the host of the simulator's instances ended.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The input can't be read or the output can't be written.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// The input ended before the end of a batch.
    #[error("line {line}: the input ends inside a batch")]
    UnexpectedEnd {
        /// Number of the line, from 1.
        line: u64,
    },
    /// A message is not one that the protocol allows at this point.
    #[error("line {line}: {message}: {error}")]
    Message {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the message.
        message: String,
        /// What is wrong with it.
        error: MessageError,
    },
}

/// What is wrong with a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not part of the protocol.
    #[error("unknown message")]
    Unknown,
    /// The message came outside a batch.
    #[error("outside a batch")]
    OutsideBatch,
    /// A batch began before the previous one ended.
    #[error("inside a batch")]
    InsideBatch,
    /// The message names an instance that does not run.
    #[error("field `i`: {0} was never started")]
    UnknownInstance(u64),
    /// A field is missing.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// The value of a field can't be parsed.
    #[error("field `{field}` can't be read: {value}")]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A gauge has no value.
    #[error("field `stats`: {0}")]
    InvalidGauge(String),
    /// A setting of an instance is wrong.
    #[error("field `{key}` {problem}")]
    InvalidSetting {
        /// Key of the setting.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}
