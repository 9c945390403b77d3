//! A fake worker pool, which completes runs at once or on request of the test, and records them.

use super::wait_for;
use dunlinspread::codec::json::{self, Value};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A worker pool that accepts one link at a time.
pub struct FakeWorkerPool {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// Whether runs stay in progress until the test ends them.
    holds_runs: bool,
    /// Sequence number of the last notice.
    last_sequence: u64,
    /// Runs in progress, in the order of their start.
    running: VecDeque<Run>,
    /// Classes of all runs, in the order of their start.
    started: Vec<String>,
}

/// A run in progress.
struct Run {
    id: String,
    class: String,
}

impl State {
    fn write_line(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            // A write error means that the server has closed the link.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    /// Reports a run as completed.
    fn finish(&mut self, id: &str) {
        self.last_sequence += 1;
        let seq = self.last_sequence;
        self.write_line(&format!(
            r#"{{"op":"finished","seq":{seq},"id":"{id}","end":"good","ms":1,"body":"eA=="}}"#
        ));
    }

    /// Reports a run in progress as stopped.
    fn stop(&mut self, id: &str) {
        if let Some(at) = self.running.iter().position(|run| run.id == id) {
            self.running.remove(at);
            self.last_sequence += 1;
            let seq = self.last_sequence;
            self.write_line(&format!(r#"{{"op":"finished","seq":{seq},"id":"{id}","end":"cut","ms":1}}"#));
        }
    }

    fn handle_command(&mut self, command: &Value) {
        let word = |key: &str| match command.get(key) {
            Some(Value::Str(text)) => text.clone(),
            _ => String::new(),
        };
        match word("op").as_str() {
            "bind" => self.write_line(r#"{"op":"bound","end":"old","ms":5000}"#),
            "poll" => {
                let tag = word("tag");
                self.write_line(&format!(r#"{{"op":"polled","tag":"{tag}","values":[0.1,0,0.1,1]}}"#));
            }
            "spawn" => {
                let (id, class) = (word("id"), word("class"));
                self.started.push(class.clone());
                if self.holds_runs {
                    self.running.push_back(Run { id, class });
                } else {
                    self.finish(&id);
                }
            }
            // The client of the run has left.
            "suspend" => self.stop(&word("id")),
            other => panic!("unknown command `{other}`"),
        }
    }
}

impl FakeWorkerPool {
    /// Starts a pool on a free port.
    pub fn new() -> FakeWorkerPool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State::default()));
        let link_state = state.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                serve(&link_state, stream);
            }
        });
        FakeWorkerPool { address, state }
    }

    /// Returns the address of the pool.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Keeps further runs in progress until [`FakeWorkerPool::finish`] or [`FakeWorkerPool::release_runs`].
    pub fn hold_runs(&self) {
        self.lock().holds_runs = true;
    }

    /// Completes all runs in progress, and further runs at once.
    pub fn release_runs(&self) {
        let mut state = self.lock();
        state.holds_runs = false;
        for run in std::mem::take(&mut state.running) {
            state.finish(&run.id);
        }
    }

    /// Returns the classes of the runs in progress, in the order of their start.
    pub fn running(&self) -> Vec<String> {
        self.lock().running.iter().map(|run| run.class.clone()).collect()
    }

    /// Returns the classes of all runs, in the order of their start.
    pub fn started(&self) -> Vec<String> {
        self.lock().started.clone()
    }

    /// Waits until `count` runs are in progress.
    pub fn wait_running(&self, count: usize) {
        wait_for("runs in progress", || self.lock().running.len() == count);
    }

    /// Completes the oldest run of a class.
    pub fn finish(&self, class: &str) {
        let mut state = self.lock();
        let at =
            state.running.iter().position(|run| run.class == class).expect("a run of the class in progress");
        let run = state.running.remove(at).expect("the run at its index");
        state.finish(&run.id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles the commands of one link up to its end.
fn serve(state: &Mutex<State>, stream: TcpStream) {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let writer = stream.try_clone().expect("cloning the socket");
    lock().link = Some(writer);
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let command = json::parse(line.as_bytes()).expect("a command in JSON");
        lock().handle_command(&command);
    }
}
