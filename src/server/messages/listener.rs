//! Messages to the listener.

/// What the list is told.
#[derive(Debug)]
pub enum ListenerMessage {
    /// Close connections idle for this long.
    SetIdleTimeout(f64),
    /// A connection ended.
    ConnectionClosed(u64),
    /// The program leaves: no new connections, and the open ones are told.
    Shutdown {
        /// When they end, whatever their callers do, Unix ms. All is answered by then.
        finish_at: f64,
    },
}
