//! What operators ask of a ledger that a round server has open: left as files in its folder `requests`, whole or not at
//! all, and answered beside them. A file's name is its token; asked twice, it is done once.

use crate::line::{Correction, LineError};
use prost::Message;

/// The folder, within that of the ledger.
pub const REQUESTS_FOLDER: &str = "requests";

/// A request, as it stands in a file.
#[derive(Clone, PartialEq, Message)]
pub struct RequestFile {
    /// What is asked for.
    #[prost(oneof = "OperatorRequest", tags = "1, 2")]
    pub request: Option<OperatorRequest>,
}

/// What is asked for.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum OperatorRequest {
    /// Enter this correction; its period is set as it is entered.
    #[prost(message, tag = "1")]
    Correct(Correction),
    /// Close all up to now; the time at which it was asked, Unix ms.
    #[prost(uint64, tag = "2")]
    Close(u64),
}

/// The longest reason of a correction, in bytes.
const MAX_REASON: usize = 1000;

impl RequestFile {
    /// Reads a file's bytes.
    ///
    /// # Errors
    /// If they are no request.
    pub fn parse(bytes: &[u8]) -> Result<OperatorRequest, LineError> {
        let file = RequestFile::decode(bytes).map_err(|e| LineError::Encoding(e.to_string()))?;
        let request = file.request.ok_or(LineError::UnknownKind)?;
        if let OperatorRequest::Correct(correction) = &request {
            check(correction)?;
        }
        Ok(request)
    }

    /// The name of a request's file and of the answer's.
    pub fn file_names(token: &str) -> (String, String) {
        (format!("{token}.request"), format!("{token}.answer"))
    }

    /// The token of a request's file.
    pub fn token(name: &str) -> Option<&str> {
        let token = name.strip_suffix(".request")?;
        (!token.is_empty() && token.bytes().all(|b| b.is_ascii_alphanumeric())).then_some(token)
    }
}

/// What a correction has to have, whoever enters it.
fn check(correction: &Correction) -> Result<(), LineError> {
    let named =
        correction.tenant == crate::UNATTRIBUTED || crate::AccountName::parse(&correction.tenant).is_ok();
    let outcome = crate::Outcome::ALL.iter().any(|o| *o as i32 == correction.outcome);
    match correction {
        _ if !named => Err(LineError::Invalid("the society is no account's name")),
        _ if !outcome => Err(LineError::Invalid("there is no such outcome")),
        c if c.reason.trim().is_empty() => Err(LineError::Invalid("a correction needs a reason")),
        c if c.reason.len() > MAX_REASON => Err(LineError::Invalid("the reason is too long")),
        c if c.requests == 0 && c.pool_us == 0 => Err(LineError::Invalid("it changes nothing")),
        _ => Ok(()),
    }
}
