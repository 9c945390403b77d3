//! Submits an operator's request to a ledger: to the server that has the ledger open, by a file in its folder, or else
//! to the store itself.

use crate::clock::now_ms;
use crate::ledger::location::Place;
use crate::ledger::offline_request::by_hand;
use anyhow::{Context as _, Result, bail, ensure};
use dunlinspread_ledger::operator_request::{self, OperatorRequest, RequestFile};
use dunlinspread_store::{Disk as _, RealDisk, StoreError};
use prost::Message as _;
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long a round server may take to answer.
const ANSWER: Duration = Duration::from_secs(15);

/// A token that nobody used before.
fn new_token() -> String {
    use std::hash::{BuildHasher as _, RandomState};
    format!("{:016x}{:016x}", now_ms(), RandomState::new().hash_one(std::process::id()))
}

pub fn ask(
    place: &Place,
    disk: &RealDisk,
    server: &str,
    wish: OperatorRequest,
    token: Option<&str>,
    as_json: bool,
) -> Result<ExitCode> {
    let token = token.map_or_else(new_token, str::to_owned);
    let (name, _) = RequestFile::file_names(&token);
    ensure!(RequestFile::token(&name).is_some(), "--token: {token} is not made of letters and digits");
    let request = RequestFile { request: Some(wish) };
    // What the round server would refuse is refused here, with the same words.
    let wish = RequestFile::parse(&request.encode_to_vec())?;
    let answer = match disk.lock() {
        Ok(()) => {
            disk.unlock();
            by_hand(&place.directory, server, wish, &token)?
        }
        Err(StoreError::Locked { .. }) => by_request(&place.directory, &request, &token)?,
        Err(e) => return Err(e.into()),
    };
    let good = answer.starts_with("done");
    if as_json {
        println!("{}", json!({"ok": good, "answer": answer, "token": token}));
    } else {
        println!("{answer}");
    }
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Leaves a request for the round server that has the ledger open, and waits for its answer.
fn by_request(directory: &Path, request: &RequestFile, token: &str) -> Result<String> {
    let folder = directory.join(operator_request::REQUESTS_FOLDER);
    let (name, answer) = RequestFile::file_names(token);
    let (path, answer) = (folder.join(name), folder.join(answer));
    let making = path.with_extension("tmp");
    std::fs::write(&making, request.encode_to_vec())
        .with_context(|| format!("writing {}", making.display()))?;
    std::fs::rename(&making, &path).with_context(|| format!("writing {}", path.display()))?;
    let since = Instant::now();
    while since.elapsed() < ANSWER {
        if let Ok(text) = std::fs::read_to_string(&answer) {
            let _ = std::fs::remove_file(&answer);
            return Ok(text);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    bail!("the round server has not answered yet; ask again with --token {token}: it is entered once at most")
}
