//! A run of the soak: the processes, their clients and what happens to them.

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

/// Requests a second.
const RATE: f64 = 120.0;
/// Requests a second in a burst, and how long it lasts.
const BURST_RATE: f64 = 900.0;
const BURST_TIME: Duration = Duration::from_secs(1);
/// Connections that requests of a burst share.
const BURST_CONNECTIONS: usize = 40;
/// Keeps the draws of bursts apart from those of the other requests of a seed.
const BURST_SEEDS: u64 = 1 << 32;
/// Load before the first step and after the last.
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Time between two looks at the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which health has to be good again after a cause of bad health has ended, ms.
const GOOD_HEALTH_WITHIN_MS: u64 = 2000;
/// As above, where the worker pool stalled: its runs have to come to their ends first.
const GOOD_HEALTH_AFTER_STALL_MS: u64 = 4000;

/// What was seen in a run.
pub struct SoakReport {
    pub records: Records,
    pub runs: Vec<StartedRun>,
    /// When a process was killed before its time, Unix ms.
    pub kills_ms: Vec<u64>,
    /// When bad health is right, Unix ms.
    pub bad_health_allowed: Vec<Range<u64>>,
    /// The peak of the resident memory of all processes together, kB.
    pub peak_resident_kb: u64,
    /// The largest number of descriptors that all processes together had open.
    pub peak_descriptors: usize,
    /// Processes that ended otherwise than they should have.
    pub wrong_ends: Vec<String>,
    /// What happened, in order.
    pub history: Vec<String>,
    /// When worker pools stood still, from when to when, Unix ms.
    pub worker_pool_delays: Vec<Range<u64>>,
    /// The last log lines of each process, in the order of their ends.
    pub logs: Vec<String>,
}

/// A run under way.
struct SoakRun {
    seed: u64,
    site: Site,
    serving: ServerProcess,
    clients: Clients,
    /// What the clients of the bursts recorded.
    bursts: Vec<Records>,
    began: Instant,
    kills_ms: Vec<u64>,
    bad_health_allowed: Vec<Range<u64>>,
    peak_resident_kb: u64,
    peak_descriptors: usize,
    wrong_ends: Vec<String>,
    history: Vec<String>,
    logs: Vec<String>,
}

/// Plays a schedule and returns what was seen.
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
        wrong_ends: Vec::new(),
        history: Vec::new(),
        logs: Vec::new(),
    };
    let crowd = schedule.crowd.map(|size| Crowd::start(run.site.listen, size));
    run.note(&format!("crowd {:?}", schedule.crowd));
    run.pass(LOAD_TIME);
    for (pause, step) in &schedule.steps {
        run.pass(*pause);
        run.note(&format!("{step:?}"));
        run.take_step(*step);
    }
    run.pass(LOAD_TIME);
    run.end(schedule.ending);
    drop(crowd);
    run.report()
}

impl SoakRun {
    fn note(&mut self, text: &str) {
        let at_ms = self.began.elapsed().as_millis();
        self.history.push(format!("{at_ms} ms, at {}: {text}", unix_ms()));
    }

    /// Lets time pass, and looks at the serving process.
    fn pass(&mut self, time: Duration) {
        let since = Instant::now();
        while since.elapsed() < time {
            self.look_at(None);
            run_for(LOOK_INTERVAL);
        }
    }

    /// Notes the memory and descriptors of the serving process, and of another one.
    fn look_at(&mut self, other: Option<&ServerProcess>) {
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

    fn take_step(&mut self, step: Step) {
        let from_ms = unix_ms();
        match step {
            Step::Reload(times) => (0..times).for_each(|_| self.serving.signal("HUP")),
            Step::Stop(time) => {
                self.stop_serving(time);
                self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
            }
            Step::Evacuate(time) => {
                operators_call(&self.serving, "PUT", "/api/evacuate");
                self.pass(time);
                operators_call(&self.serving, "PUT", "/api/rejoin");
                self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
            }
            Step::MovePeers => {
                self.site.move_peers(&self.serving);
                self.serving.signal("HUP");
            }
            Step::RegistryDown(time) => {
                self.site.stop_registry();
                self.pass(time);
                self.site.start_registry();
            }
            Step::BreakPoolLink => self.site.last_pool().break_link(),
            Step::StallPool(time) => {
                self.site.last_pool().stall(time);
                self.pass(time);
                self.allow_bad_health(from_ms, GOOD_HEALTH_AFTER_STALL_MS);
            }
            Step::Upgrade { pause, kill } => self.upgrade(pause, kill),
            Step::EvacuateInUpgrade(time) => self.evacuate_in_upgrade(time),
            Step::ThreeProcesses { pause } => self.hand_on_twice(pause),
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

    /// Has a further set of clients send past what the event loop bears, and waits for the ends of what they sent.
    fn burst(&mut self) {
        let load = LoadSettings {
            seed: self.seed + BURST_SEEDS * (1 + self.bursts.len() as u64),
            rate: BURST_RATE,
            shared_connections: BURST_CONNECTIONS,
            withdrawals: false,
        };
        let clients = Clients::start(self.site.listen, self.site.request_ends(), load);
        self.pass(BURST_TIME);
        self.bursts.push(clients.finish());
    }

    /// Starts a successor, which serves from now on, and returns the process before it.
    fn hand_over(&mut self) -> ServerProcess {
        let (new, _) = self.site.start_successor();
        std::mem::replace(&mut self.serving, new)
    }

    fn evacuate_in_upgrade(&mut self, time: Duration) {
        let mut old = self.hand_over();
        let from_ms = unix_ms();
        operators_call(&self.serving, "PUT", "/api/evacuate");
        self.pass(time);
        operators_call(&self.serving, "PUT", "/api/rejoin");
        self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
        self.finish(&mut old);
    }

    fn hand_on_twice(&mut self, pause: Duration) {
        let mut first = self.hand_over();
        self.pass(pause);
        let mut second = self.hand_over();
        self.pass(pause);
        self.finish(&mut first);
        self.finish(&mut second);
    }

    /// Requests the shutdown of a process that handed over, and waits for its end.
    fn finish(&mut self, old: &mut ServerProcess) {
        let (_, was_killed) = finish_predecessor(old, |_| {});
        if was_killed {
            self.kills_ms.push(unix_ms());
            self.wrong_ends.push("the old process did not end before its kill".to_owned());
        }
        self.keep_log(old);
    }

    /// Has the serving process stand still for at least that time, and returns for how long it surely did.
    fn stop_serving(&mut self, time: Duration) -> Duration {
        self.serving.signal("STOP");
        let (seed, serving) = (self.seed, &mut self.serving);
        wait_for(seed, "it stands still or has ended", || {
            serving.is_stopped() || serving.exit_status().is_some()
        });
        let since = Instant::now();
        self.pass(time);
        let stood_still = since.elapsed();
        self.serving.signal("CONT");
        stood_still
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
            self.look_at(Some(&old));
            run_for(LOOK_INTERVAL);
        }
        self.finish(&mut old);
    }

    /// Starts a new process and kills it after a while; the old one serves on, or again.
    fn kill_new(&mut self, moment: Duration) {
        let mut new = self.site.start_process();
        run_for(moment);
        self.kills_ms.push(unix_ms());
        new.kill();
        self.keep_log(&new);
        let (seed, serving) = (self.seed, &self.serving);
        wait_for(seed, "the old process serves", || serving.is_ready());
    }

    /// Shuts the server down and kills it at the page's earliest, while its clients go on.
    fn end(&mut self, ending: Ending) {
        self.note(&format!("{ending:?}"));
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
            // The time of a pause is not counted.
            kill_at += self.stop_serving(time);
        }
        while self.serving.exit_status().is_none() && Instant::now() < kill_at {
            self.look_at(None);
            run_for(LOOK_INTERVAL.min(kill_at.saturating_duration_since(Instant::now())));
        }
        match self.serving.exit_status() {
            Some(status) => self.check_exit(status),
            None => self.wrong_ends.push("the process did not end before its kill".to_owned()),
        }
        self.serving.kill();
        self.note("ended");
        self.allow_bad_health(from_ms, GOOD_HEALTH_WITHIN_MS);
    }

    fn check_exit(&mut self, status: ExitStatus) {
        if !status.success() {
            self.wrong_ends.push(format!("the process ended with {status}"));
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
            wrong_ends: self.wrong_ends,
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
