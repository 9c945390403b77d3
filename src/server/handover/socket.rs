//! Listening for and connecting to the other process of a server.

use super::directory::HandoverDirectory;
use super::error::HandoverSocketError;
use super::stream::HandoverStream;
use async_io::Async;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The listening socket of a process.
///
/// # Invariants
/// - The well-known name leads to the listener that was bound last. It is replaced by a rename, so that it leads to a
///   listening socket at every moment.
/// - Names are added, renamed and removed under the directory's lock.
#[derive(Debug)]
pub struct HandoverListener {
    socket: Async<UnixListener>,
    directory: HandoverDirectory,
    /// The socket's file. Its number is not given to another file while the socket is open.
    file: FileIdentity,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileIdentity {
    device: u64,
    inode: u64,
}

/// What connecting once came to.
enum Attempt {
    Connected(UnixStream),
    /// There is no file.
    NoFile,
    /// There is a file, and nobody listens.
    Refused,
}

impl HandoverListener {
    /// Listens under the directory's well-known name; a listener that was bound before is no longer found.
    ///
    /// # Errors
    /// If the socket can't be made or renamed.
    pub fn bind(directory: &HandoverDirectory) -> Result<Self, HandoverSocketError> {
        let unpublished = directory.unpublished_socket_path();
        let published = directory.socket_path();
        let _lock = directory.lock()?;
        // Under the lock, a file of this name is of a process that was killed.
        remove_file(&unpublished)?;
        let socket = UnixListener::bind(&unpublished).map_err(|error| socket_error(&unpublished, error))?;
        let file = file_identity(&unpublished).map_err(|error| socket_error(&unpublished, error))?;
        let socket = Async::new(socket).map_err(|error| socket_error(&unpublished, error))?;
        fs::rename(&unpublished, &published).map_err(|error| socket_error(&published, error))?;
        Ok(HandoverListener { socket, directory: directory.clone(), file })
    }

    /// Accepts a connection.
    ///
    /// # Errors
    /// If accepting fails, or the other process belongs to another user; the listener can still be used.
    pub async fn accept(&self) -> Result<HandoverStream, HandoverSocketError> {
        let accepted = self.socket.read_with(|socket| socket.accept()).await;
        let (stream, _) = accepted.map_err(HandoverSocketError::Connection)?;
        HandoverStream::new(stream)
    }
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        // A file that stays behind does no harm.
        let Ok(_lock) = self.directory.lock() else { return };
        let path = self.directory.socket_path();
        if file_identity(&path).is_ok_and(|found| found == self.file) {
            let _ = fs::remove_file(path);
        }
    }
}

/// Connects to the process that listens in `directory`; `None` if there is none. A file that a killed process left
/// behind is removed.
///
/// # Errors
/// If connecting fails otherwise, or the other process belongs to another user.
pub fn connect(directory: &HandoverDirectory) -> Result<Option<HandoverStream>, HandoverSocketError> {
    let path = directory.socket_path();
    let mut attempt = connect_once(&path).map_err(|error| socket_error(&path, error))?;
    if matches!(attempt, Attempt::Refused) {
        // Another process may have begun to listen meanwhile; under the lock, none can.
        let _lock = directory.lock()?;
        attempt = connect_once(&path).map_err(|error| socket_error(&path, error))?;
        if matches!(attempt, Attempt::Refused) {
            remove_file(&path)?;
        }
    }
    match attempt {
        Attempt::Connected(stream) => HandoverStream::new(stream).map(Some),
        Attempt::NoFile | Attempt::Refused => Ok(None),
    }
}

/// Connects once, without waiting for room in the listener's queue.
fn connect_once(path: &Path) -> io::Result<Attempt> {
    let address = SocketAddrUnix::new(path)?;
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&socket, &address) {
        Ok(()) => Ok(Attempt::Connected(UnixStream::from(socket))),
        Err(Errno::NOENT) => Ok(Attempt::NoFile),
        Err(Errno::CONNREFUSED) => Ok(Attempt::Refused),
        Err(error) => Err(error.into()),
    }
}

fn remove_file(path: &Path) -> Result<(), HandoverSocketError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(socket_error(path, error)),
        _ => Ok(()),
    }
}

fn file_identity(path: &Path) -> io::Result<FileIdentity> {
    let found = fs::symlink_metadata(path)?;
    Ok(FileIdentity { device: found.dev(), inode: found.ino() })
}

fn socket_error(path: &Path, error: io::Error) -> HandoverSocketError {
    HandoverSocketError::Socket { path: PathBuf::from(path), error }
}
