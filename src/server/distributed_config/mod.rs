//! Distributed settings of a server: tenant quotas, routes and class limits that come from the fleet's publisher and are
//! in force beside the platform's file.
//!
//! [`EffectiveSettings`] holds what is in force as positions of tenants and classes by name, without I/O.
//! [`ChangeValidator`] rejects changes that this server can't apply. [`DistributedSettings`] is the serving thread's
//! side: it swaps the state in one step between two requests, so that no request sees half a change.

mod change_validator;
mod distributed_settings;
mod effective_settings;
mod error;

pub use change_validator::{Capacity, ChangeValidator};
pub use distributed_settings::{AppliedCounts, DistributedSettings, LookupGuard};
pub use effective_settings::{EffectiveSettings, PlatformSettings};
pub use error::{ApplyError, ChangeError};
