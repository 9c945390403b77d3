//! Measures the latency that the daemon adds to a request. The same open-loop load is sent once through a
//! daemon in front of a stand-in worker pool, and once directly to such a pool in the pool's own protocol, as
//! the daemon speaks it. The added latency is the difference of the two percentiles of the same run. Runs
//! need almost no work, so that the pool's cores are idle and no request is queued: waiting for a busy
//! machine is not latency added by the daemon.

use super::daemon_client;
use super::daemon_process::{Daemon, Program};
use super::daemon_site::{DaemonEnvironment, ROUTE, Size, start_pool, tenant_name};
use super::open_loop::{self, Load, Outcome, Wire, percentile};
use crate::fit::Quantity;
use crate::probes::{Probe, ProbeOptions};
use crate::slope::{Point, Slope};
use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// Request rates, per second: the mean rate of a server in the target fleet, and two, four and ten times
/// that.
const RATES: &[u64] = &[282, 564, 1_128, 2_820];
/// Rates used by quick runs, which only check that the probe works.
const QUICK_RATES: &[u64] = &[200, 400];
/// Number of runs at each rate and seed, each once with the daemon and once without it.
const RUNS: usize = 3;
/// Number of requests per run.
const REQUESTS: usize = 700;
/// Value for quick runs, which only check that the probe works.
const QUICK_REQUESTS: usize = 60;
/// Maximum number of attempts at a run in which half of the requests or more are rejected.
const MAX_ATTEMPTS: usize = 5;
/// Load that is sent before the measurement.
const WARM_UP: Load = Load { rate: 1000.0, requests: 200, seed: 0 };
/// Number of callers' connections.
const CONNECTIONS: usize = 4;
/// Number of tenants that requests are drawn from.
const TENANTS: usize = 40;
/// Lower bound of a reported added latency, ms: the error of the clock.
const MIN_ADDED_MS: f64 = 0.001;
/// Delay of the sender at the 99th percentile above which a warning is printed, ms.
const LATE_WARNING_MS: f64 = 0.2;
/// Length of the base64 body of a request to the pool, equal to the encoded length of the body of
/// [`daemon_client::request`].
const POOL_BODY: usize = 344;

/// Measured quantities: id, description and unit.
const FIGURES: [(&str, &str, &str); 8] = [
    (
        "daemon.added_ms_p50.rate",
        "added by the daemon, 50 in 100: with it less without it, of the same run",
        "ms",
    ),
    (
        "daemon.added_ms_p99.rate",
        "added by the daemon, 99 in 100: with it less without it, of the same run",
        "ms",
    ),
    (
        "daemon.added_ms_p999.rate",
        "added by the daemon, 999 in 1000: with it less without it, all runs of a seed together",
        "ms",
    ),
    ("daemon.pool_ms_p50.rate", "the stand-in worker pool without the daemon, 50 in 100", "ms"),
    ("daemon.pool_ms_p99.rate", "the stand-in worker pool without the daemon, 99 in 100", "ms"),
    ("daemon.pool_ms_p999.rate", "the stand-in worker pool without the daemon, 999 in 1000", "ms"),
    (
        "daemon.load_late_ms_p99.rate",
        "how late the load itself sent, 99 in 100; part of both sides' latency",
        "ms",
    ),
    (
        "daemon.unserved_share.rate",
        "requests that the daemon turned away or did not answer, as a part of all",
        "1",
    ),
];

/// Probe of the added latency.
pub struct LatencyProbe;

impl Probe for LatencyProbe {
    fn prefix(&self) -> &'static str {
        "daemon"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let program = Program::find(options.quick)?;
        let mut points: [Vec<Point>; FIGURES.len()] = Default::default();
        for &rate in options.sizes(RATES, QUICK_RATES) {
            for &seed in options.seeds() {
                let runs = Pair::start(&program, seed)?
                    .measure(rate, seed, options)
                    .with_context(|| format!("at {rate} requests/s"))?;
                for (points, runs) in points.iter_mut().zip(&runs) {
                    points.push(Point::of(rate as f64, seed, runs));
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
        against: "requests a second at one server, open loop",
        fixed: &[("tenants", TENANTS as f64), ("classes", 8.0), ("connections", CONNECTIONS as f64)],
        target_size: RATES[0] as f64,
    }
}

/// A daemon in front of a worker pool, and a second worker pool without a daemon.
struct Pair {
    daemon: Daemon,
    _environment: DaemonEnvironment,
    pool: dunlinspread_fakes::FakeWorkerPool,
}

impl Pair {
    fn start(program: &Program, seed: u64) -> Result<Pair> {
        let size = Size { tenants: TENANTS, classes: 8, connections: 1000 };
        let environment = DaemonEnvironment::start(size, seed)?;
        let daemon = Daemon::start(program, &environment.config)?;
        let pair = Pair { daemon, _environment: environment, pool: start_pool(seed)? };
        pair.through_daemon(WARM_UP)?;
        pair.to_pool(WARM_UP)?;
        Ok(pair)
    }

    /// Returns the values of all runs for each figure, in the order of [`FIGURES`].
    fn measure(&self, rate: u64, seed: u64, options: &ProbeOptions) -> Result<[Vec<f64>; FIGURES.len()]> {
        let requests = if options.quick { QUICK_REQUESTS } else { REQUESTS };
        let mut runs: [Vec<f64>; FIGURES.len()] = Default::default();
        let (mut all_with, mut all_without) = (Outcome::default(), Outcome::default());
        for run in 0..options.runs(RUNS) {
            let load = Load { rate: rate as f64, requests, seed: seed * 1000 + run as u64 };
            let without = mostly_served(|| self.to_pool(load)).context("without the daemon")?;
            let with = mostly_served(|| self.through_daemon(load)).context("with the daemon")?;
            warn_if_late(&with, &without, rate);
            runs[0].push(added(&with, &without, 0.5));
            runs[1].push(added(&with, &without, 0.99));
            runs[3].push(percentile(&without.latency_ms, 0.5));
            runs[4].push(percentile(&without.latency_ms, 0.99));
            runs[6].push(percentile(&with.late_ms, 0.99));
            runs[7].push(1.0 - with.latency_ms.len() as f64 / with.late_ms.len() as f64);
            all_with.merge(&with);
            all_without.merge(&without);
        }
        runs[2].push(added(&all_with, &all_without, 0.999));
        runs[5].push(percentile(&all_without.latency_ms, 0.999));
        Ok(runs)
    }

    fn through_daemon(&self, load: Load) -> Result<Outcome> {
        let connect = |_| connected(self.daemon.address());
        let connections = (0..CONNECTIONS).map(connect).collect::<Result<Vec<TcpStream>>>()?;
        open_loop::run(&DaemonWire, &connections, load)
    }

    fn to_pool(&self, load: Load) -> Result<Outcome> {
        open_loop::run(&PoolWire, &[bound(self.pool.address())?], load)
    }
}

/// Returns the latency that the daemon adds at a percentile, ms.
fn added(with: &Outcome, without: &Outcome, part: f64) -> f64 {
    (percentile(&with.latency_ms, part) - percentile(&without.latency_ms, part)).max(MIN_ADDED_MS)
}

/// Prints a warning if the load generator itself sent requests late.
fn warn_if_late(with: &Outcome, without: &Outcome, rate: u64) {
    let late = percentile(&with.late_ms, 0.99).max(percentile(&without.late_ms, 0.99));
    if late > LATE_WARNING_MS {
        eprintln!(
            "at {rate} requests/s the load generator sent requests {late:.2} ms late at the 99th percentile"
        );
    }
}

/// Repeats a run if half of its requests or more were rejected because the machine was busy with other work,
/// and returns the run with the most served requests. The share of unserved requests is reported as a
/// separate slope.
fn mostly_served(run: impl Fn() -> Result<Outcome>) -> Result<Outcome> {
    let mut best = run()?;
    for _ in 1..MAX_ATTEMPTS {
        if best.latency_ms.len() * 2 > best.late_ms.len() {
            break;
        }
        let repeated = run()?;
        if repeated.latency_ms.len() > best.latency_ms.len() {
            best = repeated;
        }
    }
    ensure!(!best.latency_ms.is_empty(), "none of the {} requests was served", best.late_ms.len());
    Ok(best)
}

fn connected(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address).with_context(|| format!("connecting to {address}"))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Connects to a worker pool and exchanges the first messages.
fn bound(address: SocketAddr) -> Result<TcpStream> {
    let mut stream = connected(address)?;
    stream.write_all(b"{\"op\":\"bind\",\"seq\":0}\n").context("binding to the pool")?;
    let mut line = String::new();
    BufReader::with_capacity(1, &stream)
        .read_line(&mut line)
        .context("waiting for the pool's first message")?;
    let answer: Value = serde_json::from_str(&line).context("parsing the pool's first message")?;
    ensure!(answer["op"] == "bound", "the pool responded to `bind` with `{line}`");
    Ok(stream)
}

/// MessagePack protocol between callers and the daemon.
#[derive(Clone)]
struct DaemonWire;

impl Wire for DaemonWire {
    fn encode(&self, number: u64) -> Vec<u8> {
        daemon_client::request(number, Some(&tenant_name(number as usize % TENANTS)))
    }

    fn next_answer(&self, received: &mut Vec<u8>) -> Result<Option<(u64, bool)>> {
        Ok(daemon_client::next_answer(received)?.map(|answer| (answer.id, answer.good)))
    }
}

/// JSON lines protocol between the daemon and its worker pool.
#[derive(Clone)]
struct PoolWire;

impl Wire for PoolWire {
    fn encode(&self, number: u64) -> Vec<u8> {
        let body = "eHh4".repeat(POOL_BODY / 4);
        format!("{}\n", json!({"op": "spawn", "id": number.to_string(), "class": ROUTE, "body": body}))
            .into_bytes()
    }

    fn next_answer(&self, received: &mut Vec<u8>) -> Result<Option<(u64, bool)>> {
        while let Some(end) = received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = received.drain(..=end).collect();
            let message: Value = serde_json::from_slice(&line).context("parsing a line from the pool")?;
            if message["op"] == "finished" {
                let number =
                    message["id"].as_str().unwrap_or("").parse().context("parsing an id from the pool")?;
                return Ok(Some((number, message["end"] == "good")));
            }
        }
        Ok(None)
    }
}
