//! What a stream is made of: the stated settings, the true machine behind them and the troubles of its day.

/// Whether a class may be run again.
#[derive(Clone, Copy, PartialEq)]
pub enum Repeat {
    Safe,
    Keyed,
    Never,
}

/// How callers read the share on replies.
#[derive(Clone, Copy, PartialEq)]
pub enum ShareTold {
    Off,
    Share,
    Other,
}

/// What can be done to running requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Stopping {
    Off,
    Abort,
    Suspend,
}

/// How a run or an upstream call ended.
#[derive(Clone, Copy, PartialEq)]
pub enum Outcome {
    Ok,
    Error,
    Refused,
    TimedOut,
    Unreachable,
    CutOff,
    Cancelled,
    TooLate,
}

/// A class of requests.
#[derive(Clone)]
pub struct Class {
    pub repeat: Repeat,
    pub aim_ms: f64,
    pub aim_stretch: f64,
    pub give_up_ms: f64,
    pub window_ms: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub calls: bool,
    pub skip_worth: f64,
}

impl Class {
    fn new(repeat: Repeat) -> Class {
        Class {
            repeat,
            aim_ms: 800.0,
            aim_stretch: 0.0,
            give_up_ms: 2000.0,
            window_ms: 5000.0,
            worth: 1.0,
            late_worth: 0.2,
            calls: true,
            skip_worth: 0.0,
        }
    }
}

/// The settings that the module is told.
#[derive(Clone)]
pub struct Plan {
    pub servers: f64,
    pub cores: f64,
    pub tick_ms: f64,
    pub cold: bool,
    pub cold_share: f64,
    pub cold_ms: f64,
    pub answer_slack_ms: f64,
    pub drain_grace_ms: f64,
    pub survivable_per_core: f64,
    pub crowd_window_ms: f64,
    pub memory_kb: f64,
    pub run_factor: f64,
    pub key_kb: f64,
    pub share_told: ShareTold,
    pub stopping: Stopping,
    pub upstream: bool,
    pub upstream_share: Option<f64>,
    pub upstream_window_ms: f64,
    pub linger_ms: f64,
    pub fresh_ms: f64,
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub tells_deadline: bool,
    pub callers: f64,
    pub idle_max_ms: f64,
    pub over_quota_worth: f64,
    pub classes: Vec<Class>,
    pub quotas: Vec<f64>,
    pub class_limits: Vec<(usize, usize)>,
}

impl Default for Plan {
    /// Two cores and five classes: reads with a call, keyed writes, writes that run once, reads whose call may be
    /// left out, and reads that are worth nothing when late.
    fn default() -> Plan {
        let read = Class::new(Repeat::Safe);
        Plan {
            servers: 4.0,
            cores: 2.0,
            tick_ms: 5.0,
            cold: false,
            cold_share: 0.3,
            cold_ms: 10_000.0,
            answer_slack_ms: 80.0,
            drain_grace_ms: 500.0,
            survivable_per_core: 4.0,
            crowd_window_ms: 1500.0,
            memory_kb: 20_000.0,
            run_factor: 4.0,
            key_kb: 20.0,
            share_told: ShareTold::Share,
            stopping: Stopping::Off,
            upstream: true,
            upstream_share: None,
            upstream_window_ms: 2000.0,
            linger_ms: 150.0,
            fresh_ms: 0.0,
            retry_after: true,
            max_retry_after_ms: 900.0,
            tells_deadline: true,
            callers: 50.0,
            idle_max_ms: 20_000.0,
            over_quota_worth: 0.2,
            classes: vec![
                Class { aim_stretch: 2.0, ..read.clone() },
                Class { worth: 3.0, ..Class::new(Repeat::Keyed) },
                Class { worth: 2.0, ..Class::new(Repeat::Never) },
                Class { skip_worth: 0.5, aim_ms: 500.0, ..read.clone() },
                Class { late_worth: 0.0, aim_ms: 400.0, ..read },
            ],
            quotas: vec![20.0, 60.0, 40.0],
            class_limits: Vec::new(),
        }
    }
}

/// A span of time that comes again, ms.
#[derive(Clone, Copy)]
pub struct Span {
    pub every: u64,
    pub from: u64,
    pub to: u64,
}

impl Span {
    pub fn holds(span: Option<Span>, now: u64) -> bool {
        span.is_some_and(|s| (s.from..s.to).contains(&(now % s.every)))
    }
}

/// How the gauges read.
#[derive(Clone, Copy, PartialEq)]
pub enum GaugeKind {
    Good,
    Missing,
    Absurd,
}

/// How timers come.
#[derive(Clone, Copy, PartialEq)]
pub enum TimerKind {
    OnTime,
    Late,
    /// Some are absent for seconds.
    Absent,
    /// None comes any more after this time, ms.
    StopAt(u64),
}

/// The true machine and what happens on it.
#[derive(Clone)]
pub struct Script {
    /// Events until the stream ends.
    pub events: u64,
    /// Cores in truth, whatever is stated.
    pub cores: u64,
    /// Load in percent of the cores, phase by phase.
    pub loads: Vec<u64>,
    pub phase_ms: u64,
    /// All runs stand still.
    pub hang: Option<Span>,
    /// All runs fail.
    pub failing: Option<Span>,
    /// Tenant 0 sends most of the requests.
    pub flood: Option<Span>,
    /// Upstream calls are slow and fail often.
    pub upstream_bad: Option<Span>,
    /// While they are bad, upstream calls are refused or find nobody, again and again.
    pub upstream_down: bool,
    /// Other work wants the cores, and they are now full and now not quite.
    pub other_work: Option<Span>,
    /// Requests are up to so old when they arrive, ms.
    pub age_ms: u64,
    /// Runs are paused without having been asked for.
    pub pauses: bool,
    /// Requests of each class that are keyed duplicates or share a read, in percent.
    pub duplicates: u64,
    pub gauges: GaugeKind,
    pub timers: TimerKind,
    /// Notice to leave and the stop after it, ms.
    pub drain: Option<(u64, u64)>,
    /// Settings change this often, ms.
    pub reconfigure_every: Option<u64>,
    /// Arrivals in a thousand with absurd numbers, and odd events in a thousand ticks.
    pub odd: u64,
}

impl Default for Script {
    fn default() -> Script {
        Script {
            events: 3200,
            cores: 2,
            loads: vec![60, 180, 90, 320, 40, 130, 20],
            phase_ms: 2000,
            hang: None,
            failing: None,
            flood: None,
            upstream_bad: None,
            upstream_down: false,
            other_work: None,
            age_ms: 40,
            pauses: false,
            duplicates: 25,
            gauges: GaugeKind::Good,
            timers: TimerKind::OnTime,
            drain: None,
            reconfigure_every: None,
            odd: 0,
        }
    }
}

/// One stream: all of it follows from these.
#[derive(Clone)]
pub struct Stream {
    pub name: String,
    pub seed: u64,
    pub plan: Plan,
    pub script: Script,
}
