//! The exchange of digests of exported batches with other servers, where they may talk: one thread that asks and one that
//! answers. Off unless the operator file names peers.
//!
//! A peer that is down, slow or sends garbage costs a line in the log and nothing else; what it tells is compared with
//! what is known, and mismatches are reported to operators.

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

/// How long a peer may take for each step of an exchange.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after an exchange that could not be answered.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);

/// Which end of an exchange this is. The one that asks tells first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeRole {
    Asking,
    Answering,
}

/// What is known of digests, shared by the threads of the exchange and the export worker.
#[derive(Clone)]
pub struct DigestExchange {
    comparison: Arc<Mutex<DigestComparison>>,
    log: Logger,
}

impl DigestExchange {
    /// Returns the exchange of a server that knows its own ledger up to this batch.
    pub fn new(server: &str, ledger_id: u64, last_own_batch: u64, log: Logger) -> DigestExchange {
        let comparison = DigestComparison::new(server, ledger_id, last_own_batch);
        DigestExchange { comparison: Arc::new(Mutex::new(comparison)), log }
    }

    fn comparison(&self) -> MutexGuard<'_, DigestComparison> {
        self.comparison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a batch that this server made and whose line is durable; `span` is that of its periods, Unix ms.
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

    /// Starts the threads that the settings ask for, which end with the program.
    ///
    /// # Errors
    /// If the address can't be listened on, or a thread can't be started.
    pub fn start(&self, settings: &PeerSettings) -> Result<(), UsageError> {
        if let Some(address) = settings.listen {
            let listener = dunlinspread_sockets::listen(address)
                .map_err(|source| UsageError::Listen { address, source })?;
            let local_address = listener.local_addr().unwrap_or(address);
            info!(self.log, "digest exchange listening"; "address" => local_address.to_string());
            let exchange = self.clone();
            spawn("digest-answers", move || exchange.answer_peers(&listener))?;
        }
        if !settings.ask.is_empty() {
            let (exchange, peers) = (self.clone(), settings.ask.clone());
            let interval = Duration::from_millis(settings.every_ms);
            spawn("digest-requests", move || exchange.ask_peers(&peers, interval))?;
        }
        Ok(())
    }

    /// Answers one peer at a time: each exchange is over within seconds, and they come seldom.
    fn answer_peers(&self, listener: &TcpListener) {
        for stream in listener.incoming() {
            let answered = stream.and_then(|stream| self.exchange(stream, ExchangeRole::Answering));
            if let Err(error) = answered {
                warn!(self.log, "digest request of a peer failed"; "error" => error.to_string());
                std::thread::sleep(PAUSE_AFTER_FAILURE);
            }
        }
    }

    /// Asks all peers in turn, again after each interval; a failure is logged when a peer stops answering.
    fn ask_peers(&self, peers: &[SocketAddr], interval: Duration) {
        let mut answered_last = vec![true; peers.len()];
        loop {
            for (peer, answered_last) in peers.iter().zip(&mut answered_last) {
                let result = TcpStream::connect_timeout(peer, STEP_TIMEOUT)
                    .and_then(|stream| self.exchange(stream, ExchangeRole::Asking));
                if let (true, Err(error)) = (*answered_last, &result) {
                    warn!(self.log, "peer does not answer"; "peer" => peer.to_string(),
                        "error" => error.to_string());
                }
                *answered_last = result.is_ok();
            }
            std::thread::sleep(interval);
        }
    }

    fn exchange(&self, mut stream: TcpStream, role: ExchangeRole) -> io::Result<()> {
        stream.set_read_timeout(Some(STEP_TIMEOUT))?;
        stream.set_write_timeout(Some(STEP_TIMEOUT))?;
        if role == ExchangeRole::Asking {
            self.send_claims(&mut stream)?;
        }
        let claims = digest_frame::read(&mut stream)?;
        self.add_claims(&claims);
        if role == ExchangeRole::Answering {
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
