//! Hash of request bodies, by which two attempts with the same key are recognized as the same request.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::array;
use std::hash::{BuildHasher, RandomState};

/// Length of the key of a [`BodyHasher`], bytes.
pub const BODY_HASH_KEY_BYTES: usize = 32;

/// Block size of SHA-256, bytes. HMAC pads its key to this size with zeros.
const SHA256_BLOCK_BYTES: usize = 64;

/// Hashes request bodies with a secret key, so that clients can't construct collisions.
///
/// The hash is an HMAC-SHA256, truncated to 64 bits. Two processes with the same key compute the same hashes.
#[derive(Clone)]
pub struct BodyHasher {
    key: [u8; BODY_HASH_KEY_BYTES],
    /// HMAC state initialized with the key, without any input.
    mac: Hmac<Sha256>,
}

impl BodyHasher {
    /// Returns a hasher with a random key.
    pub fn new() -> Self {
        Self::with_key(random_key())
    }

    /// Returns a hasher with this key.
    pub fn with_key(key: [u8; BODY_HASH_KEY_BYTES]) -> Self {
        let mut block = [0; SHA256_BLOCK_BYTES];
        block[..BODY_HASH_KEY_BYTES].copy_from_slice(&key);
        BodyHasher { key, mac: Hmac::new(&block.into()) }
    }

    /// Returns the secret key.
    pub fn key(&self) -> [u8; BODY_HASH_KEY_BYTES] {
        self.key
    }

    /// Returns the hash of a request body.
    pub fn hash(&self, body: &[u8]) -> u64 {
        let mut mac = self.mac.clone();
        mac.update(body);
        let tag: [u8; 32] = mac.finalize().into_bytes().into();
        u64::from_be_bytes(array::from_fn(|position| tag[position]))
    }
}

impl Default for BodyHasher {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a key derived from the random seeds that the standard library obtains from the operating system.
fn random_key() -> [u8; BODY_HASH_KEY_BYTES] {
    const WORD_BYTES: usize = size_of::<u64>();
    let words: [[u8; WORD_BYTES]; BODY_HASH_KEY_BYTES / WORD_BYTES] =
        array::from_fn(|position| RandomState::new().hash_one(position).to_ne_bytes());
    array::from_fn(|position| words[position / WORD_BYTES][position % WORD_BYTES])
}
