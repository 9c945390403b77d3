//! Errors of starting the usage ledger.

use dunlinspread_store::StoreError;
use std::io;
use std::net::SocketAddr;

/// Why the usage ledger was not started.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// Its store was not opened.
    #[error("ledger \"{ledger}\": {source}")]
    Open {
        /// The ledger's name in the operator file.
        ledger: String,
        /// What happened.
        source: StoreError,
    },
    /// A thread was not started.
    #[error("ledger: {0}")]
    Thread(#[source] io::Error),
    /// The address for other servers can't be listened on.
    #[error("`peers.listen`: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What happened.
        source: io::Error,
    },
}
