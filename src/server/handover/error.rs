//! Errors of the handover socket.

use std::io;
use std::path::PathBuf;

/// Error of connecting two processes of one server, or of their connection.
#[derive(Debug, thiserror::Error)]
pub enum HandoverSocketError {
    /// The server's name can't be part of a directory name.
    #[error("handover directory: server name `{}` is empty or contains `/` or NUL", .0.escape_debug())]
    ServerName(String),
    /// The directory can't be created, inspected or locked.
    #[error("handover directory {}: {error}", .path.display())]
    Directory {
        /// The path of the directory.
        path: PathBuf,
        /// The operating system error.
        error: io::Error,
    },
    /// The path of the directory exists and is something else, for example a symbolic link.
    #[error("handover directory {}: not a directory", .0.display())]
    NotADirectory(PathBuf),
    /// The directory belongs to another user.
    #[error("handover directory {}: owned by another user (uid {owner})", .path.display())]
    OwnedByOther {
        /// The path of the directory.
        path: PathBuf,
        /// The user id of the directory's owner.
        owner: u32,
    },
    /// The directory's permissions grant access to other users.
    #[error("handover directory {}: mode is {mode:04o}, expected 0700", .path.display())]
    OpenToOthers {
        /// The path of the directory.
        path: PathBuf,
        /// The permission bits of the directory.
        mode: u32,
    },
    /// The path of the socket exceeds the limit for Unix sockets.
    #[error("handover socket {}: path too long for a Unix socket", .0.display())]
    PathTooLong(PathBuf),
    /// The socket can't be created, connected or removed.
    #[error("handover socket {}: {error}", .path.display())]
    Socket {
        /// The path of the socket.
        path: PathBuf,
        /// The operating system error.
        error: io::Error,
    },
    /// Accepting a connection or setting up a connected socket failed.
    #[error("handover connection: {0}")]
    Connection(io::Error),
    /// The peer process runs as another user, with this user id.
    #[error("handover connection: the peer process runs as another user (uid {0})")]
    PeerOfOtherUser(u32),
    /// Reading from the connection failed.
    #[error("reading a handover frame: {0}")]
    Read(io::Error),
    /// Writing to the connection failed.
    #[error("writing a handover frame: {0}")]
    Write(io::Error),
    /// The peer closed the connection in the middle of a frame.
    #[error("reading a handover frame: the connection closed before the end of the frame")]
    TruncatedFrame,
    /// A frame exceeds the maximum length.
    #[error("handover frame of {length} bytes exceeds the limit of {limit} bytes")]
    FrameTooLong {
        /// Length of the frame in bytes, without its header.
        length: usize,
        /// Maximum length of a frame in bytes.
        limit: usize,
    },
    /// The kernel dropped the frame's file descriptor, for example because this process has too many open.
    #[error("reading a handover frame: its file descriptor could not be received")]
    DescriptorLost,
    /// An earlier frame was written only in part, so no other frame can follow.
    #[error("writing a handover frame: an earlier frame was written only in part")]
    UnfinishedFrame,
}
