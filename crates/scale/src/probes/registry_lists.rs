//! Measures the size of the server lists that callers receive from the registry, and computes from it the
//! bytes per second sent to all callers at the target's rate of changes, for several methods of sending
//! lists.
//!
//! The protocol does not define how callers receive lists, which is up to the platform; it only says that
//! callers see changes one or two seconds late. This module assumes an HTTP/1.1 response with a JSON array of
//! name, address and status on a persistent connection. Because callers may see changes up to two seconds
//! late, several changes can be sent as one list.

use super::ProbeOptions;
use crate::fit::Quantity;
use crate::slope::{Point, Slope};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Numbers of servers in a list.
const SIZES: &[u64] = &[10, 100, 1_000, 7_100];
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_SIZES: &[u64] = &[10, 100];
/// Number of servers in the target fleet.
const SERVERS: u64 = 7_100;
/// Numbers of callers, up to that of the target fleet.
const CALLERS: &[u64] = &[150, 1_500, 15_000, 150_000];
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_CALLERS: &[u64] = &[150, 1_500];
/// Changes of the list per second in the target fleet: 44,000 per day.
const CHANGES_PER_S: f64 = 44_000.0 / 86_400.0;
/// Maximum delay after which callers see a change, s; also their polling interval.
const DELAY_S: f64 = 2.0;
/// Number of servers that a caller uses if it uses a subset.
const SUBSET: u64 = 20;
/// Response to a poll if the list has not changed.
const UNCHANGED: &[u8] = b"HTTP/1.1 304 Not Modified\r\nETag: \"0000000000000000\"\r\n\r\n";
/// Request for a list.
const REQUEST: &[u8] =
    b"GET /catalog/list HTTP/1.1\r\nHost: 127.0.0.1:40000\r\nIf-None-Match: \"0000000000000000\"\r\n\r\n";

/// Entry of one server in a list.
#[derive(Serialize)]
struct Entry {
    name: String,
    address: String,
    status: &'static str,
}

/// A method of sending lists.
struct Method {
    id: &'static str,
    label: &'static str,
    /// Returns the bytes per second sent to one caller.
    bytes_per_s: fn(&ListSizes) -> f64,
}

const METHODS: [Method; 4] = [
    Method {
        id: "registry.list_bytes_per_s_each_change.callers",
        label: "the whole list to every caller for each change (computed from measured lists)",
        bytes_per_s: |lists| CHANGES_PER_S * lists.whole,
    },
    Method {
        id: "registry.list_bytes_per_s_whole.callers",
        label: "every caller asks each 2 s: the whole list if it changed, else 304 (computed from measured lists)",
        bytes_per_s: |lists| polled(CHANGES_PER_S, lists.whole),
    },
    Method {
        id: "registry.list_bytes_per_s_subset.callers",
        label: "every caller asks each 2 s for its subset of 20 servers: sent if it changed, else 304 (computed)",
        bytes_per_s: |lists| polled(CHANGES_PER_S * SUBSET as f64 / SERVERS as f64, lists.subset),
    },
    Method {
        id: "registry.list_bytes_per_s_delta.callers",
        label: "only the changed entry to every caller: not in the protocol, for comparison (computed)",
        bytes_per_s: |lists| CHANGES_PER_S * lists.one,
    },
];

/// Sizes of responses with lists, headers included, in bytes.
struct ListSizes {
    whole: f64,
    subset: f64,
    one: f64,
}

impl ListSizes {
    fn measure(seed: u64) -> ListSizes {
        let size = |servers| list(servers, seed).len() as f64;
        ListSizes { whole: size(SERVERS), subset: size(SUBSET), one: size(1) }
    }
}

/// Returns the bytes per second, requests included, of a caller that polls every [`DELAY_S`] seconds.
fn polled(changes_per_s: f64, changed_bytes: f64) -> f64 {
    let changed = 1.0 - (-changes_per_s * DELAY_S).exp();
    let answer = changed * changed_bytes + (1.0 - changed) * UNCHANGED.len() as f64;
    (REQUEST.len() as f64 + answer) / DELAY_S
}

/// Returns the slopes of the server lists.
pub fn slopes(options: &ProbeOptions) -> Vec<Slope> {
    let mut slopes = vec![list_bytes(options)];
    slopes.extend(METHODS.iter().map(|method| method.slope(options)));
    slopes
}

/// Returns the name of a server.
pub fn server_name(number: usize) -> String {
    format!("n{number}")
}

/// Returns the slope of the size of a list as a function of its number of entries.
fn list_bytes(options: &ProbeOptions) -> Slope {
    let mut points = Vec::new();
    for &size in options.sizes(SIZES, QUICK_SIZES) {
        for &seed in options.seeds() {
            points.push(Point::of(size as f64, seed, &[list(size, seed).len() as f64]));
        }
    }
    let quantity = Quantity {
        id: "registry.list_bytes.entries",
        quantity: "an answer with a list, with headers; its form is assumed",
        unit: "bytes",
        against: "servers in the list",
        fixed: &[],
        target_size: SERVERS as f64,
    };
    quantity.slope(points)
}

impl Method {
    fn slope(&self, options: &ProbeOptions) -> Slope {
        let mut points = Vec::new();
        for &callers in options.sizes(CALLERS, QUICK_CALLERS) {
            for &seed in options.seeds() {
                let bytes_per_s = callers as f64 * (self.bytes_per_s)(&ListSizes::measure(seed));
                points.push(Point::of(callers as f64, seed, &[bytes_per_s]));
            }
        }
        let quantity = Quantity {
            id: self.id,
            quantity: self.label,
            unit: "bytes/s",
            against: "callers",
            fixed: &[
                ("servers", SERVERS as f64),
                ("changes_per_s", CHANGES_PER_S),
                ("seen_late_s", DELAY_S),
                ("subset", SUBSET as f64),
            ],
            target_size: 150_000.0,
        };
        quantity.slope(points)
    }
}

/// Returns the bytes of a response with a list of the given number of servers.
fn list(servers: u64, seed: u64) -> Vec<u8> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let entries: Vec<Entry> = (0..servers)
        .map(|number| Entry {
            name: server_name(number as usize),
            address: format!(
                "10.{}.{}.{}:40103",
                random.random::<u8>(),
                random.random::<u8>(),
                random.random::<u8>()
            ),
            status: if random.random::<f64>() < 0.01 { "critical" } else { "passing" },
        })
        .collect();
    // Serializing strings to JSON cannot fail.
    let body = serde_json::to_string(&entries).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         ETag: \"{:016x}\"\r\n\r\n{body}",
        random.random::<u64>()
    )
    .into_bytes()
}
