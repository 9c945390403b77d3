//! Requests of operators to a server that has a ledger open.
//!
//! A request is a file in the ledger's folder [`REQUESTS_FOLDER`], written atomically, and is answered by a file beside
//! it. The file's name holds the request's idempotency token.

use crate::account_name::{AccountName, UNATTRIBUTED};
use crate::line::{Correction, LineError};
use crate::outcome::Outcome;
use prost::Message;

/// The folder of requests, within that of the ledger.
pub const REQUESTS_FOLDER: &str = "requests";

/// The longest reason of a correction, in bytes.
const MAX_REASON_BYTES: usize = 1000;

const REQUEST_SUFFIX: &str = ".request";
const ANSWER_SUFFIX: &str = ".answer";

/// A request as it stands in a file.
#[derive(Clone, PartialEq, Message)]
pub struct RequestFile {
    /// The request.
    #[prost(oneof = "OperatorRequest", tags = "1, 2")]
    pub request: Option<OperatorRequest>,
}

/// What an operator asks for.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OperatorRequest {
    /// Enter this correction; its period is set as it is entered.
    #[prost(message, tag = "1")]
    Correct(Correction),
    /// Close all periods up to now. The number is the time of the request, Unix ms.
    #[prost(uint64, tag = "2")]
    Close(u64),
}

impl RequestFile {
    /// Reads a request from a file's bytes.
    ///
    /// # Errors
    /// If they hold no request, or a correction that can't be entered.
    pub fn parse(bytes: &[u8]) -> Result<OperatorRequest, LineError> {
        let request = RequestFile::decode(bytes)?.request.ok_or(LineError::UnknownKind)?;
        if let OperatorRequest::Correct(correction) = &request {
            check_correction(correction)?;
        }
        Ok(request)
    }

    /// Returns the names of a request's file and of its answer's.
    pub fn file_names(token: &str) -> (String, String) {
        (format!("{token}{REQUEST_SUFFIX}"), format!("{token}{ANSWER_SUFFIX}"))
    }

    /// Returns the token in the name of a request's file; none if it is not such a name.
    pub fn token(file_name: &str) -> Option<&str> {
        let token = file_name.strip_suffix(REQUEST_SUFFIX)?;
        let is_token = !token.is_empty() && token.bytes().all(|byte| byte.is_ascii_alphanumeric());
        is_token.then_some(token)
    }
}

/// Checks what every correction must have.
fn check_correction(correction: &Correction) -> Result<(), LineError> {
    let is_account = correction.tenant == UNATTRIBUTED || AccountName::parse(&correction.tenant).is_ok();
    if !is_account {
        return Err(LineError::Invalid("the society is no account's name"));
    }
    if !Outcome::is_billed(correction.outcome) {
        return Err(LineError::Invalid("there is no such outcome"));
    }
    if correction.reason.trim().is_empty() {
        return Err(LineError::Invalid("a correction needs a reason"));
    }
    if correction.reason.len() > MAX_REASON_BYTES {
        return Err(LineError::Invalid("the reason is too long"));
    }
    if correction.requests == 0 && correction.pool_us == 0 {
        return Err(LineError::Invalid("it changes nothing"));
    }
    Ok(())
}
