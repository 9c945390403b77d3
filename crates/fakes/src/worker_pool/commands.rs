//! The commands that a server gives a worker pool.

use crate::worker_pool::machine::{CallEnd, Machine, RunTimer};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

/// What became of a command.
pub(crate) enum CommandResult {
    /// It is carried out.
    Done,
    /// It has set a run going.
    Started(RunTimer),
    /// It names no run or class that it can be carried out on.
    Unknown,
    /// It is no command.
    Invalid,
}

impl From<Option<RunTimer>> for CommandResult {
    fn from(timer: Option<RunTimer>) -> CommandResult {
        timer.map_or(CommandResult::Unknown, CommandResult::Started)
    }
}

/// Carries out a command, and answers it where it is a poll or unknown.
pub(crate) fn execute(machine: &mut Machine, command: &Value) -> CommandResult {
    let Some(operation) = command["op"].as_str() else { return CommandResult::Invalid };
    let id = command["id"].as_str().unwrap_or("");
    let result = match operation {
        "poll" => poll(machine, command),
        "spawn" => spawn(machine, command, id),
        "suspend" if machine.suspend(id) => CommandResult::Done,
        "suspend" => CommandResult::Unknown,
        "proceed" => machine.resume(id).into(),
        "supply" => machine.end_call(id, CallEnd::Supplied).into(),
        "pass" => machine.end_call(id, CallEnd::Passed(command["seq"].as_u64())).into(),
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
    CommandResult::Done
}

fn spawn(machine: &mut Machine, command: &Value, id: &str) -> CommandResult {
    if machine.has_run(id) || machine.is_gone(id) {
        return CommandResult::Done;
    }
    let body = command["body"].as_str().and_then(|body| BASE64.decode(body).ok());
    let Some(body) = body else { return CommandResult::Unknown };
    machine.spawn(id, &command["class"], body).into()
}
