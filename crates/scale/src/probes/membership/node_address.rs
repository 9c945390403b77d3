//! Addresses of the nodes of a simulated network.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Port of every member.
const PORT: u16 = 7946;

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + node as u32), PORT)
}

/// Returns the node with an address.
pub fn node_of(address: &SocketAddrV4) -> usize {
    (u32::from(*address.ip()) & 0x00ff_ffff) as usize
}
