//! Messages to the task that reports health to the registry.

use std::net::SocketAddr;

/// A message to the task that reports health to the registry.
#[derive(Debug)]
pub enum RegistryMessage {
    /// Report from now on whether the server is healthy.
    SetHealth(bool),
    /// Start or stop reporting.
    SetActive(bool),
    /// The address of the registry changed.
    SetAddress(SocketAddr),
}
