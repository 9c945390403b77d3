//! A running fake worker pool and the faults that a test can trigger in it.

use crate::fake_server::FakeServer;
use crate::platform::PlatformSettings;
use crate::worker_pool::faults::WorkerPoolFaults;
use crate::worker_pool::link;
use crate::worker_pool::machine::Machine;
use crate::worker_pool::request_ends::RequestEnds;
use crate::worker_pool::run_log::{StartedRun, WrongReply};
use crate::worker_pool::shared_machine::SharedMachine;
use async_channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// A fault that a test triggers.
enum Control {
    Restart,
    Stall(Duration),
    BreakLink,
}

/// A running fake worker pool.
///
/// # Panics
/// Dropping it panics if a run on its machine received the reply to another call than the one that it waited
/// for.
pub struct FakeWorkerPool {
    _server: FakeServer,
    address: SocketAddr,
    controls: Sender<Control>,
    platform: PlatformSettings,
    shared: SharedMachine,
}

impl FakeWorkerPool {
    /// Starts a worker pool on a new machine of `platform`.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available.
    pub fn start(
        platform: &PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
    ) -> io::Result<FakeWorkerPool> {
        FakeWorkerPool::start_on(platform, seed, faults, SharedMachine::new())
    }

    /// Starts a further worker pool on the same machine, for another process of the same server. It listens
    /// on its own address, numbers its notices separately and reports only the runs that were started through
    /// it; the cores and the run log are shared.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available.
    pub fn start_beside(&self, seed: u64, faults: WorkerPoolFaults) -> io::Result<FakeWorkerPool> {
        FakeWorkerPool::start_on(&self.platform, seed, faults, self.shared.for_further_pool())
    }

    fn start_on(
        platform: &PlatformSettings,
        seed: u64,
        faults: WorkerPoolFaults,
        shared: SharedMachine,
    ) -> io::Result<FakeWorkerPool> {
        let (controls, received_controls) = async_channel::unbounded();
        let (request_ends, ended_requests) = async_channel::unbounded();
        let platform = platform.clone();
        let (machine_platform, machine_shared) = (platform.clone(), shared.clone());
        let delays = shared.delays.clone();
        let (server, address) = FakeServer::listen("worker pool", move |tasks| {
            let machine = Machine::new(machine_platform, seed, faults, machine_shared, request_ends);
            let machine = Rc::new(RefCell::new(machine));
            tasks.spawn(delays.record());
            tasks.spawn(process_controls(machine.clone(), received_controls));
            tasks.spawn(process_request_ends(machine.clone(), ended_requests));
            let tasks = tasks.clone();
            move |stream| link::serve(machine.clone(), tasks.clone(), stream)
        })?;
        Ok(FakeWorkerPool { _server: server, address, controls, platform, shared })
    }

    /// Returns the address on which the worker pool listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Simulates a crash and restart: all runs and notices are lost.
    pub fn kill(&self) {
        let _ = self.controls.try_send(Control::Restart);
    }

    /// Stalls the worker pool for `time`: runs continue, but nothing is read or written.
    pub fn stall(&self, time: Duration) {
        let _ = self.controls.try_send(Control::Stall(time));
    }

    /// Closes the link to the server.
    pub fn break_link(&self) {
        let _ = self.controls.try_send(Control::BreakLink);
    }

    /// Returns the handle by which clients notify the worker pools of the machine that a request has ended.
    /// Without such notifications all runs continue to their end.
    pub fn request_ends(&self) -> RequestEnds {
        self.shared.request_ends.clone()
    }

    /// Returns the number of started runs for each request body.
    pub fn run_counts(&self) -> HashMap<Vec<u8>, u32> {
        self.shared.run_log.counts()
    }

    /// Returns the time spans in which a worker pool on the machine was stalled, by a triggered fault or
    /// because its thread got no processor time, Unix ms.
    pub fn delays(&self) -> Vec<Range<u64>> {
        self.shared.delays.all()
    }

    /// Returns all runs that were started on the machine by any of its worker pools, in the order of their
    /// starts.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.shared.run_log.runs()
    }

    /// Returns the upstream replies that runs on the machine received while they waited for the reply to
    /// another call.
    pub fn wrong_replies(&self) -> Vec<WrongReply> {
        self.shared.run_log.wrong_replies()
    }
}

impl Drop for FakeWorkerPool {
    fn drop(&mut self) {
        let wrong_replies = self.wrong_replies();
        if !std::thread::panicking() {
            assert!(wrong_replies.is_empty(), "runs received replies to other calls: {wrong_replies:?}");
        }
    }
}

async fn process_request_ends(machine: Rc<RefCell<Machine>>, ended_requests: Receiver<String>) {
    while let Ok(id) = ended_requests.recv().await {
        machine.borrow_mut().on_request_end(&id);
    }
}

async fn process_controls(machine: Rc<RefCell<Machine>>, controls: Receiver<Control>) {
    while let Ok(control) = controls.recv().await {
        match control {
            Control::BreakLink => machine.borrow_mut().notices.disconnect(),
            Control::Restart => machine.borrow_mut().restart(),
            // Blocking the thread stalls the whole fake: all its tasks run on this thread.
            Control::Stall(time) => std::thread::sleep(time),
        }
    }
}
