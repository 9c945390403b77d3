//! Measures reports to the registry: one of the daemon's real reporters per server, each on its persistent
//! connection, sends to a counting registry.

use super::registry_server::{Counts, Registry};
use super::{Probe, ProbeOptions, registry_lists};
use crate::descriptors::raise_limit;
use crate::fit::Quantity;
use crate::slope::{Point, Slope};
use anyhow::{Context, Result, ensure};
use async_executor::LocalExecutor;
use dunlinspread::server::messages::RegistryMessage;
use dunlinspread::server::registry::RegistryReporter;
use dunlinspread::server::timer_wheel::{Clock, TimerWheel};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Numbers of servers that report.
const SIZES: &[u64] = &[100, 1_000, 3_000, 7_100];
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_SIZES: &[u64] = &[5, 10];
/// Interval within which the reporters start at random times, ms; equal to the period of their reports.
const SPREAD_MS: f64 = 500.0;
/// Time from the start until all servers report steadily.
const WARM_UP: Duration = Duration::from_millis(900);
/// Time during which reports are counted: as long as a connection is kept, so that each one is renewed once.
const MEASURE_TIME: Duration = Duration::from_millis(2000);
/// Value for quick runs, which only check that the probe works.
const QUICK_MEASURE_TIME: Duration = Duration::from_millis(600);
/// File descriptors needed in addition to the two ends of each connection.
const OTHER_DESCRIPTORS: u64 = 200;
/// Tick of the reporters' timer wheel, ms.
const TICK_MS: f64 = 1.0;
/// Bytes of the IP and TCP headers, timestamps included, on each segment.
const SEGMENT_BYTES: f64 = 52.0;
/// TCP segments of a report on a persistent connection: the report, the response that acknowledges it, and
/// the acknowledgement of the response.
const SEGMENTS_PER_REPORT: f64 = 3.0;
/// TCP segments that open and close a connection.
const SEGMENTS_PER_CONNECTION: f64 = 7.0;

/// Measured quantities: id, description and unit.
const FIGURES: [(&str, &str, &str); 5] = [
    ("registry.report_bytes.servers", "a report as sent, with headers and its answer", "bytes"),
    ("registry.reports_per_s.servers", "reports that the registry takes", "reports/s"),
    ("registry.bytes_per_s.servers", "reports and answers at the registry, with headers", "bytes/s"),
    (
        "registry.wire_bytes_per_s.servers",
        "the same with the headers of IP and TCP: 52 bytes a segment, 3 a report and 7 a connection (computed)",
        "bytes/s",
    ),
    (
        "registry.processor_ns_per_s.servers",
        "processor time of a registry of one thread that only counts reports",
        "ns/s",
    ),
];

/// Probe of the registry.
pub struct RegistryProbe;

impl Probe for RegistryProbe {
    fn prefix(&self) -> &'static str {
        "registry"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let mut slopes = reports(options)?;
        slopes.extend(registry_lists::slopes(options));
        Ok(slopes)
    }
}

fn reports(options: &ProbeOptions) -> Result<Vec<Slope>> {
    let sizes = options.sizes(SIZES, QUICK_SIZES);
    raise_limit(2 * sizes.last().copied().unwrap_or(0) + OTHER_DESCRIPTORS)?;
    let measure_time = if options.quick { QUICK_MEASURE_TIME } else { MEASURE_TIME };
    let mut points: [Vec<Point>; FIGURES.len()] = Default::default();
    for &size in sizes {
        for &seed in options.seeds() {
            let figures = measure(size as usize, seed, measure_time)
                .with_context(|| format!("measuring the reports of {size} servers"))?;
            for (points, figure) in points.iter_mut().zip(figures) {
                points.push(Point::of(size as f64, seed, &[figure]));
            }
        }
    }
    Ok(points.into_iter().zip(FIGURES).map(|(points, figure)| quantity(figure).slope(points)).collect())
}

fn quantity((id, quantity, unit): (&'static str, &'static str, &'static str)) -> Quantity {
    Quantity {
        id,
        quantity,
        unit,
        against: "servers that report each 500 ms, each on a connection that it keeps for 2 s",
        fixed: &[("report_period_ms", 500.0), ("connection_kept_ms", 2000.0)],
        target_size: 7_100.0,
    }
}

/// Measures the figures with the given number of servers, in the order of [`FIGURES`].
fn measure(servers: usize, seed: u64, measure_time: Duration) -> Result<[f64; FIGURES.len()]> {
    let registry = Registry::start()?;
    let reporters = Reporters::start(registry.address(), servers, seed)?;
    std::thread::sleep(WARM_UP);
    let (before, start) = (registry.counts(), Instant::now());
    std::thread::sleep(measure_time);
    let (counts, seconds) = (registry.counts().since(before), start.elapsed().as_secs_f64());
    drop(reporters);
    ensure!(counts.reports > 0, "no report arrived within {seconds:.1} s; counts before that: {before:?}");
    Ok(figures(counts, seconds))
}

fn figures(counts: Counts, seconds: f64) -> [f64; FIGURES.len()] {
    let (reports, bytes) = (counts.reports as f64, (counts.report_bytes + counts.answer_bytes) as f64);
    let segments = reports * SEGMENTS_PER_REPORT + counts.connections as f64 * SEGMENTS_PER_CONNECTION;
    [
        bytes / reports,
        reports / seconds,
        bytes / seconds,
        (bytes + segments * SEGMENT_BYTES) / seconds,
        counts.processor_ns as f64 / seconds,
    ]
}

/// The daemon's reporters on a separate thread. Dropping this stops them.
struct Reporters {
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Reporters {
    fn start(registry: SocketAddr, servers: usize, seed: u64) -> Result<Reporters> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::Builder::new().name("reporters".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let mailboxes = report_all(&executor, registry, servers, seed);
            async_io::block_on(executor.run(async {
                // Returns an error as soon as the owner drops its sender, which is the signal to stop.
                let _ = stopped.recv().await;
            }));
            drop(mailboxes);
        })?;
        Ok(Reporters { stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for Reporters {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a reporter for each server that reports as the daemon does. The reporters run until their mailboxes
/// are dropped.
fn report_all(
    executor: &LocalExecutor<'static>,
    registry: SocketAddr,
    servers: usize,
    seed: u64,
) -> Vec<async_channel::Sender<RegistryMessage>> {
    let clock = Clock::start();
    let wheel = TimerWheel::new(clock, TICK_MS);
    executor.spawn(wheel.clone().advance()).detach();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut mailboxes = Vec::with_capacity(servers);
    for number in 0..servers {
        let (mailbox, messages) = async_channel::unbounded();
        mailboxes.push(mailbox);
        let name = registry_lists::server_name(number);
        let (wheel, log) = (wheel.clone(), log.clone());
        let start_delay_ms = random.random_range(0.0..SPREAD_MS);
        let reporter = async move {
            wheel.sleep(start_delay_ms).await;
            RegistryReporter { address: registry, name, clock, wheel, active: true, log }.run(messages).await;
        };
        executor.spawn(reporter).detach();
    }
    mailboxes
}
