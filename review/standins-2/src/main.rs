//! The cases of the review: `review-case NUMBER ROOT FOLDER`. Ends with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod client;
mod crowd;
mod http;
mod pool;
mod server;
mod settings;
mod wire;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a case; times are ms from its start.
pub struct Log {
    file: File,
    pub start: u64,
}

impl Log {
    pub fn line(&mut self, at: u64, text: &str) {
        let _ = writeln!(self.file, "{:>7} {text}", at.saturating_sub(self.start));
    }

    pub fn now(&mut self, text: &str) {
        println!("{:>7} {text}", now_ms().saturating_sub(self.start));
        self.line(now_ms(), text);
    }
}

/// How a case ended.
pub enum End {
    Held,
    Broken(String),
    NotRun(String),
}

pub struct Case {
    pub root: PathBuf,
    pub trouble: bool,
    pub log: Log,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, root, folder] = arguments.as_slice() else {
        eprintln!("review-case NUMBER ROOT FOLDER");
        std::process::exit(2);
    };
    let Ok(file) = File::create(PathBuf::from(folder).join("record.txt")) else { std::process::exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut case = Case { root: PathBuf::from(root), trouble, log: Log { file, start: now_ms() } };
    case.log.now(&format!("case {number}, trouble {trouble}"));
    server::limit_time(110_000);
    let end = cases::run(number, &mut case);
    let (code, text) = match end {
        End::Held => (0, "held: the rule was kept".to_owned()),
        End::Broken(text) => (1, format!("broken: {text}")),
        End::NotRun(text) => (2, format!("not run: {text}")),
    };
    case.log.now(&text);
    std::process::exit(code);
}
