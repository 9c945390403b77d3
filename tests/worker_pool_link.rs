//! The link to the worker pool while the pool's address changes: every connection attempt to the new address
//! is used. The pool would take an abandoned one for a further link.

use async_channel::Sender;
use dunlinspread::server::messages::{
    DispatcherInbox, DispatcherMessage, LinkCommand, PoolCommand, PoolEvent, WorkerPoolMessage,
    dispatcher_mailbox,
};
use dunlinspread::server::timer_wheel::{Clock, TimerWheel};
use dunlinspread::server::worker_pool::WorkerPoolLink;
use futures_lite::future::{BoxedLocal, block_on, or, poll_once};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Capacity of the dispatcher's mailbox.
const MAILBOX: usize = 64;
/// Time limit of each read.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// A worker pool link whose task the test polls.
struct Link {
    task: BoxedLocal<()>,
    messages: Sender<WorkerPoolMessage>,
    wheel: Rc<TimerWheel>,
    events: Option<DispatcherInbox>,
}

impl Link {
    fn new(address: SocketAddr) -> Link {
        let (dispatcher, events) = dispatcher_mailbox(MAILBOX);
        let (messages, queue) = async_channel::unbounded();
        let wheel = TimerWheel::new(Clock::start(), 1.0);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let link = WorkerPoolLink::new(address, Vec::new(), dispatcher, wheel.clone(), log);
        Link { task: Box::pin(link.run(queue)), messages, wheel, events: Some(events) }
    }

    fn set_address(&self, address: SocketAddr) {
        self.messages.try_send(WorkerPoolMessage::SetAddress(address)).expect("the queue is open");
    }

    /// Polls the task once.
    fn poll(&mut self) {
        assert!(block_on(poll_once(&mut self.task)).is_none(), "the link's task ended");
    }

    /// Runs the task until `done` completes, and returns its output.
    fn run_until<T>(&mut self, done: impl Future<Output = T>) -> T {
        let ended = async {
            or(&mut self.task, self.wheel.clone().advance()).await;
            panic!("the link's task ended")
        };
        block_on(or(done, ended))
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Accepts a connection and returns it with its first line, which is empty if the connection was closed
/// without one.
fn accept(listener: &TcpListener) -> (TcpStream, String) {
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_read_timeout(Some(TIME_LIMIT)).expect("a time limit");
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).expect("a line or the end");
    (stream, line)
}

/// Runs the link until the first connection to `listener` is accepted and its first line read.
fn run_until_accepted(link: &mut Link, listener: TcpListener) -> (TcpListener, TcpStream, String) {
    let (sender, accepted) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let (stream, line) = accept(&listener);
        let _ = sender.send_blocking((listener, stream, line));
    });
    link.run_until(accepted.recv()).expect("a connection")
}

/// Asserts that the first connection at the new address is the link, and that there is no other.
fn assert_moved(link: &mut Link, new_pool: TcpListener) {
    let (new_pool, _stream, line) = run_until_accepted(link, new_pool);
    assert_eq!(line, "{\"op\":\"bind\",\"seq\":0}\n", "the first connection is not the link");
    new_pool.set_nonblocking(true).expect("a socket");
    let further = new_pool.accept().map(drop).expect_err("no further connection");
    assert_eq!(further.kind(), ErrorKind::WouldBlock, "{further}");
}

/// The old address refuses the connection while the one to the new address is being established.
#[test]
fn a_refusal_at_the_old_address_leaves_the_connection_to_the_new_one() {
    let (old_pool, old_address) = listen();
    drop(old_pool);
    let (new_pool, new_address) = listen();
    let mut link = Link::new(old_address);
    link.set_address(new_address);
    // Both attempts start here, and neither can end before the next poll.
    link.poll();
    assert_moved(&mut link, new_pool);
}

/// The old link ends while the connection to the new address is being established.
#[test]
fn an_end_of_the_old_link_leaves_the_connection_to_the_new_one() {
    let (old_pool, old_address) = listen();
    let (new_pool, new_address) = listen();
    let mut link = Link::new(old_address);
    let (old_pool, old_stream, line) = run_until_accepted(&mut link, old_pool);
    assert_eq!(line, "{\"op\":\"bind\",\"seq\":0}\n");
    link.set_address(new_address);
    link.poll();
    drop((old_stream, old_pool));
    assert_moved(&mut link, new_pool);
}

/// After several changes of the address, the link connects to the last one.
#[test]
fn the_last_of_several_addresses_is_connected() {
    let (old_pool, old_address) = listen();
    let (_silent_pool, silent_address) = listen();
    let (new_pool, new_address) = listen();
    let mut link = Link::new(old_address);
    let (_old_pool, _old_stream, _) = run_until_accepted(&mut link, old_pool);
    link.set_address(silent_address);
    link.set_address(new_address);
    assert_moved(&mut link, new_pool);
}

/// Commands that runs need and that waited for the writer are reported with the wait of the first.
/// Suspensions, gauge readings, and commands that are written at once are not reported.
#[test]
fn commands_that_waited_to_be_written_are_reported() {
    const WAITED_MS: f64 = 60_000.0;
    let (pool, address) = listen();
    let mut link = Link::new(address);
    let (_pool, _stream, _) = run_until_accepted(&mut link, pool);
    let now = link.wheel.clock().now();
    let run = PoolCommand::Resume { attempt: 1 };
    for (given_at, command) in [
        (now - 2.0 * WAITED_MS, PoolCommand::ReadGauges { tag: 1 }),
        (now - 2.0 * WAITED_MS, PoolCommand::Suspend { attempt: 2 }),
        (now - WAITED_MS, run.clone()),
        (now - WAITED_MS / 2.0, run.clone()),
    ] {
        let command = LinkCommand { link: 1, number: 1, given_at, command };
        link.messages.try_send(WorkerPoolMessage::Command(command)).expect("the queue is open");
    }
    let mut events = link.events.take().expect("the inbox is taken once");
    let event = link.run_until(events.next()).expect("an event");
    let DispatcherMessage::Pool(PoolEvent::CommandsDelayed { waited_ms }) = event else {
        panic!("another event")
    };
    assert!((WAITED_MS..2.0 * WAITED_MS).contains(&waited_ms), "waited {waited_ms} ms");
    // A command issued after the last write has not waited, and one issued before it has waited only since
    // then.
    let suspension = LinkCommand {
        link: 1,
        number: 2,
        given_at: now - WAITED_MS,
        command: PoolCommand::Suspend { attempt: 3 },
    };
    let given_now = LinkCommand { link: 1, number: 3, given_at: f64::INFINITY, command: run };
    for command in [suspension, given_now] {
        link.messages.try_send(WorkerPoolMessage::Command(command)).expect("the queue is open");
        (0..3).for_each(|_| link.poll());
    }
    assert!(events.take_waiting().is_none(), "reported though nothing waited");
}

/// Guards against commands in doubt after a move to another address: the new link begins once the pool has
/// carried out all commands of the old one, and later commands wait for it.
#[test]
fn a_move_waits_until_the_commands_of_the_old_link_are_carried_out() {
    let (old_pool, old_address) = listen();
    let (new_pool, new_address) = listen();
    let mut link = Link::new(old_address);
    let (_old_pool, mut old_stream, _) = run_until_accepted(&mut link, old_pool);
    let command = |number| {
        let command = PoolCommand::Resume { attempt: number };
        WorkerPoolMessage::Command(LinkCommand { link: 1, number, given_at: f64::INFINITY, command })
    };
    link.messages.try_send(command(1)).expect("the queue is open");
    link.set_address(new_address);
    let (sender, read) = async_channel::bounded(1);
    let mut reader = BufReader::new(old_stream.try_clone().expect("a descriptor"));
    std::thread::spawn(move || {
        let lines: Vec<String> = (&mut reader).lines().take(2).map_while(Result::ok).collect();
        let _ = sender.send_blocking(lines);
    });
    let lines = link.run_until(read.recv()).expect("two lines");
    assert_eq!(lines[1], r#"{"op":"poll","tag":"drained"}"#, "{lines:?}");
    link.messages.try_send(command(2)).expect("the queue is open");
    (0..3).for_each(|_| link.poll());
    let mut events = link.events.take().expect("the inbox is taken once");
    assert!(events.take_waiting().is_none(), "the link has ended before the answer");
    old_stream
        .write_all(b"{\"op\":\"polled\",\"tag\":\"drained\",\"values\":[0,0,0,0]}\n")
        .expect("the link is up");
    let event = link.run_until(async {
        loop {
            if let Some(DispatcherMessage::Pool(event)) = events.next().await {
                break event;
            }
        }
    });
    assert_eq!(event, PoolEvent::LinkDown { last_written: Some(1), is_drained: true });
    let (_new_pool, _stream, line) = run_until_accepted(&mut link, new_pool);
    assert_eq!(line, "{\"op\":\"bind\",\"seq\":0}\n");
}
