//! Frame of a message between servers that exchange digests: 8 magic bytes that identify the version, the
//! length of the message as 4 bytes in little-endian order, and the message.

use dunlinspread_ledger::digest_comparison::DigestClaims;
use prost::Message;
use std::io::{self, Read};

/// Magic bytes at the start of a frame, which identify the version of the format.
pub const MAGIC: &[u8; 8] = b"DLSPWIT1";
/// Size in bytes of the header, which precedes the message.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u32>();
/// Maximum length of a message in bytes: more than the largest set of claims that a server can hold.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Returns the frame that contains `claims`.
pub fn encode(claims: &DigestClaims) -> Vec<u8> {
    let message = claims.encode_to_vec();
    let mut frame = Vec::with_capacity(HEADER_BYTES + message.len());
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&(message.len() as u32).to_le_bytes());
    frame.extend_from_slice(&message);
    frame
}

/// Reads a frame and returns its message.
///
/// # Errors
/// - The error of `stream` if reading fails.
/// - [`io::ErrorKind::UnexpectedEof`] if the stream ends before the end of the frame.
/// - [`io::ErrorKind::InvalidData`] if the frame has another version, exceeds the maximum length or contains
///   no valid message.
pub fn read(stream: &mut impl Read) -> io::Result<DigestClaims> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let (magic, length) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(invalid("digest frame has an unknown version"));
    }
    let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid("digest frame exceeds the maximum length"));
    }
    // The buffer grows with the bytes received; it is not allocated from the announced length.
    let mut message = Vec::new();
    stream.take(length as u64).read_to_end(&mut message)?;
    if message.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    DigestClaims::decode(&message[..]).map_err(|_| invalid("digest frame contains an invalid message"))
}

fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
