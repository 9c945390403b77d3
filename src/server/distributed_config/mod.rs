//! Distributed settings of a server: tenant quotas, routes and class limits that the fleet's publisher
//! distributes and that apply in addition to the platform's configuration file.
//!
//! [`EffectiveSettings`] maps the names in force to positions of tenants and classes, without I/O.
//! [`ChangeValidator`] rejects changes that this server can't apply. [`DistributedSettings`] holds the
//! settings on the serving thread: it swaps them in one step between two requests, so that no request
//! observes a partial change.

mod change_validator;
mod distributed_settings;
mod effective_settings;
mod error;

pub use change_validator::{Capacity, ChangeValidator};
pub use distributed_settings::{AppliedCounts, DistributedSettings, LookupGuard};
pub use effective_settings::{EffectiveSettings, PlatformSettings};
pub use error::{ApplyError, ChangeError};
