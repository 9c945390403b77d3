//! A fake worker pool: completes runs at once or when the test says so, and records them.

use super::wait_for;
use dunlinspread::codec::json::{self, Value};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A worker pool that accepts one link after the other.
pub struct FakeWorkerPool {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// Whether runs wait for the test.
    holds_runs: bool,
    /// The number of the last notice.
    last_sequence: u64,
    running: VecDeque<Run>,
    /// The classes of all runs, in the order in which they were requested.
    started: Vec<String>,
}

/// A run that waits for the test.
struct Run {
    id: String,
    class: String,
}

impl State {
    fn write_line(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            // The server may have ended.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn finish(&mut self, id: &str) {
        self.last_sequence += 1;
        let seq = self.last_sequence;
        self.write_line(&format!(
            r#"{{"op":"finished","seq":{seq},"id":"{id}","end":"good","ms":1,"body":"eA=="}}"#
        ));
    }

    fn cut(&mut self, id: &str) {
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
            // The client of a run is gone.
            "suspend" => self.cut(&word("id")),
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

    /// Keeps runs waiting until [`FakeWorkerPool::finish`].
    pub fn hold_runs(&self) {
        self.lock().holds_runs = true;
    }

    /// Completes all runs that wait, and further ones at once.
    pub fn release_runs(&self) {
        let mut state = self.lock();
        state.holds_runs = false;
        for run in std::mem::take(&mut state.running) {
            state.finish(&run.id);
        }
    }

    /// Returns the classes of the runs that wait, in the order of their start.
    pub fn running(&self) -> Vec<String> {
        self.lock().running.iter().map(|run| run.class.clone()).collect()
    }

    /// Returns the classes of all runs, in order.
    pub fn started(&self) -> Vec<String> {
        self.lock().started.clone()
    }

    /// Waits until so many runs wait.
    pub fn wait_running(&self, count: usize) {
        wait_for("runs under way", || self.lock().running.len() == count);
    }

    /// Completes the oldest run of a class.
    pub fn finish(&self, class: &str) {
        let mut state = self.lock();
        let at = state.running.iter().position(|run| run.class == class).expect("it runs");
        let run = state.running.remove(at).expect("it is there");
        state.finish(&run.id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn serve(state: &Mutex<State>, stream: TcpStream) {
    let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
    let writer = stream.try_clone().expect("a second handle");
    lock().link = Some(writer);
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let command = json::parse(line.as_bytes()).expect("a command in JSON");
        lock().handle_command(&command);
    }
}
