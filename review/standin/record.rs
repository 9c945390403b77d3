//! The record of a case, and the violations that it found.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time on the system's Unix clock, ms.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_secs_f64() * 1000.0
}

pub struct Record {
    file: Mutex<BufWriter<File>>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    /// Opens the record, to which lines are added.
    pub fn open(path: &str) -> Record {
        let file = File::options().create(true).append(true).open(path).expect("the record can be written");
        Record { file: Mutex::new(BufWriter::new(file)), violations: Mutex::default() }
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:.1} {text}", unix_ms());
    }

    /// Records that the rule was broken.
    pub fn violation(&self, text: &str) {
        self.line(&format!("RULE BROKEN {text}"));
        self.violations.lock().unwrap().push(text.to_owned());
    }

    /// Ends the record and returns the number of violations.
    pub fn end(&self) -> usize {
        let violations = self.violations.lock().unwrap();
        for text in violations.iter().take(5) {
            println!("rule broken: {text}");
        }
        self.line(&format!("end, rule broken {} times", violations.len()));
        let _ = self.file.lock().unwrap().flush();
        violations.len()
    }
}
