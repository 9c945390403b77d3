//! Listening sockets whose accept queue holds as many connections as peers may open at once.
//!
//! Connections wait in the system's accept queue until the process accepts them. If the queue is full, the
//! connection is established from the client's point of view, but it is reset later and the bytes written on
//! it are lost. The standard library requests a queue of 128 connections.

use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted; the system may impose a lower limit.
pub const ACCEPT_BACKLOG: i32 = 4096;

/// Returns a socket that listens on `address` with a queue of [`ACCEPT_BACKLOG`] connections.
///
/// # Errors
/// Returns the system's error if binding to the address or listening on it fails.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpListener::bind(address)?;
    // A second call of `listen` changes only the length of the queue.
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(socket)
}
