//! The platform's configuration: the server's configuration file, and the settings that this file and the
//! simulator's first message contain under the same keys.
//!
//! A value that can't be parsed is a [`ConfigError`] that names its key; it is not replaced by a default.
//! Unknown keys are ignored. No other module reads the platform's keys.

mod error;
mod gauges;
mod keys;
mod limits;
mod server;
mod settings;
mod stated;

pub use error::ConfigError;
pub use gauges::set_gauge;
pub use limits::ResourceLimits;
pub use server::{Config, ConfigFallbacks};
pub use stated::StatedSettings;
