//! The real round server around the decision module: one thread, an actor with a mailbox for each peer, for the list
//! of connections and for the module. The core alone owns what becomes of a request; the other actors carry bytes
//! and must never decide about one.

pub mod catalog;
pub mod clerk;
pub mod core;
pub mod distributed;
pub mod front;
pub mod index;
pub mod ledger;
pub mod messages;
pub mod pool;
pub mod watch;
pub mod wheel;
pub mod witness;
