//! The errors of the simulator's protocol.

use thiserror::Error;

/// An error that ends the host of the simulator's instances.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// The input ended before the end of a batch.
    #[error("line {line}: the input ends inside a batch")]
    UnexpectedEnd {
        /// Number of the line, starting at 1.
        line: u64,
    },
    /// A message is invalid or not allowed at this point of the protocol.
    #[error("line {line}: {message}: {error}")]
    Message {
        /// Number of the line, starting at 1.
        line: u64,
        /// Name of the message.
        message: String,
        /// The error in the message.
        error: MessageError,
    },
}

/// An error in a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The protocol has no message of this name.
    #[error("unknown message")]
    Unknown,
    /// The message is not allowed outside a batch.
    #[error("message not allowed outside a batch")]
    OutsideBatch,
    /// The message begins a batch before the previous one ended.
    #[error("message not allowed inside a batch")]
    InsideBatch,
    /// The message refers to an instance that is not running.
    #[error("field `i`: instance {0} is not running")]
    UnknownInstance(u64),
    /// A field is missing.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// The value of a field is invalid.
    #[error("field `{field}` has an invalid value: {value}")]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
    },
    /// A gauge has no value.
    #[error("field `stats`: gauge `{0}` has no value")]
    InvalidGauge(String),
    /// A setting of an instance is invalid.
    #[error("field `{key}` {problem}")]
    InvalidSetting {
        /// Key of the setting.
        key: String,
        /// The problem with the setting.
        problem: String,
    },
}
