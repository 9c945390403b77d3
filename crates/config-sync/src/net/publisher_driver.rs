//! The publisher's thread: executes the actions of its state machine.

use super::clock::{Clock, unix_ms};
use super::compaction::Compaction;
use super::node::{Node, NodeStatus, Ticker, accept, tick};
use super::proposal::{ProposeFailure, Reply};
use super::publisher_store::{Opened, PublisherStore};
use super::sessions::Sessions;
use crate::fanout::FanoutEvent;
use crate::frame::FrameKey;
use crate::message::Refusal;
use crate::publisher::{Publisher, PublisherAction};
use crate::resource::{Change, Millis};
use crate::state_store::write_snapshot;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use dunlinspread_store::{Progress, WriteFailure};
use futures_lite::future::or;
use slog::{Logger, error, info, warn};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// A command of the publisher's owner to its thread.
pub(super) enum Command {
    Propose { changes: Vec<Change>, reply: Reply },
    Status(Sender<NodeStatus>),
    TakeRefusals(Sender<Vec<Refusal>>),
}

/// A report of the store's writer or of the snapshot thread.
pub(super) enum DiskReport {
    Progress(Progress),
    /// A snapshot is encoded and can be written.
    Encoded {
        before: u64,
        content: Vec<u8>,
    },
}

/// The publisher's state machine with its store and sessions.
pub(super) struct PublisherDriver {
    publisher: RefCell<Publisher>,
    sessions: RefCell<Sessions>,
    store: RefCell<PublisherStore>,
    compaction: RefCell<Compaction>,
    /// Whether a disk failure prevents all further writes until a restart.
    poisoned: Cell<bool>,
    reports: Sender<DiskReport>,
    ticker: Ticker,
    log: Logger,
}

/// Runs the publisher until the channel of commands is closed.
pub(super) fn run(
    driver: PublisherDriver,
    listener: &Async<TcpListener>,
    key: &FrameKey,
    commands: &Receiver<Command>,
    reports: &Receiver<DiskReport>,
    log: &Logger,
) {
    let driver = Rc::new(driver);
    let executor = LocalExecutor::new();
    let handle_commands = async {
        while let Ok(command) = commands.recv().await {
            driver.on_command(command);
        }
    };
    let handle_reports = async {
        while let Ok(report) = reports.recv().await {
            driver.on_report(report);
        }
    };
    let serve = or(accept(listener, &driver, &executor, key, log), tick(&*driver));
    block_on(executor.run(or(or(handle_commands, handle_reports), serve)));
    // The sessions hold references to the driver, and dropping the executor drops them.
    drop(executor);
    if let Ok(driver) = Rc::try_unwrap(driver).map_err(drop) {
        if let Err(error) = driver.store.into_inner().close() {
            warn!(log, "closing the publisher store failed";
                "component" => "config_sync", "error" => %error);
        }
    }
}

impl PublisherDriver {
    pub(super) fn new(
        opened: Opened,
        snapshot_every: u64,
        key: FrameKey,
        reports: Sender<DiskReport>,
        log: Logger,
    ) -> io::Result<PublisherDriver> {
        let Opened { publisher, log: records, appended } = opened;
        let store_reports = reports.clone();
        let store = PublisherStore::start(records, move |progress| {
            // Fails when the publisher is stopping: it then waits for the writer to finish, not for its
            // reports.
            let _ = store_reports.try_send(DiskReport::Progress(progress));
        })?;
        Ok(PublisherDriver {
            publisher: RefCell::new(publisher),
            sessions: RefCell::new(Sessions::new(key, log.clone())),
            store: RefCell::new(store),
            compaction: RefCell::new(Compaction::new(snapshot_every, appended)),
            poisoned: Cell::new(false),
            reports,
            ticker: Ticker::new(Clock::start()),
            log,
        })
    }

    fn now(&self) -> Millis {
        self.ticker.clock.now()
    }

    fn on_command(&self, command: Command) {
        // Replies may fail: the caller may have stopped waiting.
        match command {
            Command::Propose { changes, reply } => self.propose(changes, reply),
            Command::Status(reply) => drop(reply.try_send(self.status())),
            Command::TakeRefusals(reply) => drop(reply.try_send(self.take_refusals())),
        }
    }

    fn propose(&self, changes: Vec<Change>, reply: Reply) {
        let mut actions = Vec::new();
        let proposed = self.publisher.borrow_mut().propose(unix_ms(), changes, &mut actions);
        if let Err(refused) = proposed {
            let _ = reply.try_send(Err(refused.into()));
            return;
        }
        if self.carry_out(actions) {
            self.store.borrow_mut().set_reply_of_last(reply);
        } else {
            let _ = reply.try_send(Err(ProposeFailure::NotDurable("its write queue is full".to_owned())));
        }
    }

    /// Executes actions and those that result from them. Returns false if the store's write queue had no room
    /// for a transaction.
    fn carry_out(&self, actions: Vec<PublisherAction>) -> bool {
        let now = self.now();
        let mut stored = true;
        let mut actions = actions;
        let mut session_events = Vec::new();
        while !actions.is_empty() {
            for action in actions.drain(..) {
                match action {
                    PublisherAction::Persist { transaction } => {
                        stored &= self.store.borrow_mut().append(transaction);
                    }
                    PublisherAction::Fanout(action) => {
                        self.sessions.borrow_mut().carry_out(now, action, &mut session_events);
                    }
                }
            }
            let mut publisher = self.publisher.borrow_mut();
            for event in session_events.drain(..) {
                publisher.on_event(now, event, &mut actions);
            }
        }
        if !stored {
            self.publisher.borrow_mut().on_persist_failed();
            self.resume_if_settled(None);
        }
        self.ticker.set(self.deadline());
        stored
    }

    fn on_report(&self, report: DiskReport) {
        match report {
            DiskReport::Progress(Progress::Durable { through, next }) => self.on_durable(through, next),
            DiskReport::Progress(Progress::Failed { through, reason, generation, .. }) => {
                self.on_failed(through, &reason, generation);
            }
            DiskReport::Progress(Progress::Snapshot { before, failure }) => self.on_snapshot(before, failure),
            DiskReport::Encoded { before, content } => {
                if !self.store.borrow_mut().snapshot(before, content) {
                    self.compaction.borrow_mut().under_way = false;
                }
            }
        }
    }

    fn on_durable(&self, through: u64, next: u64) {
        let Some(durable) = self.store.borrow_mut().take_durable(through) else { return };
        let mut actions = Vec::new();
        self.publisher.borrow_mut().on_durable(self.now(), durable.position, &mut actions);
        self.carry_out(actions);
        for (position, reply) in durable.replies {
            let _ = reply.try_send(Ok(position));
        }
        let mut compaction = self.compaction.borrow_mut();
        compaction.appended += durable.count;
        compaction.appended_bytes += durable.bytes;
        compaction.published_unix_ms = durable.published_unix_ms;
        drop(compaction);
        self.compact(next);
        // The publisher may be halted because the write queue was full, and can resume once the queue is
        // empty.
        self.resume_if_settled(None);
    }

    fn on_failed(&self, through: u64, error: &WriteFailure, generation: u64) {
        let reason = match error {
            WriteFailure::NoSpace => "the disk is full, the change was not written".to_owned(),
            WriteFailure::NotAttempted => "an earlier write failed, the change was not written".to_owned(),
            WriteFailure::Poisoned(error) => format!("{error}; no changes are accepted until a restart"),
        };
        error!(self.log, "change not durable, not published";
            "component" => "config_sync", "reason" => &reason);
        self.publisher.borrow_mut().on_persist_failed();
        for reply in self.store.borrow_mut().take_failed(through) {
            let _ = reply.try_send(Err(ProposeFailure::NotDurable(reason.clone())));
        }
        if matches!(error, WriteFailure::Poisoned(_)) {
            self.poisoned.set(true);
        }
        self.resume_if_settled(Some(generation));
    }

    /// Accepts changes again after a failure, once it is known that none of the pending transactions was
    /// written. After a permanent failure of the disk, this is not known before a restart.
    fn resume_if_settled(&self, generation: Option<u64>) {
        let settled = self.publisher.borrow().halted() && self.store.borrow().is_idle();
        if !settled || self.poisoned.get() {
            return;
        }
        let mut actions = Vec::new();
        let head = self.publisher.borrow().head();
        let resumed = self.publisher.borrow_mut().resume(self.now(), head, &mut actions);
        match resumed {
            Ok(_) => {
                if let Some(generation) = generation {
                    self.store.borrow_mut().resume(generation);
                }
            }
            Err(error) => {
                error!(self.log, "publisher cannot resume"; "component" => "config_sync", "error" => %error)
            }
        }
    }

    /// Begins a snapshot if one is due. The snapshot is encoded on a separate thread.
    fn compact(&self, before: u64) {
        let mut compaction = self.compaction.borrow_mut();
        if compaction.under_way || !compaction.is_due() {
            return;
        }
        let (table, position) = {
            let publisher = self.publisher.borrow();
            (publisher.table().clone(), publisher.head())
        };
        let reports = self.reports.clone();
        let published_unix_ms = compaction.published_unix_ms;
        let encode = move || {
            let content = write_snapshot(position, published_unix_ms, &table, &[]);
            // Fails when the publisher is stopping.
            let _ = reports.try_send(DiskReport::Encoded { before, content });
        };
        match std::thread::Builder::new().name("config-snapshot".to_owned()).spawn(encode) {
            Ok(_) => compaction.begin(),
            Err(error) => {
                warn!(self.log, "snapshot thread not started";
                    "component" => "config_sync", "error" => %error)
            }
        }
    }

    fn on_snapshot(&self, before: u64, failure: Option<WriteFailure>) {
        self.compaction.borrow_mut().under_way = false;
        match failure {
            None => {
                info!(self.log, "publisher log compacted"; "component" => "config_sync", "before" => before)
            }
            Some(error) => {
                warn!(self.log, "publisher log compaction failed, will be retried";
                    "component" => "config_sync", "error" => format!("{error:?}"));
            }
        }
    }

    fn take_refusals(&self) -> Vec<Refusal> {
        let mut publisher = self.publisher.borrow_mut();
        let mut all = Vec::new();
        loop {
            let batch = publisher.take_refusals();
            if batch.is_empty() {
                return all;
            }
            all.extend(batch);
        }
    }

    fn status(&self) -> NodeStatus {
        let publisher = self.publisher.borrow();
        let sessions = self.sessions.borrow();
        NodeStatus::of_fanout(publisher.fanout(), &sessions)
    }
}

impl Node for PublisherDriver {
    fn sessions(&self) -> &RefCell<Sessions> {
        &self.sessions
    }

    fn ticker(&self) -> &Ticker {
        &self.ticker
    }

    fn deadline(&self) -> Millis {
        self.publisher.borrow().deadline()
    }

    fn on_tick(&self) {
        self.on_session_event(FanoutEvent::Tick);
    }

    fn on_session_event(&self, event: FanoutEvent) {
        let mut actions = Vec::new();
        self.publisher.borrow_mut().on_event(self.now(), event, &mut actions);
        self.carry_out(actions);
    }
}
