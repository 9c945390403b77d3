//! Connection attempts to the worker pool.

use crate::server::timer_wheel::TimerWheel;
use async_io::Async;
use futures_lite::future::{BoxedLocal, or};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Delay before the next connection attempt after a failed one, ms.
pub(super) const CONNECT_RETRY_MS: f64 = 50.0;
/// Time limit of a connection attempt, ms. It leaves time for a second SYN: the system resends a lost one
/// after 1 s.
const CONNECT_TIMEOUT_MS: f64 = 1500.0;

/// A connection attempt. It is kept until it ends: dropping it midway would leave the pool with a silent
/// connection beside the next one.
pub(super) type ConnectAttempt = BoxedLocal<io::Result<Async<TcpStream>>>;

/// Starts an attempt that connects after a delay. It fails if the connection is refused or not established
/// within the time limit.
pub(super) fn connect_after(delay_ms: f64, address: SocketAddr, wheel: Rc<TimerWheel>) -> ConnectAttempt {
    Box::pin(async move {
        if delay_ms > 0.0 {
            wheel.sleep(delay_ms).await;
        }
        connect(address, &wheel).await
    })
}

async fn connect(address: SocketAddr, wheel: &Rc<TimerWheel>) -> io::Result<Async<TcpStream>> {
    let timed_out = async {
        wheel.sleep(CONNECT_TIMEOUT_MS).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(Async::<TcpStream>::connect(address), timed_out).await
}
