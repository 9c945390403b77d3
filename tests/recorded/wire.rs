//! Streams as input of the simulator's text protocol. It is needed only for recording; otherwise the
//! recorded input is played unchanged.

use super::cases::Cases;
use super::module::{GaugeReadings, IncomingRequest, Input};
use super::plan::{Class, Outcome, Plan, PreemptionKind, RetryKind, Stream};
use super::play::{Step, play};

/// Returns the reply of the simulator to an input text.
pub fn serve(input: &str) -> String {
    let mut reply = Vec::new();
    dunlinspread::simulator::serve(input.as_bytes(), &mut reply).expect("the input follows the protocol");
    String::from_utf8(reply).expect("the reply is UTF-8")
}

/// Returns the input text of a stream, with one batch for each time.
pub fn input(stream: &Stream) -> String {
    let (mut text, mut now) = (String::new(), None);
    play(stream, &mut Cases::default(), |step| {
        if now != Some(step.now) {
            if now.is_some() {
                text.push_str("FLUSH\n");
            }
            text.push_str(&format!("CLOCK time_ms={}\n", step.now));
            now = Some(step.now);
        }
        text.push_str(&line(stream, step));
        text.push('\n');
    });
    text.push_str("RETIRE i=7\nFLUSH\n");
    text
}

fn line(stream: &Stream, step: &Step) -> String {
    match &step.input {
        Input::Start => boot(stream.seed, &stream.plan),
        Input::Arrive(a) => arrival(a),
        Input::CallNeeded(id) => format!("NEEDS_DEP i=7 xid=c:{id}"),
        Input::CallEnded { id, outcome, took_ms } => {
            format!("DEP_REPLY i=7 xid=c:{id} reason={} wait_time_ms={took_ms}", reason(*outcome))
        }
        Input::Ended { id, outcome, took_ms } => {
            format!("DONE i=7 xid=c:{id} reason={} wait_time_ms={took_ms}", reason(*outcome))
        }
        Input::ClientGone(id) => format!("GONE i=7 xid=c:{id}"),
        Input::Drain { stop_at } => format!("WIND_DOWN i=7 deadline_ms={stop_at}"),
        Input::Timer { token, readings } => format!("RING i=7 mark={token} stats={}", stats(readings)),
        Input::Reconfigured { .. } => panic!("the text protocol has no changes of settings"),
    }
}

fn arrival(a: &IncomingRequest) -> String {
    let mut line = format!("ARRIVAL i=7 xid=c:{} profile={} account={}", a.id, a.class, a.tenant);
    if a.shareable {
        line.push_str(" affinity=1");
    }
    if let Some(deadline) = a.deadline {
        line.push_str(&format!(" deadline_ms={deadline}"));
    }
    if let Some(cost) = a.cost_ms {
        line.push_str(&format!(" cost_ms={cost}"));
    }
    line.push_str(&format!(" mem_kb={} precedence={} age_ms={}", a.request_kb, a.priority, a.age_ms));
    line.push_str(&format!(" is_retry={}", u8::from(a.is_retry)));
    if let Some(duplicate_of) = a.duplicate_of {
        line.push_str(&format!(" forerunner=c:{duplicate_of}"));
    }
    line
}

fn stats(readings: &GaugeReadings) -> String {
    let gauges = [
        ("core_use", readings.busy),
        ("on_cores", readings.run_queue),
        ("heap_share", readings.memory),
        ("links", readings.connections),
    ];
    let parts = gauges.iter().filter_map(|(name, value)| Some(format!("{name}:{}", (*value)?)));
    parts.collect::<Vec<_>>().join(",")
}

fn reason(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "OK",
        Outcome::Error => "INTERNAL",
        Outcome::Rejected => "RESOURCE_EXHAUSTED",
        Outcome::TimedOut => "DEADLINE_EXCEEDED",
        Outcome::Unreachable => "UNAVAILABLE",
        Outcome::ConnectionLost => "ABORTED",
        Outcome::Cancelled => "CANCELLED",
        Outcome::NotStarted => "TOO_LATE",
    }
}

/// Returns the values of all classes, separated by commas.
fn listed(classes: &[Class], value: impl Fn(&Class) -> String) -> String {
    classes.iter().map(value).collect::<Vec<_>>().join(",")
}

fn boot(seed: u64, plan: &Plan) -> String {
    let mut line =
        format!("BOOT i=7 nonce64={seed} servers={} specifics.n_cores={}", plan.servers, plan.cores);
    let mut add = |key: &str, value: &dyn std::fmt::Display| line.push_str(&format!(" {key}={value}"));
    add("tick_ms", &plan.tick_ms);
    add("safety.answer_slack_ms", &plan.response_slack_ms);
    add("safety.drain_grace_ms", &plan.drain_grace_ms);
    add("safety.fall_multiple", &plan.survivable_runs_per_core);
    add("specifics.memory_kb", &plan.memory_kb);
    add("specifics.run_factor", &plan.run_memory_factor);
    add("specifics.key_kb", &plan.key_memory_kb);
    add("specifics.say", &"share_of");
    let preemption = match plan.preemption {
        PreemptionKind::Off => "off",
        PreemptionKind::Abort => "abort",
        PreemptionKind::Suspend => "suspend",
    };
    add("specifics.preemption", &preemption);
    add("specifics.below", &plan.upstream_call_share.map_or("tier", |_| "shared"));
    add("specifics.calls_out", &plan.upstream_call_share.unwrap_or(0.0));
    add("specifics.dep_window_ms", &plan.upstream_window_ms);
    add("specifics.linger_ms", &plan.call_linger_ms);
    add("specifics.fresh_for_ms", &plan.shared_result_ttl_ms);
    add("policy_limits.retry_after", &u8::from(plan.retry_after));
    add("policy_limits.max_retry_after_ms", &plan.max_retry_after_ms);
    add("specifics.passes_deadline", &u8::from(plan.passes_deadline));
    add("specifics.callers", &plan.client_count);
    add("specifics.keepalive_max_ms", &plan.client_idle_timeout_ms);
    add("over_share_worth", &plan.over_quota_weight);
    add("specifics.class_calls", &listed(&plan.classes, |c| u8::from(c.makes_upstream_calls).to_string()));
    add("specifics.class_skip_worth", &listed(&plan.classes, |c| c.degraded_weight.to_string()));
    add("profiles.count", &plan.classes.len());
    for (at, class) in plan.classes.iter().enumerate() {
        let effect = match class.retry_safety {
            RetryKind::Safe => "pure",
            RetryKind::Keyed => "token",
            RetryKind::Never => "once",
        };
        add(&format!("profiles.{at}.effect"), &effect);
        add(&format!("profiles.{at}.target_ms"), &class.latency_objective_ms);
        add(&format!("profiles.{at}.aim_stretch"), &class.objective_per_cost);
        add(&format!("profiles.{at}.give_up_ms"), &class.client_timeout_ms);
        add(&format!("profiles.{at}.memory_span_ms"), &class.key_window_ms);
        add(&format!("profiles.{at}.worth"), &class.priority_weight);
        add(&format!("profiles.{at}.late_worth"), &class.late_weight);
    }
    add("accounts.count", &plan.quotas.len());
    for (at, quota) in plan.quotas.iter().enumerate() {
        add(&format!("accounts.{at}.allowance_per_s"), quota);
    }
    line
}
