//! The clients' records of their attempts and of the outcomes.

use crate::upgrade_support::load::PlannedRequest;
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;

/// The outcome of an attempt, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The attempt completed with the result of the request's run.
    Served,
    /// The attempt completed with another result.
    WrongResult,
    /// The server answered that the request never ran.
    Rejected,
    /// The server answered with another error.
    Failed,
    /// The client withdrew the request.
    Withdrawn,
    /// The request was written completely, and no response came within the client timeout.
    Unanswered,
    /// The server did not accept the attempt: there was no connection, or it ended before the request was
    /// written or within the crossing time after that.
    NotAccepted,
    /// The request was written completely, and the connection ended later without a response.
    Lost,
}

/// The state of a connection at the client when an attempt on it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientEnd {
    /// The client's port, by which log lines name the connection.
    pub port: u16,
    /// Number of bytes from the server in the client's receive buffer that the client had not read.
    pub unread_bytes: u64,
    /// How the connection ended; `None` if it was still open.
    pub closing: Option<Closing>,
}

/// The way in which a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The server shut down its sending side.
    ByServer,
    /// Reading or writing failed with an error of this kind.
    Broken(ErrorKind),
    /// The client had nothing more to send.
    ByClient,
}

/// The record of one sending of an attempt. An attempt that was not accepted is sent again once.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The id of the attempt.
    pub call: u64,
    /// The request of the attempt.
    pub request: Arc<PlannedRequest>,
    /// Start of the attempt, as stated to the server, Unix ms.
    pub received_ms: u64,
    /// Time at which the connection was opened, Unix ms; `None` if there was none.
    pub connected_ms: Option<u64>,
    /// Time at which the last byte was written, Unix ms.
    pub written_ms: Option<u64>,
    /// Time at which the client observed the end, Unix ms.
    pub ended_ms: u64,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The name of the error if the attempt failed.
    pub error: Option<String>,
    /// The state of the connection at the client, for an attempt without a response.
    pub client_end: Option<ClientEnd>,
}

impl fmt::Display for AttemptRecord {
    /// Writes the details that help to find the attempt in the logs of the processes; times are Unix ms.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptRecord { call, request, connected_ms, written_ms, ended_ms, outcome, error, .. } = self;
        let (class, key) = (request.class, request.key.as_deref().unwrap_or("none"));
        write!(f, "{outcome:?} {call:016x} {class}, key {key}, connected {connected_ms:?}, ")?;
        write!(f, "written {written_ms:?}, ended {ended_ms}, error {error:?}, {:?}", self.client_end)
    }
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthAnswer {
    Good,
    Bad,
    /// No answer arrived within a second.
    Missing,
}

/// The records of all clients.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Records of all sent attempts, in the order of their ends.
    pub attempts: Vec<AttemptRecord>,
    /// Number of second responses to a request.
    pub duplicate_responses: u64,
    /// Results of health checks, each with its time in Unix ms.
    pub health: Vec<(u64, HealthAnswer)>,
    /// Number of attempts that were written completely or in part and have not ended.
    pub open: u64,
}

impl Records {
    /// Adds the records of other clients.
    pub fn add(&mut self, other: Records) {
        self.attempts.extend(other.attempts);
        self.duplicate_responses += other.duplicate_responses;
        self.health.extend(other.health);
        self.open += other.open;
    }

    /// Returns the number of attempts with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome == outcome).count()
    }

    /// Returns the number of attempts of a class with this outcome.
    pub fn count_of_class(&self, class: &str, outcome: Outcome) -> usize {
        let of_class = self.attempts.iter().filter(|attempt| attempt.request.class == class);
        of_class.filter(|attempt| attempt.outcome == outcome).count()
    }

    /// Returns the number of health checks with this result.
    pub fn health_count(&self, answer: HealthAnswer) -> usize {
        self.health.iter().filter(|(_, each)| *each == answer).count()
    }
}
