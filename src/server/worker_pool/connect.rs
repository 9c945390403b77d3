//! Connecting to the worker pool.

use crate::server::timer_wheel::TimerWheel;
use async_io::Async;
use futures_lite::future::or;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Delay before connecting again after a failed attempt, ms.
pub(super) const CONNECT_RETRY_MS: f64 = 50.0;
/// Time limit of an attempt to connect, ms: a first packet that was lost is sent again by the system after a second.
const CONNECT_TIMEOUT_MS: f64 = 1500.0;

/// Connects once.
///
/// # Errors
/// If the connection is refused or takes longer than its time limit.
pub(super) async fn connect(address: SocketAddr, wheel: &Rc<TimerWheel>) -> io::Result<Async<TcpStream>> {
    let timed_out = async {
        wheel.sleep(CONNECT_TIMEOUT_MS).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(Async::<TcpStream>::connect(address), timed_out).await
}

/// Connects, however long that takes.
pub(super) async fn connect_with_retries(address: SocketAddr, wheel: Rc<TimerWheel>) -> Async<TcpStream> {
    loop {
        if let Ok(stream) = connect(address, &wheel).await {
            return stream;
        }
        wheel.sleep(CONNECT_RETRY_MS).await;
    }
}
