//! The directory of a ledger, as the commands over ledgers take it, and the server that it belongs to.

use anyhow::{Context as _, Result, bail};
use clap::Args;
use dunlinspread_store::{Disk as _, RealDisk};
use std::path::{Path, PathBuf};

/// Where a ledger lies.
#[derive(Args)]
pub struct Place {
    /// The ledger's directory.
    pub directory: PathBuf,
    /// The server it belongs to; found out from the files without it.
    #[arg(long)]
    pub server: Option<String>,
}

impl Place {
    /// The disk and the server's name.
    pub fn open(&self) -> Result<(RealDisk, String)> {
        if !self.directory.is_dir() {
            bail!("{} is no directory", self.directory.display());
        }
        let disk = RealDisk::new(&self.directory)?;
        let server = match &self.server {
            Some(server) => server.clone(),
            None => owner(&disk, &self.directory)?,
        };
        Ok((disk, server))
    }
}

/// Whose store it is, by the header of one of its files.
fn owner(disk: &RealDisk, directory: &Path) -> Result<String> {
    let names = disk.list().with_context(|| format!("listing {}", directory.display()))?;
    let name = names.iter().find(|n| dunlinspread_store::format::parse_file_name(n).is_some());
    let name = name.with_context(|| format!("{} holds no ledger", directory.display()))?;
    let bytes = std::fs::read(directory.join(name)).with_context(|| format!("reading {name}"))?;
    match dunlinspread_store::format::FileHeader::decode(&bytes) {
        Ok(header) => Ok(header.owner),
        Err(e) => bail!("{name}: {e:?}"),
    }
}
