//! Messages to the listener.

/// A message to the listener.
#[derive(Debug)]
pub enum ListenerMessage {
    /// Close connections that are idle for this long, ms.
    SetIdleTimeout(f64),
    /// The connection with this number ended.
    ConnectionClosed(u64),
    /// Graceful shutdown: accept no new connections and notify the open ones.
    Shutdown {
        /// When open connections are closed, Unix ms. All requests are answered by then.
        finish_at: f64,
    },
}
