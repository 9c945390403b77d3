//! Errors of starting the usage ledger.

use dunlinspread_store::StoreError;
use std::io;
use std::net::SocketAddr;

/// Error of starting the usage ledger.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// The ledger's store could not be opened.
    #[error("ledger \"{ledger}\": {source}")]
    Open {
        /// Name of the ledger in the operator file.
        ledger: String,
        /// The error of the store.
        source: StoreError,
    },
    /// A thread could not be started.
    #[error("ledger: cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// Listening for digest requests of other servers failed.
    #[error("`peers.listen`: {address}: {source}")]
    Listen {
        /// Configured listen address.
        address: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
}
