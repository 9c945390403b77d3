//! `ledger close`: closes all periods up to the current time.

use crate::clock::now_ms;
use crate::ledger::location::LedgerLocation;
use crate::ledger::operator_requests::{RequestOptions, submit};
use anyhow::Result;
use clap::Args;
use dunlinspread_ledger::operator_request::OperatorRequest;
use std::process::ExitCode;

/// Settings of `close`.
#[derive(Args)]
pub struct ClosePeriods {
    #[command(flatten)]
    location: LedgerLocation,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

impl ClosePeriods {
    /// Closes all periods up to the current time and prints the answer.
    ///
    /// # Errors
    /// Returns an error if the ledger cannot be opened or the server that has it open does not answer.
    pub fn run(&self) -> Result<ExitCode> {
        let ledger = self.location.open()?;
        let options = RequestOptions { token: None, json: self.json };
        submit(&self.location.directory, &ledger, OperatorRequest::Close(now_ms()), options)
    }
}
