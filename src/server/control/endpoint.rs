//! The control endpoint's thread.

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

/// The name of the thread, and of its failure.
const THREAD_NAME: &str = "control";

/// Where the endpoint listens and what it may hold.
#[derive(Clone, Copy, Debug)]
pub struct ControlOptions {
    /// The address.
    pub address: SocketAddr,
    /// The most open connections.
    pub max_connections: usize,
}

/// A control endpoint that runs, until it is dropped.
#[derive(Debug)]
pub struct ControlEndpoint {
    address: SocketAddr,
    /// Closed to stop the thread.
    stop: Option<UnixStream>,
    thread: Option<JoinHandle<()>>,
}

impl ControlEndpoint {
    /// Listens on the address and starts the thread. `failures` hears of its end, unless the endpoint was dropped.
    ///
    /// # Errors
    /// If the address can't be listened on or the thread can't be started.
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
        let (stop, stopped) = UnixStream::pair()?;
        let event_loop = EventLoop::new(listener, stopped, options.max_connections, status, log.clone());
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
            // A panic was reported by the thread itself.
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
