//! The newcomer's first run: one round server among played parties, under a mixed load.

use crate::fleet::Server;
use crate::table::table;
use anyhow::{Context as _, Result};
use clap::Args;
use dunlinspread_fakes::{
    Catalog, Habits, Index, IndexFaults, Load, Outcome, Pool, PoolFaults, Proxies, Site, Tally,
};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Societies that send.
const SOCIETIES: [&str; 9] = [
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

impl Demo {
    /// Plays it and prints what came of it.
    pub fn run(&self) -> Result<ExitCode> {
        let site = Site::rounds(self.cores.max(1));
        let faults = if self.faults { 0.02 } else { 0.0 };
        let pool_faults =
            PoolFaults { duplicate: faults, split: faults, chatter: faults, reset: faults / 10.0, bad: 0.0 };
        let index_faults = IndexFaults { shed: faults, error: faults, reset: faults, stall: faults / 4.0 };
        let pool = Pool::start(&site, self.seed, pool_faults).context("starting the worker pool")?;
        let index = Index::start(8.0, self.seed, index_faults).context("starting the index")?;
        let catalog = Catalog::start().context("starting the catalog")?;
        let folder = tempfile::tempdir().context("making a folder")?;
        let mode = match self.ledger {
            Billing::Off => None,
            Billing::Interval => Some("interval"),
            Billing::Strict => Some("strict"),
        };
        let directory = folder.path().join("ledger").display().to_string();
        let operator = mode
            .map(|mode| format!("ledger \"try\" {{\n  directory = {directory:?}\n  mode = \"{mode}\"\n}}\n"));
        let mut server = Server::new(folder.path(), "n1", self.daemon.as_deref(), operator.as_deref())?;
        server.start(|listen| {
            site.config("n1", listen, pool.address(), catalog.address(), Some(index.address()))
        })?;
        let address = server.address().context("the round server's address")?;
        let rate = self.load * site.capacity();
        let requests = (rate * self.seconds).round().max(1.0) as u64;
        println!(
            "One round server before {} played cores, {rate:.0} requests a second for {:.0} s ({:.0}% of what the cores \
             can do).",
            site.cores,
            self.seconds,
            self.load * 100.0
        );
        let load = Load {
            rate,
            requests,
            societies: SOCIETIES.map(|s| Some(s.to_owned())).to_vec(),
            seed: self.seed,
        };
        let before = server.cpu_ms().unwrap_or(0.0);
        let proxies = Proxies::start(&site, vec![address], load, Habits::default())?;
        let bar = ProgressBar::new(requests);
        bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} answered, {msg} open")?);
        while !bar.is_finished() {
            let progress = proxies.progress();
            bar.set_position(progress.over);
            bar.set_message((progress.begun - progress.over).to_string());
            if progress.over >= requests {
                bar.finish_and_clear();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let tally = proxies.finish();
        println!("{}", show(&site, &tally));
        if let Some(cpu) = server.cpu_ms() {
            println!(
                "the round server used {:.0} µs of processor a request",
                (cpu - before) * 1000.0 / requests as f64
            );
        }
        if tally.behind_ms > 20.0 {
            println!(
                "The load itself ran up to {:.0} ms behind: this machine was too busy.",
                tally.behind_ms
            );
        }
        let doubles =
            pool.ran().iter().filter(|(body, n)| **n > 1 && body.starts_with(b"pour-entry")).count();
        let left = server.leave(Duration::from_millis(site.stop_ms + 2000))?;
        let count = tally.sum(|_, _| true);
        let broken = tally.wrong + tally.doubled + doubles as u64 + count[Outcome::Cut as usize];
        println!(
            "wrong results {}, second answers {}, keyed requests run twice {doubles}, answers lost {}, left in good \
             order: {}",
            tally.wrong,
            tally.doubled,
            count[Outcome::Cut as usize],
            if left { "yes" } else { "no" }
        );
        if broken > 0 || !left {
            println!("The round server's log:\n{}", server.log());
            return Ok(ExitCode::FAILURE);
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// What became of the tries, by class.
fn show(site: &Site, tally: &Tally) -> String {
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
    for (at, class) in site.classes.iter().enumerate() {
        let count = tally.sum(|c, _| c == at);
        let percentile = |p: f64| {
            let histogram = tally.latency.get(at).and_then(Option::as_ref);
            histogram.map_or("-".to_owned(), |h| format!("{:.1}", h.value_at_percentile(p) as f64 / 1000.0))
        };
        let of = |outcome: Outcome| count[outcome as usize].to_string();
        table.add_row([
            class.name.to_owned(),
            count.iter().sum::<u64>().to_string(),
            of(Outcome::Served),
            of(Outcome::Late),
            of(Outcome::Refused),
            of(Outcome::Failed),
            of(Outcome::Withdrawn),
            percentile(50.0),
            percentile(90.0),
            percentile(99.0),
            format!("{:.0}", class.aim_ms),
        ]);
    }
    table.to_string()
}
