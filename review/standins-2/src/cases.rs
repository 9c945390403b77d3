//! The cases.

use crate::client::{Answer, Client, HealthChecks, Record};
use crate::http::{operator_call, Catalog};
use crate::pool::{Pool, PoolSettings};
use crate::server::{free_address, wait_until, Folder, Platform, Server};
use crate::{lock, now_ms, Case, End};
use std::thread;
use std::time::Duration;

pub fn run(name: &str, case: &mut Case) -> End {
    match name {
        "two-owners" => two_owners(case),
        "crowd" => crowd(case),
        "upgrades-in-a-row" => upgrades_in_a_row(case),
        "evacuated-after" => evacuated_after(case),
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
    for Record { call, class, key, written_at, answers, ended_at, forgotten, .. } in
        lock(&client.records).iter()
    {
        let key = key.as_deref().unwrap_or("-");
        case.log.line(*written_at, &format!("sent {call} {class} key {key}"));
        for (at, answer) in answers {
            let text = match answer {
                Answer::Served(result) => {
                    format!("served {}", String::from_utf8_lossy(&result[..result.len().min(60)]))
                }
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

fn record_reports(case: &mut Case, catalog: &Catalog) {
    for (at, report) in lock(&catalog.reports).iter() {
        case.log.line(*at, &format!("report {report}"));
    }
}

/// An operator sends the client proxies away while an upgrade is under way.
fn evacuated_after(case: &mut Case) -> End {
    let settings = PoolSettings { run_ms: |_, _| 100 };
    let (old_pool, new_pool) = (Pool::start(settings), Pool::start(settings));
    let catalog = Catalog::start();
    let folder = Folder::new();
    let old = Platform {
        listen: free_address(),
        control: free_address(),
        pool: old_pool.address,
        directory: catalog.address,
    };
    let old_server = Server::start("old", &case.root, &folder, &old);
    if !wait_until(15_000, || is_ready(old.control)) {
        return End::NotRun("the old process is not ready".to_owned());
    }
    case.log.now("old process ready");
    let checks = HealthChecks::start(old.listen);
    let client = Client::new(old.listen, vec![old_pool.clone(), new_pool.clone()], 2);
    let load = client.clone();
    thread::spawn(move || {
        for number in 0..240 {
            load.send("rate-check", None, format!("body {number}").as_bytes(), 2200);
            sleep_ms(50);
        }
    });
    sleep_ms(500);
    let new = Platform { control: free_address(), pool: new_pool.address, ..old };
    let mut new_server = None;
    if case.trouble {
        case.log.now("new process started");
        new_server = Some(Server::start("new", &case.root, &folder, &new));
        if !wait_until(15_000, || is_ready(new.control)) {
            return End::NotRun("the new process is not ready".to_owned());
        }
        case.log.now("new process ready");
    }
    sleep_ms(200);
    let reply = operator_call(old.control, "PUT", "/api/evacuate");
    case.log.now(&format!("PUT /api/evacuate at the old process: {reply:?}"));
    if !matches!(reply, Some((200..=299, _))) {
        return End::NotRun("the call to evacuate was not answered with yes".to_owned());
    }
    let evacuated_at = now_ms();
    if case.trouble {
        sleep_ms(1000);
        old_server.signal("TERM");
        case.log.now("SIGTERM to the old process");
    }
    wait_until(9000, || now_ms() > evacuated_at + 8000);
    if let Some(status) = new_server.as_mut().and_then(Server::has_ended) {
        return End::Broken(format!("the new process ended: {status}"));
    }
    record_requests(case, &client, &[&old_pool, &new_pool]);
    record_reports(case, &catalog);
    let answers = lock(&checks.answers);
    for (at, good) in answers.iter() {
        case.log.line(*at, &format!("health check answered {}", if *good { "good" } else { "bad" }));
    }
    let late: Vec<_> = answers.iter().filter(|(at, _)| *at >= evacuated_at + 4000).collect();
    let good = late.iter().filter(|(_, good)| *good).count();
    case.log.now(&format!("health checks from 4 s after the call on: {}, good: {good}", late.len()));
    match (late.len(), good) {
        (0, _) => End::NotRun("no health check was answered".to_owned()),
        (_, 0) => End::Held,
        (all, good) => End::Broken(format!(
            "{good} of {all} health checks were answered good 4 s and more after the call"
        )),
    }
}

/// A second upgrade while the old process of the first one still finishes a run, and a third one later.
fn upgrades_in_a_row(case: &mut Case) -> End {
    // A run of `route-sheet` takes 3 s, one of `rate-check` 100 ms. Only the first process gets a `route-sheet`.
    let settings = PoolSettings { run_ms: |class, _| if class == "route-sheet" { 3000 } else { 100 } };
    let pools: Vec<Pool> = (0..4).map(|_| Pool::start(settings)).collect();
    let catalog = Catalog::start();
    let folder = Folder::new();
    let mut platform = Platform {
        listen: free_address(),
        control: free_address(),
        pool: pools[0].address,
        directory: catalog.address,
    };
    let mut servers = vec![Server::start("process-1", &case.root, &folder, &platform)];
    if !wait_until(15_000, || is_ready(platform.control)) {
        return End::NotRun("the first process is not ready".to_owned());
    }
    let client = Client::new(platform.listen, pools.clone(), 2);
    let load = client.clone();
    thread::spawn(move || {
        for number in 0..600 {
            load.send("rate-check", None, format!("body {number}").as_bytes(), 2200);
            sleep_ms(50);
        }
    });
    sleep_ms(1000);
    client.send("route-sheet", None, b"sheet", 8700);
    sleep_ms(200);
    // The second upgrade begins 300 ms after SIGTERM to the first process, or long after its end.
    let pauses = if case.trouble { [300, 8000] } else { [6000, 6000] };
    for number in 2..=4 {
        platform = Platform { control: free_address(), pool: pools[number - 1].address, ..platform };
        case.log.now(&format!("process {number} started"));
        servers.push(Server::start(&format!("process-{number}"), &case.root, &folder, &platform));
        let new = servers.len() - 1;
        let (control, mut ended) = (platform.control, None);
        let ready = wait_until(15_000, || {
            ended = servers[new].has_ended();
            ended.is_some() || is_ready(control)
        });
        if let Some(status) = ended {
            let log =
                std::fs::read_to_string(folder.0.join(format!("process-{number}.log"))).unwrap_or_default();
            for line in log.lines() {
                case.log.now(&format!("process {number} logged: {line}"));
            }
            record_requests(case, &client, &pools.iter().collect::<Vec<_>>());
            record_reports(case, &catalog);
            return End::Broken(format!("process {number}, the new one of an upgrade, ended with {status}"));
        }
        if !ready {
            return End::NotRun(format!("process {number} is not ready and has not ended"));
        }
        case.log.now(&format!("process {number} ready"));
        sleep_ms(500);
        servers[new - 1].signal("TERM");
        case.log.now(&format!("SIGTERM to process {}", number - 1));
        if let Some(pause) = pauses.get(number - 2) {
            sleep_ms(*pause);
        }
        for (number, server) in servers.iter_mut().enumerate() {
            if let Some(status) = server.has_ended() {
                case.log.now(&format!("process {} has ended with {status}", number + 1));
            }
        }
    }
    sleep_ms(4000);
    record_requests(case, &client, &pools.iter().collect::<Vec<_>>());
    record_reports(case, &catalog);
    if let Some(status) = servers[3].has_ended() {
        return End::Broken(format!("process 4 ended with {status}"));
    }
    End::Held
}

/// Three upgrades within the time that the page leaves for SIGTERM. Each pouring is sent again 19 s later.
fn two_owners(case: &mut Case) -> End {
    let settings = PoolSettings { run_ms: |_, _| 100 };
    let pools: Vec<Pool> = (0..4).map(|_| Pool::start(settings)).collect();
    let catalog = Catalog::start();
    let folder = Folder::new();
    let mut platform = Platform {
        listen: free_address(),
        control: free_address(),
        pool: pools[0].address,
        directory: catalog.address,
    };
    let mut servers = vec![Server::start("process-1", &case.root, &folder, &platform)];
    if !wait_until(15_000, || is_ready(platform.control)) {
        return End::NotRun("the first process is not ready".to_owned());
    }
    case.log.now("process 1 ready");
    let client = Client::new(platform.listen, pools.clone(), 4);
    let load = client.clone();
    // 20 pourings a second for 16 s, and each once more.
    thread::spawn(move || {
        let start = now_ms();
        for number in 0..320 {
            let load = load.clone();
            thread::spawn(move || {
                let (key, body) = (format!("key {number}"), format!("pouring {number}"));
                load.send("pour-entry", Some(&key), body.as_bytes(), 7200);
                sleep_ms(19_000);
                load.send("pour-entry", Some(&key), body.as_bytes(), 7200);
            });
            sleep_ms((start + 50 * (number + 1)).saturating_sub(now_ms()));
        }
    });
    sleep_ms(1000);
    // When each process is started, and how long after the next one says yes SIGTERM reaches it, ms.
    let start = now_ms();
    let (starts, terms) = if case.trouble {
        ([0, 2000, 4000], [5500, 500, 5500])
    } else {
        ([0, 10_000, 20_000], [5500, 500, 5500])
    };
    let mut due: Vec<(u64, usize)> = Vec::new();
    let mut next = 0;
    while next < starts.len() || !due.is_empty() {
        sleep_ms(5);
        for (at, number) in std::mem::take(&mut due) {
            if now_ms() >= at {
                servers[number].signal("TERM");
                case.log.now(&format!("SIGTERM to process {}", number + 1));
            } else {
                due.push((at, number));
            }
        }
        if next < starts.len() && now_ms() >= start + starts[next] {
            let number = next + 2;
            platform = Platform { control: free_address(), pool: pools[next + 1].address, ..platform };
            servers.push(Server::start(&format!("process-{number}"), &case.root, &folder, &platform));
            case.log.now(&format!("process {number} started"));
            let (control, mut ended) = (platform.control, None);
            let ready = wait_until(15_000, || {
                ended = servers[number - 1].has_ended();
                ended.is_some() || is_ready(control)
            });
            if !ready || ended.is_some() {
                return End::NotRun(format!("process {number} is not ready, ended with {ended:?}"));
            }
            case.log.now(&format!("process {number} ready"));
            due.push((now_ms() + terms[next], next));
            next += 1;
        }
    }
    wait_until(45_000, || {
        lock(&client.records).len() >= 640
            && lock(&client.records)
                .iter()
                .all(|r| !r.answers.is_empty() || r.ended_at.is_some() || r.forgotten)
    });
    record_requests(case, &client, &pools.iter().collect::<Vec<_>>());
    record_reports(case, &catalog);
    // Tries by their ids: the key, and when the try was written.
    let records = lock(&client.records).clone();
    let tries: std::collections::HashMap<_, _> = records.iter().map(|r| (r.call.clone(), r)).collect();
    let mut runs: std::collections::BTreeMap<String, Vec<(u64, String, usize)>> = Default::default();
    for (number, pool) in pools.iter().enumerate() {
        for run in lock(&pool.state).started.iter() {
            let Some(record) = tries.get(&run.id) else { continue };
            let key = record.key.clone().unwrap_or_default();
            runs.entry(key).or_default().push((record.written_at, run.id.clone(), number + 1));
        }
    }
    let mut twice = 0;
    for (key, runs) in &mut runs {
        runs.sort();
        for pair in runs.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            if second.0 <= first.0 + 21_744 {
                twice += 1;
                let text = format!(
                    "{key} was run for the try {} by process {} and for the try {} by process {}, which was written {} ms later",
                    first.1, first.2, second.1, second.2, second.0 - first.0
                );
                if twice <= 5 {
                    case.log.now(&text)
                } else {
                    case.log.line(now_ms(), &text)
                }
            }
        }
    }
    case.log.now(&format!(
        "pourings {}, run at least once {}, run twice {twice}",
        records.len() / 2,
        runs.len()
    ));
    match (runs.len(), twice) {
        (0..100, _) => End::NotRun("too few pourings were run".to_owned()),
        (_, 0) => End::Held,
        (_, n) => End::Broken(format!("{n} pourings were run twice within their window")),
    }
}

/// Some hundreds of clients that are none of the usual ones, with a connection each.
fn crowd(case: &mut Case) -> End {
    let count = 300;
    let pool = Pool::start(PoolSettings { run_ms: |_, _| 150 });
    let catalog = Catalog::start();
    let folder = Folder::new();
    let platform = Platform {
        listen: free_address(),
        control: free_address(),
        pool: pool.address,
        directory: catalog.address,
    };
    let mut server = Server::start("n3", &case.root, &folder, &platform);
    if !wait_until(15_000, || is_ready(platform.control)) {
        return End::NotRun("the server is not ready".to_owned());
    }
    let client = Client::new(platform.listen, vec![pool.clone()], 24);
    let mut crowd = None;
    let start = now_ms();
    // 25 requests a second: a little more than half of what the server lets the worker pool do.
    let gap = 40;
    let mut number = 0;
    while now_ms() < start + 25_000 {
        let class = ["rate-check", "farmer-ledger", "pour-entry", "rate-check"][number % 4];
        let key = format!("key {number}");
        let key = (class == "pour-entry").then_some(key.as_str());
        let give_up_ms = match class {
            "rate-check" => 2200,
            "farmer-ledger" => 8700,
            _ => 7200,
        };
        client.send(class, key, format!("body {number}").as_bytes(), give_up_ms);
        number += 1;
        sleep_ms((start + gap * number as u64).saturating_sub(now_ms()));
        if case.trouble && crowd.is_none() && now_ms() > start + 3000 {
            case.log.now(&format!("{count} bad clients connect"));
            crowd = Some(crate::crowd::Crowd::start(platform.listen, count, "route-sheet"));
        }
    }
    sleep_ms(9500);
    if let Some(crowd) = &crowd {
        crowd.stop();
        case.log.now(&format!(
            "bad clients: connections {:?}, sent {:?}, answered {:?}, longest to a first answer {} ms",
            crowd.connected,
            crowd.sent,
            crowd.answered,
            lock(&crowd.longest_ms)
        ));
    }
    if let Some(status) = server.has_ended() {
        return End::Broken(format!("the server ended: {status}"));
    }
    record_requests(case, &client, &[&pool]);
    let records = lock(&client.records).clone();
    let mut counts = std::collections::BTreeMap::new();
    let mut lost = 0;
    for r in &records {
        let due = r.written_at + r.give_up_ms + 130;
        let kind = match r.answers.first() {
            Some((at, _)) if *at > due => {
                lost += 1;
                "late"
            }
            Some((_, Answer::Served(_))) => "served",
            Some((_, Answer::Refused)) => "refused",
            Some((_, Answer::Failed(_))) => "failed",
            None if r.refused => "connection refused",
            None => {
                lost += 1;
                "no answer"
            }
        };
        *counts.entry((r.class.clone(), kind)).or_insert(0) += 1;
    }
    case.log.now(&format!("{counts:?}"));
    case.log.now(&format!("requests {}, without an answer in their time {lost}", records.len()));
    if records.len() < 500 {
        return End::NotRun("too few requests were sent".to_owned());
    }
    if lost * 1000 > records.len() * 3 {
        End::Broken(format!("{lost} of {} requests lost", records.len()))
    } else {
        End::Held
    }
}
