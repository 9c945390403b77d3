//! Plays a scripted exchange against the built server: a text file states what the peers send and what is
//! expected, and the transcript shows both, with bytes escaped.
//!
//! Every wait is for an event, never for a fixed time, and every port is chosen by the system. Gauge
//! readings of the worker pool and reports to the registry are answered automatically and do not appear in
//! the transcript.

#[allow(dead_code, reason = "each test program uses a part of it")]
pub mod alone;
mod bytes;
mod peers;
mod playback;
mod process;
#[allow(dead_code, reason = "each test program uses a part of it")]
pub mod sockets;

#[allow(unused_imports, reason = "each test program uses a part of it")]
pub use alone::Client;
#[allow(unused_imports, reason = "each test program uses a part of it")]
pub use bytes::{message, unescape};
#[allow(unused_imports, reason = "each test program uses a part of it")]
pub use process::{
    LoggedServer, OPERATOR, PANIC_AT, command, config, listening_address, start, without_file,
};

#[allow(unused_imports, reason = "each test program uses a part of it")]
pub use playback::{Playback, Setup};
use std::time::Duration;

/// Time limit of each wait, far beyond any delay of a working server, which ends a test that would hang.
const HANG: Duration = Duration::from_secs(60);

/// Plays a script and returns its transcript.
pub fn play(script: &str) -> String {
    play_on(&mut Playback::start(&Setup::of_script(script)), script)
}

/// Plays a script on a server that was started with the script's settings, and returns the transcript.
pub fn play_on(playback: &mut Playback, script: &str) -> String {
    let mut transcript = String::new();
    for line in script.lines().filter(|line| !line.is_empty() && !Setup::is_setting(line)) {
        transcript.push_str(line);
        transcript.push('\n');
        if line.starts_with('#') {
            continue;
        }
        match (line.split_once(": "), line.split_once('?')) {
            (Some((name, text)), _) => playback.send(name, text),
            (None, Some((name, words))) => {
                let received = playback.expect(name, words.trim());
                transcript.push_str(&format!("    {received}\n"));
            }
            _ => panic!("unknown line: {line}"),
        }
    }
    transcript
}
