//! Messages to the listener.

/// A message to the listener.
#[derive(Debug)]
pub enum ListenerMessage {
    /// Close connections that are idle for this time, ms.
    SetIdleTimeout(f64),
    /// The connection with this number ended.
    ConnectionClosed(u64),
    /// Accept connections from now on.
    StartAccepting,
    /// Another process accepts connections from the same listening socket: accept no further connections, and
    /// notify the clients of the open ones to send no new requests.
    HandOver,
    /// Shut down gracefully: accept no new connections, and notify the clients of the open ones.
    Shutdown,
    /// The process ends: write the pending responses, then close the open connections. All requests have been
    /// answered.
    Finish,
}
