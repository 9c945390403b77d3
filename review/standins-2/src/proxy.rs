//! A proxy before a worker pool that breaks links: what the server wrote in the last milliseconds before a
//! break is lost with it.

use crate::lock;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

struct Link {
    server: TcpStream,
    pool: TcpStream,
    /// Bytes to the worker pool that wait, while a break is prepared.
    held: Mutex<Held>,
}

#[derive(Default)]
struct Held {
    holds: bool,
    bytes: VecDeque<u8>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = Proxy { address, target, links: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.serve(stream));
            }
        });
        proxy
    }

    fn serve(&self, server: TcpStream) -> Option<()> {
        let pool = TcpStream::connect(self.target).ok()?;
        let _ = (server.set_nodelay(true), pool.set_nodelay(true));
        let link = Arc::new(Link {
            server: server.try_clone().ok()?,
            pool: pool.try_clone().ok()?,
            held: Mutex::default(),
        });
        lock(&self.links).push(link.clone());
        let (mut from_pool, mut to_server) = (pool.try_clone().ok()?, server.try_clone().ok()?);
        thread::spawn(move || {
            let mut buffer = vec![0; 65536];
            while let Ok(length @ 1..) = from_pool.read(&mut buffer) {
                if to_server.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            let _ = to_server.shutdown(Shutdown::Both);
            let _ = from_pool.shutdown(Shutdown::Both);
        });
        let (mut from_server, mut to_pool) = (server, pool);
        let mut buffer = vec![0; 65536];
        while let Ok(length @ 1..) = from_server.read(&mut buffer) {
            let mut held = lock(&link.held);
            if held.holds {
                held.bytes.extend(&buffer[..length]);
            } else if to_pool.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to_pool.shutdown(Shutdown::Both);
        Some(())
    }

    /// Breaks all links. Commands of the last `lost_ms` are lost with them; notices are not.
    pub fn break_links(&self, lost_ms: u64) {
        let links: Vec<_> = lock(&self.links).drain(..).collect();
        for link in &links {
            lock(&link.held).holds = true;
        }
        let until = Instant::now() + Duration::from_millis(lost_ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        for link in &links {
            let _ = link.server.shutdown(Shutdown::Both);
            let _ = link.pool.shutdown(Shutdown::Both);
        }
    }
}
