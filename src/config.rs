//! The platform's configuration: the server's configuration file, and the settings that it and the simulator's first
//! message state under the same keys.
//!
//! A value that is present but can't be read is a [`ConfigError`] that names its key; no value is guessed. Unknown keys
//! are ignored. No other module reads the platform's keys.

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
