//! The serving status of the process that operators query and change.
//!
//! The serving thread and the control endpoint's thread share the flags and may read them at any time.

use super::telemetry::{Telemetry, TelemetrySnapshot};
use async_channel::Sender;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The serving status of the process, with its telemetry.
#[derive(Debug)]
pub struct ServingStatus {
    telemetry: Telemetry,
    ready: AtomicBool,
    evacuated: AtomicBool,
    handed_over: AtomicBool,
    /// Notifies of changes of `evacuated`. A waiting message also covers later changes.
    evacuation_changed: Sender<()>,
}

impl ServingStatus {
    /// Returns the status of a process that is not ready. A message is sent to `evacuation_changed` after
    /// each start and end of an evacuation, unless one is waiting.
    pub fn new(class_names: &[String], evacuation_changed: Sender<()>) -> Arc<ServingStatus> {
        Arc::new(ServingStatus {
            telemetry: Telemetry::new(class_names),
            ready: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            handed_over: AtomicBool::new(false),
            evacuation_changed,
        })
    }

    /// Returns the counters of the process.
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Returns a snapshot of the counters.
    pub fn telemetry_snapshot(&self) -> TelemetrySnapshot {
        self.telemetry.snapshot()
    }

    /// Returns whether the process is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets whether the process is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns whether another process has taken over serving.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.load(Ordering::Acquire)
    }

    /// Sets whether another process has taken over serving.
    pub fn set_handed_over(&self, handed_over: bool) {
        self.handed_over.store(handed_over, Ordering::Release);
    }

    /// Returns whether the server is evacuated: clients are directed to other servers.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Acquire)
    }

    /// Starts or ends the evacuation. Has no effect if the flag already has this value.
    pub fn set_evacuated(&self, evacuated: bool) {
        if self.evacuated.swap(evacuated, Ordering::AcqRel) != evacuated {
            // If a message is waiting already, its receiver reads the flag after this change.
            let _ = self.evacuation_changed.try_send(());
        }
    }
}
