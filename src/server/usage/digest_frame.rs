//! The frame of a message between servers that exchange digests: 8 bytes that name the version, the length of the
//! message as 4 bytes, little endian, and the message.

use dunlinspread_ledger::digest_comparison::DigestClaims;
use prost::Message;
use std::io::{self, Read};

/// What a frame begins with: it names the version.
pub const MAGIC: &[u8; 8] = b"DLSPWIT1";
/// The length of what stands before the message, in bytes.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u32>();
/// The longest message, in bytes: all that a server may know, with room to spare.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Returns the frame of a message.
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
/// If the stream fails or ends within the frame, or the frame is of another version, too long, or holds no message.
pub fn read(stream: &mut impl Read) -> io::Result<DigestClaims> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let (magic, length) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(invalid("it does not speak this version"));
    }
    let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid("its message is too long"));
    }
    // Grows with what comes, not with what is announced.
    let mut message = Vec::new();
    stream.take(length as u64).read_to_end(&mut message)?;
    if message.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    DigestClaims::decode(&message[..]).map_err(|_| invalid("its message can't be read"))
}

fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
