//! The fake clients: an open-loop load on real connections. Requests and their due times are drawn in advance
//! and do not depend on earlier answers; latency is measured from the due time of a request. Each attempt is
//! counted once, by its outcome as the client saw it; a server's own counts are checked against these.

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
