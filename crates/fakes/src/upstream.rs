//! The index: answers calls after a while, or in one of the ways in which calls go wrong.

use crate::fake_server::FakeServer;
use crate::http;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What goes wrong with calls, each as a part of all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamFaults {
    /// Turned away unrun.
    pub shed: f64,
    /// Failed after running.
    pub error: f64,
    /// The connection ends in place of a reply.
    pub reset: f64,
    /// No reply ever.
    pub stall: f64,
}

/// A running index.
pub struct FakeUpstream {
    _server: FakeServer,
    address: SocketAddr,
}

impl FakeUpstream {
    /// Starts one whose calls take about `work_ms`.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start(work_ms: f64, seed: u64, faults: UpstreamFaults) -> io::Result<FakeUpstream> {
        let (party, address) = FakeServer::listen("index", move |_| {
            let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
            move |stream| {
                let rng = rng.clone();
                async move {
                    let mut kept = Vec::new();
                    while let Some(request) = http::read(&stream, &mut kept).await {
                        let (ms, dice) = {
                            let mut rng = rng.borrow_mut();
                            (work_ms * rng.random_range(0.5..1.5), rng.random::<f64>())
                        };
                        Timer::after(Duration::from_secs_f64(ms / 1000.0)).await;
                        let shed = faults.shed;
                        let error = shed + faults.error;
                        let reset = error + faults.reset;
                        let reply = match dice {
                            d if d < shed => http::reply(503, "X-Shed: 1\r\n", b""),
                            d if d < error => http::reply(500, "", b""),
                            d if d < reset => return,
                            d if d < reset + faults.stall => std::future::pending().await,
                            _ => http::reply(200, "", &request.body),
                        };
                        if (&stream).write_all(&reply).await.is_err() {
                            return;
                        }
                    }
                }
            }
        })?;
        Ok(FakeUpstream { _server: party, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
