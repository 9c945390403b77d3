//! Support shared by the tests of the event loop's order.

pub mod flood;
pub mod held_site;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Environment variable that slows the server at named points.
pub const SLOW_AT: &str = "DUNLINSPREAD_SLOW_AT";
/// Environment variable that makes the server stop itself at a named point.
pub const STOP_AT: &str = "DUNLINSPREAD_STOP_AT";
/// Costs of each client message and of each dispatcher message. With them, the 24 connections of a flood take
/// 384 ms if 32 messages of each are read in turn.
pub const COSTS: &str = "message:500us,decision:200us";

/// Waits for the lock that a test holds while its server is busy: the tests of a program run one after the
/// other, as each needs a core.
pub fn wait_for_core() -> MutexGuard<'static, ()> {
    static CORE: Mutex<()> = Mutex::new(());
    CORE.lock().unwrap_or_else(PoisonError::into_inner)
}
