//! A soak run: the processes, their clients and the steps of the schedule.

use crate::soak_support::crowd::Crowd;
use crate::soak_support::schedule::{Ending, Schedule, Step, UpgradeKill};
use crate::upgrade_support::clients::Clients;
use crate::upgrade_support::load::LoadSettings;
use crate::upgrade_support::operators::operators_call;
use crate::upgrade_support::process::ServerProcess;
use crate::upgrade_support::records::Records;
use crate::upgrade_support::settings::STOP_MS;
use crate::upgrade_support::site::Site;
use crate::upgrade_support::upgrade::finish_predecessor;
use crate::upgrade_support::{run_for, wait_for};
use dunlinspread_fakes::{StartedRun, unix_ms};
use std::ops::Range;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Requests a second outside of bursts.
const RATE: f64 = 120.0;
/// Requests a second in a burst.
const BURST_RATE: f64 = 900.0;
/// Duration of a burst.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Number of connections that the requests of a burst share.
const BURST_CONNECTIONS: usize = 40;
/// Distance between the seeds of bursts, so that their random numbers differ from those of the other
/// requests of a seed.
const BURST_SEEDS: u64 = 1 << 32;
/// Duration of the load before the first step and after the last.
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Time between two samples of the processes' resource usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which health has to be good again after a cause of bad health has ended, ms.
const GOOD_HEALTH_WITHIN_MS: u64 = 2000;
/// Time within which health has to be good again after a stall of the worker pool, ms: its runs have to end
/// first.
const GOOD_HEALTH_AFTER_STALL_MS: u64 = 4000;

/// The observations of a run.
pub struct SoakReport {
    pub records: Records,
    pub runs: Vec<StartedRun>,
    /// Times at which a process was killed before its shutdown time was over, Unix ms.
    pub kills_ms: Vec<u64>,
    /// Time spans in which bad health is allowed, Unix ms.
    pub bad_health_allowed: Vec<Range<u64>>,
    /// Peak of the total resident memory of all processes, kB.
    pub peak_resident_kb: u64,
    /// Peak of the total number of open descriptors of all processes.
    pub peak_descriptors: usize,
    /// Descriptions of processes that ended in an unexpected way.
    pub unexpected_ends: Vec<String>,
    /// The steps of the run, in order.
    pub history: Vec<String>,
    /// Time spans in which worker pools were delayed, Unix ms.
    pub worker_pool_delays: Vec<Range<u64>>,
    /// The last log lines of each process, in the order of their ends.
    pub logs: Vec<String>,
}

/// A run in progress.
struct SoakRun {
    seed: u64,
    site: Site,
    serving: ServerProcess,
    clients: Clients,
    /// The records of the clients of the bursts.
    bursts: Vec<Records>,
    began: Instant,
    kills_ms: Vec<u64>,
    bad_health_allowed: Vec<Range<u64>>,
    peak_resident_kb: u64,
    peak_descriptors: usize,
    unexpected_ends: Vec<String>,
    history: Vec<String>,
    logs: Vec<String>,
}

/// Plays a schedule and returns the observations.
pub fn play(seed: u64, schedule: &Schedule) -> SoakReport {
    let mut site = Site::start(seed);
    let serving = site.start_first();
    let load = LoadSettings { seed, rate: RATE, shared_connections: 8, withdrawals: true };
    let clients = Clients::start(site.listen, site.request_ends(), load);
    let mut run = SoakRun {
        seed,
        site,
        serving,
        clients,
        bursts: Vec::new(),
        began: Instant::now(),
        kills_ms: Vec::new(),
        bad_health_allowed: Vec::new(),
        peak_resident_kb: 0,
        peak_descriptors: 0,
        unexpected_ends: Vec::new(),
        history: Vec::new(),
        logs: Vec::new(),
    };
    let crowd = schedule.crowd.map(|size| Crowd::start(run.site.listen, size));
    run.record_event(&format!("crowd {:?}", schedule.crowd));
    run.let_pass(LOAD_TIME);
    for (pause, step) in &schedule.steps {
        run.let_pass(*pause);
        run.record_event(&format!("{step:?}"));
        run.execute_step(*step);
    }
    run.let_pass(LOAD_TIME);
    run.end(schedule.ending);
    drop(crowd);
    run.report()
}

impl SoakRun {
    fn record_event(&mut self, text: &str) {
        let at_ms = self.began.elapsed().as_millis();
        self.history.push(format!("{at_ms} ms, at {}: {text}", unix_ms()));
    }

    /// Lets time pass, and samples the resource usage of the serving process meanwhile.
    fn let_pass(&mut self, time: Duration) {
        let since = Instant::now();
        while since.elapsed() < time {
            self.sample_usage(None);
            run_for(SAMPLE_INTERVAL);
        }
    }

    /// Samples the memory and descriptors of the serving process, and of another one if given.
    fn sample_usage(&mut self, other: Option<&ServerProcess>) {
        let kb = self.serving.resident_kb() + other.map_or(0, ServerProcess::resident_kb);
        let descriptors = self.serving.descriptors() + other.map_or(0, ServerProcess::descriptors);
        self.peak_resident_kb = self.peak_resident_kb.max(kb);
        self.peak_descriptors = self.peak_descriptors.max(descriptors);
    }

    fn keep_log(&mut self, process: &ServerProcess) {
        self.logs.extend(labelled_log(process));
    }

    fn allow_bad_health(&mut self, from_ms: u64, recovery_ms: u64) {
        self.bad_health_allowed.push(from_ms..unix_ms() + recovery_ms);
    }

    fn execute_step(&mut self, step: Step) {
        let from_ms = unix_ms();
        match step {
            Step::Reload(times) => (0..times).for_each(|_| self.serving.signal("HUP")),
            Step::Stop(time) => {
                self.stop_serving(time);
                self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
            }
            Step::Evacuate(time) => {
                operators_call(&self.serving, "PUT", "/api/evacuate");
                self.let_pass(time);
                operators_call(&self.serving, "PUT", "/api/rejoin");
                self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
            }
            Step::MovePeers => {
                self.site.move_peers(&self.serving);
                self.serving.signal("HUP");
            }
            Step::RegistryDown(time) => {
                self.site.stop_registry();
                self.let_pass(time);
                self.site.start_registry();
            }
            Step::BreakPoolLink => self.site.last_pool().break_link(),
            Step::StallPool(time) => {
                self.site.last_pool().stall(time);
                self.let_pass(time);
                self.allow_bad_health(from_ms, GOOD_HEALTH_AFTER_STALL_MS);
            }
            Step::Upgrade { pause, kill } => self.upgrade(pause, kill),
            Step::EvacuateInUpgrade(time) => self.evacuate_in_upgrade(time),
            Step::ThreeProcesses { pause } => self.upgrade_twice(pause),
            Step::Burst => self.burst(),
            Step::SignalSeries { rounds, gap } => {
                (0..rounds).for_each(|_| self.send_series(gap));
                self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
            }
        }
    }

    fn send_series(&mut self, gap: Duration) {
        for signal in ["HUP", "STOP", "HUP", "CONT"] {
            self.serving.signal(signal);
            run_for(gap);
        }
    }

    /// Starts further clients with more load than the event loop can handle, and waits for the ends of their
    /// requests.
    fn burst(&mut self) {
        let load = LoadSettings {
            seed: self.seed + BURST_SEEDS * (1 + self.bursts.len() as u64),
            rate: BURST_RATE,
            shared_connections: BURST_CONNECTIONS,
            withdrawals: false,
        };
        let clients = Clients::start(self.site.listen, self.site.request_ends(), load);
        self.let_pass(BURST_TIME);
        self.bursts.push(clients.finish());
    }

    /// Starts a successor, which serves from now on, and returns its predecessor.
    fn hand_over(&mut self) -> ServerProcess {
        let (new, _) = self.site.start_successor();
        std::mem::replace(&mut self.serving, new)
    }

    fn evacuate_in_upgrade(&mut self, time: Duration) {
        let mut old = self.hand_over();
        let from_ms = unix_ms();
        operators_call(&self.serving, "PUT", "/api/evacuate");
        self.let_pass(time);
        operators_call(&self.serving, "PUT", "/api/rejoin");
        self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
        self.finish(&mut old);
    }

    fn upgrade_twice(&mut self, pause: Duration) {
        let mut first = self.hand_over();
        self.let_pass(pause);
        let mut second = self.hand_over();
        self.let_pass(pause);
        self.finish(&mut first);
        self.finish(&mut second);
    }

    /// Requests the shutdown of a process that handed over, and waits for its end.
    fn finish(&mut self, old: &mut ServerProcess) {
        let (_, was_killed) = finish_predecessor(old, |_| {});
        if was_killed {
            self.kills_ms.push(unix_ms());
            self.unexpected_ends.push("the old process did not end before its kill".to_owned());
        }
        self.keep_log(old);
    }

    /// Stops the serving process for at least this time, and returns a lower bound of the time for which it
    /// was stopped.
    fn stop_serving(&mut self, time: Duration) -> Duration {
        self.serving.signal("STOP");
        let (seed, serving) = (self.seed, &mut self.serving);
        wait_for(seed, "the process is stopped or has ended", || {
            serving.is_stopped() || serving.exit_status().is_some()
        });
        let since = Instant::now();
        self.let_pass(time);
        let stopped_for = since.elapsed();
        self.serving.signal("CONT");
        stopped_for
    }

    fn upgrade(&mut self, pause: Duration, kill: UpgradeKill) {
        if let UpgradeKill::New(moment) = kill {
            return self.kill_new(moment);
        }
        let mut old = self.hand_over();
        if let UpgradeKill::OldOnceReady = kill {
            self.kills_ms.push(unix_ms());
            old.kill();
            return self.keep_log(&old);
        }
        let since = Instant::now();
        while since.elapsed() < pause {
            self.sample_usage(Some(&old));
            run_for(SAMPLE_INTERVAL);
        }
        self.finish(&mut old);
    }

    /// Starts a new process and kills it after a while; the old one continues or resumes serving.
    fn kill_new(&mut self, moment: Duration) {
        let mut new = self.site.start_process();
        run_for(moment);
        self.kills_ms.push(unix_ms());
        new.kill();
        self.keep_log(&new);
        let (seed, serving) = (self.seed, &self.serving);
        wait_for(seed, "the old process serves", || serving.is_ready());
    }

    /// Shuts the server down, and kills it at the earliest time that the protocol allows, while its clients
    /// continue.
    fn end(&mut self, ending: Ending) {
        self.record_event(&format!("{ending:?}"));
        let from_ms = unix_ms();
        if ending.reload_before {
            self.serving.signal("HUP");
        }
        self.serving.signal("TERM");
        let mut kill_at = Instant::now() + Duration::from_millis(STOP_MS);
        if ending.reload_after {
            self.serving.signal("HUP");
        }
        (0..ending.repeats).for_each(|_| self.serving.signal("TERM"));
        if let Some(time) = ending.stop {
            // The time for which the process is stopped does not count.
            kill_at += self.stop_serving(time);
        }
        while self.serving.exit_status().is_none() && Instant::now() < kill_at {
            self.sample_usage(None);
            run_for(SAMPLE_INTERVAL.min(kill_at.saturating_duration_since(Instant::now())));
        }
        match self.serving.exit_status() {
            Some(status) => self.check_exit(status),
            None => self.unexpected_ends.push("the process did not end before its kill".to_owned()),
        }
        self.serving.kill();
        self.record_event("ended");
        self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
    }

    fn check_exit(&mut self, status: ExitStatus) {
        if !status.success() {
            self.unexpected_ends.push(format!("the process ended with {status}"));
        }
    }

    fn report(mut self) -> SoakReport {
        self.logs.extend(labelled_log(&self.serving));
        let mut records = self.clients.finish();
        self.bursts.into_iter().for_each(|burst| records.add(burst));
        SoakReport {
            records,
            runs: self.site.started_runs(),
            kills_ms: self.kills_ms,
            bad_health_allowed: self.bad_health_allowed,
            peak_resident_kb: self.peak_resident_kb,
            peak_descriptors: self.peak_descriptors,
            unexpected_ends: self.unexpected_ends,
            history: self.history,
            worker_pool_delays: self.site.worker_pool_delays(),
            logs: self.logs,
        }
    }
}

/// Returns the last log lines of a process, each with its id.
fn labelled_log(process: &ServerProcess) -> Vec<String> {
    let id = process.id();
    process.log_lines().into_iter().map(|line| format!("process {id}: {line}")).collect()
}
