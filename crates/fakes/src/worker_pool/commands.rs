//! The commands that a server sends to a worker pool.

use crate::worker_pool::machine::{CallEnd, Machine, RunTimer};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

/// Result of a command.
pub(crate) enum CommandResult {
    /// The command was executed.
    Executed,
    /// The command started or resumed a run, which the timer takes to its next step.
    Started(RunTimer),
    /// The command names no run or class on which it can be executed, or its body cannot be decoded.
    Unknown,
    /// The line is not a valid command.
    Invalid,
}

impl From<Option<RunTimer>> for CommandResult {
    fn from(timer: Option<RunTimer>) -> CommandResult {
        timer.map_or(CommandResult::Unknown, CommandResult::Started)
    }
}

/// Executes a command, and writes a reply if it is a poll or its result is [`CommandResult::Unknown`].
pub(crate) fn execute(machine: &mut Machine, command: &Value) -> CommandResult {
    let Some(operation) = command["op"].as_str() else { return CommandResult::Invalid };
    let id = command["id"].as_str().unwrap_or("");
    let result = match operation {
        "poll" => poll(machine, command),
        "spawn" => spawn(machine, command, id),
        "suspend" if machine.suspend(id) => CommandResult::Executed,
        "suspend" => CommandResult::Unknown,
        "proceed" => machine.resume(id).into(),
        "supply" => supply(machine, command, id),
        "pass" => machine.end_call(id, CallEnd::Skipped(command["seq"].as_u64())).into(),
        _ => CommandResult::Invalid,
    };
    if matches!(result, CommandResult::Unknown) {
        let unknown = json!({"op": "unknown", "end": operation, "id": id});
        machine.notices.write(format!("{unknown}\n"));
    }
    result
}

fn poll(machine: &mut Machine, command: &Value) -> CommandResult {
    let polled = json!({"op": "polled", "tag": command["tag"], "values": machine.gauges()});
    machine.notices.write(format!("{polled}\n"));
    CommandResult::Executed
}

/// Delivers the reply to the call that a run waits for.
fn supply(machine: &mut Machine, command: &Value, id: &str) -> CommandResult {
    let reply = command["body"].as_str().and_then(|body| BASE64.decode(body).ok());
    let Some(reply) = reply else { return CommandResult::Unknown };
    machine.end_call(id, CallEnd::Replied(reply)).into()
}

/// Returns whether a command is a reply that arrived while its run works towards its next call.
pub(crate) fn is_early_reply(machine: &Machine, command: &Value) -> bool {
    command["op"] == "supply" && command["id"].as_str().is_some_and(|id| machine.is_before_call(id))
}

fn spawn(machine: &mut Machine, command: &Value, id: &str) -> CommandResult {
    if machine.has_run(id) || machine.notify_if_ended(id) {
        return CommandResult::Executed;
    }
    let body = command["body"].as_str().and_then(|body| BASE64.decode(body).ok());
    let Some(body) = body else { return CommandResult::Unknown };
    machine.spawn(id, &command["class"], body).into()
}
