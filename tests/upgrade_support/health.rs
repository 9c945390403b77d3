//! The health checks of the platform, on a separate connection.

use crate::upgrade_support::attempts::AttemptSender;
use crate::upgrade_support::connection::Connection;
use crate::upgrade_support::messages::{Response, encode_health_check};
use crate::upgrade_support::records::{HealthAnswer, Records};
use async_io::Timer;
use dunlinspread_fakes::unix_ms;
use futures_lite::future::or;
use rmpv::Value;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of one check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes health checks at a fixed interval and records the results; never returns.
pub async fn check_health(sender: Rc<AttemptSender>, records: &Mutex<Records>) {
    let mut connection: Option<Rc<Connection>> = None;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        if !connection.as_ref().is_some_and(|connection| connection.takes_requests()) {
            if let Some(before) = connection.take() {
                before.retire();
            }
            connection = sender.connect().await;
        }
        let answer = match &connection {
            Some(connection) => check(connection).await,
            None => HealthAnswer::Missing,
        };
        let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
        records.health.push((unix_ms(), answer));
    }
}

/// Makes one check.
async fn check(connection: &Connection) -> HealthAnswer {
    let (id, responded) = connection.open_request();
    connection.send_bytes(encode_health_check(id));
    let response = async { responded.recv().await.ok() };
    let timeout = async {
        Timer::after(CHECK_TIMEOUT).await;
        None
    };
    match or(response, timeout).await {
        Some(Response::Completed(Value::Boolean(true))) => HealthAnswer::Good,
        Some(_) => HealthAnswer::Bad,
        None => {
            connection.abandon(id);
            HealthAnswer::Missing
        }
    }
}
