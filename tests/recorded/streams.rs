//! The streams whose decisions are recorded.

use super::plan::{GaugeKind, Plan, PreemptionKind, Script, SignalKind, Span, Stream, TimerKind};
use super::random::Random;

/// Number of streams of each kind, each with its own seed.
const SEEDS: u64 = 3;
/// Number of streams with mixed settings and faults.
const MIXED: u64 = 8;
/// Number of events of a stream whose whole text is recorded.
const SHORT_EVENTS: u64 = 150;
/// Kinds for which the whole text of one stream is recorded.
const SHORT: [&str; 10] = [
    "overload",
    "quotas",
    "duplicates",
    "shared_reads",
    "upstream_share",
    "abort",
    "suspend",
    "drain_with_grace",
    "reconfigured",
    "gauges_absurd",
];
/// Kinds in [`SHORT`] that are also played through the text protocol, which can state their settings and
/// events.
const WIRE: [&str; 3] = ["quotas", "upstream_share", "drain_with_grace"];

/// Number of streams with some absurd settings.
const SOME_ABSURD: u64 = 8;
/// Numbers that are not meaningful for any setting.
const ABSURD: [f64; 6] = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 1e300, 0.0];

const HANG: Span = Span { every: 11_000, from: 5000, to: 7500 };
const FAILING: Span = Span { every: 9000, from: 2000, to: 4500 };
const FLOOD: Span = Span { every: 8000, from: 2000, to: 6000 };
const OTHER_WORK: Span = Span { every: 9000, from: 1500, to: 5500 };
const UPSTREAM_BAD: Span = Span { every: 7000, from: 1500, to: 5000 };

type Kind = (&'static str, fn(&mut Plan, &mut Script));

const KINDS: [Kind; 21] = [
    // Without tenants, a priority is used as it is, so that some are exactly at the priority threshold.
    ("overload", |plan, script| {
        plan.quotas.clear();
        script.loads = vec![60, 220, 250, 90, 320, 130];
    }),
    ("overload_large", |plan, script| {
        (plan.cores, script.cores, plan.memory_kb) = (6.0, 6, 60_000.0);
    }),
    ("quotas", |_, script| script.flood = Some(FLOOD)),
    ("duplicates", |plan, script| {
        script.duplicates = 60;
        plan.classes[1].key_window_ms = 1500.0;
    }),
    ("shared_reads", |plan, _| plan.shared_result_ttl_ms = 400.0),
    ("upstream_share", |plan, script| {
        (plan.upstream_call_share, script.upstream_bad) = (Some(1.0), Some(UPSTREAM_BAD));
    }),
    ("upstream_tier", |_, script| script.upstream_bad = Some(UPSTREAM_BAD)),
    ("upstream_down", |plan, script| {
        (script.upstream_bad, script.upstream_down) = (Some(UPSTREAM_BAD), true);
        plan.passes_deadline = false;
        for class in &mut plan.classes {
            (class.latency_objective_ms, class.client_timeout_ms) = (6000.0, 20_000.0);
        }
    }),
    ("other_work", |plan, script| {
        (script.other_work, plan.client_count) = (Some(OTHER_WORK), 5000.0);
    }),
    ("old_requests", |plan, script| {
        (script.loads, script.phase_ms) = (vec![250, 30, 110], 400);
        plan.classes.iter_mut().for_each(|class| class.makes_upstream_calls = false);
    }),
    ("abort", |plan, script| {
        (plan.preemption, plan.shared_result_ttl_ms, script.odd) = (PreemptionKind::Abort, 300.0, 8);
    }),
    ("suspend", |plan, script| (plan.preemption, script.suspensions) = (PreemptionKind::Suspend, true)),
    ("cold", |plan, script| {
        (plan.cold_start, plan.preemption) = (true, PreemptionKind::Abort);
        script.loads = vec![150, 60, 100, 30];
    }),
    ("drain_with_grace", |_, script| {
        (script.loads, script.drain) = (vec![200, 80, 120], Some((20_000, 23_000)));
    }),
    ("drain_without_grace", |plan, script| {
        (plan.drain_grace_ms, script.drain) = (0.0, Some((20_000, 22_000)));
        script.loads = vec![200, 80, 120];
    }),
    ("reconfigured", |plan, script| {
        (script.reconfigure_every, script.flood) = (Some(500), Some(FLOOD));
        plan.class_limits = vec![(0, 1), (3, 2)];
    }),
    ("gauges_missing", |_, script| script.gauges = GaugeKind::Missing),
    ("gauges_absurd", |_, script| (script.gauges, script.odd) = (GaugeKind::Absurd, 30)),
    ("timers", |_, script| script.timers = TimerKind::Late),
    ("troubles", |_, script| {
        (script.hang, script.failing, script.loads) = (Some(HANG), Some(FAILING), vec![80, 150, 50]);
    }),
    ("memory", |plan, script| {
        (plan.memory_kb, plan.shared_result_ttl_ms, script.duplicates) = (900.0, 300.0, 40);
    }),
];

fn stream(kind: Kind, seed: u64) -> Stream {
    let (mut plan, mut script) = (Plan::default(), Script::default());
    kind.1(&mut plan, &mut script);
    if kind.0 == "old_requests" {
        script.age_ms = 150 + 50 * seed;
    }
    if kind.0 == "timers" {
        script.timers = [TimerKind::Late, TimerKind::Absent, TimerKind::StopAt(8000)][seed as usize % 3];
    }
    Stream { name: format!("{}_{seed}", kind.0), seed, plan, script }
}

/// Returns the streams whose digests are recorded.
pub fn long() -> Vec<Stream> {
    let seeds = |kind: &Kind| (1..=SEEDS).map(|seed| stream(*kind, seed)).collect::<Vec<_>>();
    let kinds = KINDS.iter().flat_map(seeds);
    let mixed = (1..=MIXED).map(mixed);
    kinds.chain(mixed).chain(absurd_settings()).collect()
}

/// Returns the streams whose whole text is recorded.
pub fn short() -> Vec<Stream> {
    let short = |(name, set): &Kind| {
        let mut stream = stream((name, *set), 1);
        stream.name = (*name).to_owned();
        stream.script.events = SHORT_EVENTS;
        // Everything happens sooner than in the long streams.
        (stream.script.loads, stream.script.phase_ms) = (vec![250, 500, 30], 600);
        stream.script.drain = stream.script.drain.map(|_| (400, 1500));
        stream.script.reconfigure_every = stream.script.reconfigure_every.map(|_| 50);
        stream.script.flood = stream.script.flood.map(|_| Span { every: 1000, from: 100, to: 600 });
        stream.script.upstream_bad =
            stream.script.upstream_bad.map(|_| Span { every: 400, from: 100, to: 300 });
        stream
    };
    KINDS.iter().filter(|(name, _)| SHORT.contains(name)).map(short).collect()
}

/// Returns the streams that are played through the simulator's text protocol.
pub fn wire() -> Vec<Stream> {
    let mut streams = short();
    streams.retain(|stream| WIRE.contains(&stream.name.as_str()));
    streams
}

/// Returns a stream with random settings and random faults.
fn mixed(seed: u64) -> Stream {
    let mut random = Random::new(1000 + seed);
    let (mut plan, mut script) = (Plan::default(), Script::default());
    script.cores = 1 + random.below(6);
    plan.cores = script.cores as f64;
    plan.memory_kb = 400.0 * (2 + random.below(60)) as f64;
    plan.preemption = random.pick(&[PreemptionKind::Off, PreemptionKind::Abort, PreemptionKind::Suspend]);
    plan.signal = random.pick(&[SignalKind::Share, SignalKind::Share, SignalKind::Off, SignalKind::Other]);
    plan.upstream_call_share = random.pick(&[None, Some(0.5), Some(3.0)]);
    plan.shared_result_ttl_ms = random.pick(&[0.0, 200.0, 1000.0]);
    plan.retry_after = random.percent(50);
    plan.passes_deadline = random.percent(50);
    plan.client_count = random.pick(&[1.0, 20.0, 5000.0]);
    plan.drain_grace_ms = random.pick(&[0.0, 300.0]);
    for class in &mut plan.classes {
        class.latency_objective_ms = 100.0 * (2 + random.below(12)) as f64;
        class.client_timeout_ms = class.latency_objective_ms * 2.0;
        class.late_weight = random.pick(&[0.0, 0.3, 1.0]);
        class.degraded_weight = random.pick(&[0.0, 0.0, 0.7]);
    }
    script.hang = random.pick(&[None, Some(HANG)]);
    script.failing = random.pick(&[None, Some(FAILING)]);
    script.flood = random.pick(&[None, Some(FLOOD)]);
    script.upstream_bad = random.pick(&[None, Some(UPSTREAM_BAD)]);
    script.other_work = random.pick(&[None, Some(OTHER_WORK)]);
    script.age_ms = random.pick(&[40, 40, 250]);
    script.gauges = random.pick(&[GaugeKind::Good, GaugeKind::Missing, GaugeKind::Absurd]);
    script.timers = random.pick(&[TimerKind::OnTime, TimerKind::Late, TimerKind::Absent]);
    script.reconfigure_every = random.pick(&[None, Some(700)]);
    script.suspensions = true;
    script.odd = random.pick(&[0, 20]);
    Stream { name: format!("mixed_{seed}"), seed, plan, script }
}

/// Returns a plan in which every stated number is `number`.
fn absurd_plan(number: f64) -> Plan {
    let mut plan = Plan {
        servers: number,
        cores: number,
        tick_ms: number,
        cold_start: true,
        cold_start_speed: number,
        warm_up_ms: number,
        response_slack_ms: number,
        drain_grace_ms: number,
        survivable_runs_per_core: number,
        overload_window_ms: number,
        memory_kb: number,
        run_memory_factor: number,
        key_memory_kb: number,
        upstream_call_share: Some(number),
        upstream_window_ms: number,
        call_linger_ms: number,
        shared_result_ttl_ms: number,
        max_retry_after_ms: number,
        client_count: number,
        client_idle_timeout_ms: number,
        over_quota_weight: number,
        quotas: vec![number; 3],
        ..Plan::default()
    };
    for class in &mut plan.classes {
        (class.latency_objective_ms, class.objective_per_cost, class.client_timeout_ms) =
            (number, number, number);
        (class.key_window_ms, class.priority_weight, class.late_weight) = (number, number, number);
        class.degraded_weight = number;
    }
    plan
}

/// Returns the streams with absurd settings: one for each number with all settings absurd, and some with
/// random absurd settings, in which more requests run.
fn absurd_settings() -> Vec<Stream> {
    let script = Script { events: 2000, odd: 20, ..Script::default() };
    let all = ABSURD.into_iter().map(absurd_plan).zip(1..);
    let all = all.map(|(plan, seed)| (format!("absurd_all_{seed}"), seed, plan));
    let some = (1..=SOME_ABSURD).map(|seed| (format!("absurd_some_{seed}"), seed, partly_absurd_plan(seed)));
    let stream = |(name, seed, plan)| Stream { name, seed, plan, script: script.clone() };
    all.chain(some).map(stream).collect()
}

/// Returns a plan in which a random part of the stated numbers is absurd, each with its own number.
fn partly_absurd_plan(seed: u64) -> Plan {
    let mut random = Random::new(2000 + seed);
    let mut plan = Plan { cold_start: random.percent(50), upstream_call_share: Some(2.0), ..Plan::default() };
    let mut numbers = vec![
        &mut plan.servers,
        &mut plan.cores,
        &mut plan.tick_ms,
        &mut plan.cold_start_speed,
        &mut plan.warm_up_ms,
        &mut plan.drain_grace_ms,
        &mut plan.survivable_runs_per_core,
        &mut plan.memory_kb,
        &mut plan.run_memory_factor,
        &mut plan.key_memory_kb,
        &mut plan.upstream_window_ms,
        &mut plan.call_linger_ms,
        &mut plan.shared_result_ttl_ms,
        &mut plan.max_retry_after_ms,
        &mut plan.client_count,
        &mut plan.client_idle_timeout_ms,
        &mut plan.over_quota_weight,
    ];
    numbers.extend(&mut plan.upstream_call_share);
    numbers.extend(&mut plan.quotas);
    for class in &mut plan.classes {
        numbers.extend([
            &mut class.latency_objective_ms,
            &mut class.objective_per_cost,
            &mut class.client_timeout_ms,
        ]);
        numbers.extend([
            &mut class.key_window_ms,
            &mut class.priority_weight,
            &mut class.late_weight,
            &mut class.degraded_weight,
        ]);
    }
    for number in numbers {
        if random.percent(15) {
            *number = random.pick(&ABSURD);
        }
    }
    plan
}
