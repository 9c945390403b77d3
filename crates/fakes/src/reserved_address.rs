//! A loopback address that stays reserved while no socket listens on it.

use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketType, bind, getsockname, listen, socket, sockopt};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

/// Maximum number of connections in the accept queue.
const LISTEN_BACKLOG: i32 = 1024;

/// A loopback address whose port is bound by a socket that does not listen. Connections are refused until
/// [`ReservedAddress::listen`] is called, and the kernel assigns the port to no other process. Without the
/// reservation a port that was listened on and closed can be assigned to another process, which then receives
/// the connections meant for its previous owner.
#[derive(Debug)]
pub struct ReservedAddress {
    _socket: OwnedFd,
    address: SocketAddrV4,
}

impl ReservedAddress {
    /// Reserves a free port.
    ///
    /// # Errors
    /// Returns an error if no port is available.
    pub fn new() -> io::Result<ReservedAddress> {
        let socket = bound_socket(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::try_from(getsockname(&socket)?)?;
        Ok(ReservedAddress { _socket: socket, address })
    }

    /// Returns the reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address.into()
    }

    /// Listens on the address. It stays reserved after the listener is closed.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be created, bound or set to listen.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound_socket(self.address)?;
        listen(&socket, LISTEN_BACKLOG)?;
        Ok(TcpListener::from(socket))
    }
}

/// Returns a socket bound to `address` with `SO_REUSEPORT`, so that the same process can bind the address
/// again.
fn bound_socket(address: SocketAddrV4) -> io::Result<OwnedFd> {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &address)?;
    Ok(socket)
}
