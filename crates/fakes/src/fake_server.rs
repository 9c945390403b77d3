//! The thread of a fake, which runs the fake's tasks until the fake is dropped.

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::thread::JoinHandle;

/// Spawns tasks on the thread of one fake. Tasks may hold it: it is a weak reference and does not keep them
/// alive.
#[derive(Clone)]
pub(crate) struct Tasks(Weak<LocalExecutor<'static>>);

impl Tasks {
    /// Spawns a task, which is dropped at the latest when the fake ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(tasks) = self.0.upgrade() {
            tasks.spawn(task).detach();
        }
    }
}

/// The running thread of a fake. Dropping it drops its tasks, closes its sockets and joins the thread.
pub(crate) struct FakeServer {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeServer {
    /// Starts a thread on which `spawn_tasks` spawns the fake's tasks.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(name: &str, spawn_tasks: impl FnOnce(&Tasks) + Send + 'static) -> io::Result<FakeServer> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            spawn_tasks(&Tasks(Rc::downgrade(&executor)));
            async_io::block_on(executor.run(async {
                // Nothing is ever sent: `recv` returns an error when the sender is dropped.
                let _ = stopped.recv().await;
            }));
        })?;
        Ok(FakeServer { stop: Some(stop), thread: Some(thread) })
    }

    /// Starts a thread that listens on a free loopback port. `make_handler` returns the function that serves
    /// a connection.
    ///
    /// # Errors
    /// Returns an error if no port or thread is available.
    pub fn listen<F, Fut>(
        name: &str,
        make_handler: impl FnOnce(&Tasks) -> F + Send + 'static,
    ) -> io::Result<(FakeServer, SocketAddr)>
    where
        F: Fn(Async<TcpStream>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        FakeServer::listen_on(name, TcpListener::bind("127.0.0.1:0")?, make_handler)
    }

    /// Does the same as [`FakeServer::listen`], but accepts connections from `listener`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn listen_on<F, Fut>(
        name: &str,
        listener: TcpListener,
        make_handler: impl FnOnce(&Tasks) -> F + Send + 'static,
    ) -> io::Result<(FakeServer, SocketAddr)>
    where
        F: Fn(Async<TcpStream>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let address = listener.local_addr()?;
        let server = FakeServer::start(name, move |tasks| {
            let serve = make_handler(tasks);
            let connection_tasks = tasks.clone();
            let accept_loop = async move {
                let Ok(listener) = Async::new(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.get_ref().set_nodelay(true);
                    connection_tasks.spawn(serve(stream));
                }
            };
            tasks.spawn(accept_loop);
        })?;
        Ok((server, address))
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
