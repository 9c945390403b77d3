//! An address that is kept while nobody listens on it.

use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketType, bind, getsockname, listen, socket, sockopt};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A loopback address whose port is held by a socket that does not listen: while nothing else listens on it connections are
/// refused, and no other program gets the port. A port that was listened on and let go can be given to anybody, who then
/// gets the connections that are meant for its owner.
#[derive(Debug)]
pub struct ReservedAddress {
    _socket: OwnedFd,
    address: SocketAddrV4,
}

impl ReservedAddress {
    /// Takes a free port.
    ///
    /// # Errors
    /// If there is none.
    pub fn new() -> io::Result<ReservedAddress> {
        let socket = bound_socket(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::try_from(getsockname(&socket)?)?;
        Ok(ReservedAddress { _socket: socket, address })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address.into()
    }

    /// Listens on it. It is kept when the listener is closed.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound_socket(self.address)?;
        listen(&socket, BACKLOG)?;
        Ok(TcpListener::from(socket))
    }
}

/// Returns a socket bound to that address, which may be bound again by the same program.
fn bound_socket(address: SocketAddrV4) -> io::Result<OwnedFd> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &address)?;
    Ok(socket)
}
