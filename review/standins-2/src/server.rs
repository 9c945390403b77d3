//! The server under test, started with the command of the deploy file.

use crate::settings::ROUNDS;
use crate::{lock, now_ms};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A folder for the case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), now_ms()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Addresses and limits of a server.
pub struct Platform {
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub pool: SocketAddr,
    pub directory: SocketAddr,
}

impl Platform {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"n3\",\"listen\":\"{}\",\"control\":\"{}\",\"pool\":\"{}\",\"directory\":\"{}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\"settings\":{}}}",
            self.listen, self.control, self.pool, self.directory, ROUNDS
        )
    }
}

/// The processes that the case started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that couldn't run, with all that it started, once `limit_ms` are over.
pub fn limit_time(limit_ms: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(limit_ms));
        for pid in lock(&STARTED).iter() {
            let _ = Command::new("kill").args(["-KILL".to_owned(), pid.to_string()]).status();
        }
        eprintln!("not run: out of time");
        std::process::exit(2);
    });
}

/// A running server, killed at the end of the case.
pub struct Server(pub Child);

impl Server {
    pub fn start(name: &str, root: &Path, folder: &Folder, platform: &Platform) -> Server {
        let config = folder.0.join(format!("{name}.json"));
        fs::write(&config, platform.json()).expect("the configuration");
        let shared = folder.0.join("tmp");
        fs::create_dir_all(&shared).expect("TMPDIR");
        let log = fs::File::create(folder.0.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/dunlinspread"])
            .current_dir(root)
            .env("RELAY_CONFIG", &config)
            .env("RELAY_NAME", "n3")
            .env("RELAY_LISTEN", platform.listen.to_string())
            .env("RELAY_CONTROL", platform.control.to_string())
            .env("TMPDIR", &shared)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the server starts");
        lock(&STARTED).push(child.id());
        Server(child)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.0.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.0.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        lock(&STARTED).retain(|pid| *pid != self.0.id());
    }
}

/// Waits until `done` holds, at most `limit_ms`.
pub fn wait_until(limit_ms: u64, mut done: impl FnMut() -> bool) -> bool {
    let until = now_ms() + limit_ms;
    while now_ms() < until {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    done()
}
