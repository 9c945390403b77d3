//! The text of events and actions, one line each, which does not depend on the names of the library's types.

use super::module::{GaugeReadings, IncomingRequest, Input, Output};
use super::plan::Outcome;
use super::play::Step;
use std::fmt::Debug;

fn maybe<T: Debug>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:?}"))
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "refused",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::ConnectionLost => "cut_off",
        Outcome::Cancelled => "cancelled",
        Outcome::NotStarted => "too_late",
    }
}

fn arrival(a: &IncomingRequest) -> String {
    format!(
        "arrive id={} class={} tenant={} subject={} deadline={} cost_ms={} queued_kb={:?} priority={:?} retry={} \
         age_ms={:?} prior={}",
        a.id,
        a.class,
        a.tenant,
        u8::from(a.shareable),
        maybe(a.deadline),
        maybe(a.cost_ms),
        a.request_kb,
        a.priority,
        u8::from(a.is_retry),
        a.age_ms,
        maybe(a.duplicate_of),
    )
}

/// Formats pairs of a position and a new value.
fn changes<T: Debug + Copy>(changes: &[(usize, Option<T>)]) -> String {
    let parts: Vec<String> = changes.iter().map(|(at, value)| format!("{at}:{}", maybe(*value))).collect();
    parts.join(",")
}

/// Returns the line of an event.
pub fn input(input: &Input) -> String {
    match input {
        Input::Start => "start".to_owned(),
        Input::Arrive(a) => arrival(a),
        Input::CallNeeded(id) => format!("call_needed id={id}"),
        Input::CallEnded { id, outcome: how, took_ms } => {
            format!("call_ended id={id} outcome={} took_ms={took_ms:?}", outcome(*how))
        }
        Input::Ended { id, outcome: how, took_ms } => {
            format!("ended id={id} outcome={} took_ms={took_ms:?}", outcome(*how))
        }
        Input::ClientGone(id) => format!("gone id={id}"),
        Input::Drain { stop_at } => format!("drain stop_at={stop_at:?}"),
        Input::Reconfigured { quotas, limits } => {
            format!("reconfigured quotas={} limits={}", changes(quotas), changes(limits))
        }
        Input::Timer { token, readings: GaugeReadings { busy, run_queue, memory, connections } } => format!(
            "timer token={token} busy={} run_queue={} memory={} connections={}",
            maybe(*busy),
            maybe(*run_queue),
            maybe(*memory),
            maybe(*connections),
        ),
    }
}

/// Returns the line of an action.
pub fn output(output: &Output) -> String {
    match output {
        Output::Run(id) => format!("run id={id}"),
        Output::Reject { id, retry_after_ms, no_retry } => {
            format!("refuse id={id} retry_after_ms={retry_after_ms:?} last={}", u8::from(*no_retry))
        }
        Output::Fail(id) => format!("fail id={id}"),
        Output::Reuse(id) => format!("reuse id={id}"),
        Output::Preempt(id) => format!("preempt id={id}"),
        Output::ReserveKey { id, ttl_ms } => format!("keep id={id} ttl_ms={ttl_ms:?}"),
        Output::ReleaseKey(id) => format!("forget id={id}"),
        Output::Call { id, limit_ms } => format!("call id={id} limit_ms={limit_ms:?}"),
        Output::SkipCall(id) => format!("skip_call id={id}"),
        Output::Share(share) => format!("share value={share:?}"),
        Output::Health(good) => format!("health good={}", u8::from(*good)),
        Output::IdleTimeout(ms) => format!("idle_limit ms={ms:?}"),
        Output::Timer { token, delay_ms } => format!("timer token={token} delay_ms={delay_ms:?}"),
        Output::Log(text) => format!("log text={text:?}"),
    }
}

/// Returns the line of an event with its time.
pub fn event_line(step: &Step) -> String {
    format!("{:?} {}\n", step.now, input(&step.input))
}

/// Returns the lines of an event's actions, with the level and the priority threshold after the event.
pub fn action_lines(step: &Step) -> String {
    let mut lines = String::new();
    for action in &step.outputs {
        lines.push_str("  ");
        lines.push_str(&output(action));
        lines.push('\n');
    }
    lines.push_str(&format!("  = level {} cut {:?}\n", step.level, step.priority_threshold));
    lines
}
