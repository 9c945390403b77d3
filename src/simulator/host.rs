//! The host of the simulator's instances, which processes batches of messages and writes the replies.

use super::error::{MessageError, ProtocolError};
use super::format::write_action;
use super::parse::Message;
use super::request_ids::RequestIds;
use super::words::{action, field, message};
use crate::admission::{Action, AdmissionController, Event};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Serves the simulator's protocol until the input ends.
///
/// # Errors
/// Returns [`ProtocolError::Message`] for a message that the protocol does not allow,
/// [`ProtocolError::UnexpectedEnd`] if the input ends inside a batch, and [`ProtocolError::Io`] if reading or
/// writing fails.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ProtocolError> {
    let mut host = Host::default();
    let mut text = String::new();
    for line in 1.. {
        text.clear();
        if input.read_line(&mut text)? == 0 {
            return host.finish(line);
        }
        let message = Message::new(text.trim_end_matches(['\n', '\r']), line);
        if host.handle(&message)? == BatchState::Ended {
            output.write_all(&host.reply)?;
            output.flush()?;
            host.reply.clear();
        }
    }
    Ok(())
}

/// The state of the batch after a message.
#[derive(PartialEq)]
enum BatchState {
    /// The batch continues.
    InProgress,
    /// The batch ended and the reply is complete.
    Ended,
}

/// One hosted instance.
struct Instance {
    controller: AdmissionController,
    ids: RequestIds,
}

/// The hosted instances and the batch in progress.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    /// Time of the batch in progress, ms.
    now: Option<f64>,
    reply: Vec<u8>,
    actions: Vec<Action>,
}

impl Host {
    fn finish(&self, line: u64) -> Result<(), ProtocolError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(ProtocolError::UnexpectedEnd { line }),
        }
    }

    fn handle(&mut self, message: &Message<'_>) -> Result<BatchState, ProtocolError> {
        match (message.name, self.now) {
            ("", None) => {}
            (message::CLOCK, None) => self.now = Some(message.required(field::TIME_MS)?),
            (message::FLUSH, Some(_)) => {
                self.now = None;
                writeln!(self.reply, "{}", action::END)?;
                return Ok(BatchState::Ended);
            }
            (_, None) => return Err(message.error(MessageError::OutsideBatch)),
            (message::CLOCK, Some(_)) => return Err(message.error(MessageError::InsideBatch)),
            (_, Some(now)) => self.handle_instance(now, message)?,
        }
        Ok(BatchState::InProgress)
    }

    /// Handles a message for one instance.
    fn handle_instance(&mut self, now: f64, message: &Message<'_>) -> Result<(), ProtocolError> {
        let instance_id: u64 = message.required(field::INSTANCE)?;
        let unknown = || message.error(MessageError::UnknownInstance(instance_id));
        match message.name {
            message::START => {
                let controller = AdmissionController::new(now, message.settings()?);
                let instance = Instance { controller, ids: RequestIds::default() };
                self.instances.insert(instance_id, instance);
                self.dispatch(now, instance_id, Event::Start)
            }
            message::STOPPED => self.instances.remove(&instance_id).map(drop).ok_or_else(unknown),
            _ => {
                let instance = self.instances.get_mut(&instance_id).ok_or_else(unknown)?;
                let event = message.event(&mut instance.ids)?;
                self.dispatch(now, instance_id, event)
            }
        }
    }

    /// Passes an event to an instance and appends the messages of the resulting actions to the reply.
    fn dispatch(&mut self, now: f64, instance_id: u64, event: Event) -> Result<(), ProtocolError> {
        let Some(instance) = self.instances.get_mut(&instance_id) else { return Ok(()) };
        instance.controller.on_event(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, instance_id, &instance.ids, &action)?;
        }
        Ok(())
    }
}
