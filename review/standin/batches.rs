//! Case: a server with a usage ledger is restarted with a new operator file while the batches of a closed
//! period are on their way.

use crate::clients::Clients;
use crate::collector::Collector;
use crate::http::{start_catalog, Index, IndexTimes};
use crate::load::{next_try, run_load_of, wait_healthy, Random};
use crate::pool::Pool;
use crate::record::{unix_ms, Record};
use crate::server::{free_address, Addresses, Places, Server};
use crate::Verdict;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Items in a batch before and after the restart.
const BATCH_LINES: (u32, u32) = (10, 4);
const SOCIETIES: u64 = 12;
/// Time that the collector takes for a batch.
const COLLECTOR_DELAY: Duration = Duration::from_millis(50);
const LOAD: Duration = Duration::from_secs(10);
/// Time within which all that was used has to be exported after the load has ended.
const EXPORTED_IN: Duration = Duration::from_secs(40);

pub fn run(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Verdict {
    match play(places, record, with_trouble) {
        Ok(()) => Verdict::Ran,
        Err(reason) => Verdict::CouldNotRun(reason),
    }
}

fn operator_file(places: &Places, collector: &Collector, batch_lines: u32) -> PathBuf {
    let (path, ledger) = (places.temporary.join("operator.hcl"), places.temporary.join("ledger"));
    let text = format!(
        "ledger \"rounds\" {{\n  directory = {ledger:?}\n  period = \"5s\"\n  grace = \"500ms\"\n  \
         mode = \"strict\"\n  batch_lines = {batch_lines}\n  export {{\n    collector = \"{}\"\n  }}\n}}\n",
        collector.address
    );
    std::fs::write(&path, text).expect("the operator file can be written");
    path
}

fn play(places: &Places, record: &Arc<Record>, with_trouble: bool) -> Result<(), String> {
    let times = IndexTimes { delay: Duration::from_millis(5), copy_gap: Duration::ZERO };
    let (index, catalog) = (Index::start(record.clone(), times), start_catalog(record.clone()));
    let collector = Collector::start(record.clone(), COLLECTOR_DELAY);
    let listen = free_address();
    let start = |label: &str, pool: &Pool, batch_lines: u32| {
        let operator = Some(operator_file(places, &collector, batch_lines));
        let (directory, index) = (catalog, index.address);
        let addresses = Addresses { listen, control: None, pool: pool.address, directory, index, operator };
        record.line(&format!("server {label} starts with batch_lines = {batch_lines}"));
        Server::start(places, label, &addresses)
    };
    let mut random = Random::new(11);
    let pool = Pool::start(record.clone(), true);
    let mut first = start("first", &pool, BATCH_LINES.0);
    wait_healthy(&mut first, listen)?;
    let clients = load(record, &pool, listen, &mut random);
    // The export of the next close is interrupted: the collector is down until the second server is up.
    collector.goes_down.store(true, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(20);
    while !collector.is_down.load(Ordering::Relaxed) {
        if Instant::now() > until {
            return Err("no close was exported in several batches".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line("SIGTERM to the first server");
    first.signal("TERM");
    wait_end(&mut first)?;
    let pool = Pool::start(record.clone(), true);
    let mut second = start("second", &pool, if with_trouble { BATCH_LINES.1 } else { BATCH_LINES.0 });
    wait_healthy(&mut second, listen)?;
    record.line("collector up");
    collector.is_down.store(false, Ordering::Relaxed);
    let more = load(record, &pool, listen, &mut random);
    let used_by = unix_ms() as u64;
    let until = Instant::now() + EXPORTED_IN;
    while collector.complete_to() < used_by && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    if let Some(code) = second.ended() {
        return Err(format!("the second server ended with {code:?}"));
    }
    record.line(&format!("all exported: {}", collector.complete_to() >= used_by));
    compare(record, &collector, &[clients, more]);
    Ok(())
}

/// Sends requests of all societies, and waits until all are answered.
fn load(
    record: &Arc<Record>,
    pool: &Arc<Pool>,
    listen: std::net::SocketAddr,
    random: &mut Random,
) -> Arc<Clients> {
    let known = pool.clone();
    let clients = Clients::new(listen, record.clone(), move || vec![known.clone()]);
    run_load_of(LOAD, |number| {
        let mut attempt = next_try(random, number);
        attempt.plan.org = Some(format!("society{:02}", number % SOCIETIES));
        clients.send(&attempt);
    });
    let until = Instant::now() + Duration::from_secs(10);
    while clients.open_count() > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    clients.end();
    let text = clients.summary();
    println!("{text}");
    record.line(&text);
    clients
}

fn wait_end(server: &mut Server) -> Result<(), String> {
    let until = Instant::now() + Duration::from_millis(3200);
    while Instant::now() < until {
        match server.ended() {
            Some(Some(0)) => return Ok(()),
            Some(code) => return Err(format!("{} ended with {code:?}", server.name)),
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    Err(format!("{} did not end in its time", server.name))
}

/// Compares what was exported as served with what the clients were served, by society.
fn compare(record: &Record, collector: &Collector, clients: &[Arc<Clients>]) {
    let exported = collector.served_of();
    for society in (0..SOCIETIES).map(|number| format!("society{number:02}")) {
        let served_of = |clients: &Arc<Clients>| {
            clients.counts.served_of.lock().unwrap().get(&society).copied().unwrap_or(0) as i64
        };
        let served: i64 = clients.iter().map(served_of).sum();
        let exported = exported.get(&society).copied().unwrap_or(0);
        record.line(&format!("{society}: served {served}, exported {exported}"));
        if served != exported {
            record.violation(&format!(
                "export: {society} was served {served} requests, {exported} were exported"
            ));
        }
    }
}
