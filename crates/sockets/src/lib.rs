//! Listening sockets with room for as many connections as peers may open at once.
//!
//! While nobody accepts, connections wait in the system's queue. One that finds it full stands for its client, and is
//! reset later together with what was written on it. The standard library asks for a queue of 128.

use std::io;
use std::net::{SocketAddr, TcpListener};

/// The connections that may wait to be accepted, as far as the system allows.
pub const ACCEPT_BACKLOG: i32 = 4096;

/// Listens on an address.
///
/// # Errors
/// If the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpListener::bind(address)?;
    // Listening again changes the length of the queue alone.
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(socket)
}
