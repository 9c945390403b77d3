//! What publishers and relays have in common as processes: a listener, sessions, and a timer.

use super::clock::{Alarm, Clock};
use super::notify::LocalNotify;
use super::sessions::{Outbox, Sessions};
use super::socket::{ConnectionError, Turn, try_read, try_write};
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

/// How long the listener pauses when the system gives it no connection, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A client that takes no byte for so long, while there is something to send, is gone.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// How long a client that was told to go has to close.
const LINGER: Duration = Duration::from_secs(1);
/// Sockets open at once, also those that are on their way out.
const MAX_SOCKETS: usize = 4096;
/// The least time between two ticks, ms.
const LEAST_TICK_MS: Millis = 5;

/// How a node is doing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// What it serves.
    pub head: Position,
    /// The digest of its table.
    pub digest: Digest,
    /// The resources in its table.
    pub resources: usize,
    /// Its sessions.
    pub sessions: usize,
    /// Snapshots under way or announced.
    pub snapshots: usize,
    /// How far the zones below it have come.
    pub zones: Vec<ZoneProgress>,
    /// Bytes received from clients.
    pub bytes_in: u64,
    /// Bytes sent to clients.
    pub bytes_out: u64,
    /// Frames received from and sent to clients.
    pub frames: u64,
    /// Sessions closed for a bad frame.
    pub bad_frames: u64,
    /// Sessions closed because their clients did not keep up.
    pub closed_slow: u64,
    /// A relay's connections to servers above it; 0 for a publisher.
    pub upstream_connections: u64,
    /// Bytes that a relay received from above.
    pub upstream_bytes_in: u64,
    /// Bytes that a relay sent upwards.
    pub upstream_bytes_out: u64,
    /// Frames that a relay received from above and sent upwards.
    pub upstream_frames: u64,
    /// The server that a relay watches.
    pub upstream: Option<Arc<str>>,
    /// How long ago a relay last knew that it had all there is, ms.
    pub age_ms: Option<u64>,
}

impl NodeStatus {
    /// Of the side towards the clients.
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

/// A publisher or relay, on one thread.
pub(super) trait Node: 'static {
    fn sessions(&self) -> &RefCell<Sessions>;
    fn ticker(&self) -> &Ticker;
    /// When the next tick is needed.
    fn deadline(&self) -> Millis;
    fn on_tick(&self);
    fn on_session_event(&self, event: FanoutEvent);
}

/// Rings when the state machine of a node wants a tick.
pub(super) struct Ticker {
    pub(super) clock: Clock,
    armed_at: Cell<Millis>,
    earlier: LocalNotify,
}

impl Ticker {
    pub(super) fn new(clock: Clock) -> Ticker {
        Ticker { clock, armed_at: Cell::new(0), earlier: LocalNotify::default() }
    }

    /// After each event: the next tick is needed at `deadline`. One that is near anyway is early enough.
    pub(super) fn set(&self, deadline: Millis) {
        let armed_at = self.armed_at.get();
        if deadline < armed_at && self.clock.now() + LEAST_TICK_MS < armed_at {
            self.earlier.notify();
        }
    }
}

/// Gives the node its ticks, for ever.
pub(super) async fn tick<N: Node, T>(node: &N) -> T {
    let ticker = node.ticker();
    let mut alarm = Alarm::new(ticker.clock);
    loop {
        let now = ticker.clock.now();
        if now >= node.deadline() {
            node.on_tick();
            node.sessions().borrow_mut().tidy(now);
        }
        let due = node.deadline().max(now + LEAST_TICK_MS);
        ticker.armed_at.set(due);
        alarm.set(due);
        or(alarm.rings(), ticker.earlier.wait()).await;
    }
}

/// Takes connections, for ever.
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
                let place = SocketPlace::take(&sockets);
                let decoder = FrameDecoder::new(key.clone());
                let session = session(node.clone(), stream, peer, decoder, log.clone(), place);
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
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One of the sockets that may be open.
struct SocketPlace(Rc<Cell<usize>>);

impl SocketPlace {
    fn take(sockets: &Rc<Cell<usize>>) -> SocketPlace {
        sockets.set(sockets.get() + 1);
        SocketPlace(sockets.clone())
    }
}

impl Drop for SocketPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One connection, from its beginning to its end.
async fn session<N: Node>(
    node: Rc<N>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    decoder: FrameDecoder,
    log: Logger,
    _place: SocketPlace,
) {
    // Without it small messages wait; that is all.
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
        // One that sends without end gets a turn as often as the others.
        yield_now().await;
    }
}

/// Sends what is queued; ends well when the session is to end.
async fn write<N: Node>(node: &N, stream: &Async<TcpStream>, outbox: &Outbox) -> Result<(), ConnectionError> {
    let mut turn = Turn::default();
    while let Some(frame) = outbox.next().await {
        let mut sent = 0;
        while sent < frame.len() {
            match try_write(stream, &frame[sent..])? {
                Some(count) => {
                    sent += count;
                    node.sessions().borrow_mut().counters.bytes_out += count as u64;
                }
                None => {
                    let room = async { Ok(stream.writable().await?) };
                    let limit = async {
                        Timer::after(WRITE_LIMIT).await;
                        Err(ConnectionError::Unread(frame.len() - sent))
                    };
                    let abandoned = async {
                        outbox.abandoned().await;
                        Err(ConnectionError::Abandoned)
                    };
                    or(abandoned, or(room, limit)).await?;
                }
            }
            turn.step().await;
        }
        outbox.sent();
        node.sessions().borrow_mut().counters.frames += 1;
    }
    if outbox.ends_after_sending() {
        // A socket that is closed with bytes unread takes back what the client has not read yet: it closes first.
        stream.get_ref().shutdown(Shutdown::Write)?;
        Timer::after(LINGER).await;
    }
    Ok(())
}
