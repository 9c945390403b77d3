//! Supervision of tasks: panics are caught and reported, and the end of a long-running task is reported as a
//! [`TaskFailure`].

use async_channel::Sender;
use futures_lite::FutureExt;
use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

/// A caught panic.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Panic {
    /// Message of the panic, or a placeholder if the payload is not text.
    pub message: String,
}

impl Panic {
    /// Returns the panic with the message of a panic payload.
    pub fn from_payload(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Panic { message: message.unwrap_or_else(|| "no message".to_owned()) }
    }
}

/// Unexpected end of a task that should run as long as the process.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskFailure {
    /// The task panicked.
    #[error("task failed: {task} panicked: {panic}")]
    Panicked {
        /// Name of the task.
        task: &'static str,
        /// Panic of the task.
        panic: Panic,
    },
    /// The task returned without a panic.
    #[error("task failed: {task} ended unexpectedly")]
    Ended {
        /// Name of the task.
        task: &'static str,
    },
}

impl TaskFailure {
    /// Returns the failure of a task that returned or panicked.
    pub fn new(task: &'static str, end: Result<(), Panic>) -> Self {
        match end {
            Ok(()) => TaskFailure::Ended { task },
            Err(panic) => TaskFailure::Panicked { task, panic },
        }
    }
}

/// Runs a future to completion. After a panic, the values that the future owned are dropped, so that no other
/// code sees them in an inconsistent state.
///
/// # Errors
/// Returns [`Panic`] if the future panics.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, Panic> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|payload| Panic::from_payload(&*payload))
}

/// Runs a task that should run as long as the process, and sends a [`TaskFailure`] when it ends.
pub async fn supervise(task: &'static str, work: impl Future<Output = ()>, failures: Sender<TaskFailure>) {
    let end = catch_panic(work).await;
    // Sending fails only while the process exits, when there is no receiver.
    let _ = failures.send(TaskFailure::new(task, end)).await;
}

/// Runs the work of a thread, which returns whether its end is expected. Sends a [`TaskFailure`] after a
/// panic or an unexpected end.
pub fn supervise_thread(task: &'static str, work: impl FnOnce() -> bool, failures: &Sender<TaskFailure>) {
    let end = match std::panic::catch_unwind(AssertUnwindSafe(work)) {
        Ok(true) => return,
        Ok(false) => Ok(()),
        Err(payload) => Err(Panic::from_payload(&*payload)),
    };
    // Sending fails only while the process exits, when there is no receiver.
    let _ = failures.send_blocking(TaskFailure::new(task, end));
}
