//! `try`: the newcomer's first run, one server among fakes under a mixed load.

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

/// The part of link messages and calls that go wrong, with faults.
const FAULT_RATE: f64 = 0.02;
/// The mean time of an upstream call, ms.
const UPSTREAM_CALL_MS: f64 = 8.0;
/// A load that ran further behind its times than this, ms, is reported.
const LATE_LOAD_MS: f64 = 20.0;
/// Time between two updates of the progress shown.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// How long a server may take beyond its time for a graceful shutdown.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);
/// The class with idempotency keys; its requests' bodies start with this.
const IDEMPOTENT_CLASS: &[u8] = b"pour-entry";
/// Tenants that send.
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

/// Settings of a trial.
#[derive(Args)]
pub struct Demo {
    /// For how long to send, seconds.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Offered load as a part of what the played cores can do.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Cores of the played machine.
    #[arg(long, default_value_t = 6)]
    cores: usize,
    /// Where chance comes from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Have the worker pool's link and the calls go wrong now and then.
    #[arg(long)]
    faults: bool,
    /// Bill what is answered to nine societies, in a ledger that is thrown away: off, interval or strict.
    #[arg(long, value_enum, default_value_t = Billing::Off)]
    ledger: Billing,
    /// Another build of the daemon to try.
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
}

/// How answers are billed.
#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Billing {
    /// Not at all.
    Off,
    /// At once, made durable every 50 ms.
    Interval,
    /// Durable before the answer leaves.
    Strict,
}

/// The server of a demo and the fakes around it.
struct Surroundings {
    server: ServerProcess,
    pool: FakeWorkerPool,
    _upstream: FakeUpstream,
    _registry: FakeRegistry,
    platform: PlatformSettings,
}

impl Demo {
    /// Runs it and prints what came of it.
    ///
    /// # Errors
    /// If a fake or the server cannot be started.
    pub fn run(&self) -> Result<ExitCode> {
        let folder = tempfile::tempdir().context("making a folder")?;
        let mut around = self.start_surroundings(folder.path())?;
        let rate = self.load * around.platform.capacity();
        let requests = (rate * self.seconds).round().max(1.0) as u64;
        println!(
            "One round server before {} played cores, {rate:.0} requests a second for {:.0} s ({:.0}% of what the cores \
             can do).",
            around.platform.cores,
            self.seconds,
            self.load * 100.0
        );
        let cpu_before = around.server.cpu_ms().unwrap_or(0.0);
        let tally = self.send_load(&around, rate, requests)?;
        println!("{}", outcome_table(&around.platform, &tally));
        if let Some(cpu) = around.server.cpu_ms() {
            println!(
                "the round server used {:.0} µs of processor a request",
                (cpu - cpu_before) * 1000.0 / requests as f64
            );
        }
        if tally.max_send_delay_ms > LATE_LOAD_MS {
            println!(
                "The load itself ran up to {:.0} ms behind: this machine was too busy.",
                tally.max_send_delay_ms
            );
        }
        check_rules(&mut around, &tally)
    }

    fn start_surroundings(&self, folder: &Path) -> Result<Surroundings> {
        let platform = PlatformSettings::rounds(self.cores.max(1));
        let rate = if self.faults { FAULT_RATE } else { 0.0 };
        let pool_faults =
            WorkerPoolFaults { duplicate: rate, split: rate, chatter: rate, reset: rate / 10.0, bad: 0.0 };
        let upstream_faults = UpstreamFaults { shed: rate, error: rate, reset: rate, stall: rate / 4.0 };
        let pool =
            FakeWorkerPool::start(&platform, self.seed, pool_faults).context("starting the worker pool")?;
        let upstream = FakeUpstream::start(UPSTREAM_CALL_MS, self.seed, upstream_faults)
            .context("starting the index")?;
        let registry = FakeRegistry::start().context("starting the catalog")?;
        let operator = self.ledger.operator_file(&folder.join("ledger"));
        let mut server = ServerProcess::new(folder, "n1", self.daemon.as_deref(), operator.as_deref())?;
        server.start(|listen| {
            platform.config("n1", listen, pool.address(), registry.address(), Some(upstream.address()))
        })?;
        Ok(Surroundings { server, pool, _upstream: upstream, _registry: registry, platform })
    }

    /// Sends the load, shows how far it is, and returns what became of it.
    fn send_load(&self, around: &Surroundings, rate: f64, requests: u64) -> Result<Tally> {
        let address = around.server.address().context("the round server's address")?;
        let tenants = TENANTS.map(|tenant| Some(tenant.to_owned())).to_vec();
        let load = Load { rate, requests, tenants, seed: self.seed };
        let clients = FakeClients::start(&around.platform, vec![address], load, ClientBehavior::default())?;
        let bar = ProgressBar::new(requests);
        bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} answered, {msg} open")?);
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
    /// Returns the operators' file of a server that bills in this way; `None` without billing.
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

/// Shuts the server down and prints whether every rule held; fails if one did not.
fn check_rules(around: &mut Surroundings, tally: &Tally) -> Result<ExitCode> {
    let runs = around.pool.run_counts();
    let run_twice = runs.iter().filter(|(body, n)| **n > 1 && body.starts_with(IDEMPOTENT_CLASS)).count();
    let timeout = Duration::from_millis(around.platform.shutdown_ms) + SHUTDOWN_MARGIN;
    let graceful = around.server.shut_down(timeout)?;
    let lost = tally.sum(|_, _| true)[AttemptOutcome::Cut as usize];
    println!(
        "wrong results {}, second answers {}, keyed requests run twice {run_twice}, answers lost {lost}, left in good \
         order: {}",
        tally.wrong_results,
        tally.duplicate_answers,
        if graceful { "yes" } else { "no" }
    );
    if tally.wrong_results + tally.duplicate_answers + run_twice as u64 + lost > 0 || !graceful {
        println!("The round server's log:\n{}", around.server.recent_log());
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns a table of what became of the attempts, by class.
fn outcome_table(platform: &PlatformSettings, tally: &Tally) -> String {
    let mut table = table(&[
        "class",
        "tries",
        "in time",
        "late",
        "refused",
        "failed",
        "withdrawn",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "aim ms",
    ]);
    for (index, class) in platform.classes.iter().enumerate() {
        let counts = tally.sum(|other, _| other == index);
        let percentile = |p: f64| {
            let histogram = tally.latency.get(index).and_then(Option::as_ref);
            histogram.map_or("-".to_owned(), |h| format!("{:.1}", h.value_at_percentile(p) as f64 / 1000.0))
        };
        let of = |outcome: AttemptOutcome| counts[outcome as usize].to_string();
        table.add_row([
            class.name.to_owned(),
            counts.iter().sum::<u64>().to_string(),
            of(AttemptOutcome::Completed),
            of(AttemptOutcome::Late),
            of(AttemptOutcome::Rejected),
            of(AttemptOutcome::Failed),
            of(AttemptOutcome::Withdrawn),
            percentile(50.0),
            percentile(90.0),
            percentile(99.0),
            format!("{:.0}", class.latency_objective_ms),
        ]);
    }
    table.to_string()
}
