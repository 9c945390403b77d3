//! Streams as input of the simulator's text wire. Only a recording needs it: the recorded input is played as it is.

use super::cases::Cases;
use super::module::{Arriving, Input, Readings};
use super::plan::{Class, Outcome, Plan, Repeat, Stopping, Stream};
use super::play::{Step, play};

/// What the wire answers to a text.
pub fn serve(input: &str) -> String {
    let mut reply = Vec::new();
    dunlinspread::simulator::serve(input.as_bytes(), &mut reply).expect("the input is as the wire has it");
    String::from_utf8(reply).expect("the wire answers in UTF-8")
}

/// The input of a stream, one batch for each time.
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
        Input::Gone(id) => format!("GONE i=7 xid=c:{id}"),
        Input::Drain { stop_at } => format!("WIND_DOWN i=7 deadline_ms={stop_at}"),
        Input::Timer { token, readings } => format!("RING i=7 mark={token} stats={}", stats(readings)),
        Input::Reconfigured { .. } => panic!("the wire has no changes of settings"),
    }
}

fn arrival(a: &Arriving) -> String {
    let mut line = format!("ARRIVAL i=7 xid=c:{} profile={} account={}", a.id, a.class, a.tenant);
    if a.subject {
        line.push_str(" affinity=1");
    }
    if let Some(deadline) = a.deadline {
        line.push_str(&format!(" deadline_ms={deadline}"));
    }
    if let Some(cost) = a.cost_ms {
        line.push_str(&format!(" cost_ms={cost}"));
    }
    line.push_str(&format!(" mem_kb={} precedence={} age_ms={}", a.queued_kb, a.priority, a.age_ms));
    line.push_str(&format!(" is_retry={}", u8::from(a.retry)));
    if let Some(prior) = a.prior {
        line.push_str(&format!(" forerunner=c:{prior}"));
    }
    line
}

fn stats(readings: &Readings) -> String {
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
        Outcome::Refused => "RESOURCE_EXHAUSTED",
        Outcome::TimedOut => "DEADLINE_EXCEEDED",
        Outcome::Unreachable => "UNAVAILABLE",
        Outcome::CutOff => "ABORTED",
        Outcome::Cancelled => "CANCELLED",
        Outcome::TooLate => "TOO_LATE",
    }
}

/// The values of all classes, comma by comma.
fn listed(classes: &[Class], value: impl Fn(&Class) -> String) -> String {
    classes.iter().map(value).collect::<Vec<_>>().join(",")
}

fn boot(seed: u64, plan: &Plan) -> String {
    let mut line =
        format!("BOOT i=7 nonce64={seed} servers={} specifics.n_cores={}", plan.servers, plan.cores);
    let mut add = |key: &str, value: &dyn std::fmt::Display| line.push_str(&format!(" {key}={value}"));
    add("tick_ms", &plan.tick_ms);
    add("safety.answer_slack_ms", &plan.answer_slack_ms);
    add("safety.drain_grace_ms", &plan.drain_grace_ms);
    add("safety.fall_multiple", &plan.survivable_per_core);
    add("specifics.memory_kb", &plan.memory_kb);
    add("specifics.run_factor", &plan.run_factor);
    add("specifics.key_kb", &plan.key_kb);
    add("specifics.say", &"share_of");
    let stopping = match plan.stopping {
        Stopping::Off => "off",
        Stopping::Abort => "abort",
        Stopping::Suspend => "suspend",
    };
    add("specifics.preemption", &stopping);
    add("specifics.below", &plan.upstream_share.map_or("tier", |_| "shared"));
    add("specifics.calls_out", &plan.upstream_share.unwrap_or(0.0));
    add("specifics.dep_window_ms", &plan.upstream_window_ms);
    add("specifics.linger_ms", &plan.linger_ms);
    add("specifics.fresh_for_ms", &plan.fresh_ms);
    add("policy_limits.retry_after", &u8::from(plan.retry_after));
    add("policy_limits.max_retry_after_ms", &plan.max_retry_after_ms);
    add("specifics.passes_deadline", &u8::from(plan.tells_deadline));
    add("specifics.callers", &plan.callers);
    add("specifics.keepalive_max_ms", &plan.idle_max_ms);
    add("over_share_worth", &plan.over_quota_worth);
    add("specifics.class_calls", &listed(&plan.classes, |c| u8::from(c.calls).to_string()));
    add("specifics.class_skip_worth", &listed(&plan.classes, |c| c.skip_worth.to_string()));
    add("profiles.count", &plan.classes.len());
    for (at, class) in plan.classes.iter().enumerate() {
        let effect = match class.repeat {
            Repeat::Safe => "pure",
            Repeat::Keyed => "token",
            Repeat::Never => "once",
        };
        add(&format!("profiles.{at}.effect"), &effect);
        add(&format!("profiles.{at}.target_ms"), &class.aim_ms);
        add(&format!("profiles.{at}.aim_stretch"), &class.aim_stretch);
        add(&format!("profiles.{at}.give_up_ms"), &class.give_up_ms);
        add(&format!("profiles.{at}.memory_span_ms"), &class.window_ms);
        add(&format!("profiles.{at}.worth"), &class.worth);
        add(&format!("profiles.{at}.late_worth"), &class.late_worth);
    }
    add("accounts.count", &plan.quotas.len());
    for (at, quota) in plan.quotas.iter().enumerate() {
        add(&format!("accounts.{at}.allowance_per_s"), quota);
    }
    line
}
