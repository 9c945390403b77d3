//! Supervision of tasks: panics are caught and reported, and the end of a long-running task is a [`TaskFailure`].

use async_channel::Sender;
use futures_lite::FutureExt;
use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

/// A panic that was caught.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Panic {
    /// The message of the panic, or a placeholder if it is not text.
    pub message: String,
}

impl Panic {
    /// Returns the panic with this payload.
    pub fn from_payload(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Panic { message: message.unwrap_or_else(|| "no message".to_owned()) }
    }
}

/// The end of a task that should last as long as the process.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskFailure {
    /// The task panicked.
    #[error("task failed: {task} panicked: {panic}")]
    Panicked {
        /// The name of the task.
        task: &'static str,
        /// Its panic.
        panic: Panic,
    },
    /// The task returned.
    #[error("task failed: {task} ended unexpectedly")]
    Ended {
        /// The name of the task.
        task: &'static str,
    },
}

impl TaskFailure {
    /// Returns the failure of a task that ended in this way.
    pub fn new(task: &'static str, end: Result<(), Panic>) -> Self {
        match end {
            Ok(()) => TaskFailure::Ended { task },
            Err(panic) => TaskFailure::Panicked { task, panic },
        }
    }
}

/// Runs a future to its end. After a panic what it owned is dropped, so that nobody sees it half changed.
///
/// # Errors
/// The panic, if the future panics.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, Panic> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|payload| Panic::from_payload(&*payload))
}

/// Runs a task that should last as long as the process, and reports its end.
pub async fn supervise(task: &'static str, work: impl Future<Output = ()>, failures: Sender<TaskFailure>) {
    let end = catch_panic(work).await;
    // Without a receiver the process is at its end.
    let _ = failures.send(TaskFailure::new(task, end)).await;
}

/// Runs the work of a thread, which returns whether its end is expected; a panic or an unexpected end is reported.
pub fn supervise_thread(task: &'static str, work: impl FnOnce() -> bool, failures: &Sender<TaskFailure>) {
    let end = match std::panic::catch_unwind(AssertUnwindSafe(work)) {
        Ok(true) => return,
        Ok(false) => Ok(()),
        Err(payload) => Err(Panic::from_payload(&*payload)),
    };
    // Without a receiver the process is at its end.
    let _ = failures.send_blocking(TaskFailure::new(task, end));
}
