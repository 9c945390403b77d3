//! What each subscriber had in force, and when: records of a fixed length in a file for each life of a zone's process,
//! written at once so that they outlive a kill.

use anyhow::{Context, Result};
use dunlinspread_config_sync::resource::{Digest, Position};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;

/// The length of a record.
const RECORD_BYTES: usize = 64;

/// One update that a subscriber put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The subscriber, by its number over all zones.
    pub subscriber: u32,
    /// Whether this is the state that it began with.
    pub initial: bool,
    /// The position that came in force.
    pub position: Position,
    /// The digest of the whole table that was in force then.
    pub digest: Digest,
    /// When, Unix ms.
    pub at_unix_ms: u64,
    /// The least sequence number among the values that were put in force; none if no value carried one.
    pub least_sequence: Option<u64>,
    /// The greatest.
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
        let word = |at: usize| u64::from_le_bytes(std::array::from_fn(|index| record[at + index]));
        let half = |at: usize| u32::from_le_bytes(std::array::from_fn(|index| record[at + index]));
        Observation {
            subscriber: half(0),
            initial: half(4) != 0,
            position: Position { epoch: word(8), revision: word(16) },
            digest: Digest(u128::from(word(24)) | u128::from(word(32)) << 64),
            at_unix_ms: word(40),
            least_sequence: decode_sequence(word(48)),
            greatest_sequence: decode_sequence(word(56)),
        }
    }
}

/// No sequence number is this one.
const NO_SEQUENCE: u64 = u64::MAX;

fn encode_sequence(sequence: Option<u64>) -> u64 {
    sequence.unwrap_or(NO_SEQUENCE)
}

fn decode_sequence(word: u64) -> Option<u64> {
    (word != NO_SEQUENCE).then_some(word)
}

/// Writes observations.
pub struct ObservationWriter {
    file: File,
}

impl ObservationWriter {
    /// A new file.
    ///
    /// # Errors
    /// If it can't be made.
    pub fn create(path: &Path) -> Result<ObservationWriter> {
        let file = File::create(path).with_context(|| format!("observations in {}", path.display()))?;
        Ok(ObservationWriter { file })
    }

    /// Adds one.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn write(&mut self, observation: &Observation) -> std::io::Result<()> {
        self.file.write_all(&observation.encode())
    }
}

/// Reads the observations of one life of a zone's process, in the order in which they were made. What a kill cut off in
/// the middle of a record is left out.
///
/// # Errors
/// If the file can't be read.
pub fn read_observations(path: &Path) -> Result<Vec<Observation>> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .with_context(|| format!("observations in {}", path.display()))?;
    Ok(bytes.chunks_exact(RECORD_BYTES).map(Observation::decode).collect())
}
