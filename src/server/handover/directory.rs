//! Private directory that contains the handover socket.

use super::error::HandoverSocketError;
use rustix::fs::{FlockOperation, flock};
use rustix::io::retry_on_intr;
use rustix::process::geteuid;
use std::fs::{DirBuilder, File, Metadata};
use std::io;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

/// File name of the socket that successors connect to.
const SOCKET_NAME: &str = "handover.sock";
/// Temporary file name of a socket until it is renamed to [`SOCKET_NAME`]. Used only under the directory
/// lock.
const UNPUBLISHED_SOCKET_NAME: &str = "handover.new";
/// Permissions of a new directory: access for its owner only.
const DIRECTORY_MODE: u32 = 0o700;
/// Mask of the permission bits in a file mode.
const MODE_BITS: u32 = 0o7777;
/// Mask of the permission bits that grant access to the group and to other users.
const GROUP_AND_OTHER_MODE_BITS: u32 = 0o077;
/// Maximum length of a Unix socket path in bytes: the 108 bytes of `sun_path` minus the terminating NUL.
const MAX_SOCKET_PATH_BYTES: usize = 107;

/// Directory that only the user of this process can access.
#[derive(Clone, Debug)]
pub struct HandoverDirectory {
    path: PathBuf,
}

/// Exclusive lock on the directory. While it is held, no other process adds, renames or removes a socket
/// file. The kernel releases it when the process ends.
pub(super) struct DirectoryLock {
    _directory: File,
}

impl HandoverDirectory {
    /// Returns the directory of the server `server_name` under `temporary_directory`, and creates it if it is
    /// missing.
    ///
    /// # Errors
    /// - [`HandoverSocketError::ServerName`] if `server_name` can't be part of a directory name.
    /// - [`HandoverSocketError::PathTooLong`] if the path of the socket exceeds the limit for Unix sockets.
    /// - [`HandoverSocketError::Directory`] if the directory can't be created or inspected.
    /// - [`HandoverSocketError::NotADirectory`] if the path exists and is not a directory.
    /// - [`HandoverSocketError::OwnedByOther`] if the directory belongs to another user.
    /// - [`HandoverSocketError::OpenToOthers`] if its permissions grant access to other users.
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

    /// Returns the path of the socket that successors connect to.
    pub fn socket_path(&self) -> PathBuf {
        self.path.join(SOCKET_NAME)
    }

    /// Returns the temporary path of a socket until it is renamed to [`socket_path`](Self::socket_path).
    pub(super) fn unpublished_socket_path(&self) -> PathBuf {
        self.path.join(UNPUBLISHED_SOCKET_NAME)
    }

    /// Locks the directory. Blocks until the lock is free; each holder keeps it for a few system calls only.
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
        // Doesn't follow symbolic links: another user's link could point anywhere.
        let metadata: Metadata = self.path.symlink_metadata().map_err(|error| self.error(error))?;
        let path = self.path.clone();
        if !metadata.is_dir() {
            return Err(HandoverSocketError::NotADirectory(path));
        }
        if metadata.uid() != geteuid().as_raw() {
            return Err(HandoverSocketError::OwnedByOther { path, owner: metadata.uid() });
        }
        if metadata.mode() & GROUP_AND_OTHER_MODE_BITS != 0 {
            return Err(HandoverSocketError::OpenToOthers { path, mode: metadata.mode() & MODE_BITS });
        }
        Ok(())
    }

    fn error(&self, error: io::Error) -> HandoverSocketError {
        HandoverSocketError::Directory { path: self.path.clone(), error }
    }
}
