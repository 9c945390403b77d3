//! What the clients sent, and what became of it.

use crate::upgrade_support::load::PlannedRequest;
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;

/// What became of an attempt, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Completed with the result of the request's run.
    Served,
    /// Completed with anything else.
    WrongResult,
    /// Answered that it never ran.
    Rejected,
    /// Answered with another error.
    Failed,
    /// The client told the server that it no longer waits.
    Withdrawn,
    /// Written whole, and no response came for as long as a client waits.
    Unanswered,
    /// Not let in: no connection, or one that ended before or within the crossing time after the request was written.
    TurnedAway,
    /// Written whole, and the connection ended later without a response.
    Lost,
}

/// What a client's end of a connection looked like when an attempt on it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientEnd {
    /// Its port, by which log lines name it.
    pub port: u16,
    /// Bytes of the server that lay in the client's system and that the client had not read.
    pub unread_bytes: u64,
    /// How the connection had ended, if it had.
    pub closing: Option<Closing>,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The server shut its sending side.
    ByServer,
    /// It broke.
    Broken(ErrorKind),
    /// The client had nothing more to send.
    ByClient,
}

/// One writing of an attempt to a connection. An attempt that was turned away is written again, once.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of the attempt.
    pub call: u64,
    /// Its request.
    pub request: Arc<PlannedRequest>,
    /// When the attempt began, as the server is told, Unix ms.
    pub received_ms: u64,
    /// When its connection was opened, Unix ms; `None` if there was none.
    pub connected_ms: Option<u64>,
    /// When its last byte was written, Unix ms.
    pub written_ms: Option<u64>,
    /// When its end was known, Unix ms.
    pub ended_ms: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// The name of the error, for one that failed.
    pub error: Option<String>,
    /// The client's end of its connection at the end of the attempt, for one without a response.
    pub client_end: Option<ClientEnd>,
}

impl fmt::Display for AttemptRecord {
    /// Writes what helps to find the attempt in the logs of the processes; times are Unix ms.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptRecord { call, request, connected_ms, written_ms, ended_ms, outcome, error, .. } = self;
        let (class, key) = (request.class, request.key.as_deref().unwrap_or("none"));
        write!(f, "{outcome:?} {call:016x} {class}, key {key}, connected {connected_ms:?}, ")?;
        write!(f, "written {written_ms:?}, ended {ended_ms}, error {error:?}, {:?}", self.client_end)
    }
}

/// The answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthAnswer {
    Good,
    Bad,
    /// None within a second.
    Missing,
}

/// What all clients recorded.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// All writings of attempts, in the order of their ends.
    pub attempts: Vec<AttemptRecord>,
    /// Second responses to one request.
    pub duplicate_responses: u64,
    /// Answers to health checks with their Unix ms.
    pub health: Vec<(u64, HealthAnswer)>,
    /// Attempts written whole or in part, without an end yet.
    pub open: u64,
}

impl Records {
    /// Adds what other clients recorded.
    pub fn add(&mut self, other: Records) {
        self.attempts.extend(other.attempts);
        self.duplicate_responses += other.duplicate_responses;
        self.health.extend(other.health);
        self.open += other.open;
    }

    /// Returns how many attempts ended so.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == outcome).count()
    }

    /// Returns how many attempts of a class ended so.
    pub fn count_of_class(&self, class: &str, outcome: Outcome) -> usize {
        let of_class = self.attempts.iter().filter(|attempt| attempt.request.class == class);
        of_class.filter(|attempt| attempt.outcome == outcome).count()
    }

    /// Returns how many answers to health checks were of that kind.
    pub fn health_count(&self, answer: HealthAnswer) -> usize {
        self.health.iter().filter(|(_, each)| *each == answer).count()
    }
}
