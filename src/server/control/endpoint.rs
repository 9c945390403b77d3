//! Thread of the control endpoint.

use super::event_loop::EventLoop;
use crate::server::serving_status::ServingStatus;
use crate::server::supervisor::{self, TaskFailure};
use async_channel::Sender;
use slog::{Logger, error, info, o};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Name of the thread and of the task in its [`TaskFailure`].
const THREAD_NAME: &str = "control";

/// Settings of the control endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Largest number of open connections.
    pub max_connections: usize,
}

/// A running control endpoint, which stops when it is dropped.
#[derive(Debug)]
pub struct ControlEndpoint {
    address: SocketAddr,
    /// Socket that is closed to stop the thread.
    stop: Option<UnixStream>,
    thread: Option<JoinHandle<()>>,
}

impl ControlEndpoint {
    /// Listens on the address and starts the thread. Unless the endpoint is dropped, the end of the thread is
    /// reported to `failures`.
    ///
    /// # Errors
    /// Returns the [`io::Error`] if listening on the address or starting the thread fails.
    pub fn start(
        options: ControlOptions,
        status: Arc<ServingStatus>,
        failures: Sender<TaskFailure>,
        log: &Logger,
    ) -> io::Result<ControlEndpoint> {
        let log = log.new(o!("component" => "control"));
        let listener = dunlinspread_sockets::listen(options.address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stop_peer) = UnixStream::pair()?;
        let event_loop = EventLoop::new(listener, stop_peer, options.max_connections, status, log.clone());
        info!(log, "control endpoint listening"; "control" => address.to_string());
        let work = move || run(event_loop, &failures, &log);
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(work)?;
        Ok(ControlEndpoint { address, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ControlEndpoint {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread has reported its own panic.
            let _ = thread.join();
        }
    }
}

fn run(event_loop: EventLoop, failures: &Sender<TaskFailure>, log: &Logger) {
    let work = || match event_loop.run() {
        Ok(()) => true,
        Err(error) => {
            error!(log, "control endpoint failed"; "error" => error.to_string());
            false
        }
    };
    supervisor::supervise_thread(THREAD_NAME, work, failures);
}
