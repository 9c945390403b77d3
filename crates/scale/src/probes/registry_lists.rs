//! The lists of servers that callers get from the registry: the bytes of real lists, and from them the bytes a second to
//! all callers at the target's rate of changes, for each way to send them.
//!
//! How callers get lists is the platform's own and not in the protocol, which says only that they see changes a second
//! or two late. Assumed here: an HTTP/1.1 answer with a JSON array of name, address and status, on a kept connection.
//! That callers see changes up to two seconds late allows several changes to go out as one list.

use super::ProbeOptions;
use crate::fit::Quantity;
use crate::slope::{Point, Slope};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Servers in a list.
const SIZES: &[u64] = &[10, 100, 1_000, 7_100];
/// The sizes that show whether the probe works.
const QUICK_SIZES: &[u64] = &[10, 100];
/// Servers of the target.
const SERVERS: u64 = 7_100;
/// Callers, up to those of the target.
const CALLERS: &[u64] = &[150, 1_500, 15_000, 150_000];
/// The sizes that show whether the probe works.
const QUICK_CALLERS: &[u64] = &[150, 1_500];
/// Changes of the list a second at the target: 44,000 a day.
const CHANGES_PER_S: f64 = 44_000.0 / 86_400.0;
/// Callers see a change up to so many seconds late.
const DELAY_S: f64 = 2.0;
/// Servers that a caller uses, if it uses a subset.
const SUBSET: u64 = 20;
/// One list in so many seconds is asked for in any case, where nothing changes; answered `304`.
const UNCHANGED: &[u8] = b"HTTP/1.1 304 Not Modified\r\nETag: \"0000000000000000\"\r\n\r\n";
/// The request for a list.
const REQUEST: &[u8] =
    b"GET /catalog/list HTTP/1.1\r\nHost: 127.0.0.1:40000\r\nIf-None-Match: \"0000000000000000\"\r\n\r\n";

/// One server as a list tells of it.
#[derive(Serialize)]
struct Entry {
    name: String,
    address: String,
    status: &'static str,
}

/// A way to send lists.
struct Way {
    id: &'static str,
    words: &'static str,
    /// Bytes a second to one caller.
    bytes_per_s: fn(&Lists) -> f64,
}

const WAYS: [Way; 4] = [
    Way {
        id: "registry.list_bytes_per_s_each_change.callers",
        words: "the whole list to every caller for each change (computed from measured lists)",
        bytes_per_s: |lists| CHANGES_PER_S * lists.whole,
    },
    Way {
        id: "registry.list_bytes_per_s_whole.callers",
        words: "every caller asks each 2 s: the whole list if it changed, else 304 (computed from measured lists)",
        bytes_per_s: |lists| polled(CHANGES_PER_S, lists.whole),
    },
    Way {
        id: "registry.list_bytes_per_s_subset.callers",
        words: "every caller asks each 2 s for its subset of 20 servers: sent if it changed, else 304 (computed)",
        bytes_per_s: |lists| polled(CHANGES_PER_S * SUBSET as f64 / SERVERS as f64, lists.subset),
    },
    Way {
        id: "registry.list_bytes_per_s_delta.callers",
        words: "only the changed entry to every caller: not in the protocol, for comparison (computed)",
        bytes_per_s: |lists| CHANGES_PER_S * lists.one,
    },
];

/// The bytes of lists, with headers.
struct Lists {
    whole: f64,
    subset: f64,
    one: f64,
}

impl Lists {
    fn measure(seed: u64) -> Lists {
        let of = |servers| list(servers, seed).len() as f64;
        Lists { whole: of(SERVERS), subset: of(SUBSET), one: of(1) }
    }
}

/// Bytes a second of a caller that asks once in the time by which it may be late.
fn polled(changes_per_s: f64, changed_bytes: f64) -> f64 {
    let changed = 1.0 - (-changes_per_s * DELAY_S).exp();
    let answer = changed * changed_bytes + (1.0 - changed) * UNCHANGED.len() as f64;
    (REQUEST.len() as f64 + answer) / DELAY_S
}

/// The slopes of lists.
pub fn slopes(options: &ProbeOptions) -> Vec<Slope> {
    let mut slopes = vec![list_bytes(options)];
    slopes.extend(WAYS.iter().map(|way| way.slope(options)));
    slopes
}

/// The name of a server.
pub fn server_name(number: usize) -> String {
    format!("n{number}")
}

/// The bytes of a list against its entries.
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

impl Way {
    fn slope(&self, options: &ProbeOptions) -> Slope {
        let mut points = Vec::new();
        for &callers in options.sizes(CALLERS, QUICK_CALLERS) {
            for &seed in options.seeds() {
                let bytes_per_s = callers as f64 * (self.bytes_per_s)(&Lists::measure(seed));
                points.push(Point::of(callers as f64, seed, &[bytes_per_s]));
            }
        }
        let quantity = Quantity {
            id: self.id,
            quantity: self.words,
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

/// An answer with a list of that many servers, as bytes.
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
    // Strings always have a form in JSON.
    let body = serde_json::to_string(&entries).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         ETag: \"{:016x}\"\r\n\r\n{body}",
        random.random::<u64>()
    )
    .into_bytes()
}
