//! What the tests of the event loop's order share.

pub mod flood;
pub mod held_site;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The variable that makes the server slow at named points.
pub const SLOW_AT: &str = "DUNLINSPREAD_SLOW_AT";
/// The variable that makes the server stop itself at a named point.
pub const STOP_AT: &str = "DUNLINSPREAD_STOP_AT";
/// What each message of a client costs the server, and each message of its dispatcher: the 24 connections of a flood then
/// take 384 ms if each has a turn of 32 messages.
pub const COSTS: &str = "message:500us,decision:200us";

/// Returns the right to keep a server busy: the tests of a program take turns, as each needs a core.
pub fn wait_for_core() -> MutexGuard<'static, ()> {
    static CORE: Mutex<()> = Mutex::new(());
    CORE.lock().unwrap_or_else(PoisonError::into_inner)
}
