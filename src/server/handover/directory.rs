//! The private directory of the handover socket.

use super::error::HandoverSocketError;
use rustix::fs::{FlockOperation, flock};
use rustix::io::retry_on_intr;
use rustix::process::geteuid;
use std::fs::{DirBuilder, File, Metadata};
use std::io;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

/// The name under which the listening process is found.
const SOCKET_NAME: &str = "handover.sock";
/// The name of a socket that does not listen yet. It is used under the directory's lock alone.
const UNPUBLISHED_SOCKET_NAME: &str = "handover.new";
/// The permissions of the directory.
const DIRECTORY_MODE: u32 = 0o700;
/// The permission bits.
const MODE_BITS: u32 = 0o7777;
/// The permissions that let other users in.
const MODE_BITS_OF_OTHERS: u32 = 0o077;
/// The longest path of a Unix socket in bytes: its field of 108 bytes without the NUL at the end.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// A directory that this user alone can enter.
#[derive(Clone, Debug)]
pub struct HandoverDirectory {
    path: PathBuf,
}

/// A lock on the directory: no other process adds, renames or removes a socket file meanwhile. The system drops it when
/// the process ends.
pub(super) struct DirectoryLock {
    _directory: File,
}

impl HandoverDirectory {
    /// Returns the directory of the server `server_name` below `temporary_directory`, and makes it if it is missing.
    ///
    /// # Errors
    /// If the directory can't be made, is something else, belongs to another user or lets other users in, or if the
    /// path of the socket would be too long.
    pub fn open(temporary_directory: &Path, server_name: &str) -> Result<Self, HandoverSocketError> {
        if server_name.is_empty() || server_name.contains(['/', '\0']) {
            return Err(HandoverSocketError::ServerName(server_name.to_owned()));
        }
        let path = temporary_directory.join(format!("dunlinspread-{server_name}"));
        let directory = HandoverDirectory { path };
        let socket_path = directory.socket_path();
        if socket_path.as_os_str().as_bytes().len() > MAX_SOCKET_PATH_BYTES {
            return Err(HandoverSocketError::PathTooLong(socket_path));
        }
        directory.create()?;
        directory.check()?;
        Ok(directory)
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path under which the listening process is found.
    pub fn socket_path(&self) -> PathBuf {
        self.path.join(SOCKET_NAME)
    }

    /// Returns the path of a socket that does not listen yet.
    pub(super) fn unpublished_socket_path(&self) -> PathBuf {
        self.path.join(UNPUBLISHED_SOCKET_NAME)
    }

    /// Waits for the lock, which is held for a few system calls at a time.
    pub(super) fn lock(&self) -> Result<DirectoryLock, HandoverSocketError> {
        let directory = File::open(&self.path).map_err(|error| self.error(error))?;
        retry_on_intr(|| flock(&directory, FlockOperation::LockExclusive))
            .map_err(|error| self.error(error.into()))?;
        Ok(DirectoryLock { _directory: directory })
    }

    fn create(&self) -> Result<(), HandoverSocketError> {
        match DirBuilder::new().mode(DIRECTORY_MODE).create(&self.path) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => Err(self.error(error)),
            _ => Ok(()),
        }
    }

    fn check(&self) -> Result<(), HandoverSocketError> {
        // Without following a link: a link of another user could lead anywhere.
        let found: Metadata = self.path.symlink_metadata().map_err(|error| self.error(error))?;
        let path = self.path.clone();
        if !found.is_dir() {
            return Err(HandoverSocketError::NotADirectory(path));
        }
        if found.uid() != geteuid().as_raw() {
            return Err(HandoverSocketError::OwnedByOther { path, owner: found.uid() });
        }
        if found.mode() & MODE_BITS_OF_OTHERS != 0 {
            return Err(HandoverSocketError::OpenToOthers { path, mode: found.mode() & MODE_BITS });
        }
        Ok(())
    }

    fn error(&self, error: io::Error) -> HandoverSocketError {
        HandoverSocketError::Directory { path: self.path.clone(), error }
    }
}
