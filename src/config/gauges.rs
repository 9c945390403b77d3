//! Mapping of the platform's gauge names to gauges.

use super::keys;
use crate::admission::Gauges;

/// Sets the gauge that has this name on the platform. Unknown names are ignored.
pub fn set_gauge(gauges: &mut Gauges, name: &str, value: f64) {
    match name {
        keys::GAUGE_BUSY => gauges.busy = Some(value),
        keys::GAUGE_RUN_QUEUE => gauges.run_queue = Some(value),
        keys::GAUGE_MEMORY => gauges.memory = Some(value),
        keys::GAUGE_CONNECTIONS => gauges.connections = Some(value),
        _ => {}
    }
}
