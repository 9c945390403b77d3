//! The cases.

use crate::client::{Answer, Client, HealthChecks, Record};
use crate::http::{Catalog, Index, IndexSettings, operator_call};
use crate::pool::{Pool, PoolSettings, call_reply};
use crate::server::{Folder, Platform, Server, free_address, wait_until};
use crate::settings::ROUNDS;
use crate::{Case, End, lock, now_ms};
use std::thread;
use std::time::Duration;

pub fn run(name: &str, case: &mut Case) -> End {
    match name {
        "foreign-reply" => foreign_reply(case),
        "evacuated-before" => evacuated_in_an_upgrade(case, When::BeforeTheCommit),
        "evacuated-after" => evacuated_in_an_upgrade(case, When::AfterTheCommit),
        _ => End::NotRun(format!("no case {name}")),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn is_ready(control: std::net::SocketAddr) -> bool {
    matches!(operator_call(control, "GET", "/api/ready"), Some((200, _)))
}

/// Writes what was sent, answered and run.
fn record_requests(case: &mut Case, client: &Client, pools: &[&Pool]) {
    for Record { call, class, key, written_at, answers, ended_at, forgotten, .. } in lock(&client.records).iter() {
        let key = key.as_deref().unwrap_or("-");
        case.log.line(*written_at, &format!("sent {call} {class} key {key}"));
        for (at, answer) in answers {
            let text = match answer {
                Answer::Served(result) => format!("served {}", String::from_utf8_lossy(&result[..result.len().min(60)])),
                Answer::Refused => "refused".to_owned(),
                Answer::Failed(error) => format!("failed {error}"),
            };
            case.log.line(*at, &format!("answered {call} {text}"));
        }
        if let Some(at) = ended_at {
            case.log.line(*at, &format!("connection ended {call}"));
        }
        if *forgotten {
            case.log.line(written_at + 8000, &format!("forgotten {call}"));
        }
    }
    for (number, pool) in pools.iter().enumerate() {
        for run in lock(&pool.state).started.iter() {
            case.log.line(run.at, &format!("run {} {} by worker pool {number}", run.id, run.class));
        }
    }
}

/// The index sends good replies that carry a second copy after them; the copy comes a little later.
fn foreign_reply(case: &mut Case) -> End {
    let pool = Pool::start(PoolSettings {
        run_ms: |_, _| 60,
        calls: |class, _| u32::from(class != "rate-check"),
        result_bytes: 0,
        up_after_ms: 0,
    });
    let copy_every = if case.trouble { 25 } else { 0 };
    let index = Index::start(IndexSettings { call_ms: 150, copy_every, copy_after_ms: 60 });
    let catalog = Catalog::start();
    let folder = Folder::new();
    let platform = Platform {
        listen: free_address(),
        control: free_address(),
        pool: pool.address,
        directory: catalog.address,
        index: Some(index.address),
        memory_mb: 192,
        settings: ROUNDS,
    };
    let mut server = Server::start("n3", &case.root, &folder, &platform);
    if !wait_until(15_000, || is_ready(platform.control)) {
        return End::NotRun("the server is not ready".to_owned());
    }
    let client = Client::new(platform.listen, vec![pool.clone()], 3);
    for number in 0..400 {
        let class = if number % 2 == 0 { "route-sheet" } else { "farmer-ledger" };
        client.send(class, None, format!("body {number}").as_bytes(), "24.5", 8700);
        sleep_ms(50);
    }
    sleep_ms(3000);
    if let Some(status) = server.has_ended() {
        return End::Broken(format!("the server ended: {status}"));
    }
    record_requests(case, &client, &[&pool]);
    for (at, parent, body) in lock(&index.calls).iter() {
        case.log.line(*at, &format!("called for {parent}: {}", String::from_utf8_lossy(body)));
    }
    let copies = *lock(&index.copies);
    let state = lock(&pool.state);
    let served = lock(&client.records).iter().filter(|r| matches!(r.answers.first(), Some((_, Answer::Served(_))))).count();
    case.log.now(&format!("calls {}, second copies {copies}, replies supplied {}, served {served}", lock(&index.calls).len(), state.supplied.len()));
    if served == 0 {
        return End::NotRun("nothing was served".to_owned());
    }
    let foreign: Vec<_> = state.supplied.iter().filter(|(_, call, reply)| *reply != call_reply(call)).collect();
    for (id, call, reply) in &foreign {
        let (call, reply) = (String::from_utf8_lossy(call), String::from_utf8_lossy(reply));
        case.log.now(&format!("run {id} waited for the reply to \"{call}\" and was given \"{reply}\""));
    }
    match foreign.len() {
        0 => End::Held,
        n => End::Broken(format!("{n} runs were given the reply to another run's call")),
    }
}

#[derive(PartialEq)]
enum When {
    BeforeTheCommit,
    AfterTheCommit,
}

/// An operator sends the client proxies away while an upgrade is under way.
fn evacuated_in_an_upgrade(case: &mut Case, when: When) -> End {
    let settings = PoolSettings { run_ms: |_, _| 100, calls: |_, _| 0, result_bytes: 0, up_after_ms: 0 };
    let old_pool = Pool::start(settings);
    let catalog = Catalog::start();
    let folder = Folder::new();
    let old = Platform {
        listen: free_address(),
        control: free_address(),
        pool: old_pool.address,
        directory: catalog.address,
        index: None,
        memory_mb: 192,
        settings: ROUNDS,
    };
    let mut old_server = Server::start("old", &case.root, &folder, &old);
    if !wait_until(15_000, || is_ready(old.control)) {
        return End::NotRun("the old process is not ready".to_owned());
    }
    case.log.now("old process ready");
    let checks = HealthChecks::start(old.listen);
    // The worker pool of the new process comes up some seconds after it.
    let up_after_ms = if when == When::BeforeTheCommit { 3000 } else { 0 };
    let new_pool = Pool::start(PoolSettings { up_after_ms, ..settings });
    let client = Client::new(old.listen, vec![old_pool.clone(), new_pool.clone()], 2);
    let load = client.clone();
    thread::spawn(move || {
        for number in 0..240 {
            load.send("rate-check", None, format!("body {number}").as_bytes(), "24.5", 2200);
            sleep_ms(50);
        }
    });
    sleep_ms(500);
    let new = Platform { control: free_address(), pool: new_pool.address, ..old };
    let evacuate = |case: &mut Case| {
        let reply = operator_call(old.control, "PUT", "/api/evacuate");
        case.log.now(&format!("PUT /api/evacuate at the old process: {reply:?}"));
        matches!(reply, Some((200..=299, _)))
    };
    let mut evacuated_at = None;
    let mut new_server = None;
    let mut start_new = |case: &mut Case| {
        case.log.now("new process started");
        new_server = Some(Server::start("new", &case.root, &folder, &new));
    };
    if case.trouble {
        start_new(case);
    }
    if when == When::BeforeTheCommit || !case.trouble {
        sleep_ms(1000);
        evacuated_at = evacuate(case).then(now_ms);
    }
    if case.trouble && !wait_until(15_000, || is_ready(new.control)) {
        return End::NotRun("the new process is not ready".to_owned());
    }
    if case.trouble {
        case.log.now("new process ready");
    }
    if when == When::AfterTheCommit && case.trouble {
        sleep_ms(200);
        evacuated_at = evacuate(case).then(now_ms);
    }
    let Some(evacuated_at) = evacuated_at else {
        return End::NotRun("the call to evacuate was not answered with yes".to_owned());
    };
    if case.trouble {
        sleep_ms(1000);
        old_server.signal("TERM");
        case.log.now("SIGTERM to the old process");
    }
    wait_until(9000, || now_ms() > evacuated_at + 8000);
    if let Some(status) = new_server.as_mut().and_then(Server::has_ended) {
        return End::Broken(format!("the new process ended: {status}"));
    }
    let _ = old_server.has_ended();
    record_requests(case, &client, &[&old_pool, &new_pool]);
    for (at, report) in lock(&catalog.reports).iter() {
        case.log.line(*at, &format!("report {report}"));
    }
    let answers = lock(&checks.answers);
    for (at, good) in answers.iter() {
        case.log.line(*at, &format!("health check answered {}", if *good { "good" } else { "bad" }));
    }
    let late: Vec<_> = answers.iter().filter(|(at, _)| *at >= evacuated_at + 4000).collect();
    let good = late.iter().filter(|(_, good)| *good).count();
    case.log.now(&format!("health checks from 4 s after the call on: {}, good: {good}", late.len()));
    let (passing, from) = (lock(&catalog.reports).iter().rev().take(1).any(|r| r.1.contains("passing")), evacuated_at);
    case.log.line(from, &format!("last report passing: {passing}"));
    match (late.len(), good) {
        (0, _) => End::NotRun("no health check was answered".to_owned()),
        (_, 0) => End::Held,
        (all, good) => End::Broken(format!("{good} of {all} health checks were answered good 4 s and more after the call")),
    }
}
