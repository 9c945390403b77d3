//! A fixed address in front of a server that restarts on another port.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Forwards connections to the server's current address. Its threads end with the connections or with the
/// process.
pub struct Redirect {
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
}

impl Redirect {
    pub fn to(target: SocketAddr) -> Redirect {
        let listener = TcpListener::bind(super::any_port()).expect("a port");
        let address = listener.local_addr().expect("a local address");
        let target = Arc::new(Mutex::new(target));
        let current = target.clone();
        std::thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                let address = *current.lock().expect("no panic while held");
                if let Ok(server) = TcpStream::connect(address) {
                    forward(&client, &server);
                    forward(&server, &client);
                }
            }
        });
        Redirect { address, target }
    }

    pub fn set(&self, target: SocketAddr) {
        *self.target.lock().expect("no panic while held") = target;
    }
}

fn forward(from: &TcpStream, to: &TcpStream) {
    let (mut from, mut to) = (from.try_clone().expect("a clone"), to.try_clone().expect("a clone"));
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}
