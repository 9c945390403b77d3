//! A link between a server and a worker pool, with JSON lines in both directions.

use crate::fake_server::Tasks;
use crate::worker_pool::commands::{CommandResult, execute, is_early_reply};
use crate::worker_pool::machine::{Machine, RunTimer};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::{or, pending};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::RngExt;
use serde_json::Value;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of lines queued on one link; the link is closed if the server reads too slowly.
const MAX_QUEUED_LINES: usize = 100_000;
/// Pause between the two pieces of a split line.
const SPLIT_PAUSE: Duration = Duration::from_millis(2);
/// Interval at which the state of a run is checked while a command for it is held back.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Size of the read buffer, bytes.
const READ_BUFFER_BYTES: usize = 8192;

/// Serves a link until either side closes it.
pub(crate) async fn serve(machine: Rc<RefCell<Machine>>, tasks: Tasks, stream: Async<TcpStream>) {
    let mut lines = LineReader { bytes: Vec::new(), stream: &stream };
    let Some(bind) = lines.next().await.filter(|line| line["op"] == "bind") else { return };
    let Some(after) = bind["seq"].as_u64() else { return };
    let (link, outgoing) = async_channel::bounded(MAX_QUEUED_LINES);
    machine.borrow_mut().connect(link, after);
    let (received, commands) = async_channel::unbounded();
    // When the server closes the link, the commands read before are still carried out, which ends the link.
    let reader = async move {
        while let Some(command) = lines.next().await {
            let _ = received.try_send((Instant::now(), command));
        }
        drop(received);
        pending::<()>().await;
    };
    let executor = execute_commands(&machine, &tasks, commands);
    or(or(reader, executor), write_lines(&machine, &stream, outgoing)).await;
}

/// Carries out the received commands in their order, with delays if the faults say so, until one is invalid or
/// the server has closed the link.
async fn execute_commands(
    machine: &Rc<RefCell<Machine>>,
    tasks: &Tasks,
    commands: Receiver<(Instant, Value)>,
) {
    while let Ok((received_at, command)) = commands.recv().await {
        let faults = machine.borrow().faults;
        if !faults.command_delay.is_zero() {
            Timer::at(received_at + faults.command_delay).await;
        }
        while faults.hold_early_replies && is_early_reply(&machine.borrow(), &command) {
            Timer::after(HOLD_CHECK_INTERVAL).await;
        }
        let result = execute(&mut machine.borrow_mut(), &command);
        match result {
            CommandResult::Started(timer) => spawn_timer(machine, tasks, timer),
            CommandResult::Executed | CommandResult::Unknown => {}
            CommandResult::Invalid => return,
        }
    }
}

fn spawn_timer(machine: &Rc<RefCell<Machine>>, tasks: &Tasks, timer: RunTimer) {
    let machine = machine.clone();
    tasks.spawn(async move {
        Timer::after(timer.delay).await;
        machine.borrow_mut().on_timer(&timer.id, timer.generation);
    });
}

/// Writes queued lines until the link closes. With faults, a line is written in two pieces or only its first
/// half.
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

/// Draws whether a line is split, and whether the link closes in the middle of it.
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
    /// Returns the next line as JSON; `None` at the end of the link or if the line is not valid JSON.
    async fn next(&mut self) -> Option<Value> {
        let mut chunk = vec![0; READ_BUFFER_BYTES];
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
