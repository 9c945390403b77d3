//! Records of what each subscriber had in force, and when. They have a fixed length, and each incarnation of
//! a zone's process writes a file of them, unbuffered so that they survive a kill.

use anyhow::{Context, Result};
use dunlinspread_config_sync::resource::{Digest, Position};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;

/// Length of a record, bytes.
const RECORD_BYTES: usize = 64;

/// One update that a subscriber put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Number of the subscriber over all zones.
    pub subscriber: u32,
    /// Whether this is the state with which the subscriber began.
    pub initial: bool,
    /// Position that was put in force.
    pub position: Position,
    /// Digest of the whole table that was then in force.
    pub digest: Digest,
    /// Time of the update, Unix ms.
    pub at_unix_ms: u64,
    /// Lowest sequence number among the values put in force; none if no value carried one.
    pub least_sequence: Option<u64>,
    /// Highest sequence number among the values put in force; none if no value carried one.
    pub greatest_sequence: Option<u64>,
}

impl Observation {
    fn encode(&self) -> [u8; RECORD_BYTES] {
        let mut record = [0; RECORD_BYTES];
        record[..4].copy_from_slice(&self.subscriber.to_le_bytes());
        record[4..8].copy_from_slice(&u32::from(self.initial).to_le_bytes());
        record[8..16].copy_from_slice(&self.position.epoch.to_le_bytes());
        record[16..24].copy_from_slice(&self.position.revision.to_le_bytes());
        record[24..40].copy_from_slice(&self.digest.0.to_le_bytes());
        record[40..48].copy_from_slice(&self.at_unix_ms.to_le_bytes());
        record[48..56].copy_from_slice(&encode_sequence(self.least_sequence).to_le_bytes());
        record[56..64].copy_from_slice(&encode_sequence(self.greatest_sequence).to_le_bytes());
        record
    }

    fn decode(record: &[u8]) -> Observation {
        let u64_at = |offset: usize| u64::from_le_bytes(std::array::from_fn(|index| record[offset + index]));
        let u32_at = |offset: usize| u32::from_le_bytes(std::array::from_fn(|index| record[offset + index]));
        Observation {
            subscriber: u32_at(0),
            initial: u32_at(4) != 0,
            position: Position { epoch: u64_at(8), revision: u64_at(16) },
            digest: Digest(u128::from(u64_at(24)) | u128::from(u64_at(32)) << 64),
            at_unix_ms: u64_at(40),
            least_sequence: decode_sequence(u64_at(48)),
            greatest_sequence: decode_sequence(u64_at(56)),
        }
    }
}

/// Encoding of an absent sequence number.
const NO_SEQUENCE: u64 = u64::MAX;

fn encode_sequence(sequence: Option<u64>) -> u64 {
    sequence.unwrap_or(NO_SEQUENCE)
}

fn decode_sequence(encoded: u64) -> Option<u64> {
    (encoded != NO_SEQUENCE).then_some(encoded)
}

/// Writes observations to a file.
pub struct ObservationWriter {
    file: File,
}

impl ObservationWriter {
    /// Creates the file.
    ///
    /// # Errors
    /// Returns an error if the file can't be created.
    pub fn create(path: &Path) -> Result<ObservationWriter> {
        let file =
            File::create(path).with_context(|| format!("creating the observations {}", path.display()))?;
        Ok(ObservationWriter { file })
    }

    /// Appends an observation.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub fn write(&mut self, observation: &Observation) -> std::io::Result<()> {
        self.file.write_all(&observation.encode())
    }
}

/// Reads the observations of one incarnation of a zone's process, in the order in which they were made. An
/// incomplete record at the end, left by a kill, is skipped.
///
/// # Errors
/// Returns an error if the file can't be read.
pub fn read_observations(path: &Path) -> Result<Vec<Observation>> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .with_context(|| format!("reading the observations {}", path.display()))?;
    Ok(bytes.chunks_exact(RECORD_BYTES).map(Observation::decode).collect())
}
