//! `try`: runs one server with fake peers under a mixed load and prints the results.

use crate::server_process::ServerProcess;
use crate::table::table;
use anyhow::{Context as _, Result};
use clap::Args;
use dunlinspread_fakes::{
    AttemptOutcome, ClientBehavior, FakeClients, FakeRegistry, FakeUpstream, FakeWorkerPool, Load,
    PlatformSettings, Tally, UpstreamFaults, WorkerPoolFaults,
};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Fraction of link messages and upstream calls that fail when faults are enabled.
const FAULT_RATE: f64 = 0.02;
/// Mean duration of an upstream call, ms.
const UPSTREAM_CALL_MS: f64 = 8.0;
/// Maximum delay of the clients in sending a request above which a warning is printed, ms.
const SEND_DELAY_WARNING_MS: f64 = 20.0;
/// Interval between updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Extra time for a graceful shutdown, in addition to the platform's limit.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);
/// Name of the class with idempotency keys, which is also the prefix of its request bodies.
const IDEMPOTENT_CLASS: &[u8] = b"pour-entry";
/// Tenants of the requests.
const TENANTS: [&str; 9] = [
    "aluva",
    "angamaly",
    "kakkanad",
    "kalady",
    "muvattupuzha",
    "paravur",
    "perumbavoor",
    "piravom",
    "thrissur",
];

/// Settings of `try`.
#[derive(Args)]
pub struct Demo {
    /// Duration of the load, seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Offered load as a fraction of the capacity of the simulated cores.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Number of cores of the simulated machine.
    #[arg(long, default_value_t = 6)]
    cores: usize,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject random faults into the link to the worker pool and into upstream calls.
    #[arg(long)]
    faults: bool,
    /// Bill answered requests to nine tenants in a temporary ledger: off, interval or strict.
    #[arg(long, value_enum, default_value_t = Billing::Off)]
    ledger: Billing,
    /// Run this build of the daemon instead of the one in this program.
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

/// Billing mode of the ledger.
#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Billing {
    /// Requests are not billed.
    Off,
    /// Requests are billed at once; ledger lines become durable every 50 ms.
    Interval,
    /// Ledger lines are durable before the answer is sent.
    Strict,
}

/// A server and the fakes of its peers.
struct Environment {
    server: ServerProcess,
    pool: FakeWorkerPool,
    _upstream: FakeUpstream,
    _registry: FakeRegistry,
    platform: PlatformSettings,
}

impl Demo {
    /// Runs the server under load and prints the results.
    ///
    /// # Errors
    /// Returns an error if a fake or the server cannot be started.
    pub fn run(&self) -> Result<ExitCode> {
        let folder = tempfile::tempdir().context("creating a temporary directory")?;
        let mut environment = self.start_environment(folder.path())?;
        let rate = self.load * environment.platform.capacity();
        let requests = (rate * self.seconds).round().max(1.0) as u64;
        println!(
            "One server with {} simulated cores, {rate:.0} requests per second for {:.0} s \
             ({:.0}% of their capacity).",
            environment.platform.cores,
            self.seconds,
            self.load * 100.0
        );
        let cpu_before = environment.server.cpu_ms().unwrap_or(0.0);
        let tally = self.send_load(&environment, rate, requests)?;
        println!("{}", outcome_table(&environment.platform, &tally));
        if let Some(cpu) = environment.server.cpu_ms() {
            println!(
                "CPU time of the server per request: {:.0} µs",
                (cpu - cpu_before) * 1000.0 / requests as f64
            );
        }
        if tally.max_send_delay_ms > SEND_DELAY_WARNING_MS {
            println!(
                "The clients sent requests up to {:.0} ms late: this machine was overloaded.",
                tally.max_send_delay_ms
            );
        }
        check_invariants(&mut environment, &tally)
    }

    fn start_environment(&self, folder: &Path) -> Result<Environment> {
        let platform = PlatformSettings::rounds(self.cores.max(1));
        let rate = if self.faults { FAULT_RATE } else { 0.0 };
        let pool_faults = WorkerPoolFaults {
            duplicate: rate,
            split: rate,
            chatter: rate,
            reset: rate / 10.0,
            ..WorkerPoolFaults::default()
        };
        let upstream_faults = UpstreamFaults { shed: rate, error: rate, reset: rate, stall: rate / 4.0 };
        let pool =
            FakeWorkerPool::start(&platform, self.seed, pool_faults).context("starting the worker pool")?;
        let upstream = FakeUpstream::start(UPSTREAM_CALL_MS, self.seed, upstream_faults)
            .context("starting the upstream service")?;
        let registry = FakeRegistry::start().context("starting the registry")?;
        let operator = self.ledger.operator_file(&folder.join("ledger"));
        let mut server = ServerProcess::new(folder, "n1", self.daemon.as_deref(), operator.as_deref())?;
        server.start(|listen| {
            platform.config("n1", listen, pool.address(), registry.address(), Some(upstream.address()))
        })?;
        Ok(Environment { server, pool, _upstream: upstream, _registry: registry, platform })
    }

    /// Sends the load with a progress bar and returns the clients' tally.
    fn send_load(&self, environment: &Environment, rate: f64, requests: u64) -> Result<Tally> {
        let address = environment.server.address().context("the server has no address")?;
        let tenants = TENANTS.map(|tenant| Some(tenant.to_owned())).to_vec();
        let load = Load { rate, requests, tenants, seed: self.seed };
        let clients =
            FakeClients::start(&environment.platform, vec![address], load, ClientBehavior::default())?;
        let bar = ProgressBar::new(requests);
        bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} finished, {msg} in progress")?);
        while !bar.is_finished() {
            let progress = clients.progress();
            bar.set_position(progress.finished);
            bar.set_message((progress.started - progress.finished).to_string());
            if progress.finished >= requests {
                bar.finish_and_clear();
            }
            std::thread::sleep(PROGRESS_INTERVAL);
        }
        Ok(clients.finish())
    }
}

impl Billing {
    /// Returns the operators' file for this billing mode; `None` if billing is off.
    fn operator_file(self, directory: &Path) -> Option<String> {
        let mode = match self {
            Billing::Off => return None,
            Billing::Interval => "interval",
            Billing::Strict => "strict",
        };
        let directory = directory.display().to_string();
        Some(format!("ledger \"try\" {{\n  directory = {directory:?}\n  mode = \"{mode}\"\n}}\n"))
    }
}

/// Shuts the server down, checks the invariants and prints the counts; returns a failure code if an invariant
/// does not hold.
fn check_invariants(environment: &mut Environment, tally: &Tally) -> Result<ExitCode> {
    let runs = environment.pool.run_counts();
    let run_twice = runs.iter().filter(|(body, n)| **n > 1 && body.starts_with(IDEMPOTENT_CLASS)).count();
    let timeout = Duration::from_millis(environment.platform.shutdown_ms) + SHUTDOWN_MARGIN;
    let graceful = environment.server.shut_down(timeout)?;
    let unanswered = tally.sum(|_, _| true)[AttemptOutcome::Cut as usize];
    println!(
        "wrong results {}, duplicate answers {}, keyed requests run twice {run_twice}, \
         unanswered requests {unanswered}, graceful shutdown: {}",
        tally.wrong_results,
        tally.duplicate_answers,
        if graceful { "yes" } else { "no" }
    );
    if tally.wrong_results + tally.duplicate_answers + run_twice as u64 + unanswered > 0 || !graceful {
        println!("Server log:\n{}", environment.server.recent_log());
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns a table of the outcomes of attempts by class.
fn outcome_table(platform: &PlatformSettings, tally: &Tally) -> String {
    let mut table = table(&[
        "class",
        "attempts",
        "in time",
        "late",
        "refused",
        "failed",
        "withdrawn",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "objective ms",
    ]);
    for (index, class) in platform.classes.iter().enumerate() {
        let counts = tally.sum(|other, _| other == index);
        let percentile = |p: f64| {
            let histogram = tally.latency.get(index).and_then(Option::as_ref);
            histogram.map_or("-".to_owned(), |h| format!("{:.1}", h.value_at_percentile(p) as f64 / 1000.0))
        };
        let count_of = |outcome: AttemptOutcome| counts[outcome as usize].to_string();
        table.add_row([
            class.name.to_owned(),
            counts.iter().sum::<u64>().to_string(),
            count_of(AttemptOutcome::Completed),
            count_of(AttemptOutcome::Late),
            count_of(AttemptOutcome::Rejected),
            count_of(AttemptOutcome::Failed),
            count_of(AttemptOutcome::Withdrawn),
            percentile(50.0),
            percentile(90.0),
            percentile(99.0),
            format!("{:.0}", class.latency_objective_ms),
        ]);
    }
    table.to_string()
}
