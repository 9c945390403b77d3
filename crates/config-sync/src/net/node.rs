//! The parts that the publisher's and the relay's threads share: a listener, sessions and a timer.

use super::clock::{Alarm, Clock};
use super::notify::LocalNotify;
use super::sessions::{Outbox, Sessions};
use super::socket::{ConnectionError, YieldBudget, try_read, try_write};
use crate::codec::decode_to_server;
use crate::fanout::{Fanout, FanoutEvent, SessionId};
use crate::frame::{FrameDecoder, FrameKey};
use crate::message::ZoneProgress;
use crate::resource::{Digest, Millis, Position};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use slog::{Logger, debug, warn};
use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the listener accepts again after `accept` failed, for example because file descriptors ran
/// out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which the connection to a client that reads nothing, although data is waiting for it, is
/// closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a client has to close its connection after the server has shut down its sending side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of open sockets, including those being closed.
const MAX_SOCKETS: usize = 4096;
/// Minimum time between two ticks, ms.
const MIN_TICK_INTERVAL_MS: Millis = 5;

/// Status and counters of a publisher or relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Newest position that the node serves.
    pub head: Position,
    /// Digest of the node's table.
    pub digest: Digest,
    /// Number of resources in the node's table.
    pub resources: usize,
    /// Number of open sessions.
    pub sessions: usize,
    /// Number of snapshots being sent or announced.
    pub snapshots: usize,
    /// Progress of the zones below the node.
    pub zones: Vec<ZoneProgress>,
    /// Number of bytes received from clients.
    pub bytes_in: u64,
    /// Number of bytes sent to clients.
    pub bytes_out: u64,
    /// Number of frames received from and sent to clients.
    pub frames: u64,
    /// Number of sessions closed because of a bad frame.
    pub bad_frames: u64,
    /// Number of sessions closed because their clients did not keep up.
    pub closed_slow: u64,
    /// Number of connections that a relay has established to its upstream servers; 0 for a publisher.
    pub upstream_connections: u64,
    /// Number of bytes that a relay received from upstream servers.
    pub upstream_bytes_in: u64,
    /// Number of bytes that a relay sent to upstream servers.
    pub upstream_bytes_out: u64,
    /// Number of frames that a relay received from and sent to upstream servers.
    pub upstream_frames: u64,
    /// Name of the upstream server that a relay follows.
    pub upstream: Option<Arc<str>>,
    /// Time since a relay last knew that it was up to date with the publisher, ms.
    pub age_ms: Option<u64>,
}

impl NodeStatus {
    /// Returns the status of the side that serves clients; the upstream fields keep their defaults.
    pub(super) fn of_fanout(fanout: &Fanout, sessions: &Sessions) -> NodeStatus {
        let counters = sessions.counters;
        NodeStatus {
            head: fanout.head(),
            digest: fanout.table().digest(),
            resources: fanout.table().len(),
            sessions: fanout.sessions(),
            snapshots: fanout.snapshots(),
            zones: fanout.zones(),
            bytes_in: counters.bytes_in,
            bytes_out: counters.bytes_out,
            frames: counters.frames,
            bad_frames: counters.bad_frames,
            closed_slow: counters.closed_slow,
            ..NodeStatus::default()
        }
    }
}

/// A publisher or relay that runs on one thread.
pub(super) trait Node: 'static {
    fn sessions(&self) -> &RefCell<Sessions>;
    fn ticker(&self) -> &Ticker;
    /// Returns the time at which the next tick is due.
    fn deadline(&self) -> Millis;
    fn on_tick(&self);
    fn on_session_event(&self, event: FanoutEvent);
}

/// Schedules the ticks of a node's state machine.
pub(super) struct Ticker {
    pub(super) clock: Clock,
    armed_at: Cell<Millis>,
    /// Notified when the next tick is due earlier than the alarm is armed for.
    rescheduled: LocalNotify,
}

impl Ticker {
    pub(super) fn new(clock: Clock) -> Ticker {
        Ticker { clock, armed_at: Cell::new(0), rescheduled: LocalNotify::default() }
    }

    /// Moves the next tick to `deadline` if that is earlier; called after each event. A tick that is due
    /// within [`MIN_TICK_INTERVAL_MS`] is not moved.
    pub(super) fn set(&self, deadline: Millis) {
        let armed_at = self.armed_at.get();
        if deadline < armed_at && self.clock.now() + MIN_TICK_INTERVAL_MS < armed_at {
            self.rescheduled.notify();
        }
    }
}

/// Runs the node's ticks. Never returns.
pub(super) async fn tick<N: Node, T>(node: &N) -> T {
    let ticker = node.ticker();
    let mut alarm = Alarm::new(ticker.clock);
    loop {
        let now = ticker.clock.now();
        if now >= node.deadline() {
            node.on_tick();
            node.sessions().borrow_mut().evict_frames(now);
        }
        let due = node.deadline().max(now + MIN_TICK_INTERVAL_MS);
        ticker.armed_at.set(due);
        alarm.set(due);
        or(alarm.fired(), ticker.rescheduled.wait()).await;
    }
}

/// Accepts connections and spawns a session for each. Never returns.
pub(super) async fn accept<N: Node, T>(
    listener: &Async<TcpListener>,
    node: &Rc<N>,
    executor: &LocalExecutor<'static>,
    key: &FrameKey,
    log: &Logger,
) -> T {
    let sockets = Rc::new(Cell::new(0));
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if sockets.get() < MAX_SOCKETS => {
                failing = false;
                let permit = SocketPermit::acquire(&sockets);
                let decoder = FrameDecoder::new(key.clone());
                let session = session(node.clone(), stream, peer, decoder, log.clone(), permit);
                executor.spawn(session).detach();
            }
            Ok((_, peer)) => {
                debug!(log, "connection limit reached"; "component" => "config_sync", "peer" => %peer)
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!(log, "accepting connections failed, retrying";
                        "component" => "config_sync", "error" => %error);
                }
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts one open socket against [`MAX_SOCKETS`] until it is dropped.
struct SocketPermit(Rc<Cell<usize>>);

impl SocketPermit {
    fn acquire(sockets: &Rc<Cell<usize>>) -> SocketPermit {
        sockets.set(sockets.get() + 1);
        SocketPermit(sockets.clone())
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one connection from its start until it ends.
async fn session<N: Node>(
    node: Rc<N>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    decoder: FrameDecoder,
    log: Logger,
    _permit: SocketPermit,
) {
    // A failure is ignored: without TCP_NODELAY small messages are only delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let (id, outbox) = node.sessions().borrow_mut().open();
    node.on_session_event(FanoutEvent::Opened(id));
    let ended = or(write(&*node, &stream, &outbox), read(&*node, &stream, id, decoder)).await;
    let mut sessions = node.sessions().borrow_mut();
    sessions.closed(id);
    match ended {
        Err(error) if error.is_bad_frame() => {
            sessions.counters.bad_frames += 1;
            warn!(log, "client connection closed on error";
                "component" => "config_sync", "peer" => %peer, "error" => %error);
        }
        Err(error) => {
            debug!(log, "client connection ended";
                "component" => "config_sync", "peer" => %peer, "error" => %error)
        }
        Ok(()) => {}
    }
    drop(sessions);
    node.on_session_event(FanoutEvent::Closed(id));
}

/// Reads messages and passes them to the node until the connection fails.
async fn read<N: Node>(
    node: &N,
    stream: &Async<TcpStream>,
    id: SessionId,
    mut decoder: FrameDecoder,
) -> Result<(), ConnectionError> {
    loop {
        let Some(count) = try_read(stream, &mut decoder)? else {
            stream.readable().await?;
            continue;
        };
        node.sessions().borrow_mut().counters.bytes_in += count as u64;
        while let Some(payload) = decoder.next_payload()? {
            let message = decode_to_server(payload)?;
            node.sessions().borrow_mut().counters.frames += 1;
            node.on_session_event(FanoutEvent::Received(id, message));
        }
        // Yields after each read so that a client that sends continuously doesn't starve the other sessions.
        yield_now().await;
    }
}

/// Sends the queued frames. Returns `Ok` once the session has been closed by the node.
async fn write<N: Node>(node: &N, stream: &Async<TcpStream>, outbox: &Outbox) -> Result<(), ConnectionError> {
    let mut yield_budget = YieldBudget::default();
    while let Some(frame) = outbox.next().await {
        let mut sent = 0;
        while sent < frame.len() {
            match try_write(stream, &frame[sent..])? {
                Some(count) => {
                    sent += count;
                    node.sessions().borrow_mut().counters.bytes_out += count as u64;
                }
                None => {
                    let writable = async { Ok(stream.writable().await?) };
                    let timeout = async {
                        Timer::after(WRITE_TIMEOUT).await;
                        Err(ConnectionError::Unread(frame.len() - sent))
                    };
                    let aborted = async {
                        outbox.aborted().await;
                        Err(ConnectionError::Aborted)
                    };
                    or(aborted, or(writable, timeout)).await?;
                }
            }
            yield_budget.step().await;
        }
        outbox.sent();
        node.sessions().borrow_mut().counters.frames += 1;
    }
    if outbox.ends_after_sending() {
        // Closing a socket that has unread input resets the connection, and the client loses what it has not
        // read yet. The client therefore closes first.
        stream.get_ref().shutdown(Shutdown::Write)?;
        Timer::after(LINGER_TIMEOUT).await;
    }
    Ok(())
}
