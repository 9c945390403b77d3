//! A running worker pool and the faults that are asked of it by hand.

use crate::fake_server::FakeServer;
use crate::platform::PlatformSettings;
use crate::worker_pool::faults::WorkerPoolFaults;
use crate::worker_pool::link;
use crate::worker_pool::machine::{Machine, RunCounts};
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::PoisonError;
use std::time::Duration;

/// A fault that is asked for by hand.
enum Control {
    Restart,
    Stall(Duration),
    BreakLink,
}

/// A running worker pool.
pub struct FakeWorkerPool {
    _server: FakeServer,
    address: SocketAddr,
    controls: Sender<Control>,
    run_counts: RunCounts,
}

impl FakeWorkerPool {
    /// Starts one for a machine of that platform.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start(
        platform: &PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
    ) -> io::Result<FakeWorkerPool> {
        let (controls, received) = async_channel::unbounded();
        let run_counts = RunCounts::default();
        let (platform, shared) = (platform.clone(), run_counts.clone());
        let (server, address) = FakeServer::listen("worker pool", move |tasks| {
            let machine = Rc::new(RefCell::new(Machine::new(platform, seed, faults, shared)));
            tasks.spawn(obey_controls(machine.clone(), received));
            let tasks = tasks.clone();
            move |stream| link::serve(machine.clone(), tasks.clone(), stream)
        })?;
        Ok(FakeWorkerPool { _server: server, address, controls, run_counts })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kills it and starts it anew, cold: all runs and notices are gone.
    pub fn kill(&self) {
        let _ = self.controls.try_send(Control::Restart);
    }

    /// Stalls for that long: runs go on, nothing is read or written.
    pub fn stall(&self, time: Duration) {
        let _ = self.controls.try_send(Control::Stall(time));
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        let _ = self.controls.try_send(Control::BreakLink);
    }

    /// Returns how often each body was begun to run.
    pub fn run_counts(&self) -> HashMap<Vec<u8>, u32> {
        self.run_counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn obey_controls(machine: Rc<RefCell<Machine>>, controls: Receiver<Control>) {
    while let Ok(control) = controls.recv().await {
        match control {
            Control::BreakLink => machine.borrow_mut().notices.disconnect(),
            Control::Restart => machine.borrow_mut().restart(),
            // All tasks of the fake share this thread.
            Control::Stall(time) => std::thread::sleep(time),
        }
    }
}
