//! Requests of operators: files in the ledger's folder, each executed once and answered by a file beside it.

use super::dispatcher_link::DispatcherLink;
use super::export_error::{ExportError, RetryableError};
use crate::server::fault_injection::{self, PanicPoint};
use dunlinspread_ledger::operator_request::{OperatorRequest, RequestFile};
use dunlinspread_ledger::{Correction, Line, LineError, LineId, LineIdText, LineKind};
use dunlinspread_store::{Disk, Log, ReplayItem, ReplayRejection};
use slog::{Logger, info, warn};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// The longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// The folder of operators' requests of one ledger.
pub(super) struct OperatorRequests {
    server: String,
    folder: PathBuf,
    log: Logger,
}

/// Why a file is no request.
#[derive(Debug, thiserror::Error)]
enum RequestFileError {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is longer than [`MAX_REQUEST_BYTES`].
    #[error("the request is too long")]
    TooLong,
    /// It holds no request.
    #[error(transparent)]
    Invalid(#[from] LineError),
}

/// The answer to a request. Its text is what the operator's command reads.
enum Answer {
    /// The correction is entered as this line.
    Entered(LineId),
    /// Periods are closed by the line with this number.
    Closed(u64),
    /// The correction was not entered.
    NotEntered(RetryableError),
    /// There is nothing that can be closed now.
    NothingToClose,
    /// The file is no request.
    NoRequest(RequestFileError),
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Entered(line) => write!(f, "done {}", LineIdText(line)),
            Answer::Closed(number) => write!(f, "done, closed by line {number}"),
            Answer::NotEntered(error) => write!(f, "error: {error}"),
            Answer::NothingToClose => f.write_str("error: nothing can be closed now"),
            Answer::NoRequest(error) => write!(f, "error: {error}"),
        }
    }
}

impl OperatorRequests {
    /// Returns the requests in a folder.
    pub(super) fn new(server: &str, folder: PathBuf, log: Logger) -> OperatorRequests {
        OperatorRequests { server: server.to_owned(), folder, log }
    }

    /// Executes and answers all requests that are there.
    ///
    /// # Errors
    /// If the folder or the ledger's lines can't be read, or the program ends.
    pub(super) fn execute_all(&self, disk: &dyn Disk, link: &mut DispatcherLink) -> Result<(), ExportError> {
        for token in self.tokens()? {
            fault_injection::maybe_panic(PanicPoint::ExportWorkerRequest);
            let (request_name, answer_name) = RequestFile::file_names(&token);
            let request_path = self.folder.join(request_name);
            let answer = match read_request(&request_path) {
                Ok(request) => self.execute(request, &token, disk, link)?,
                Err(error) => Answer::NoRequest(error),
            };
            // The answer is there before the request goes: asked again after a crash in between, it is found done.
            self.answer(&token, &self.folder.join(answer_name), &answer.to_string());
            std::fs::remove_file(&request_path)?;
        }
        Ok(())
    }

    /// Returns the tokens of the requests that are there, in order.
    fn tokens(&self) -> Result<Vec<String>, io::Error> {
        let entries = std::fs::read_dir(&self.folder)?;
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        let mut tokens: Vec<String> =
            names.filter_map(|name| RequestFile::token(&name).map(str::to_owned)).collect();
        tokens.sort_unstable();
        Ok(tokens)
    }

    fn answer(&self, token: &str, path: &Path, text: &str) {
        info!(self.log, "operator request executed"; "token" => token, "answer" => text);
        let temporary = path.with_extension("tmp");
        let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
        if let Err(error) = written {
            warn!(self.log, "operator request could not be answered"; "error" => error.to_string());
        }
    }

    fn execute(
        &self,
        request: OperatorRequest,
        token: &str,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<Answer, ExportError> {
        match request {
            OperatorRequest::Correct(correction) => self.enter_correction(correction, token, disk, link),
            OperatorRequest::Close(_) => {
                Ok(link.close_periods()?.map_or(Answer::NothingToClose, Answer::Closed))
            }
        }
    }

    fn enter_correction(
        &self,
        mut correction: Correction,
        token: &str,
        disk: &dyn Disk,
        link: &mut DispatcherLink,
    ) -> Result<Answer, ExportError> {
        // Corrections are seldom: reading the ledger for each is what entering one only once costs.
        if let Some(line) = self.find_correction(token, disk)? {
            return Ok(Answer::Entered(line));
        }
        token.clone_into(&mut correction.token);
        match link.append_entry(LineKind::Correction(correction)) {
            Ok(line) => {
                let server = self.server.clone();
                Ok(Answer::Entered(LineId { server, start: line.start, number: line.number }))
            }
            Err(ExportError::Retryable(error)) => Ok(Answer::NotEntered(error)),
            Err(ExportError::ShuttingDown) => Err(ExportError::ShuttingDown),
        }
    }

    /// Returns the line of a correction that was entered before.
    fn find_correction(&self, token: &str, disk: &dyn Disk) -> Result<Option<LineId>, ExportError> {
        let (mut start, mut found) = (0, None);
        Log::read(disk, &self.server, |item| {
            let ReplayItem::Record(number, bytes) = item else { return Ok(()) };
            match Line::parse(bytes).map_err(ReplayRejection::new)?.kind {
                Some(LineKind::Start(line)) => start = line.start,
                Some(LineKind::Correction(correction)) if correction.token == token => {
                    found = Some(LineId { server: self.server.clone(), start, number });
                }
                _ => {}
            }
            Ok(())
        })?;
        Ok(found)
    }
}

fn read_request(path: &Path) -> Result<OperatorRequest, RequestFileError> {
    let bytes = std::fs::read(path)?;
    if bytes.len() > MAX_REQUEST_BYTES {
        return Err(RequestFileError::TooLong);
    }
    Ok(RequestFile::parse(&bytes)?)
}
