//! The directory of a ledger, as the commands over ledgers take it, and the server that it belongs to.

use anyhow::{Context as _, Result, bail};
use clap::Args;
use dunlinspread_store::format::{FileHeader, parse_file_name};
use dunlinspread_store::{Disk as _, RealDisk};
use std::path::{Path, PathBuf};

/// Where a ledger lies.
#[derive(Args)]
pub struct LedgerLocation {
    /// The ledger's directory.
    pub directory: PathBuf,
    /// The server it belongs to; found out from the files without it.
    #[arg(long)]
    pub server: Option<String>,
}

/// The disk of a ledger and the name of the server that it belongs to.
pub struct OpenLedger {
    /// The disk.
    pub disk: RealDisk,
    /// The server's name.
    pub server: String,
}

impl LedgerLocation {
    /// Returns the ledger's disk and the name of its server, without taking the ledger's lock.
    ///
    /// # Errors
    /// If the directory is none, holds no ledger or cannot be read.
    pub fn open(&self) -> Result<OpenLedger> {
        if !self.directory.is_dir() {
            bail!("{} is no directory", self.directory.display());
        }
        let disk = RealDisk::new(&self.directory)?;
        let server = match &self.server {
            Some(server) => server.clone(),
            None => read_owner(&disk, &self.directory)?,
        };
        Ok(OpenLedger { disk, server })
    }
}

/// Returns the owner that the header of the store's first file names.
fn read_owner(disk: &RealDisk, directory: &Path) -> Result<String> {
    let names = disk.list().with_context(|| format!("listing {}", directory.display()))?;
    let name = names.iter().find(|name| parse_file_name(name).is_some());
    let name = name.with_context(|| format!("{} holds no ledger", directory.display()))?;
    let bytes = std::fs::read(directory.join(name)).with_context(|| format!("reading {name}"))?;
    match FileHeader::decode(&bytes) {
        Ok(header) => Ok(header.owner),
        Err(e) => bail!("{name}: {e:?}"),
    }
}
