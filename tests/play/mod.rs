//! Plays a recorded exchange against the built server: a text file says what the peers send and when something is
//! awaited, and the transcript shows both, bytes escaped.
//!
//! Every wait is for an event, never for a span of time, and every port is chosen by the system. The readings of the
//! worker pool's gauges and the reports to the registry are answered here and stay out of the transcript.

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

/// The time limit of each wait, far beyond any delay of a working server: it ends a test that would hang.
const HANG: Duration = Duration::from_secs(60);

/// Plays a script and returns its transcript.
pub fn play(script: &str) -> String {
    play_on(&mut Playback::start(&Setup::of_script(script)), script)
}

/// Plays a script on a server that was started with its settings, and returns its transcript.
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
