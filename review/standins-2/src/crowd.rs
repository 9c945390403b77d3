//! Clients that are none of the usual client proxies: each holds a connection and sends a request whose id the
//! worker pool does not know, and the same again as soon as it is turned away.

use crate::wire::request;
use crate::{lock, now_ms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Default)]
pub struct Crowd {
    pub connected: Arc<AtomicU64>,
    pub sent: Arc<AtomicU64>,
    pub answered: Arc<AtomicU64>,
    stops: Arc<AtomicBool>,
    /// Longest time from a connection to its first answer, ms.
    pub longest_ms: Arc<Mutex<u64>>,
}

impl Crowd {
    pub fn start(address: SocketAddr, count: u64, class: &'static str) -> Crowd {
        let crowd = Crowd::default();
        for number in 0..count {
            let crowd = crowd.clone();
            let body = move || {
                while !crowd.stops.load(Ordering::SeqCst) {
                    let _ = crowd.hold(address, number, class);
                    thread::sleep(Duration::from_millis(20));
                }
            };
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(body);
        }
        crowd
    }

    pub fn stop(&self) {
        self.stops.store(true, Ordering::SeqCst);
    }

    fn hold(&self, address: SocketAddr, number: u64, class: &str) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        let (began, mut buffer, mut is_first) = (now_ms(), [0; 4096], true);
        self.connected.fetch_add(1, Ordering::SeqCst);
        for id in 1.. {
            if self.stops.load(Ordering::SeqCst) {
                return None;
            }
            let call = format!(
                "{:016x}",
                0xbad0_0000_0000_0000_u64 + (number << 20) + (now_ms() & 0xffff) * 16 + id % 16
            );
            let fields = [
                ("call", call),
                ("recv", now_ms().to_string()),
                ("src", "9".to_owned()),
                ("heap", "24.5".to_owned()),
                ("crit", "0.9900".to_owned()),
            ];
            stream.write_all(&request(id, class, &fields, b"anything")).ok()?;
            self.sent.fetch_add(1, Ordering::SeqCst);
            stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
            self.answered.fetch_add(1, Ordering::SeqCst);
            if std::mem::take(&mut is_first) {
                let mut longest = lock(&self.longest_ms);
                *longest = (*longest).max(now_ms() - began);
            }
        }
        None
    }
}
