//! Measures the daemon as a function of its open caller connections: memory at rest and with traffic, and the
//! processor time of a request and of idle connections.

use super::daemon_client::{Client, check_served};
use super::daemon_process::{Daemon, Program};
use super::daemon_site::{DaemonEnvironment, Size, TICK_MS, tenant_name};
use crate::descriptors::raise_limit;
use crate::fit::Quantity;
use crate::probes::{Probe, ProbeOptions};
use crate::slope::{Point, Slope};
use anyhow::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Numbers of connections; the last one is the target size.
const SIZES: &[u64] = &[100, 1_000, 3_000, 10_000];
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_SIZES: &[u64] = &[10, 100];
/// Number of runs with each daemon.
const RUNS: usize = 3;
/// Number of requests per run, sent one at a time, each on a randomly chosen connection.
const REQUESTS: usize = 1500;
/// Value for quick runs, which only check that the probe works.
const QUICK_REQUESTS: usize = 50;
/// Duration of the measurement at rest.
const REST_TIME: Duration = Duration::from_millis(1500);
/// Value for quick runs, which only check that the probe works.
const QUICK_REST_TIME: Duration = Duration::from_millis(200);
/// Number of concurrent health checks while connections are opened.
const OPEN_BATCH: usize = 256;
/// File descriptors that this program needs in addition to the connections.
const OTHER_DESCRIPTORS: u64 = 100;
/// Number of tenants that requests are drawn from.
const TENANTS: usize = 40;

/// Measured quantities: id, description and unit.
const FIGURES: [(&str, &str, &str); 4] = [
    ("daemon.memory_kb.connections", "resident memory with idle connections", "kB"),
    ("daemon.memory_traffic_kb.connections", "resident memory after requests on idle connections", "kB"),
    (
        "daemon.rest_processor_ns_per_s.connections",
        "processor time in a second, the connections idle (counted by the system in 10 ms)",
        "ns/s",
    ),
    (
        "daemon.request_processor_ns.connections",
        "processor time of a request, one at a time, less that at rest (counted by the system in 10 ms)",
        "ns",
    ),
];

/// Probe of the daemon's connections.
pub struct ConnectionsProbe;

impl Probe for ConnectionsProbe {
    fn prefix(&self) -> &'static str {
        "daemon"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let program = Program::find(options.quick)?;
        let sizes = options.sizes(SIZES, QUICK_SIZES);
        raise_limit(sizes.last().copied().unwrap_or(0) + OTHER_DESCRIPTORS)?;
        let mut points: [Vec<Point>; FIGURES.len()] = Default::default();
        for &size in sizes {
            for &seed in options.seeds() {
                let measured = Measured::new(&program, size as usize, seed, options)
                    .with_context(|| format!("with {size} connections"))?;
                let runs = measured.into_runs();
                for (points, runs) in points.iter_mut().zip(&runs) {
                    points.push(Point::of(size as f64, seed, runs));
                }
            }
        }
        Ok(points.into_iter().zip(FIGURES).map(|(points, figure)| quantity(figure).slope(points)).collect())
    }
}

fn quantity((id, quantity, unit): (&'static str, &'static str, &'static str)) -> Quantity {
    Quantity {
        id,
        quantity,
        unit,
        against: "open connections of callers",
        fixed: &[("tenants", TENANTS as f64), ("classes", 8.0), ("tick_ms", TICK_MS)],
        target_size: 10_000.0,
    }
}

/// Figures of one daemon.
struct Measured {
    memory_kb: f64,
    memory_traffic_kb: f64,
    rest_ns_per_s: f64,
    request_ns: Vec<f64>,
}

impl Measured {
    fn new(program: &Program, size: usize, seed: u64, options: &ProbeOptions) -> Result<Measured> {
        let environment =
            DaemonEnvironment::start(Size { tenants: TENANTS, classes: 8, connections: size }, seed)?;
        let daemon = Daemon::start(program, &environment.config)?;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut clients = connect(&daemon, size)?;
        let memory_kb = daemon.resident_kb()?;
        let rest_ns_per_s =
            processor_ns_at_rest(&daemon, if options.quick { QUICK_REST_TIME } else { REST_TIME })?;
        let requests = if options.quick { QUICK_REQUESTS } else { REQUESTS };
        let mut request_ns = Vec::new();
        for _ in 0..options.runs(RUNS) {
            let (before, start) = (daemon.processor_ns()?, Instant::now());
            serve(&mut clients, requests, &mut random)?;
            let at_rest = rest_ns_per_s * start.elapsed().as_secs_f64();
            let used = (daemon.processor_ns()? - before - at_rest).max(0.0);
            request_ns.push(used / requests as f64);
        }
        let memory_traffic_kb = daemon.resident_kb()?;
        Ok(Measured { memory_kb, memory_traffic_kb, rest_ns_per_s, request_ns })
    }

    /// Returns the values of all runs for each figure, in the order of [`FIGURES`].
    fn into_runs(self) -> [Vec<f64>; FIGURES.len()] {
        [vec![self.memory_kb], vec![self.memory_traffic_kb], vec![self.rest_ns_per_s], self.request_ns]
    }
}

/// Opens connections. Each sends one health check, since the daemon closes connections that never send a
/// message. The daemon does not close them for being idle, since it has served a request and its
/// configuration makes callers keep connections.
fn connect(daemon: &Daemon, size: usize) -> Result<Vec<Client>> {
    let mut clients: Vec<Client> = Vec::with_capacity(size);
    while clients.len() < size {
        let from = clients.len();
        for _ in from..size.min(from + OPEN_BATCH) {
            let mut client = Client::connect(daemon.address())?;
            client.send_health_check()?;
            clients.push(client);
        }
        for client in &mut clients[from..] {
            client.answer()?;
        }
    }
    Ok(clients)
}

/// Sends requests one at a time, each on a randomly chosen connection.
fn serve(clients: &mut [Client], requests: usize, random: &mut ChaCha8Rng) -> Result<()> {
    let mut served = 0;
    for _ in 0..requests {
        let index = random.random_range(0..clients.len());
        let tenant = tenant_name(random.random_range(0..TENANTS));
        served += usize::from(clients[index].request(Some(&tenant))?);
    }
    check_served(served, requests)
}

/// Returns the processor time per second that the daemon uses without requests, ns.
fn processor_ns_at_rest(daemon: &Daemon, time: Duration) -> Result<f64> {
    let (before, start) = (daemon.processor_ns()?, Instant::now());
    std::thread::sleep(time);
    Ok((daemon.processor_ns()? - before) / start.elapsed().as_secs_f64())
}
