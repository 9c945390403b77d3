//! The TCP sockets of a process, as the operating system reports them.

use super::HANG;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The state of a TCP socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// The first packet was sent and is not answered yet.
    Connecting,
    /// The socket listens for connections.
    Listening,
    /// Any other state.
    Other,
}

/// A TCP socket of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpSocket {
    pub local_port: u16,
    pub remote_port: u16,
    pub state: SocketState,
}

/// Returns the sockets that a process has open now.
pub fn of_process(id: u32) -> Vec<TcpSocket> {
    let inodes = inodes(id);
    let table = std::fs::read_to_string(format!("/proc/{id}/net/tcp")).unwrap_or_default();
    let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row.get(9).is_some_and(|inode| inodes.contains(*inode)))
        .map(|row| TcpSocket {
            local_port: port(row[1]),
            remote_port: port(row[2]),
            state: match row[3] {
                "02" => SocketState::Connecting,
                "0A" => SocketState::Listening,
                _ => SocketState::Other,
            },
        })
        .collect()
}

/// Describes both ends of a connection and the process at the other end, as far as the operating system
/// reports them.
pub fn describe_peer(stream: &TcpStream) -> String {
    let port_of = |address: std::io::Result<SocketAddr>| address.map_or(0, |address| address.port());
    let (local, peer) = (port_of(stream.local_addr()), port_of(stream.peer_addr()));
    let is_other_end = |socket: &TcpSocket| socket.local_port == peer && socket.remote_port == local;
    let processes = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let owner = ids.into_iter().find(|id| of_process(*id).iter().any(is_other_end));
    let command = owner.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/cmdline")).ok());
    format!("port {local}, peer's port {peer}, of process {owner:?}: {command:?}")
}

/// Waits until a process listens, and returns its address.
pub fn listening_address(id: u32) -> String {
    let listening =
        wait_for(|| of_process(id).into_iter().find(|socket| socket.state == SocketState::Listening));
    format!("127.0.0.1:{}", listening.local_port)
}

/// Waits until `condition` returns a value, and returns it.
pub fn wait_for<T>(condition: impl Fn() -> Option<T>) -> T {
    let since = Instant::now();
    while since.elapsed() < HANG {
        if let Some(value) = condition() {
            return value;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("the condition is not met within the time limit");
}

/// Returns the inodes of a process's sockets.
fn inodes(id: u32) -> HashSet<String> {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{id}/fd")) else { return HashSet::new() };
    let targets = descriptors.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let names = targets.filter_map(|target| target.to_str().map(str::to_owned));
    names.filter_map(|name| Some(name.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())).collect()
}

fn port(address: &str) -> u16 {
    let (_, port) = address.split_once(':').expect("an address");
    u16::from_str_radix(port, 16).expect("a port")
}
