//! The thread of a fake: it runs the fake's tasks until the fake is dropped.

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::thread::JoinHandle;

/// The tasks of one fake. Tasks may hold this: it does not keep them alive.
#[derive(Clone)]
pub(crate) struct Tasks(Weak<LocalExecutor<'static>>);

impl Tasks {
    /// Runs a task until the fake ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(tasks) = self.0.upgrade() {
            tasks.spawn(task).detach();
        }
    }
}

/// A running thread. Dropping it ends its tasks, closes its sockets and waits for it.
pub(crate) struct FakeServer {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeServer {
    /// Starts a thread on which `begin` spawns the fake's tasks.
    ///
    /// # Errors
    /// If there is no thread.
    pub fn start(name: &str, begin: impl FnOnce(&Tasks) + Send + 'static) -> io::Result<FakeServer> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            begin(&Tasks(Rc::downgrade(&executor)));
            async_io::block_on(executor.run(async {
                // An error is what is awaited: the other end is gone.
                let _ = stopped.recv().await;
            }));
        })?;
        Ok(FakeServer { stop: Some(stop), thread: Some(thread) })
    }

    /// Starts a thread that listens on a free port of the loopback address; `begin` returns what serves a connection.
    ///
    /// # Errors
    /// If there is no port or thread.
    pub fn listen<F, Fut>(
        name: &str,
        begin: impl FnOnce(&Tasks) -> F + Send + 'static,
    ) -> io::Result<(FakeServer, SocketAddr)>
    where
        F: Fn(Async<TcpStream>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        FakeServer::listen_on(name, TcpListener::bind("127.0.0.1:0")?, begin)
    }

    /// As [`FakeServer::listen`], on this socket.
    ///
    /// # Errors
    /// If there is no thread.
    pub fn listen_on<F, Fut>(
        name: &str,
        listener: TcpListener,
        begin: impl FnOnce(&Tasks) -> F + Send + 'static,
    ) -> io::Result<(FakeServer, SocketAddr)>
    where
        F: Fn(Async<TcpStream>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let address = listener.local_addr()?;
        let server = FakeServer::start(name, move |tasks| {
            let serve = begin(tasks);
            let inner = tasks.clone();
            let accepting = async move {
                let Ok(listener) = Async::new(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.get_ref().set_nodelay(true);
                    inner.spawn(serve(stream));
                }
            };
            tasks.spawn(accepting);
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
