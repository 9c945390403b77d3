//! Tests that a process whose event loop has stalled before its shutdown ends before its SIGKILL, although it
//! stalls again, for as long, near the end of the shutdown, and that it answers its open requests first.

#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use fleet::FakeWorkerPool;
use play::{Client, LoggedServer, config};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Time from SIGTERM to the platform's SIGKILL.
const STOP: Duration = Duration::from_millis(3000);
/// Durations of the stalls, before SIGTERM and again near the end of the process.
const STALLS: [Duration; 3] =
    [Duration::from_millis(120), Duration::from_millis(180), Duration::from_millis(240)];
/// Number of idle connections that clients keep open until the process exits.
const IDLE_CONNECTIONS: usize = 100;
/// Address on which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
/// A request whose run does not end before the process exits.
const REQUEST: &str = "route-sheet call=0000000000000001";

/// When the second stall begins.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// 60 ms before the SIGKILL, so that the process resumes only after it, unless it has ended before.
    UpToTheKill,
    /// So early that the stall covers all steps of the shutdown and ends 150 ms before the SIGKILL.
    OverAllSteps,
    /// As [`Moment::OverAllSteps`], for a process that has not stalled before and reserves no time for a
    /// stall; the stall ends 30 ms before the SIGKILL.
    OverAllStepsUnforeseen,
}

impl Moment {
    /// Returns the time from the start of the stall to the SIGKILL.
    fn begins_before_kill(self, stall: Duration) -> Duration {
        match self {
            Moment::UpToTheKill => Duration::from_millis(60),
            Moment::OverAllSteps => stall + Duration::from_millis(150),
            Moment::OverAllStepsUnforeseen => stall + Duration::from_millis(30),
        }
    }
}

/// Exit of a process.
struct Exit {
    status: ExitStatus,
    /// Time from SIGTERM until the exit was observed.
    took: Duration,
    /// Last response to the client of the request.
    response: String,
}

/// Runs a process that stalls twice, before SIGTERM and during the shutdown.
fn run_to_exit(first_stall: Duration, stall: Duration, moment: Moment) -> Exit {
    let pool = FakeWorkerPool::new();
    pool.hold_runs();
    let stop = (r#""stop_ms":30000"#.to_owned(), format!(r#""stop_ms":{}"#, STOP.as_millis()));
    let config = config(&pool.address().to_string(), UNUSED_ADDRESS, UNUSED_ADDRESS, &[stop]);
    let mut server = LoggedServer::start(&mut play::command(&config, "unlimited").0);
    let idle: Vec<Client> = (0..IDLE_CONNECTIONS).filter_map(|_| Client::resting(&server.address)).collect();
    assert_eq!(idle.len(), IDLE_CONNECTIONS);
    let mut client = Client::new(&server.address);
    client.ask(1, REQUEST);
    pool.wait_running(1);
    server.stand_still(first_stall);
    // The response shows that the event loop has run since the stall.
    Client::new(&server.address).check();
    let requested_at = server.request_end();
    let begins_at = requested_at + STOP - moment.begins_before_kill(stall);
    std::thread::sleep(begins_at.saturating_duration_since(Instant::now()));
    let ended_before = server.has_ended().then(|| requested_at.elapsed());
    let stalled_for = server.stand_still(stall);
    let status = server.end();
    let took = ended_before.unwrap_or_else(|| requested_at.elapsed());
    println!("{stall:?} {moment:?}: stalled for {stalled_for:?}, ended {took:?} after SIGTERM");
    for line in server.log_to_end() {
        println!("  {line}");
    }
    Exit { status, took, response: client.response() }
}

fn assert_answered(stall: Duration, exit: &Exit) {
    assert_eq!(exit.status.code(), Some(0), "{stall:?}");
    assert!(exit.response.starts_with(r"\x94\x01\x01"), "{stall:?}: response `{}`", exit.response);
}

fn assert_ends_by_its_kill(moment: Moment, stalls: &[Duration]) {
    for &stall in stalls {
        let exit = run_to_exit(stall, stall, moment);
        assert_answered(stall, &exit);
        assert!(exit.took < STOP, "{stall:?}: ended {:?} after SIGTERM", exit.took);
    }
}

/// Guards against a shutdown that plans its end nearer to the SIGKILL than the longest stall that was
/// measured.
#[test]
fn a_stop_up_to_the_kill_finds_the_process_ended() {
    // The shortest stall is left out, as it leaves less room for delays of the machine itself.
    assert_ends_by_its_kill(Moment::UpToTheKill, &STALLS[1..]);
}

/// Guards against a process that exits before it answers its open requests when it is late with all steps of
/// the shutdown.
#[test]
fn what_is_owed_is_answered_before_an_end_that_comes_late() {
    assert_ends_by_its_kill(Moment::OverAllSteps, &STALLS);
}

/// Guards against the same fault in a process that has not stalled before. The time of its exit is not
/// checked, as the process may reach it too late.
#[test]
fn what_is_owed_is_answered_before_an_end_that_nobody_foresaw() {
    for stall in STALLS {
        let exit = run_to_exit(Duration::ZERO, stall, Moment::OverAllStepsUnforeseen);
        assert_answered(stall, &exit);
    }
}
