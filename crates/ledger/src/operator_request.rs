//! Requests of operators to a server that has a ledger open.
//!
//! A request is a file in [`REQUESTS_FOLDER`] below the ledger's directory. It is written atomically and is
//! answered by another file in the same directory. The file name contains the request's idempotency token.

use crate::account_name::{AccountName, UNATTRIBUTED};
use crate::line::{Correction, LineError};
use crate::outcome::Outcome;
use prost::Message;

/// Name of the directory for requests, below the ledger's directory.
pub const REQUESTS_FOLDER: &str = "requests";

/// Maximum length of the reason of a correction, in bytes.
const MAX_REASON_BYTES: usize = 1000;

const REQUEST_SUFFIX: &str = ".request";
const ANSWER_SUFFIX: &str = ".answer";

/// The content of a request file.
#[derive(Clone, PartialEq, Message)]
pub struct RequestFile {
    /// Request of the operator.
    #[prost(oneof = "OperatorRequest", tags = "1, 2")]
    pub request: Option<OperatorRequest>,
}

/// A request of an operator.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OperatorRequest {
    /// Enter this correction. Its period is set when it is entered.
    #[prost(message, tag = "1")]
    Correct(Correction),
    /// Close all periods up to the present. The value is the time of the request, in Unix ms.
    #[prost(uint64, tag = "2")]
    Close(u64),
}

impl RequestFile {
    /// Decodes and validates a request from the content of its file.
    ///
    /// # Errors
    /// Returns [`LineError::Encoding`] if the bytes cannot be decoded, [`LineError::UnknownKind`] if they
    /// contain no known request, or [`LineError::Invalid`] if they contain an invalid correction.
    pub fn parse(bytes: &[u8]) -> Result<OperatorRequest, LineError> {
        let request = RequestFile::decode(bytes)?.request.ok_or(LineError::UnknownKind)?;
        if let OperatorRequest::Correct(correction) = &request {
            check_correction(correction)?;
        }
        Ok(request)
    }

    /// Returns the names of the request file and the answer file for this token.
    pub fn file_names(token: &str) -> (String, String) {
        (format!("{token}{REQUEST_SUFFIX}"), format!("{token}{ANSWER_SUFFIX}"))
    }

    /// Returns the token in the name of a request file; `None` if the name is not that of a request file.
    pub fn token(file_name: &str) -> Option<&str> {
        let token = file_name.strip_suffix(REQUEST_SUFFIX)?;
        let is_token = !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_alphanumeric());
        is_token.then_some(token)
    }
}

/// Checks the tenant, outcome, reason and amounts of a correction.
fn check_correction(correction: &Correction) -> Result<(), LineError> {
    let is_account = correction.tenant == UNATTRIBUTED || AccountName::parse(&correction.tenant).is_ok();
    if !is_account {
        return Err(LineError::Invalid("the tenant is not a valid account name"));
    }
    if !Outcome::is_billed(correction.outcome) {
        return Err(LineError::Invalid("the outcome is unknown"));
    }
    if correction.reason.trim().is_empty() {
        return Err(LineError::Invalid("the correction has no reason"));
    }
    if correction.reason.len() > MAX_REASON_BYTES {
        return Err(LineError::Invalid("the reason is too long"));
    }
    if correction.requests == 0 && correction.pool_us == 0 {
        return Err(LineError::Invalid("the correction changes neither requests nor worker pool time"));
    }
    Ok(())
}
