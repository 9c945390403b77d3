//! Submits an operator's request to a ledger: to the server that has the ledger open, by a file in its folder, or else
//! to the store itself.

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

/// How long a server may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two looks for the answer.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a request is submitted and its answer printed.
#[derive(Clone, Copy)]
pub struct RequestOptions<'a> {
    /// Makes the request idempotent; a new one is made if there is none.
    pub token: Option<&'a str>,
    /// Print the answer as JSON.
    pub json: bool,
}

/// Submits a request to the ledger in that directory and prints the answer.
///
/// # Errors
/// If the token or the request is invalid, the ledger cannot be opened, or no answer comes.
pub fn submit(
    directory: &Path,
    ledger: &OpenLedger,
    request: OperatorRequest,
    options: RequestOptions<'_>,
) -> Result<ExitCode> {
    let token = options.token.map_or_else(new_token, str::to_owned);
    let (name, _) = RequestFile::file_names(&token);
    ensure!(RequestFile::token(&name).is_some(), "--token: {token} is not made of letters and digits");
    let file = RequestFile { request: Some(request) };
    // What the server would reject is rejected here, with the same words.
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

/// Returns a token that nobody used before.
fn new_token() -> String {
    format!("{:016x}{:016x}", now_ms(), RandomState::new().hash_one(std::process::id()))
}

/// Leaves a request for the server that has the ledger open, and waits for its answer.
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
    bail!("the round server has not answered yet; ask again with --token {token}: it is entered once at most")
}
