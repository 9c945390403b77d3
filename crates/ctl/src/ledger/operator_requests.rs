//! Submits an operator's request to a ledger. If a server has the ledger open, the request is passed to it as
//! a file in the ledger's folder; otherwise it is executed on the store directly.

use crate::clock::now_ms;
use crate::ledger::location::OpenLedger;
use crate::ledger::offline_request::execute_offline;
use anyhow::{Context as _, Result, bail, ensure};
use dunlinspread_ledger::operator_request::{OperatorRequest, REQUESTS_FOLDER, RequestFile};
use dunlinspread_store::{Disk as _, StoreError};
use prost::Message as _;
use serde_json::json;
use std::hash::{BuildHasher as _, RandomState};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Maximum time to wait for a server's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which the answer file is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options for submitting a request and printing its answer.
#[derive(Clone, Copy)]
pub struct RequestOptions<'a> {
    /// Token that makes the request idempotent; a new one is generated if it is `None`.
    pub token: Option<&'a str>,
    /// Whether to print the answer as JSON.
    pub json: bool,
}

/// Submits a request to the ledger in `directory` and prints the answer.
///
/// # Errors
/// Returns an error if the token or the request is invalid, the ledger cannot be opened, or no answer
/// arrives in time.
pub fn submit(
    directory: &Path,
    ledger: &OpenLedger,
    request: OperatorRequest,
    options: RequestOptions<'_>,
) -> Result<ExitCode> {
    let token = options.token.map_or_else(new_token, str::to_owned);
    let (name, _) = RequestFile::file_names(&token);
    ensure!(RequestFile::token(&name).is_some(), "--token: {token} must consist of letters and digits");
    let file = RequestFile { request: Some(request) };
    // A request that the server would reject is rejected here with the same message.
    let request = RequestFile::parse(&file.encode_to_vec())?;
    let answer = match ledger.disk.lock() {
        Ok(()) => {
            ledger.disk.unlock();
            execute_offline(directory, &ledger.server, request, &token)?
        }
        Err(StoreError::Locked { .. }) => submit_to_server(directory, &file, &token)?,
        Err(e) => return Err(e.into()),
    };
    let succeeded = answer.starts_with("done");
    if options.json {
        println!("{}", json!({"ok": succeeded, "answer": answer, "token": token}));
    } else {
        println!("{answer}");
    }
    Ok(if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns a new unique token, made of the current time and a random hash.
fn new_token() -> String {
    format!("{:016x}{:016x}", now_ms(), RandomState::new().hash_one(std::process::id()))
}

/// Writes a request file for the server that has the ledger open, and waits for the answer file.
fn submit_to_server(directory: &Path, request: &RequestFile, token: &str) -> Result<String> {
    let folder = directory.join(REQUESTS_FOLDER);
    let (request_name, answer_name) = RequestFile::file_names(token);
    let (request_path, answer_path) = (folder.join(request_name), folder.join(answer_name));
    let temporary = request_path.with_extension("tmp");
    std::fs::write(&temporary, request.encode_to_vec())
        .with_context(|| format!("writing {}", temporary.display()))?;
    std::fs::rename(&temporary, &request_path)
        .with_context(|| format!("writing {}", request_path.display()))?;
    let submitted_at = Instant::now();
    while submitted_at.elapsed() < ANSWER_TIMEOUT {
        if let Ok(answer) = std::fs::read_to_string(&answer_path) {
            let _ = std::fs::remove_file(&answer_path);
            return Ok(answer);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    bail!("the server has not answered yet; retry with --token {token}: a token is entered at most once")
}
