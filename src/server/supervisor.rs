//! A task that dies is never silence. What is guarded here tells of its panic instead of passing it on; an actor that
//! ends, by a panic or by itself, is named to whoever runs the program, which then ends with a code.

use async_channel::Sender;
use futures_lite::FutureExt;
use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

/// What a panic says.
pub fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "no words".to_owned())
}

/// Runs it; its panic as text, if it panics. What it owned is dropped then, and no one else sees it half changed.
///
/// # Errors
/// With what the panic said.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, String> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|panic| panic_text(&*panic))
}

/// How the death of what was to last is told.
pub fn obituary(name: &str, how: Result<(), String>) -> String {
    match how {
        Ok(()) => format!("actor died: {name} ended by itself"),
        Err(why) => format!("actor died: {name} panicked: {why}"),
    }
}

/// Runs an actor that is to last as long as the program; its end is told by name.
pub async fn supervise(name: &'static str, work: impl Future<Output = ()>, dead: Sender<String>) {
    let how = catch_panic(work).await;
    let _ = dead.send(obituary(name, how)).await;
}
