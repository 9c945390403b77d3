//! Exchanges claims about exported batches with other round servers, where they may talk: a thread that asks, and one that
//! answers. Off unless the operator file names peers. A peer that is down, slow or talks nonsense costs a line in the log and
//! nothing else; what it says is only ever held against what is known, and told to people.

use crate::operator::PeerSettings;
use dunlinspread_ledger::digest_comparison::{DigestClaims, DigestComparison};
use prost::Message;
use slog::{Logger, error, info, warn};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a peer may take for each step of an exchange.
const PATIENCE: Duration = Duration::from_secs(2);
/// What an exchange begins with: it names the version.
const MAGIC: &[u8; 8] = b"DLSPWIT1";
/// The longest message, in bytes: all that a witness may know, and room.
const MAX_MESSAGE: usize = 2 << 20;

/// What is known, shared with the clerk.
#[derive(Clone)]
pub struct Shared {
    witness: Arc<Mutex<DigestComparison>>,
    log: Logger,
}

impl Shared {
    /// What this server's ledger is so far.
    pub fn new(server: &str, ledger_id: u64, made: u64, log: Logger) -> Shared {
        Shared { witness: Arc::new(Mutex::new(DigestComparison::new(server, ledger_id, made))), log }
    }

    fn witness(&self) -> MutexGuard<'_, DigestComparison> {
        self.witness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This server made a batch, durably.
    pub fn made(&self, batch: u64, digest: &[u8], span: (u64, u64)) {
        let unlike = self.witness().add_own_batch(batch, digest, span.0..span.1);
        unlike.iter().for_each(|u| self.say(u));
    }

    fn hear(&self, claims: &DigestClaims) {
        let unlike = self.witness().add_claims(claims);
        unlike.iter().for_each(|u| self.say(u));
    }

    fn say(&self, unlike: &dunlinspread_ledger::digest_comparison::DigestMismatch) {
        error!(self.log, "ledger: servers disagree about exports"; "what" => unlike.to_string());
    }

    /// Starts both threads, which end with the program.
    ///
    /// # Errors
    /// If the address can't be listened on or there can be no thread.
    pub fn start(&self, settings: &PeerSettings) -> Result<(), String> {
        if let Some(address) = settings.listen {
            let listener =
                TcpListener::bind(address).map_err(|e| format!("`peers.listen`: {address}: {e}"))?;
            let at = listener.local_addr().unwrap_or(address);
            info!(self.log, "ledger: answers other servers"; "peers_at" => at.to_string());
            let shared = self.clone();
            let answering = move || {
                // One at a time: each is over within seconds, and they come seldom.
                for stream in listener.incoming() {
                    let answered = stream.and_then(|s| shared.exchange(s, false));
                    if let Err(e) = answered {
                        warn!(shared.log, "ledger: a server that asked can't be answered"; "why" => e.to_string());
                        std::thread::sleep(Duration::from_millis(50));
                    }
                }
            };
            std::thread::Builder::new()
                .name("witness".to_owned())
                .spawn(answering)
                .map_err(|e| e.to_string())?;
        }
        if !settings.ask.is_empty() {
            let (shared, peers) = (self.clone(), settings.ask.clone());
            let every = Duration::from_millis(settings.every_ms);
            let asking = move || shared.ask(&peers, every);
            std::thread::Builder::new().name("asking".to_owned()).spawn(asking).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    fn ask(&self, peers: &[SocketAddr], every: Duration) {
        let mut answers = vec![true; peers.len()];
        loop {
            for (peer, answered) in peers.iter().zip(&mut answers) {
                let result = TcpStream::connect_timeout(peer, PATIENCE).and_then(|s| self.exchange(s, true));
                if let (true, Err(e)) = (*answered, &result) {
                    warn!(self.log, "ledger: another server does not answer"; "peer" => peer.to_string(),
                        "why" => e.to_string());
                }
                *answered = result.is_ok();
            }
            std::thread::sleep(every);
        }
    }

    /// Tells and hears; who asks tells first.
    fn exchange(&self, mut stream: TcpStream, asks: bool) -> io::Result<()> {
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        if asks {
            self.put(&mut stream)?;
        }
        let claims = read(&mut stream)?;
        self.hear(&claims);
        if asks { Ok(()) } else { self.put(&mut stream) }
    }

    fn put(&self, stream: &mut TcpStream) -> io::Result<()> {
        let bytes = self.witness().claims().encode_to_vec();
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        out.extend_from_slice(&bytes);
        stream.write_all(&out)
    }
}

fn read(stream: &mut impl Read) -> io::Result<DigestClaims> {
    let wrong = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    if &head[..8] != MAGIC {
        return Err(wrong("it does not speak this version"));
    }
    let len = u32::from_le_bytes([head[8], head[9], head[10], head[11]]) as usize;
    if len > MAX_MESSAGE {
        return Err(wrong("its message is too long"));
    }
    // Grows with what comes, not with what is announced.
    let mut bytes = Vec::new();
    stream.take(len as u64).read_to_end(&mut bytes)?;
    if bytes.len() < len {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    DigestClaims::decode(&bytes[..]).map_err(|_| wrong("its message can't be read"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nonsense_is_an_error() {
        let mut good = MAGIC.to_vec();
        good.extend_from_slice(&[0; 4]);
        assert_eq!(read(&mut &good[..]).expect("empty claims"), DigestClaims::default());
        let long = [&MAGIC[..], &[255; 4]].concat();
        let cut = [&MAGIC[..], &[9, 0, 0, 0, 1]].concat();
        let other = [&MAGIC[..], &[2, 0, 0, 0, 255, 255]].concat();
        for bytes in [&b""[..], b"GET / HTTP/1.1\r\n\r\n", &long, &cut, &other] {
            assert!(read(&mut &bytes[..]).is_err(), "{bytes:?}");
        }
    }
}
