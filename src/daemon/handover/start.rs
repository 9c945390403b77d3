//! Starts the tasks of the handover.

use super::successors::SuccessorAcceptor;
use super::takeover::{Takeover, TakeoverContext, TakeoverTask};
use crate::server::dispatcher::Dispatcher;
use crate::server::handover::HandoverDirectory;
use crate::server::messages::DispatcherSender;
use crate::server::serving_status::ServingStatus;
use crate::server::supervisor::{self, TaskFailure};
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::Sender;
use async_executor::LocalExecutor;
use dunlinspread_handover::ServerIdentity;
use slog::{Logger, error};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

/// Parts of the process that the handover tasks use.
pub(in crate::daemon) struct HandoverStart {
    pub(in crate::daemon) identity: ServerIdentity,
    pub(in crate::daemon) executor: Rc<LocalExecutor<'static>>,
    pub(in crate::daemon) clock: Clock,
    pub(in crate::daemon) wheel: Rc<TimerWheel>,
    pub(in crate::daemon) dispatcher: DispatcherSender,
    pub(in crate::daemon) failures: Sender<TaskFailure>,
    pub(in crate::daemon) status: Arc<ServingStatus>,
    pub(in crate::daemon) log: Logger,
}

impl HandoverStart {
    /// Connects to the predecessor; `None` if there is none or connecting to it fails.
    pub(in crate::daemon) fn find_predecessor(&self, directory: &HandoverDirectory) -> Option<Takeover> {
        let context = TakeoverContext {
            dispatcher: self.dispatcher.clone(),
            executor: self.executor.clone(),
            clock: self.clock,
            wheel: self.wheel.clone(),
            log: self.log.clone(),
        };
        Takeover::find(directory, self.identity.clone(), context)
    }

    /// Enables handover to a successor once this process serves, and starts the takeover from a predecessor
    /// if there is one.
    pub(in crate::daemon) fn start(
        &self,
        directory: HandoverDirectory,
        socket: &TcpListener,
        takeover: Option<Takeover>,
        dispatcher: &mut Dispatcher,
    ) {
        match socket.try_clone() {
            Ok(socket) => dispatcher.enable_handover(self.identity.clone(), socket),
            Err(error) => {
                return error!(self.log, "handover is off: cannot duplicate the listening socket";
                    "error" => error.to_string());
            }
        }
        let acceptor = SuccessorAcceptor {
            directory,
            dispatcher: self.dispatcher.clone(),
            status: self.status.clone(),
            executor: self.executor.clone(),
            wheel: self.wheel.clone(),
            log: self.log.clone(),
        };
        let Some(takeover) = takeover else {
            let task = supervisor::supervise("successor acceptor", acceptor.run(), self.failures.clone());
            return self.executor.spawn(task).detach();
        };
        let (can_serve_sender, can_serve) = async_channel::bounded(1);
        let (response_sender, responses) = async_channel::unbounded();
        dispatcher.await_handover(can_serve_sender, response_sender);
        let task = TakeoverTask { can_serve, responses, acceptor, failures: self.failures.clone() };
        self.executor.spawn(takeover.run(task)).detach();
    }
}
