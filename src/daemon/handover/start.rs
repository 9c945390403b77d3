//! The start of a handover's tasks.

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

/// What the tasks of a handover are made of.
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
    /// Looks for the process that this one is to take over from.
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

    /// Lets this process hand over to a successor, once it serves, and take over from its predecessor before.
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
                return error!(self.log, "handover is off: no further descriptor"; "error" => error.to_string());
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
