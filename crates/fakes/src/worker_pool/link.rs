//! One link of a server to a worker pool: lines of JSON in both directions.

use crate::fake_server::Tasks;
use crate::worker_pool::commands::{CommandResult, execute};
use crate::worker_pool::machine::{Machine, RunTimer};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::RngExt;
use serde_json::Value;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Lines waiting to be written on one link; a slower reader loses its link.
const MAX_QUEUED_LINES: usize = 100_000;
/// The pause between the pieces of a line that is split.
const SPLIT_PAUSE: Duration = Duration::from_millis(2);
/// Bytes read at a time.
const READ_BYTES: usize = 8192;

/// Serves a link until either side ends it.
pub(crate) async fn serve(machine: Rc<RefCell<Machine>>, tasks: Tasks, stream: Async<TcpStream>) {
    let mut lines = LineReader { bytes: Vec::new(), stream: &stream };
    let Some(bind) = lines.next().await.filter(|line| line["op"] == "bind") else { return };
    let Some(after) = bind["seq"].as_u64() else { return };
    let (link, outgoing) = async_channel::bounded(MAX_QUEUED_LINES);
    machine.borrow_mut().connect(link, after);
    let reader = async {
        while let Some(command) = lines.next().await {
            let result = execute(&mut machine.borrow_mut(), &command);
            match result {
                CommandResult::Started(timer) => start_timer(&machine, &tasks, timer),
                CommandResult::Done | CommandResult::Unknown => {}
                CommandResult::Invalid => return,
            }
        }
    };
    or(reader, write_lines(&machine, &stream, outgoing)).await;
}

fn start_timer(machine: &Rc<RefCell<Machine>>, tasks: &Tasks, timer: RunTimer) {
    let machine = machine.clone();
    tasks.spawn(async move {
        Timer::after(timer.after).await;
        machine.borrow_mut().on_timer(&timer.id, timer.generation);
    });
}

/// Writes lines until the link ends, in pieces or not to their end where a fault says so.
async fn write_lines(machine: &RefCell<Machine>, mut stream: &Async<TcpStream>, outgoing: Receiver<String>) {
    while let Ok(line) = outgoing.recv().await {
        let (split, reset) = draw_faults(&mut machine.borrow_mut(), &line);
        let (first, second) = line.as_bytes().split_at(line.len() / 2);
        if stream.write_all(first).await.is_err() || reset {
            return;
        }
        if split {
            Timer::after(SPLIT_PAUSE).await;
        }
        if stream.write_all(second).await.is_err() {
            return;
        }
    }
}

/// Draws whether a line is split, and whether the link breaks in its middle.
fn draw_faults(machine: &mut Machine, line: &str) -> (bool, bool) {
    let is_notice = line.contains("\"seq\"");
    let split = machine.rng.random::<f64>() < machine.faults.split;
    let reset = is_notice && machine.rng.random::<f64>() < machine.faults.reset;
    (split, reset)
}

struct LineReader<'a> {
    bytes: Vec<u8>,
    stream: &'a Async<TcpStream>,
}

impl LineReader<'_> {
    /// Returns the next line as JSON; `None` at the end, or for what is no JSON.
    async fn next(&mut self) -> Option<Value> {
        let mut chunk = vec![0; READ_BYTES];
        loop {
            if let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.bytes.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            match self.stream.read(&mut chunk).await {
                Ok(count) if count > 0 => self.bytes.extend_from_slice(&chunk[..count]),
                _ => return None,
            }
        }
    }
}
