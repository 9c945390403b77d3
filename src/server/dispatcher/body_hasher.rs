//! The hash of request bodies, by which two attempts of a key are told to be the same request.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::array;
use std::hash::{BuildHasher, RandomState};

/// The length of the key of a [`BodyHasher`].
pub const BODY_HASH_KEY_BYTES: usize = 32;

/// The length of a block of SHA-256, to which HMAC pads its key with zeros.
const SHA256_BLOCK_BYTES: usize = 64;

/// Hashes bodies under a secret key, so that clients can't construct collisions.
///
/// The hash is an HMAC-SHA256, cut to 64 bits. Two processes with the same key hash alike.
#[derive(Clone)]
pub struct BodyHasher {
    key: [u8; BODY_HASH_KEY_BYTES],
    /// The HMAC under the key, of no input yet.
    mac: Hmac<Sha256>,
}

impl BodyHasher {
    /// Returns a hasher with a key drawn at random.
    pub fn new() -> Self {
        Self::with_key(random_key())
    }

    /// Returns a hasher with this key.
    pub fn with_key(key: [u8; BODY_HASH_KEY_BYTES]) -> Self {
        let mut block = [0; SHA256_BLOCK_BYTES];
        block[..BODY_HASH_KEY_BYTES].copy_from_slice(&key);
        BodyHasher { key, mac: Hmac::new(&block.into()) }
    }

    /// Returns the key.
    pub fn key(&self) -> [u8; BODY_HASH_KEY_BYTES] {
        self.key
    }

    /// Returns the hash of a body.
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

/// Returns a key made from the random seeds that the standard library takes from the operating system.
fn random_key() -> [u8; BODY_HASH_KEY_BYTES] {
    const WORD_BYTES: usize = size_of::<u64>();
    let words: [[u8; WORD_BYTES]; BODY_HASH_KEY_BYTES / WORD_BYTES] =
        array::from_fn(|position| RandomState::new().hash_one(position).to_ne_bytes());
    array::from_fn(|position| words[position / WORD_BYTES][position % WORD_BYTES])
}
