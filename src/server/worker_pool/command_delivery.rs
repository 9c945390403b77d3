//! Tracking of which commands the worker pool has carried out.
//!
//! A link keeps the order of commands, so that the answer to a reading of the gauges proves that all commands
//! before it on the same link were carried out. When a link ends, the commands that it has written since the
//! last such proof may or may not have been carried out.

use crate::server::messages::CommandNumber;
use std::collections::VecDeque;

/// Maximum number of gauge readings whose answers are awaited; the oldest is forgotten first.
const MAX_AWAITED_READINGS: usize = 64;

/// What is known about the delivery of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// The command was written to no link.
    NotWritten,
    /// The command was handed to the current link under this number.
    Sent(CommandNumber),
    /// The command was carried out.
    Delivered,
    /// The command was written to a link that ended, and may have been lost with it.
    InDoubt,
}

/// A reading of the gauges that the pool has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AwaitedReading {
    tag: u64,
    number: CommandNumber,
}

/// The deliveries of the commands of all links.
///
/// # Invariants
/// At most 64 unanswered readings are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DeliveryTracker {
    /// Number of the last command handed to a link.
    last_number: CommandNumber,
    /// Number of the last command that an answered reading proves to be carried out.
    last_delivered: CommandNumber,
    /// Number of the last command that was written to a link that has ended.
    last_written: CommandNumber,
    /// The unanswered readings of the current link, oldest first.
    awaited_readings: VecDeque<AwaitedReading>,
}

impl DeliveryTracker {
    /// Returns the number of a command that is handed to the current link.
    pub fn begin_command(&mut self) -> CommandNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the number of a reading of the gauges with this tag that is handed to the current link.
    pub fn begin_reading(&mut self, tag: u64) -> CommandNumber {
        let number = self.begin_command();
        self.awaited_readings.push_back(AwaitedReading { tag, number });
        if self.awaited_readings.len() > MAX_AWAITED_READINGS {
            self.awaited_readings.pop_front();
        }
        number
    }

    /// Records the answer to the reading with this tag: the commands before it were carried out. An answer to
    /// an unknown reading proves nothing.
    pub fn on_reading_answered(&mut self, tag: u64) {
        let Some(position) = self.awaited_readings.iter().position(|reading| reading.tag == tag) else {
            return;
        };
        if let Some(answered) = self.awaited_readings.drain(..=position).next_back() {
            self.last_delivered = answered.number;
        }
    }

    /// Records the end of the current link. `last_written` is the number of the last command of which any
    /// part may have been written to it; `None` if there is no such command. `is_drained` states that all
    /// commands up to it were carried out.
    pub fn on_link_end(&mut self, last_written: Option<CommandNumber>, is_drained: bool) {
        self.awaited_readings.clear();
        let Some(last_written) = last_written else { return };
        self.last_written = last_written;
        if is_drained {
            self.last_delivered = last_written;
        }
    }

    /// Returns what is known about a command after the end of the link to which it was handed.
    pub fn after_link_end(&self, delivery: Delivery) -> Delivery {
        match delivery {
            Delivery::Sent(number) if number <= self.last_delivered => Delivery::Delivered,
            Delivery::Sent(number) if number <= self.last_written => Delivery::InDoubt,
            Delivery::Sent(_) => Delivery::NotWritten,
            Delivery::NotWritten | Delivery::Delivered | Delivery::InDoubt => delivery,
        }
    }
}
