//! Parsing of the simulator's messages.

use super::error::{MessageError, ProtocolError};
use super::request_ids::RequestIds;
use super::words::{field, message, outcome};
use crate::admission::{Arrival, Event, Gauges, Outcome, Settings};
use crate::config::{StatedSettings, set_gauge};
use std::str::FromStr;

/// Value of the field [`field::DUPLICATE_OF`] of a request that duplicates none.
const NO_REQUEST: &str = "0";

/// A message: a line with a name and fields.
#[derive(Clone, Copy)]
pub(super) struct Message<'a> {
    /// Name of the message; empty for an empty line.
    pub(super) name: &'a str,
    fields: &'a str,
    line: u64,
}

impl<'a> Message<'a> {
    /// Splits a line, without its line ending, into name and fields.
    pub(super) fn new(text: &'a str, line: u64) -> Self {
        let (name, fields) = text.split_once(' ').unwrap_or((text, ""));
        Message { name, fields, line }
    }

    /// Returns `error` with the line and the name of the message.
    pub(super) fn error(&self, error: MessageError) -> ProtocolError {
        ProtocolError::Message { line: self.line, message: self.name.to_owned(), error }
    }

    /// Parses the value of a required field.
    pub(super) fn required<T: FromStr>(&self, field: &'static str) -> Result<T, ProtocolError> {
        self.parse(field, self.required_text(field)?)
    }

    /// Parses the settings of an instance that starts.
    pub(super) fn settings(&self) -> Result<Settings, ProtocolError> {
        let pairs: StatedSettings = self.pairs().collect();
        let seed = self.required(field::SEED)?;
        pairs.settings(seed).map_err(|error| {
            self.error(MessageError::InvalidSetting { key: error.key, problem: error.reason })
        })
    }

    /// Returns the event that the message represents for a running instance.
    pub(super) fn event(&self, ids: &mut RequestIds) -> Result<Event, ProtocolError> {
        Ok(match self.name {
            message::ARRIVAL => Event::Arrival(self.arrival(ids)?),
            message::UPSTREAM_CALL_NEEDED => {
                Event::UpstreamCallNeeded(ids.id(self.required_text(field::REQUEST)?))
            }
            message::UPSTREAM_CALL_ENDED => Event::UpstreamCallEnded {
                id: ids.id(self.required_text(field::REQUEST)?),
                outcome: self.outcome()?,
                took_ms: self.optional(field::TOOK_MS)?.unwrap_or(0.0),
            },
            message::RUN_ENDED => Event::RunEnded {
                id: ids.id(self.required_text(field::REQUEST)?),
                outcome: self.outcome()?,
                took_ms: self.optional(field::TOOK_MS)?.unwrap_or(0.0),
            },
            message::CLIENT_GONE => Event::ClientGone(ids.id(self.required_text(field::REQUEST)?)),
            message::DRAIN => Event::Drain { stop_at: self.required(field::DEADLINE_MS)? },
            message::TIMER => Event::Timer { token: self.required(field::TOKEN)?, gauges: self.gauges()? },
            _ => return Err(self.error(MessageError::Unknown)),
        })
    }

    fn arrival(&self, ids: &mut RequestIds) -> Result<Arrival, ProtocolError> {
        let original = self.text(field::DUPLICATE_OF).filter(|name| *name != NO_REQUEST);
        // The original is looked up first, so that its id is the lower one if both requests are new.
        let duplicate_of = original.map(|name| ids.id(name));
        Ok(Arrival {
            id: ids.id(self.required_text(field::REQUEST)?),
            class: self.required(field::CLASS)?,
            tenant: self.optional(field::TENANT)?.unwrap_or(0),
            shareable: self.text(field::SUBJECT).is_some(),
            deadline: self.optional(field::DEADLINE_MS)?.filter(|deadline| *deadline != 0.0),
            cost_ms: self.optional(field::COST_MS)?,
            request_kb: self.optional(field::REQUEST_KB)?.unwrap_or(0.0),
            priority: self.optional(field::PRIORITY)?.unwrap_or(0.0),
            is_retry: self.flag(field::IS_RETRY)?,
            age_ms: self.optional(field::AGE_MS)?.unwrap_or(0.0),
            duplicate_of,
        })
    }

    fn gauges(&self) -> Result<Gauges, ProtocolError> {
        let mut gauges = Gauges::default();
        for pair in self.text(field::GAUGES).unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(self.error(MessageError::InvalidGauge(pair.to_owned())));
            };
            set_gauge(&mut gauges, name, self.parse(field::GAUGES, value)?);
        }
        Ok(gauges)
    }

    fn outcome(&self) -> Result<Outcome, ProtocolError> {
        Ok(match self.required_text(field::OUTCOME)? {
            outcome::OK => Outcome::Ok,
            outcome::ERROR => Outcome::Error,
            outcome::REJECTED => Outcome::Rejected,
            outcome::TIMED_OUT => Outcome::TimedOut,
            outcome::UNREACHABLE => Outcome::Unreachable,
            outcome::CONNECTION_LOST => Outcome::ConnectionLost,
            outcome::CANCELLED => Outcome::Cancelled,
            outcome::NOT_STARTED => Outcome::NotStarted,
            other => return Err(self.invalid_value(field::OUTCOME, other)),
        })
    }

    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        self.fields.split(' ').filter_map(|pair| pair.split_once('='))
    }

    fn text(&self, field: &str) -> Option<&'a str> {
        self.pairs().find(|(key, _)| *key == field).map(|(_, value)| value)
    }

    fn required_text(&self, field: &'static str) -> Result<&'a str, ProtocolError> {
        self.text(field).ok_or_else(|| self.error(MessageError::MissingField(field)))
    }

    fn optional<T: FromStr>(&self, field: &'static str) -> Result<Option<T>, ProtocolError> {
        self.text(field).map(|value| self.parse(field, value)).transpose()
    }

    fn flag(&self, field: &'static str) -> Result<bool, ProtocolError> {
        match self.text(field) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(self.invalid_value(field, value)),
        }
    }

    fn parse<T: FromStr>(&self, field: &'static str, value: &str) -> Result<T, ProtocolError> {
        value.parse().map_err(|_| self.invalid_value(field, value))
    }

    fn invalid_value(&self, field: &'static str, value: &str) -> ProtocolError {
        self.error(MessageError::InvalidValue { field, value: value.to_owned() })
    }
}
