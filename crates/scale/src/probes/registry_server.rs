//! A counting registry: it receives reports over HTTP/1.1 as defined by the protocol, responds to each, and
//! counts bytes, reports, connections and its own processor time.

use anyhow::{Context, Result};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::time::{ClockId, clock_gettime};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Response to a report.
const ANSWER: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
/// Maximum size of a report, bytes.
const MAX_REPORT: usize = 16 * 1024;
/// Name of the header that states the length of the body, in lower case.
const CONTENT_LENGTH: &str = "content-length:";
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Nanoseconds per second.
const NS_PER_SECOND: u64 = 1_000_000_000;

/// Counts since the start of the registry, or between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Number of reports received.
    pub reports: u64,
    /// Bytes of the reports, headers included.
    pub report_bytes: u64,
    /// Bytes of the responses, headers included.
    pub answer_bytes: u64,
    /// Number of accepted connections.
    pub connections: u64,
    /// Processor time of the registry's thread up to its last report, ns.
    pub processor_ns: u64,
}

impl Counts {
    /// Returns the difference from earlier counts.
    pub fn since(self, before: Counts) -> Counts {
        Counts {
            reports: self.reports - before.reports,
            report_bytes: self.report_bytes - before.report_bytes,
            answer_bytes: self.answer_bytes - before.answer_bytes,
            connections: self.connections - before.connections,
            processor_ns: self.processor_ns - before.processor_ns,
        }
    }
}

/// Counters shared by the registry's thread and its owner.
#[derive(Default)]
struct Counters {
    reports: AtomicU64,
    report_bytes: AtomicU64,
    answer_bytes: AtomicU64,
    connections: AtomicU64,
    processor_ns: AtomicU64,
}

/// A running registry. Dropping it stops its thread.
pub struct Registry {
    address: SocketAddr,
    counters: Arc<Counters>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Registry {
    /// Starts a registry on a free local port.
    ///
    /// # Errors
    /// Returns an error if no port can be bound or no thread can be started.
    pub fn start() -> Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0").context("binding a port for the registry")?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let counters = Arc::new(Counters::default());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let shared = counters.clone();
        let thread = std::thread::Builder::new().name("registry".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            executor.spawn(accept(listener, shared, executor.clone())).detach();
            async_io::block_on(executor.run(async {
                // Returns an error as soon as the owner drops its sender, which is the signal to stop.
                let _ = stopped.recv().await;
            }));
        })?;
        Ok(Registry { address, counters, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the address on which the registry listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            reports: load(&self.counters.reports),
            report_bytes: load(&self.counters.report_bytes),
            answer_bytes: load(&self.counters.answer_bytes),
            connections: load(&self.counters.connections),
            processor_ns: load(&self.counters.processor_ns),
        }
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(listener: Async<TcpListener>, counters: Arc<Counters>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                counters.connections.fetch_add(1, Ordering::Relaxed);
                executor.spawn(serve(stream, counters.clone())).detach();
            }
            // The connection was reset before it was accepted, or no file descriptor is left. The other
            // connections continue.
            Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
        }
    }
}

/// Receives reports until the connection ends or exceeds the maximum size of a report.
async fn serve(stream: Async<TcpStream>, counters: Arc<Counters>) {
    let (mut received, mut chunk, mut stream) = (Vec::new(), vec![0; 1024], &stream);
    while let Ok(read) = stream.read(&mut chunk).await {
        if read == 0 || received.len() > MAX_REPORT {
            return;
        }
        received.extend_from_slice(&chunk[..read]);
        while let Some(length) = report_length(&received) {
            received.drain(..length);
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
            counters.reports.fetch_add(1, Ordering::Relaxed);
            counters.report_bytes.fetch_add(length as u64, Ordering::Relaxed);
            counters.answer_bytes.fetch_add(ANSWER.len() as u64, Ordering::Relaxed);
            counters.processor_ns.store(processor_ns(), Ordering::Relaxed);
        }
    }
}

/// Returns the length of the report at the beginning of `bytes`, or `None` if it is incomplete.
fn report_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..head]).ok()?.to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix(CONTENT_LENGTH));
    let whole = head + length.map_or(Some(0), |length| length.trim().parse().ok())?;
    (bytes.len() >= whole).then_some(whole)
}

/// Returns the processor time of this thread, ns.
fn processor_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * NS_PER_SECOND + time.tv_nsec as u64
}
