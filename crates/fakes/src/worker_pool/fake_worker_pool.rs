//! A running worker pool and the faults that are asked of it by hand.

use crate::fake_server::FakeServer;
use crate::platform::PlatformSettings;
use crate::worker_pool::faults::WorkerPoolFaults;
use crate::worker_pool::link;
use crate::worker_pool::machine::Machine;
use crate::worker_pool::request_ends::RequestEnds;
use crate::worker_pool::run_log::StartedRun;
use crate::worker_pool::shared_machine::SharedMachine;
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
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
    platform: PlatformSettings,
    shared: SharedMachine,
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
        FakeWorkerPool::start_on(platform, seed, faults, SharedMachine::new())
    }

    /// Starts a further one on the same machine, for another process of the same server: it listens at an address of its
    /// own, numbers its notices on its own and tells only of runs begun through it; the cores and the run log are shared.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn start_beside(&self, seed: u64, faults: WorkerPoolFaults) -> io::Result<FakeWorkerPool> {
        FakeWorkerPool::start_on(&self.platform, seed, faults, self.shared.beside())
    }

    fn start_on(
        platform: &PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
        shared: SharedMachine,
    ) -> io::Result<FakeWorkerPool> {
        let (controls, received) = async_channel::unbounded();
        let (request_ends, ended) = async_channel::unbounded();
        let platform = platform.clone();
        let (machine_platform, machine_shared) = (platform.clone(), shared.clone());
        let delays = shared.delays.clone();
        let (server, address) = FakeServer::listen("worker pool", move |tasks| {
            let machine = Machine::new(machine_platform, seed, faults, machine_shared, request_ends);
            let machine = Rc::new(RefCell::new(machine));
            tasks.spawn(delays.record());
            tasks.spawn(obey_controls(machine.clone(), received));
            tasks.spawn(hear_request_ends(machine.clone(), ended));
            let tasks = tasks.clone();
            move |stream| link::serve(machine.clone(), tasks.clone(), stream)
        })?;
        Ok(FakeWorkerPool { _server: server, address, controls, platform, shared })
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

    /// Returns where clients tell the worker pools of the machine that a request is over. A machine that is told of no end
    /// carries all runs on.
    pub fn request_ends(&self) -> RequestEnds {
        self.shared.request_ends.clone()
    }

    /// Returns how often each body was begun to run.
    pub fn run_counts(&self) -> HashMap<Vec<u8>, u32> {
        self.shared.run_log.counts()
    }

    /// Returns when this worker pool or another one on the machine stood still, by a fault that was asked for or for want of
    /// time on the cores, from when to when, Unix ms.
    pub fn delays(&self) -> Vec<Range<u64>> {
        self.shared.delays.all()
    }

    /// Returns all runs that were begun on the machine, also through other worker pools, in order.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.shared.run_log.runs()
    }
}

async fn hear_request_ends(machine: Rc<RefCell<Machine>>, ended: Receiver<String>) {
    while let Ok(id) = ended.recv().await {
        machine.borrow_mut().on_request_end(&id);
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
