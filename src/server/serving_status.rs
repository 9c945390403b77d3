//! Whether the process serves, as operators see and set it.
//!
//! The flags are shared by the serving thread and the control endpoint's, each of which may read them at any time.

use super::telemetry::{Telemetry, TelemetrySnapshot};
use async_channel::Sender;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The state of the process that operators ask for and change.
#[derive(Debug)]
pub struct ServingStatus {
    telemetry: Telemetry,
    ready: AtomicBool,
    evacuated: AtomicBool,
    handed_over: AtomicBool,
    /// Receives a message after each change of the evacuation; one that waits stands for all later ones.
    changed: Sender<()>,
}

impl ServingStatus {
    /// Returns the state of a process that is not ready. `changed` gets a message after each evacuation and its end.
    pub fn new(class_names: &[String], changed: Sender<()>) -> Arc<ServingStatus> {
        Arc::new(ServingStatus {
            telemetry: Telemetry::new(class_names),
            ready: AtomicBool::new(false),
            evacuated: AtomicBool::new(false),
            handed_over: AtomicBool::new(false),
            changed,
        })
    }

    /// Returns the figures of the process.
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Returns the figures as operators read them.
    pub fn figures(&self) -> TelemetrySnapshot {
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

    /// Returns whether another process has taken over.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.load(Ordering::Acquire)
    }

    /// Sets whether another process has taken over.
    pub fn set_handed_over(&self, handed_over: bool) {
        self.handed_over.store(handed_over, Ordering::Release);
    }

    /// Returns whether clients are to be sent elsewhere.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Acquire)
    }

    /// Sends clients elsewhere, or takes them again. Setting what is set has no effect.
    pub fn set_evacuated(&self, evacuated: bool) {
        if self.evacuated.swap(evacuated, Ordering::AcqRel) != evacuated {
            // A message that waits already has the flag read after this change.
            let _ = self.changed.try_send(());
        }
    }
}
