//! Messages to the reporter of health to the registry.

use std::net::SocketAddr;

/// What the actor is told.
#[derive(Debug)]
pub enum RegistryMessage {
    /// Health as the module set it.
    SetHealth(bool),
    /// The catalog listens elsewhere from now on.
    SetAddress(SocketAddr),
}
