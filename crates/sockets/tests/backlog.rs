//! Tests that the accept queue holds as many connections as a fleet may open at once while none is accepted.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// More connections than the standard library's queue of 128 holds, and fewer than the system's usual limit
/// of 4,096.
const CONNECTIONS: usize = 400;
/// Shorter than one second, after which the system resends the first packet of a connection that the queue
/// did not accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

#[test]
fn many_connections_wait_to_be_accepted() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = dunlinspread_sockets::listen(any).expect("listening on a free port");
    let address = socket.local_addr().expect("the socket has an address");
    let waiting: Vec<TcpStream> =
        (0..CONNECTIONS).map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect();
    assert_eq!(waiting.len(), CONNECTIONS, "the accept queue holds fewer connections");
}

#[test]
fn an_address_that_is_taken_is_an_error() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = dunlinspread_sockets::listen(any).expect("listening on a free port");
    let second = dunlinspread_sockets::listen(socket.local_addr().expect("the socket has an address"));
    assert_eq!(second.expect_err("the address is in use").kind(), std::io::ErrorKind::AddrInUse);
}
