//! Settings of the failure detector.

use crate::datagram_auth::TAG_BYTES;
use std::num::{NonZeroU32, NonZeroUsize};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Milliseconds of a monotonic clock. Only differences are meaningful.
pub type Millis = u64;

/// Allowed lengths of a fleet key, in bytes.
const KEY_BYTES: RangeInclusive<u64> = 16..=1_024;
/// The range [`KEY_BYTES`] as shown in error messages.
const KEY_BYTES_TEXT: &str = "16 to 1024 bytes";

/// The settings of the failure detector, with their ranges.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between probes, ms (100 to 60,000).
    pub probe_period: Millis,
    /// Time to wait for a direct answer before other members probe indirectly, ms (10 to `probe_period` / 2).
    pub probe_rtt: Millis,
    /// Number of members that probe indirectly (1 to 10).
    pub indirect_probes: usize,
    /// Time after which a suspect member is declared down unless it refutes, ms (100 to 600,000).
    pub suspect_to_down: Millis,
    /// Time for which a down member is remembered so that its messages are recognised as stale, ms (1,000 to
    /// 86,400,000).
    pub remove_down_after: Millis,
    /// Maximum number of members in the view (2 to 100,000). Further members are not added.
    pub max_members: usize,
    /// Maximum size of a datagram, tag included, bytes (512 to 65,000).
    pub max_datagram: usize,
    /// The fleet's key for the datagram tags, 16 to 1,024 bytes.
    pub key: Vec<u8>,
}

/// A setting whose value is out of range.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("fleet setting `{key}` is {value}, wanted {range}")]
pub struct SettingsError {
    /// Name of the setting.
    pub key: &'static str,
    /// Configured value, or for a key its length in bytes.
    pub value: u64,
    /// Allowed range.
    pub range: &'static str,
}

impl SettingsError {
    /// Returns the error for a fleet key of `bytes` bytes.
    pub(crate) fn key_length(bytes: usize) -> SettingsError {
        SettingsError { key: "key", value: bytes as u64, range: KEY_BYTES_TEXT }
    }
}

impl Settings {
    /// Checks every setting against its range.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] for the first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range("probe_period", self.probe_period, 100..=60_000, "100 to 60000 ms")?;
        let rtt_range = 10..=self.probe_period / 2;
        check_range("probe_rtt", self.probe_rtt, rtt_range, "10 ms to half of probe_period")?;
        check_range("indirect_probes", self.indirect_probes as u64, 1..=10, "1 to 10")?;
        check_range("suspect_to_down", self.suspect_to_down, 100..=600_000, "100 to 600000 ms")?;
        let removal_range = 1_000..=86_400_000;
        check_range("remove_down_after", self.remove_down_after, removal_range, "1000 to 86400000 ms")?;
        check_range("max_members", self.max_members as u64, 2..=100_000, "2 to 100000")?;
        check_range("max_datagram", self.max_datagram as u64, 512..=65_000, "512 to 65000 bytes")?;
        if KEY_BYTES.contains(&(self.key.len() as u64)) {
            Ok(())
        } else {
            Err(SettingsError::key_length(self.key.len()))
        }
    }

    /// Returns the time in ms within which, at p99, every member that receives the others' datagrams has
    /// declared a dead member down, in a view of `members` members.
    ///
    /// It is the sum of up to two probe periods until some member probes the dead one (each of the other
    /// members probes it once per round), the rest of that period for the indirect probes, the suspicion
    /// timeout, and `⌈log2 members⌉ + 1` periods for the update to reach all members by gossip when some
    /// datagrams are lost. `tests/swim.rs` measures it; `docs/design/fleet.md` has the figures.
    pub fn detection_bound(&self, members: usize) -> Millis {
        let gossip_periods = u64::from((members.max(2) as u64).next_power_of_two().trailing_zeros()) + 1;
        self.suspect_to_down + self.probe_period * (3 + gossip_periods)
    }

    /// Returns the maximum number of pending timers. SWIM keeps a few per member that it probes or suspects.
    pub(crate) fn max_timers(&self) -> usize {
        4 * self.max_members + 64
    }

    /// Returns the configuration of the SWIM state machine.
    pub(crate) fn swim_config(&self) -> foca::Config {
        let max_members = NonZeroU32::new(self.max_members as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = foca::Config::new_lan(max_members);
        config.probe_period = Duration::from_millis(self.probe_period);
        config.probe_rtt = Duration::from_millis(self.probe_rtt);
        config.num_indirect_probes = NonZeroUsize::new(self.indirect_probes).unwrap_or(NonZeroUsize::MIN);
        config.suspect_to_down_after = Duration::from_millis(self.suspect_to_down);
        config.remove_down_after = Some(Duration::from_millis(self.remove_down_after));
        let max_body = NonZeroUsize::new(self.max_datagram - TAG_BYTES);
        config.max_packet_size = max_body.unwrap_or(NonZeroUsize::MIN);
        config
    }
}

fn check_range(
    key: &'static str,
    value: u64,
    allowed: RangeInclusive<u64>,
    range: &'static str,
) -> Result<(), SettingsError> {
    if allowed.contains(&value) { Ok(()) } else { Err(SettingsError { key, value, range }) }
}
