//! Exchange of the digests of exported batches with other servers: one thread initiates exchanges with the
//! configured peers, and one responds to exchanges that peers initiate. Disabled unless the operator file
//! configures peers.
//!
//! A peer that is down, is slow or sends invalid data causes a log line and has no other effect. The digests
//! that a peer reports are compared with the known ones, and mismatches are reported to operators.

use super::digest_frame;
use super::error::UsageError;
use crate::operator::PeerSettings;
use dunlinspread_ledger::digest_comparison::{DigestClaims, DigestComparison, DigestMismatch};
use slog::{Logger, error, info, warn};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout for connecting to a peer, and for each read from and write to the connection.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed exchange that a peer initiated.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Role of this server in an exchange. The initiator sends its claims first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeRole {
    Initiator,
    Responder,
}

/// Digest exchange of a server. Clones share the known digests, which the threads of the exchange and the
/// export worker use.
#[derive(Clone)]
pub struct DigestExchange {
    comparison: Arc<Mutex<DigestComparison>>,
    log: Logger,
}

impl DigestExchange {
    /// Returns the exchange of a server whose own ledger ends with the batch `last_own_batch`.
    pub fn new(server: &str, ledger_id: u64, last_own_batch: u64, log: Logger) -> DigestExchange {
        let comparison = DigestComparison::new(server, ledger_id, last_own_batch);
        DigestExchange { comparison: Arc::new(Mutex::new(comparison)), log }
    }

    fn comparison(&self) -> MutexGuard<'_, DigestComparison> {
        self.comparison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a batch that this server created and whose line is durable. `span` is the time range of the
    /// batch's periods, in Unix ms.
    pub fn add_own_batch(&self, batch: u64, digest: &[u8], span: Range<u64>) {
        let mismatches = self.comparison().add_own_batch(batch, digest, span);
        self.report(&mismatches);
    }

    fn add_claims(&self, claims: &DigestClaims) {
        let mismatches = self.comparison().add_claims(claims);
        self.report(&mismatches);
    }

    fn report(&self, mismatches: &[DigestMismatch]) {
        for mismatch in mismatches {
            error!(self.log, "export digest mismatch"; "mismatch" => mismatch.to_string());
        }
    }

    /// Starts the threads that the settings require. They run until the process ends.
    ///
    /// # Errors
    /// - [`UsageError::Listen`] if listening on the configured address fails.
    /// - [`UsageError::Thread`] if a thread can't be started.
    pub fn start(&self, settings: &PeerSettings) -> Result<(), UsageError> {
        if let Some(address) = settings.listen {
            let listener = dunlinspread_sockets::listen(address)
                .map_err(|source| UsageError::Listen { address, source })?;
            let local_address = listener.local_addr().unwrap_or(address);
            info!(self.log, "digest exchange listening"; "address" => local_address.to_string());
            let exchange = self.clone();
            spawn("digest-answers", move || exchange.serve_peers(&listener))?;
        }
        if !settings.ask.is_empty() {
            let (exchange, peers) = (self.clone(), settings.ask.clone());
            let interval = Duration::from_millis(settings.every_ms);
            spawn("digest-requests", move || exchange.poll_peers(&peers, interval))?;
        }
        Ok(())
    }

    /// Responds to one peer at a time: each exchange takes seconds at most, and exchanges are rare.
    fn serve_peers(&self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let result = stream.and_then(|stream| self.exchange(stream, ExchangeRole::Responder));
            if let Err(error) = result {
                warn!(self.log, "digest exchange initiated by a peer failed"; "error" => error.to_string());
                std::thread::sleep(PAUSE_AFTER_FAILURE);
            }
        }
    }

    /// Initiates an exchange with each peer in turn, and repeats that after each interval. A failure is
    /// logged only if the previous exchange with the peer succeeded.
    fn poll_peers(&self, peers: &[SocketAddr], interval: Duration) {
        let mut last_succeeded = vec![true; peers.len()];
        loop {
            for (peer, last_succeeded) in peers.iter().zip(&mut last_succeeded) {
                let result = TcpStream::connect_timeout(peer, STEP_TIMEOUT)
                    .and_then(|stream| self.exchange(stream, ExchangeRole::Initiator));
                if let (true, Err(error)) = (*last_succeeded, &result) {
                    warn!(self.log, "peer does not answer"; "peer" => peer.to_string(),
                        "error" => error.to_string());
                }
                *last_succeeded = result.is_ok();
            }
            std::thread::sleep(interval);
        }
    }

    /// Sends this server's claims and adds those of the peer, in the order that the role determines.
    fn exchange(&self, mut stream: TcpStream, role: ExchangeRole) -> io::Result<()> {
        stream.set_read_timeout(Some(STEP_TIMEOUT))?;
        stream.set_write_timeout(Some(STEP_TIMEOUT))?;
        if role == ExchangeRole::Initiator {
            self.send_claims(&mut stream)?;
        }
        let claims = digest_frame::read(&mut stream)?;
        self.add_claims(&claims);
        if role == ExchangeRole::Responder {
            self.send_claims(&mut stream)?;
        }
        Ok(())
    }

    fn send_claims(&self, stream: &mut TcpStream) -> io::Result<()> {
        let frame = digest_frame::encode(&self.comparison().claims());
        stream.write_all(&frame)
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), UsageError> {
    let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map(drop).map_err(UsageError::Thread)
}
