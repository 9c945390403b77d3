//! Messages to the listener.

/// A message to the listener.
#[derive(Debug)]
pub enum ListenerMessage {
    /// Close connections that are idle for this long, ms.
    SetIdleTimeout(f64),
    /// The connection with this number ended.
    ConnectionClosed(u64),
    /// Accept connections from now on.
    StartAccepting,
    /// Another process accepts from the same queue: accept no further connection, and notify the clients of the open
    /// ones to send nothing new.
    HandOver,
    /// Graceful shutdown: accept no new connections and notify the open ones.
    Shutdown,
    /// The process ends: close the open connections. All requests are answered, and responses that wait are still written.
    Finish,
}
