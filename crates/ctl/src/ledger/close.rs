//! `ledger close`: closes all periods up to now.

use crate::clock::now_ms;
use crate::ledger::location::Place;
use crate::ledger::operator_requests::ask;
use anyhow::Result;
use clap::Args;
use dunlinspread_ledger::operator_request::OperatorRequest;
use std::process::ExitCode;

/// Settings of `close`.
#[derive(Args)]
pub struct CloseNow {
    #[command(flatten)]
    place: Place,
    /// Answer as JSON.
    #[arg(long)]
    json: bool,
}

impl CloseNow {
    /// Closes.
    pub fn run(&self) -> Result<ExitCode> {
        let (disk, server) = self.place.open()?;
        ask(&self.place, &disk, &server, OperatorRequest::Close(now_ms()), None, self.json)
    }
}
