//! Measures the daemon as a function of the size of its configuration: memory at rest, after requests and at
//! its peak, and the time to start and to reload, for the number of tenants and the number of classes.

use super::daemon_client::{Client, check_served};
use super::daemon_process::{Daemon, Program};
use super::daemon_site::{DaemonEnvironment, Size, tenant_name};
use crate::fit::Quantity;
use crate::probes::{Probe, ProbeOptions};
use crate::slope::{Point, Slope};
use anyhow::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;

/// Number of starts, each with one reload, at each size and seed.
const RUNS: usize = 3;
/// Number of requests after which the memory with traffic is read.
const REQUESTS: usize = 500;
/// Value for quick runs, which only check that the probe works.
const QUICK_REQUESTS: usize = 20;
/// Number of caller connections that the limits allow.
const CONNECTIONS: usize = 1000;
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_SIZES: &[u64] = &[10, 40];

/// A dimension of the configuration's size that varies.
struct Axis {
    words: &'static str,
    sizes: &'static [u64],
    target: f64,
    size: fn(usize) -> Size,
    fixed: &'static [(&'static str, f64)],
    /// Ids of the slopes, in the order of [`FIGURES`].
    ids: [&'static str; FIGURES.len()],
}

/// Measured quantities: description and unit.
const FIGURES: [(&str, &str); 5] = [
    ("from the start of the process until it answers a health check", "ms"),
    ("from SIGHUP until the configuration is reread", "ms"),
    ("resident memory of a daemon that has just started", "kB"),
    ("resident memory after 500 requests, one at a time", "kB"),
    ("the most that resident memory was, with a rereading", "kB"),
];

const AXES: [Axis; 2] = [
    Axis {
        words: "tenants with an allowance",
        sizes: &[10, 1_000, 10_000, 100_000, 390_000],
        target: 390_000.0,
        size: |tenants| Size { tenants, classes: 8, connections: CONNECTIONS },
        fixed: &[("classes", 8.0), ("connections", 1.0)],
        ids: [
            "daemon.start_ms.tenants",
            "daemon.reload_ms.tenants",
            "daemon.memory_kb.tenants",
            "daemon.memory_traffic_kb.tenants",
            "daemon.memory_peak_kb.tenants",
        ],
    },
    Axis {
        words: "classes of requests (routes)",
        sizes: &[10, 100, 1_000, 10_000, 64_000],
        target: 64_000.0,
        size: |classes| Size { tenants: 40, classes, connections: CONNECTIONS },
        fixed: &[("tenants", 40.0), ("connections", 1.0)],
        ids: [
            "daemon.start_ms.classes",
            "daemon.reload_ms.classes",
            "daemon.memory_kb.classes",
            "daemon.memory_traffic_kb.classes",
            "daemon.memory_peak_kb.classes",
        ],
    },
];

/// Figures of one start, in the order of [`FIGURES`].
type Figures = [f64; FIGURES.len()];

/// Probe of the daemon's configuration tables.
pub struct TablesProbe;

impl Probe for TablesProbe {
    fn prefix(&self) -> &'static str {
        "daemon"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let program = Program::find(options.quick)?;
        let mut slopes = Vec::new();
        for axis in &AXES {
            slopes.extend(axis.measure(&program, options)?);
        }
        Ok(slopes)
    }
}

impl Axis {
    fn measure(&self, program: &Program, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let mut points: [Vec<Point>; FIGURES.len()] = Default::default();
        let requests = if options.quick { QUICK_REQUESTS } else { REQUESTS };
        for &size in options.sizes(self.sizes, QUICK_SIZES) {
            for &seed in options.seeds() {
                let shape = (self.size)(size as usize);
                let environment = DaemonEnvironment::start(shape, seed)?;
                let figures = (0..options.runs(RUNS))
                    .map(|_| figures(program, &environment.config, shape, seed, requests))
                    .collect::<Result<Vec<Figures>>>()
                    .with_context(|| format!("with {size} {}", self.words))?;
                for (index, points) in points.iter_mut().enumerate() {
                    let runs: Vec<f64> = figures.iter().map(|figures| figures[index]).collect();
                    points.push(Point::of(size as f64, seed, &runs));
                }
            }
        }
        let slope = |(index, points): (usize, Vec<Point>)| self.quantity(index).slope(points);
        Ok(points.into_iter().enumerate().map(slope).collect())
    }

    fn quantity(&self, index: usize) -> Quantity {
        let (quantity, unit) = FIGURES[index];
        Quantity {
            id: self.ids[index],
            quantity,
            unit,
            against: self.words,
            fixed: self.fixed,
            target_size: self.target,
        }
    }
}

/// Starts a daemon, sends it requests of randomly chosen tenants, and makes it reload its configuration.
fn figures(program: &Program, config: &Path, size: Size, seed: u64, requests: usize) -> Result<Figures> {
    let daemon = Daemon::start(program, config)?;
    let at_rest = daemon.resident_kb()?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut client = Client::connect(daemon.address())?;
    let mut served = 0;
    for _ in 0..requests {
        let tenant = tenant_name(random.random_range(0..size.tenants));
        served += usize::from(client.request(Some(&tenant))?);
    }
    check_served(served, requests)?;
    let with_traffic = daemon.resident_kb()?;
    let reload_ms = daemon.reload()?;
    Ok([daemon.start_ms, reload_ms, at_rest, with_traffic, daemon.peak_resident_kb()?])
}
