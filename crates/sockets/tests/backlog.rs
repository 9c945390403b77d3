//! As many connections as a fleet may open at once find room while nobody accepts.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// More than the standard library's queue of 128 holds, and less than the system's usual limit of 4,096.
const CONNECTIONS: usize = 400;
/// A connection that finds no room has its first packet sent again after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

#[test]
fn many_connections_wait_to_be_accepted() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = dunlinspread_sockets::listen(any).expect("a free port");
    let address = socket.local_addr().expect("an address");
    let waiting: Vec<TcpStream> =
        (0..CONNECTIONS).map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect();
    assert_eq!(waiting.len(), CONNECTIONS, "the queue has no room for more");
}

#[test]
fn an_address_that_is_taken_is_an_error() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = dunlinspread_sockets::listen(any).expect("a free port");
    let taken = dunlinspread_sockets::listen(socket.local_addr().expect("an address"));
    assert_eq!(taken.expect_err("it is taken").kind(), std::io::ErrorKind::AddrInUse);
}
