//! Authentication of datagrams. Each datagram is `HMAC-SHA256(key, body) || body`.

use hmac::digest::InvalidLength;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length in bytes of the tag at the front of every datagram.
pub const TAG_BYTES: usize = 32;

/// Creates and verifies the tags of datagrams under one key.
#[derive(Clone)]
pub(crate) struct DatagramAuth {
    mac: Hmac<Sha256>,
}

impl DatagramAuth {
    /// Returns an authenticator for `key`.
    ///
    /// # Errors
    /// Returns [`InvalidLength`] if HMAC does not accept a key of this length.
    pub fn new(key: &[u8]) -> Result<DatagramAuth, InvalidLength> {
        Ok(DatagramAuth { mac: Hmac::<Sha256>::new_from_slice(key)? })
    }

    /// Returns the datagram for a body: the tag followed by the body.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut mac = self.mac.clone();
        mac.update(body);
        let mut datagram = mac.finalize().into_bytes().to_vec();
        datagram.extend_from_slice(body);
        datagram
    }

    /// Returns the body of a datagram, or `None` if its tag is missing or wrong.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, body) = datagram.split_at_checked(TAG_BYTES)?;
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.verify_slice(tag).ok()?;
        Some(body)
    }
}
