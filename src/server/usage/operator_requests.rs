//! Operator requests: files in a directory of the ledger. Each request is executed once and answered by a
//! file in the same directory.

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

/// Maximum length of a request file in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Directory of operator requests of one ledger.
pub(super) struct OperatorRequests {
    server: String,
    folder: PathBuf,
    log: Logger,
}

/// Reason why a file is not a valid request.
#[derive(Debug, thiserror::Error)]
enum RequestFileError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file is longer than [`MAX_REQUEST_BYTES`].
    #[error("the request is too long")]
    TooLong,
    /// The file contains no valid request.
    #[error(transparent)]
    Invalid(#[from] LineError),
}

/// Answer to a request. The operator's command reads its text.
enum Answer {
    /// The correction was entered as this line.
    Entered(LineId),
    /// Periods were closed by the line with this number.
    Closed(u64),
    /// The correction was not entered.
    NotEntered(RetryableError),
    /// No period can be closed now.
    NothingToClose,
    /// The file is not a valid request.
    InvalidRequest(RequestFileError),
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Entered(line) => write!(f, "done {}", LineIdText(line)),
            Answer::Closed(number) => write!(f, "done, closed by line {number}"),
            Answer::NotEntered(error) => write!(f, "error: {error}"),
            Answer::NothingToClose => f.write_str("error: no period can be closed now"),
            Answer::InvalidRequest(error) => write!(f, "error: {error}"),
        }
    }
}

impl OperatorRequests {
    /// Returns the operator requests of a server's ledger, read from `folder`.
    pub(super) fn new(server: &str, folder: PathBuf, log: Logger) -> OperatorRequests {
        OperatorRequests { server: server.to_owned(), folder, log }
    }

    /// Executes and answers all pending requests.
    ///
    /// # Errors
    /// - [`ExportError::Retryable`] if the directory or the ledger's lines can't be read, or an executed
    ///   request can't be removed.
    /// - [`ExportError::ShuttingDown`] if the process is shutting down.
    pub(super) fn execute_all(&self, disk: &dyn Disk, link: &mut DispatcherLink) -> Result<(), ExportError> {
        for token in self.pending_tokens()? {
            fault_injection::maybe_panic(PanicPoint::ExportWorkerRequest);
            let (request_name, answer_name) = RequestFile::file_names(&token);
            let request_path = self.folder.join(request_name);
            let answer = match read_request(&request_path) {
                Ok(request) => self.execute(request, &token, disk, link)?,
                Err(error) => Answer::InvalidRequest(error),
            };
            // The answer is written before the request is removed: after a crash in between, the request is
            // executed again, and a correction that is already entered is found by its token.
            self.write_answer(&token, &self.folder.join(answer_name), &answer.to_string());
            std::fs::remove_file(&request_path)?;
        }
        Ok(())
    }

    /// Returns the tokens of the pending requests in sorted order.
    fn pending_tokens(&self) -> Result<Vec<String>, io::Error> {
        let entries = std::fs::read_dir(&self.folder)?;
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        let mut tokens: Vec<String> =
            names.filter_map(|name| RequestFile::token(&name).map(str::to_owned)).collect();
        tokens.sort_unstable();
        Ok(tokens)
    }

    /// Logs an answer and writes it to its file atomically. A failed write is logged.
    fn write_answer(&self, token: &str, path: &Path, text: &str) {
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
        // Reads the whole ledger, so that a correction is entered only once. Corrections are rare enough for
        // this cost.
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

    /// Returns the line of the correction with a token, or `None` if it was not entered yet.
    fn find_correction(&self, token: &str, disk: &dyn Disk) -> Result<Option<LineId>, ExportError> {
        let (mut start, mut correction_line) = (0, None);
        Log::read(disk, &self.server, |item| {
            let ReplayItem::Record(number, bytes) = item else { return Ok(()) };
            match Line::parse(bytes).map_err(ReplayRejection::new)?.kind {
                Some(LineKind::Start(line)) => start = line.start,
                Some(LineKind::Correction(correction)) if correction.token == token => {
                    correction_line = Some(LineId { server: self.server.clone(), start, number });
                }
                _ => {}
            }
            Ok(())
        })?;
        Ok(correction_line)
    }
}

fn read_request(path: &Path) -> Result<OperatorRequest, RequestFileError> {
    let bytes = std::fs::read(path)?;
    if bytes.len() > MAX_REQUEST_BYTES {
        return Err(RequestFileError::TooLong);
    }
    Ok(RequestFile::parse(&bytes)?)
}
