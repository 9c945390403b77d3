//! Listener of the predecessor and connector of the successor.

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

/// Listening socket of a process.
///
/// # Invariants
/// - The path [`HandoverDirectory::socket_path`] refers to the listener that was bound last. It is replaced
///   by an atomic rename, so it refers to a listening socket at all times.
/// - Socket files are added, renamed and removed only under the directory lock.
#[derive(Debug)]
pub struct HandoverListener {
    socket: Async<UnixListener>,
    directory: HandoverDirectory,
    /// Identity of the socket's file. Its inode number is not reused while the socket is open.
    file: FileIdentity,
}

/// Device and inode number, which identify a file independently of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileIdentity {
    device: u64,
    inode: u64,
}

/// Result of one attempt to connect.
enum ConnectOutcome {
    Connected(UnixStream),
    /// The socket file does not exist.
    NoFile,
    /// The socket file exists, but no process listens on it.
    Refused,
}

impl HandoverListener {
    /// Listens on the directory's socket path. New connections no longer reach a listener that was bound
    /// before.
    ///
    /// # Errors
    /// - [`HandoverSocketError::Directory`] if the directory can't be locked.
    /// - [`HandoverSocketError::Socket`] if the socket can't be created or renamed.
    pub fn bind(directory: &HandoverDirectory) -> Result<Self, HandoverSocketError> {
        let unpublished = directory.unpublished_socket_path();
        let published = directory.socket_path();
        let _lock = directory.lock()?;
        // While the lock is held, an existing file of this name was left behind by a killed process.
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
    /// The listener remains usable after each of these errors.
    /// - [`HandoverSocketError::Connection`] if accepting fails.
    /// - [`HandoverSocketError::PeerOfOtherUser`] if the peer process runs as another user.
    pub async fn accept(&self) -> Result<HandoverStream, HandoverSocketError> {
        let accepted = self.socket.read_with(|socket| socket.accept()).await;
        let (stream, _) = accepted.map_err(HandoverSocketError::Connection)?;
        HandoverStream::new(stream)
    }
}

impl Drop for HandoverListener {
    fn drop(&mut self) {
        // A stale file is harmless: the next process that connects or listens removes or replaces it.
        let Ok(_lock) = self.directory.lock() else { return };
        let path = self.directory.socket_path();
        if file_identity(&path).is_ok_and(|current| current == self.file) {
            let _ = fs::remove_file(path);
        }
    }
}

/// Connects to the process that listens in `directory`. Returns `None` if no process listens there, and
/// removes a stale socket file that a killed process left behind.
///
/// # Errors
/// - [`HandoverSocketError::Directory`] if the directory can't be locked.
/// - [`HandoverSocketError::Socket`] if connecting fails for another reason, or a stale file can't be
///   removed.
/// - [`HandoverSocketError::Connection`] if the connected socket can't be set up.
/// - [`HandoverSocketError::PeerOfOtherUser`] if the peer process runs as another user.
pub fn connect(directory: &HandoverDirectory) -> Result<Option<HandoverStream>, HandoverSocketError> {
    let path = directory.socket_path();
    let mut outcome = connect_once(&path).map_err(|error| socket_error(&path, error))?;
    if matches!(outcome, ConnectOutcome::Refused) {
        // Another process may have started to listen since the first attempt. No process can while the lock
        // is held.
        let _lock = directory.lock()?;
        outcome = connect_once(&path).map_err(|error| socket_error(&path, error))?;
        if matches!(outcome, ConnectOutcome::Refused) {
            remove_file(&path)?;
        }
    }
    match outcome {
        ConnectOutcome::Connected(stream) => HandoverStream::new(stream).map(Some),
        ConnectOutcome::NoFile | ConnectOutcome::Refused => Ok(None),
    }
}

/// Makes one attempt to connect. Fails instead of blocking if the listener's backlog is full.
fn connect_once(path: &Path) -> io::Result<ConnectOutcome> {
    let address = SocketAddrUnix::new(path)?;
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&socket, &address) {
        Ok(()) => Ok(ConnectOutcome::Connected(UnixStream::from(socket))),
        Err(Errno::NOENT) => Ok(ConnectOutcome::NoFile),
        Err(Errno::CONNREFUSED) => Ok(ConnectOutcome::Refused),
        Err(error) => Err(error.into()),
    }
}

/// Removes a file if it exists.
fn remove_file(path: &Path) -> Result<(), HandoverSocketError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(socket_error(path, error)),
        _ => Ok(()),
    }
}

fn file_identity(path: &Path) -> io::Result<FileIdentity> {
    let metadata = fs::symlink_metadata(path)?;
    Ok(FileIdentity { device: metadata.dev(), inode: metadata.ino() })
}

fn socket_error(path: &Path, error: io::Error) -> HandoverSocketError {
    HandoverSocketError::Socket { path: PathBuf::from(path), error }
}
