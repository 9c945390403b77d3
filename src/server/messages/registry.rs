//! Messages to the reporter of health to the registry.

use std::net::SocketAddr;

/// A message to the registry reporter.
#[derive(Debug)]
pub enum RegistryMessage {
    /// Whether the server is healthy.
    SetHealth(bool),
    /// Whether reports are made at all.
    SetActive(bool),
    /// The address of the registry changed.
    SetAddress(SocketAddr),
}
