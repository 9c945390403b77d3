//! Connecting to the worker pool.

use crate::server::timer_wheel::TimerWheel;
use async_io::Async;
use futures_lite::future::{BoxedLocal, or};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Delay before connecting again after a failed attempt, ms.
pub(super) const CONNECT_RETRY_MS: f64 = 50.0;
/// Time limit of an attempt to connect, ms: a first packet that was lost is sent again by the system after a second.
const CONNECT_TIMEOUT_MS: f64 = 1500.0;

/// An attempt to connect. It is kept until it ends: one that is dropped half-way leaves the pool with a connection on
/// which nothing comes, beside the one that is made next.
pub(super) type ConnectAttempt = BoxedLocal<io::Result<Async<TcpStream>>>;

/// Begins an attempt that connects after a delay. It fails if the connection is refused or takes longer than its time
/// limit.
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
