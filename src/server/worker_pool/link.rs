//! The task that maintains the link to the worker pool.

use super::connect::{CONNECT_RETRY_MS, ConnectAttempt, connect_after};
use super::reader::{LinkReader, PoolProgress};
use super::writer::{LinkEnd, LinkWriter};
use crate::server::messages::{
    CommandNumber, DispatcherMessage, DispatcherSender, PoolEvent, WorkerPoolMessage,
};
use crate::server::timer_wheel::TimerWheel;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future::{or, pending};
use slog::{Logger, info, warn};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Delay before reconnecting after the loss of a link that was up, ms. Runs requested meanwhile wait for this
/// time.
const RECONNECT_MS: f64 = 5.0;

/// The link to the worker pool.
///
/// # Invariants
/// - Each notice is passed to the dispatcher once, even if it is read on several links.
/// - [`PoolEvent::LinkUp`] is sent after all notices from before the link.
/// - No message from the pool ends the task.
pub struct WorkerPoolLink {
    address: SocketAddr,
    /// Class names by position.
    classes: Vec<String>,
    dispatcher: DispatcherSender,
    wheel: Rc<TimerWheel>,
    log: Logger,
    progress: PoolProgress,
    /// Number of the current link, or of the last one while there is none.
    link_number: u64,
    /// Number of the last command of which any part may have been written to the current link.
    last_written: Option<CommandNumber>,
    /// Current attempt to connect to `address`. It may outlive a link.
    connecting: Option<ConnectAttempt>,
    /// Connection to `address` that is used once the current link, to an earlier address, has ended.
    new_stream: Option<Async<TcpStream>>,
}

/// Next step after a link has ended.
enum AfterLink {
    /// Use this connection, which leads to the pool's new address.
    Continue(Async<TcpStream>),
    /// Connect to the pool again.
    Reconnect,
    /// End the task: the process is ending.
    ProcessEnds,
}

enum ConnectEvent {
    /// The connection attempt ended.
    Ended(io::Result<Async<TcpStream>>),
    /// The pool's address changed.
    AddressChanged(SocketAddr),
}

impl WorkerPoolLink {
    /// Returns a link to the pool at `address` that is not connected yet. `classes` holds the class names by
    /// position.
    pub fn new(
        address: SocketAddr,
        classes: Vec<String>,
        dispatcher: DispatcherSender,
        wheel: Rc<TimerWheel>,
        log: Logger,
    ) -> Self {
        let progress = PoolProgress::default();
        WorkerPoolLink {
            address,
            classes,
            dispatcher,
            wheel,
            log,
            progress,
            link_number: 0,
            last_written: None,
            connecting: None,
            new_stream: None,
        }
    }

    /// Maintains the link until the process ends.
    pub async fn run(mut self, messages: Receiver<WorkerPoolMessage>) {
        let mut connected = None;
        let mut is_unreachable = false;
        loop {
            let stream = match connected.take() {
                Some(stream) => Ok(stream),
                None => self.connect(&messages).await,
            };
            match stream {
                Ok(stream) => {
                    is_unreachable = false;
                    match self.serve(stream, &messages).await {
                        AfterLink::Continue(stream) => connected = Some(stream),
                        AfterLink::Reconnect => {}
                        AfterLink::ProcessEnds => return,
                    }
                }
                Err(error) => {
                    if !is_unreachable {
                        warn!(self.log, "worker pool unreachable"; "component" => "worker_pool",
                            "error" => error.to_string());
                    }
                    is_unreachable = true;
                    self.begin_connecting(CONNECT_RETRY_MS);
                }
            }
        }
    }

    /// Waits for a connection attempt to end. If the pool's address changes, a new attempt replaces the
    /// current one.
    async fn connect(&mut self, messages: &Receiver<WorkerPoolMessage>) -> io::Result<Async<TcpStream>> {
        loop {
            let (address, wheel) = (self.address, self.wheel.clone());
            let attempt = self.connecting.get_or_insert_with(|| connect_after(0.0, address, wheel));
            let ended = async { ConnectEvent::Ended(attempt.await) };
            let address_changed = async { ConnectEvent::AddressChanged(next_address(messages).await) };
            // An established connection is polled first: if the address changed as well, the link moves to it
            // as usual.
            match or(ended, address_changed).await {
                ConnectEvent::Ended(result) => {
                    self.connecting = None;
                    return result;
                }
                ConnectEvent::AddressChanged(address) => {
                    self.address = address;
                    self.begin_connecting(0.0);
                }
            }
        }
    }

    fn begin_connecting(&mut self, delay_ms: f64) {
        self.connecting = Some(connect_after(delay_ms, self.address, self.wheel.clone()));
    }

    /// Serves one link on a connection until the link ends.
    async fn serve(&mut self, stream: Async<TcpStream>, messages: &Receiver<WorkerPoolMessage>) -> AfterLink {
        self.link_number += 1;
        let end = self.exchange(&stream, messages).await;
        drop(stream);
        let bound = std::mem::take(&mut self.progress.bound);
        let is_drained = matches!(end, LinkEnd::Moved { is_drained: true });
        let link_down = PoolEvent::LinkDown { last_written: self.last_written.take(), is_drained };
        if self.dispatcher.send(DispatcherMessage::Pool(link_down)).await.is_err() {
            return AfterLink::ProcessEnds;
        }
        if let LinkEnd::Failed(error) = &end {
            warn!(self.log, "worker pool link down"; "component" => "worker_pool",
                    "error" => error.to_string(), "last_notice" => self.progress.last_sequence);
        }
        if let Some(stream) = self.new_stream.take() {
            info!(self.log, "worker pool address changed"; "component" => "worker_pool",
                "drained" => is_drained, "address" => self.address.to_string());
            return AfterLink::Continue(stream);
        }
        // If the pool's address changed just before, an attempt is already under way.
        if self.connecting.is_none() {
            self.begin_connecting(if bound { RECONNECT_MS } else { CONNECT_RETRY_MS });
        }
        AfterLink::Reconnect
    }

    /// Reads and writes until either direction ends.
    async fn exchange(
        &mut self,
        stream: &Async<TcpStream>,
        messages: &Receiver<WorkerPoolMessage>,
    ) -> LinkEnd {
        let _ = stream.get_ref().set_nodelay(true);
        let last_sequence = self.progress.last_sequence;
        let (drained_sender, drained) = async_channel::bounded(1);
        let writer = LinkWriter {
            link_number: self.link_number,
            stream,
            classes: &self.classes,
            address: &mut self.address,
            wheel: &self.wheel,
            dispatcher: &self.dispatcher,
            oldest_queued_at: None,
            last_written_at: f64::NEG_INFINITY,
            last_written: &mut self.last_written,
            reconnecting: &mut self.connecting,
            new_stream: &mut self.new_stream,
            drained,
        };
        let reader = LinkReader {
            link_number: self.link_number,
            stream,
            progress: &mut self.progress,
            dispatcher: &self.dispatcher,
            drained: drained_sender,
            log: &self.log,
            warnings: 0,
        };
        let read = async { LinkEnd::Failed(reader.run().await) };
        or(read, writer.run(last_sequence, messages)).await
    }
}

/// Waits for a new address of the pool. Commands received meanwhile belong to a link that ended and are
/// discarded.
async fn next_address(messages: &Receiver<WorkerPoolMessage>) -> SocketAddr {
    loop {
        match messages.recv().await {
            Ok(WorkerPoolMessage::SetAddress(address)) => return address,
            Ok(WorkerPoolMessage::Command(_)) => {}
            Err(_) => return pending().await,
        }
    }
}
