//! The command-line arguments that locate a ledger: its directory and the server that it belongs to.

use anyhow::{Context as _, Result, bail};
use clap::Args;
use dunlinspread_store::format::{FileHeader, parse_file_name};
use dunlinspread_store::{Disk as _, RealDisk};
use std::path::{Path, PathBuf};

/// Location of a ledger.
#[derive(Args)]
pub struct LedgerLocation {
    /// The ledger's directory.
    pub directory: PathBuf,
    /// The server that the ledger belongs to; read from the ledger's files by default.
    #[arg(long)]
    pub server: Option<String>,
}

/// A ledger that is open for reading: its disk and the name of the server that it belongs to.
pub struct OpenLedger {
    /// Disk of the ledger's directory.
    pub disk: RealDisk,
    /// Name of the server.
    pub server: String,
}

impl LedgerLocation {
    /// Opens the ledger without acquiring its lock.
    ///
    /// # Errors
    /// Returns an error if the directory does not exist, contains no ledger or cannot be read.
    pub fn open(&self) -> Result<OpenLedger> {
        if !self.directory.is_dir() {
            bail!("{} is not a directory", self.directory.display());
        }
        let disk = RealDisk::new(&self.directory)?;
        let server = match &self.server {
            Some(server) => server.clone(),
            None => read_owner(&disk, &self.directory)?,
        };
        Ok(OpenLedger { disk, server })
    }
}

/// Returns the owner in the header of the store's first file.
fn read_owner(disk: &RealDisk, directory: &Path) -> Result<String> {
    let names = disk.list().with_context(|| format!("listing {}", directory.display()))?;
    let name = names.iter().find(|name| parse_file_name(name).is_some());
    let name = name.with_context(|| format!("{} contains no ledger", directory.display()))?;
    let bytes = std::fs::read(directory.join(name)).with_context(|| format!("reading {name}"))?;
    match FileHeader::decode(&bytes) {
        Ok(header) => Ok(header.owner),
        Err(e) => bail!("{name}: {e:?}"),
    }
}
