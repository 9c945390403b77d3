//! The text of events and actions: one line each, the same whatever the library's types are called.

use super::module::{Arriving, Input, Output, Readings};
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
        Outcome::Refused => "refused",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::CutOff => "cut_off",
        Outcome::Cancelled => "cancelled",
        Outcome::TooLate => "too_late",
    }
}

fn arrival(a: &Arriving) -> String {
    format!(
        "arrive id={} class={} tenant={} subject={} deadline={} cost_ms={} queued_kb={:?} priority={:?} retry={} \
         age_ms={:?} prior={}",
        a.id,
        a.class,
        a.tenant,
        u8::from(a.subject),
        maybe(a.deadline),
        maybe(a.cost_ms),
        a.queued_kb,
        a.priority,
        u8::from(a.retry),
        a.age_ms,
        maybe(a.prior),
    )
}

/// Pairs of a position and a new value.
fn changes<T: Debug + Copy>(changes: &[(usize, Option<T>)]) -> String {
    let parts: Vec<String> = changes.iter().map(|(at, value)| format!("{at}:{}", maybe(*value))).collect();
    parts.join(",")
}

/// An event's line.
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
        Input::Gone(id) => format!("gone id={id}"),
        Input::Drain { stop_at } => format!("drain stop_at={stop_at:?}"),
        Input::Reconfigured { quotas, limits } => {
            format!("reconfigured quotas={} limits={}", changes(quotas), changes(limits))
        }
        Input::Timer { token, readings: Readings { busy, run_queue, memory, connections } } => format!(
            "timer token={token} busy={} run_queue={} memory={} connections={}",
            maybe(*busy),
            maybe(*run_queue),
            maybe(*memory),
            maybe(*connections),
        ),
    }
}

/// An action's line.
pub fn output(output: &Output) -> String {
    match output {
        Output::Run(id) => format!("run id={id}"),
        Output::Refuse { id, retry_after_ms, last } => {
            format!("refuse id={id} retry_after_ms={retry_after_ms:?} last={}", u8::from(*last))
        }
        Output::Fail(id) => format!("fail id={id}"),
        Output::Reuse(id) => format!("reuse id={id}"),
        Output::Preempt(id) => format!("preempt id={id}"),
        Output::Keep { id, ttl_ms } => format!("keep id={id} ttl_ms={ttl_ms:?}"),
        Output::Forget(id) => format!("forget id={id}"),
        Output::Call { id, limit_ms } => format!("call id={id} limit_ms={limit_ms:?}"),
        Output::SkipCall(id) => format!("skip_call id={id}"),
        Output::Share(share) => format!("share value={share:?}"),
        Output::Health(good) => format!("health good={}", u8::from(*good)),
        Output::IdleLimit(ms) => format!("idle_limit ms={ms:?}"),
        Output::Timer { token, delay_ms } => format!("timer token={token} delay_ms={delay_ms:?}"),
        Output::Log(text) => format!("log text={text:?}"),
    }
}

/// The line of an event with its time.
pub fn event_line(step: &Step) -> String {
    format!("{:?} {}\n", step.now, input(&step.input))
}

/// The lines of an event's actions, with the level and the cut after it.
pub fn action_lines(step: &Step) -> String {
    let mut lines = String::new();
    for action in &step.outputs {
        lines.push_str("  ");
        lines.push_str(&output(action));
        lines.push('\n');
    }
    lines.push_str(&format!("  = level {} cut {:?}\n", step.level, step.cut));
    lines
}
