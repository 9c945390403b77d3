//! Selection of the server that a client watches: rendezvous hashing (highest random weight) within the
//! client's zone, then within its region, then anywhere. When a server is lost, only its own clients move,
//! and they spread over the remaining servers.

use crate::message::Member;
use crate::server::Server;
use std::cmp::Reverse;
use xxhash_rust::xxh3::Xxh3;

/// Proximity of a server to a client, in ascending order of distance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// The server is in the client's zone.
    SameZone,
    /// The server is in the client's region, in another zone or in none.
    SameRegion,
    /// The server is in another region.
    Elsewhere,
}

/// Returns the proximity of `server` to `client`.
pub fn proximity(client: &Member, server: &Server) -> Proximity {
    if server.region != client.region {
        Proximity::Elsewhere
    } else if server.zone.as_ref() == Some(&client.zone) {
        Proximity::SameZone
    } else {
        Proximity::SameRegion
    }
}

/// Returns the servers in the order in which `client` tries them. The order depends on names, zones and
/// regions, not on the order of `servers`. A server with the client's own name is left out: a relay never
/// watches itself.
pub fn ranked(client: &Member, servers: &[Server]) -> Vec<Server> {
    let mut ranked: Vec<Server> =
        servers.iter().filter(|server| server.name != client.name).cloned().collect();
    ranked.sort_by_cached_key(|server| {
        let weight = weight(&client.name, &server.name);
        (proximity(client, server), Reverse(weight), server.name.clone())
    });
    ranked
}

/// Returns the weight of a server for a client. The length of the client's name is hashed too, so that
/// different pairs of names have different input.
fn weight(client: &str, server: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(client.len() as u64).to_le_bytes());
    hash.update(client.as_bytes());
    hash.update(server.as_bytes());
    hash.digest()
}
