//! Hosts the simulator's instances and answers its batches.

use super::error::{MessageError, ProtocolError};
use super::format::write_action;
use super::parse::Message;
use super::request_ids::RequestIds;
use super::words::{action, field, message};
use crate::admission::{Action, AdmissionController, Event};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Serves the protocol until the input ends.
///
/// # Errors
/// On a message that the protocol does not allow, and when reading or writing fails.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ProtocolError> {
    let mut host = Host::default();
    let mut text = String::new();
    for line in 1.. {
        text.clear();
        if input.read_line(&mut text)? == 0 {
            return host.end(line);
        }
        let message = Message::new(text.trim_end_matches(['\n', '\r']), line);
        if host.handle(&message)? == Progress::BatchEnded {
            output.write_all(&host.reply)?;
            output.flush()?;
            host.reply.clear();
        }
    }
    Ok(())
}

/// Whether a message ended its batch.
#[derive(PartialEq)]
enum Progress {
    /// The batch goes on.
    Going,
    /// The batch ended and the reply is complete.
    BatchEnded,
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
    fn end(&self, line: u64) -> Result<(), ProtocolError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(ProtocolError::UnexpectedEnd { line }),
        }
    }

    fn handle(&mut self, message: &Message<'_>) -> Result<Progress, ProtocolError> {
        match (message.name, self.now) {
            ("", None) => {}
            (message::CLOCK, None) => self.now = Some(message.required(field::TIME_MS)?),
            (message::FLUSH, Some(_)) => {
                self.now = None;
                writeln!(self.reply, "{}", action::END)?;
                return Ok(Progress::BatchEnded);
            }
            (_, None) => return Err(message.error(MessageError::OutsideBatch)),
            (message::CLOCK, Some(_)) => return Err(message.error(MessageError::InsideBatch)),
            (_, Some(now)) => self.handle_instance(now, message)?,
        }
        Ok(Progress::Going)
    }

    /// Handles a message to one instance.
    fn handle_instance(&mut self, now: f64, message: &Message<'_>) -> Result<(), ProtocolError> {
        let number: u64 = message.required(field::INSTANCE)?;
        let unknown = || message.error(MessageError::UnknownInstance(number));
        match message.name {
            message::START => {
                let controller = AdmissionController::new(now, message.settings()?);
                let instance = Instance { controller, ids: RequestIds::default() };
                self.instances.insert(number, instance);
                self.dispatch(now, number, Event::Start)
            }
            message::STOPPED => self.instances.remove(&number).map(drop).ok_or_else(unknown),
            _ => {
                let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
                let event = message.event(&mut instance.ids)?;
                self.dispatch(now, number, event)
            }
        }
    }

    /// Tells an instance an event and adds the messages of its actions to the reply.
    fn dispatch(&mut self, now: f64, number: u64, event: Event) -> Result<(), ProtocolError> {
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        instance.controller.on_event(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, number, &instance.ids, &action)?;
        }
        Ok(())
    }
}
