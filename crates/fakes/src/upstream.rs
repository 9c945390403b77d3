//! The fake upstream service: replies to calls after a random delay, or fails them with configured
//! probabilities.

use crate::fake_server::FakeServer;
use crate::http::{Reply, RequestReader};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// Range of the duration of a call, as a fraction of the mean.
const WORK_SPREAD: Range<f64> = 0.5..1.5;

/// Probabilities of the faults of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamFaults {
    /// Probability that a call is rejected without being executed (status 503 with the header `X-Shed`).
    pub shed: f64,
    /// Probability that a call fails after being executed (status 500).
    pub error: f64,
    /// Probability that the connection closes instead of a reply.
    pub reset: f64,
    /// Probability that no reply is ever sent.
    pub stall: f64,
}

/// Result of a call.
enum CallEnd {
    Completed,
    Shed,
    Error,
    Reset,
    Stall,
}

impl UpstreamFaults {
    /// Returns the result of a call for a random number between 0 and 1.
    fn call_end(&self, random: f64) -> CallEnd {
        let shed = self.shed;
        let error = shed + self.error;
        let reset = error + self.reset;
        let stall = reset + self.stall;
        match random {
            random if random < shed => CallEnd::Shed,
            random if random < error => CallEnd::Error,
            random if random < reset => CallEnd::Reset,
            random if random < stall => CallEnd::Stall,
            _ => CallEnd::Completed,
        }
    }
}

/// A running fake upstream service.
pub struct FakeUpstream {
    _server: FakeServer,
    address: SocketAddr,
}

impl FakeUpstream {
    /// Starts an upstream service whose calls take `work_ms` on average.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available.
    pub fn start(work_ms: f64, seed: u64, faults: UpstreamFaults) -> io::Result<FakeUpstream> {
        let (server, address) = FakeServer::listen("upstream", move |_| {
            let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
            move |stream| serve(stream, rng.clone(), work_ms, faults)
        })?;
        Ok(FakeUpstream { _server: server, address })
    }

    /// Returns the address on which the upstream service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(stream: Async<TcpStream>, rng: Rc<RefCell<ChaCha8Rng>>, work_ms: f64, faults: UpstreamFaults) {
    let mut requests = RequestReader::new(&stream);
    while let Some(request) = requests.next().await {
        let (call_ms, random) = {
            let mut rng = rng.borrow_mut();
            (work_ms * rng.random_range(WORK_SPREAD), rng.random::<f64>())
        };
        Timer::after(Duration::from_secs_f64(call_ms / 1000.0)).await;
        let reply = match faults.call_end(random) {
            CallEnd::Completed => Reply { status: 200, headers: "", body: &request.body },
            CallEnd::Shed => Reply { headers: "X-Shed: 1\r\n", ..Reply::status(503) },
            CallEnd::Error => Reply::status(500),
            CallEnd::Reset => return,
            CallEnd::Stall => std::future::pending().await,
        };
        if (&stream).write_all(&reply.encode()).await.is_err() {
            return;
        }
    }
}
