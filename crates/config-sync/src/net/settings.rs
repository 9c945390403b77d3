//! Checks for settings whose faults the peer would otherwise detect only after connecting.

use crate::frame::FrameKey;
use crate::message::Member;
use crate::resource::MAX_NAME;
use std::io;

fn invalid(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, reason)
}

/// Builds the frame key from the fleet key. Returns an error of kind `InvalidInput` if its length is invalid.
pub(super) fn frame_key(key: &[u8]) -> io::Result<FrameKey> {
    FrameKey::new(key).map_err(|error| invalid(error.to_string()))
}

/// Checks that a member's names have a length that servers accept.
pub(super) fn check_member(member: &Member) -> io::Result<()> {
    let names = [("name", &member.name), ("zone", &member.zone), ("region", &member.region)];
    for (field, name) in names {
        if !(1..=MAX_NAME).contains(&name.len()) {
            let bytes = name.len();
            return Err(invalid(format!("member.{field}: {bytes} bytes, wanted 1 to {MAX_NAME}")));
        }
    }
    Ok(())
}
