//! Clients: an open-loop load on real connections. What is to be sent, and when, is drawn ahead and waits for no answer;
//! latency counts from the time at which a request should have been sent. Each attempt is counted once, by what became
//! of it as the client saw it: this is the truth that a server's own counts are compared with.

mod attempts;
mod connection;
mod connection_pool;
mod fake_clients;
mod load;
mod messages;
mod tally;

pub use fake_clients::{FakeClients, Progress};
pub use load::{ClientBehavior, Load};
pub use tally::{AttemptOutcome, OutcomeCounts, Tally};
