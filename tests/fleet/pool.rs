//! The worker pool, played: it runs what it is asked to, at once or when the test says so, and keeps count.

use super::wait_for;
use dunlinspread::codec::json::{self, Value};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A worker pool that takes one link after the other.
pub struct Pool {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    /// Runs wait for the test.
    holds: bool,
    /// The last notice's number.
    last: u64,
    running: VecDeque<(String, String)>,
    /// Classes in the order in which their runs were asked for.
    started: Vec<String>,
}

impl State {
    fn tell(&mut self, line: &str) {
        if let Some(link) = &mut self.link {
            // The program may have ended.
            let _ = link.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn finish(&mut self, id: &str) {
        self.last += 1;
        let seq = self.last;
        self.tell(&format!(
            r#"{{"op":"finished","seq":{seq},"id":"{id}","end":"good","ms":1,"body":"eA=="}}"#
        ));
    }

    fn take(&mut self, command: &Value) {
        let word = |key: &str| match command.get(key) {
            Some(Value::Str(text)) => text.clone(),
            _ => String::new(),
        };
        match word("op").as_str() {
            "bind" => self.tell(r#"{"op":"bound","end":"old","ms":5000}"#),
            "poll" => {
                let tag = word("tag");
                self.tell(&format!(r#"{{"op":"polled","tag":"{tag}","values":[0.1,0,0.1,1]}}"#));
            }
            "spawn" => {
                let (id, class) = (word("id"), word("class"));
                self.started.push(class.clone());
                if self.holds {
                    self.running.push_back((id, class));
                } else {
                    self.finish(&id);
                }
            }
            other => panic!("the pool does not know `{other}`"),
        }
    }
}

impl Pool {
    /// Listens.
    pub fn new() -> Pool {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State::default()));
        let of_links = state.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                serve(&of_links, stream);
            }
        });
        Pool { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs wait from now on.
    pub fn hold(&self) {
        self.lock().holds = true;
    }

    /// The runs under way, by class, in the order in which they were started.
    pub fn running(&self) -> Vec<String> {
        self.lock().running.iter().map(|(_, class)| class.clone()).collect()
    }

    /// All runs ever asked for, by class, in order.
    pub fn started(&self) -> Vec<String> {
        self.lock().started.clone()
    }

    /// Waits for that many runs under way.
    pub fn wait_running(&self, count: usize) {
        wait_for("runs under way", || self.lock().running.len() == count);
    }

    /// The longest run of that class ends.
    pub fn finish(&self, class: &str) {
        let mut state = self.lock();
        let at = state.running.iter().position(|(_, of)| of == class).expect("it runs");
        let (id, _) = state.running.remove(at).expect("it is there");
        state.finish(&id);
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
        lock().take(&command);
    }
}
