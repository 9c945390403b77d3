//! A process whose event loop has stood still ends by its kill although it stands still once more, for as long, in its last
//! moments; what it owes is answered before.

#[allow(unused_imports, reason = "each test program uses a part of it")]
mod fleet;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

use fleet::FakeWorkerPool;
use play::{Client, LoggedServer, config};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Time from the request to end to the kill.
const STOP: Duration = Duration::from_millis(3000);
/// How long the process stands still, before the request and again near its end.
const STILL: [Duration; 3] =
    [Duration::from_millis(120), Duration::from_millis(180), Duration::from_millis(240)];
/// Connections that their clients keep open to the end.
const RESTING: usize = 100;
/// An address that nobody listens on.
const NOBODY: &str = "127.0.0.1:1";
/// A request whose run does not end before the process does.
const REQUEST: &str = "route-sheet call=0000000000000001";

/// When the process stands still again, before its kill.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// So that it goes on only after the kill, unless it has ended before.
    UpToTheKill,
    /// Over all steps of its end, so that it comes late to all of them, 150 ms before the kill.
    OverAllSteps,
    /// The same where the process foresaw nothing, so that it goes on 30 ms before the kill.
    OverAllStepsUnforeseen,
}

impl Moment {
    fn begins_before_kill(self, still: Duration) -> Duration {
        match self {
            Moment::UpToTheKill => Duration::from_millis(60),
            Moment::OverAllSteps => still + Duration::from_millis(150),
            Moment::OverAllStepsUnforeseen => still + Duration::from_millis(30),
        }
    }
}

/// What became of a process.
struct End {
    status: ExitStatus,
    took: Duration,
    /// What the client of the request was told last.
    response: String,
}

/// Plays the life of a process that stands still twice, the second time in its end.
fn play_end(still_before: Duration, still: Duration, moment: Moment) -> End {
    let pool = FakeWorkerPool::new();
    pool.hold_runs();
    let stop = (r#""stop_ms":30000"#.to_owned(), format!(r#""stop_ms":{}"#, STOP.as_millis()));
    let config = config(&pool.address().to_string(), NOBODY, NOBODY, &[stop]);
    let mut server = LoggedServer::start(&mut play::command(&config, "unlimited").0);
    let resting: Vec<Client> = (0..RESTING).filter_map(|_| Client::resting(&server.address)).collect();
    assert_eq!(resting.len(), RESTING);
    let mut client = Client::new(&server.address);
    client.ask(1, REQUEST);
    pool.wait_running(1);
    server.stand_still(still_before);
    // The event loop has had a turn since.
    Client::new(&server.address).check();
    let requested_at = server.request_end();
    let begins_at = requested_at + STOP - moment.begins_before_kill(still);
    std::thread::sleep(begins_at.saturating_duration_since(Instant::now()));
    let ended_before = server.has_ended().then(|| requested_at.elapsed());
    let stood_still = server.stand_still(still);
    let status = server.end();
    let took = ended_before.unwrap_or_else(|| requested_at.elapsed());
    println!("{still:?} {moment:?}: stood still for {stood_still:?}, ended {took:?} after the request");
    for line in server.log_to_end() {
        println!("  {line}");
    }
    End { status, took, response: client.response() }
}

fn assert_answered(still: Duration, end: &End) {
    assert_eq!(end.status.code(), Some(0), "{still:?}");
    assert!(end.response.starts_with(r"\x94\x01\x01"), "{still:?}: answered by `{}`", end.response);
}

fn assert_ends_by_its_kill(moment: Moment, stops: &[Duration]) {
    for &still in stops {
        let end = play_end(still, still, moment);
        assert_answered(still, &end);
        assert!(end.took < STOP, "{still:?}: ended {:?} after the request", end.took);
    }
}

/// Guards against an end that is planned nearer to the kill than the process was seen to stand still.
#[test]
fn a_stop_up_to_the_kill_finds_the_process_ended() {
    // A shorter one leaves less room for a machine that lags itself.
    assert_ends_by_its_kill(Moment::UpToTheKill, &STILL[1..]);
}

/// Guards against an end of the process that comes first of all that it comes late to.
#[test]
fn what_is_owed_is_answered_before_an_end_that_comes_late() {
    assert_ends_by_its_kill(Moment::OverAllSteps, &STILL);
}

/// The same for a process that has not stood still before. Its end has no bound here: it may come to it too late.
#[test]
fn what_is_owed_is_answered_before_an_end_that_nobody_foresaw() {
    for still in STILL {
        let end = play_end(Duration::ZERO, still, Moment::OverAllStepsUnforeseen);
        assert_answered(still, &end);
    }
}
