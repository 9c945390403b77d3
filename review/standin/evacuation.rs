//! Case: an operator sends client proxies away while a new process has been started and waits for its worker
//! pool.

use crate::clients::check_health;
use crate::http::{operator_call, start_catalog, Index, IndexTimes};
use crate::load::wait_healthy;
use crate::pool::Pool;
use crate::record::{unix_ms, Record};
use crate::server::{free_address, Addresses, Places, Server};
use crate::Verdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// From so long after the call on, a good answer to a health check breaks the rule on draining.
const GOOD_ALLOWED_MS: f64 = 4000.0;

pub fn run(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Verdict {
    match play(places, record, with_trouble) {
        Ok(()) => Verdict::Ran,
        Err(reason) => Verdict::CouldNotRun(reason),
    }
}

fn play(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Result<(), String> {
    let times = IndexTimes { delay: Duration::from_millis(5), copy_gap: Duration::ZERO };
    let (index, catalog) = (Index::start(record.clone(), times), start_catalog(record.clone()));
    let (old_pool, new_pool) = (Pool::start(record.clone(), true), Pool::start(record.clone(), false));
    let (listen, old_control, new_control) = (free_address(), free_address(), free_address());
    let addresses = |control: SocketAddr, pool: &Pool| Addresses {
        listen,
        control: Some(control),
        pool: pool.address,
        directory: catalog,
        index: index.address,
        operator: None,
    };
    let mut old = Server::start(places, "old", &addresses(old_control, &old_pool));
    wait_healthy(&mut old, listen)?;
    wait_ready(&mut old, old_control)?;
    // The upgrade: the new process is started beside the old one. Its worker pool comes up 3 s later.
    let mut new = with_trouble.then(|| {
        record.line("operator starts the new process");
        Server::start(places, "new", &addresses(new_control, &new_pool))
    });
    watch(record, listen, Duration::from_secs(2), None)?;
    let answer = operator_call(old_control, "PUT", "/api/evacuate");
    let called_at = unix_ms();
    record.line(&format!("operator PUT /api/evacuate to the process that serves: {answer:?}"));
    if !answer.is_some_and(|(status, _)| status == 200) {
        return Err("the call was not answered with 200".to_owned());
    }
    watch(record, listen, Duration::from_secs(1), Some(called_at))?;
    new_pool.come_up();
    record.line("the new worker pool is up");
    if let Some(new) = &mut new {
        wait_ready(new, new_control)?;
        record.line("the new process says yes, SIGTERM to the old one");
        old.signal("TERM");
    }
    watch(record, listen, Duration::from_secs(8), Some(called_at))
}

/// Checks health each 0.1 s for `length`. A good answer later than 4 s after the call breaks the rule.
fn watch(
    record: &Record,
    listen: SocketAddr,
    length: Duration,
    called_at: Option<f64>,
) -> Result<(), String> {
    let until = Instant::now() + length;
    let mut answers = 0;
    while Instant::now() < until {
        let health = check_health(listen);
        let since_ms = called_at.map(|at| unix_ms() - at);
        record.line(&format!("health check {health:?}, {since_ms:.0?} ms after the call"));
        answers += u32::from(health.is_some());
        if let (Some(true), Some(ms)) = (health, since_ms.filter(|ms| *ms > GOOD_ALLOWED_MS + 50.0)) {
            record.violation(&format!("drain: a good answer {ms:.0} ms after the call"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if answers == 0 {
        Err("no health check was answered".to_owned())
    } else {
        Ok(())
    }
}

fn wait_ready(server: &mut Server, control: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if let Some(code) = server.ended() {
            return Err(format!("{} ended with {code:?}", server.name));
        }
        if operator_call(control, "GET", "/api/ready").is_some_and(|(status, _)| status == 200) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{} was not ready in 30 s", server.name))
}
