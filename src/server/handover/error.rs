//! Errors of the socket between two processes of one server.

use std::io;
use std::path::PathBuf;

/// Why two processes of one server can't be connected, or why their connection ended.
#[derive(Debug, thiserror::Error)]
pub enum HandoverSocketError {
    /// The server's name can't be part of the name of a directory.
    #[error("handover directory: server name `{}` is empty or holds `/` or NUL", .0.escape_debug())]
    ServerName(String),
    /// Something with the name of the directory can't be made or inspected.
    #[error("handover directory {}: {error}", .path.display())]
    Directory {
        /// The path of the directory.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// Something else has the name of the directory, for example a symbolic link.
    #[error("handover directory {}: not a directory", .0.display())]
    NotADirectory(PathBuf),
    /// The directory belongs to another user.
    #[error("handover directory {}: belongs to user {owner}", .path.display())]
    OwnedByOther {
        /// The path of the directory.
        path: PathBuf,
        /// The user id of its owner.
        owner: u32,
    },
    /// Other users may enter the directory.
    #[error("handover directory {}: mode {mode:04o} in place of 0700", .path.display())]
    OpenToOthers {
        /// The path of the directory.
        path: PathBuf,
        /// The permission bits of the directory.
        mode: u32,
    },
    /// A path that no Unix socket can have.
    #[error("handover socket {}: path too long for a Unix socket", .0.display())]
    PathTooLong(PathBuf),
    /// The socket can't be made, connected or removed.
    #[error("handover socket {}: {error}", .path.display())]
    Socket {
        /// The path of the socket.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// Accepting a connection failed, or a connection can't be used.
    #[error("handover connection: {0}")]
    Connection(io::Error),
    /// The process on the other side belongs to another user.
    #[error("handover connection: the other process belongs to user {0}")]
    PeerOfOtherUser(u32),
    /// Reading failed.
    #[error("reading a handover frame: {0}")]
    Read(io::Error),
    /// Writing failed.
    #[error("writing a handover frame: {0}")]
    Write(io::Error),
    /// The other side closed the connection within a frame.
    #[error("reading a handover frame: the connection ended within it")]
    CutFrame,
    /// A frame past the limit on its length.
    #[error("handover frame of {length} bytes: the longest has {limit}")]
    FrameTooLong {
        /// Bytes of the frame.
        length: usize,
        /// The most bytes of a frame.
        limit: usize,
    },
    /// A descriptor came that this process can't hold, for example because it has too many.
    #[error("reading a handover frame: its file descriptor could not be received")]
    DescriptorLost,
    /// An earlier frame was not written to its end, so that no other can follow.
    #[error("writing a handover frame: an earlier one was not written to its end")]
    UnfinishedFrame,
}
