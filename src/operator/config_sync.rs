//! The block `config_sync`: distribution of tenant quotas, routes and class limits from the fleet's publisher
//! through relays. They take effect without a restart.

use super::error::{FleetKeyError, KeyError, OperatorConfigError};
use super::source::Source;
use hcl_edit::Span as _;
use hcl_edit::structure::Block;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io::Read as _;
use std::net::SocketAddr;

/// Name of a relay's block.
const BLOCK_RELAY: &str = "relay";
/// Maximum length of the name of a relay, zone or region, bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of relays in one operator file.
const MAX_RELAYS: usize = 64;
/// Default value of `max_tenants`, and the largest value that may be configured.
const DEFAULT_MAX_TENANTS: usize = 1_000_000;
const LARGEST_MAX_TENANTS: usize = 4_000_000;
/// Default value of `max_routes`, and the largest value that may be configured.
const DEFAULT_MAX_ROUTES: usize = 200_000;
const LARGEST_MAX_ROUTES: usize = 1_000_000;
/// Range of the length of the fleet's key, bytes.
const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=1024;

/// A relay or publisher that the server may subscribe to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Name of the relay, by which servers rank it.
    pub name: String,
    /// Address on which the relay listens.
    pub address: SocketAddr,
    /// Zone of the relay; `None` for a relay of a whole region.
    pub zone: Option<String>,
    /// Region of the relay.
    pub region: String,
}

/// The block `config_sync`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSyncSettings {
    /// Zone of this server.
    pub zone: String,
    /// Region of this server.
    pub region: String,
    /// Path of the file that holds the fleet's key.
    pub key_file: String,
    /// Directory in which the last valid state is stored; without it, a restart begins with the platform's
    /// settings.
    pub state_directory: Option<String>,
    /// Maximum number of tenants, including the platform's.
    pub max_tenants: usize,
    /// Maximum number of routes.
    pub max_routes: usize,
    /// Relays and publishers to subscribe to, sorted by name.
    pub relays: Vec<RelaySettings>,
}

impl ConfigSyncSettings {
    /// Reads the fleet's key from its file.
    ///
    /// # Errors
    /// - [`FleetKeyError::Read`] if the file can't be read.
    /// - [`FleetKeyError::Length`] if the key is too short or too long.
    pub fn fleet_key(&self) -> Result<Vec<u8>, FleetKeyError> {
        let read_error = |source| FleetKeyError::Read { file: self.key_file.clone(), source };
        let (shortest, longest) = (*KEY_BYTES.start(), *KEY_BYTES.end());
        let file = std::fs::File::open(&self.key_file).map_err(read_error)?;
        let mut key = Vec::new();
        file.take(longest as u64 + 1).read_to_end(&mut key).map_err(read_error)?;
        if KEY_BYTES.contains(&key.len()) {
            return Ok(key);
        }
        Err(FleetKeyError::Length { file: self.key_file.clone(), shortest, longest })
    }
}

/// The block as written in the operator file, before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfigSync {
    zone: String,
    region: String,
    key_file: String,
    state_directory: Option<String>,
    max_tenants: Option<u64>,
    max_routes: Option<u64>,
    #[serde(default)]
    relay: BTreeMap<String, RawRelay>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRelay {
    address: SocketAddr,
    zone: Option<String>,
    region: Option<String>,
}

/// Reads and validates the block.
pub(super) fn read(source: &Source, block: &Block) -> Result<ConfigSyncSettings, OperatorConfigError> {
    check_relay_labels(source, block)?;
    let raw: RawConfigSync = source.block(block)?;
    raw.check().map_err(|error| source.key_error(block, error))
}

fn check_relay_labels(source: &Source, block: &Block) -> Result<(), OperatorConfigError> {
    let mut seen: Vec<&str> = Vec::new();
    for relay in block.body.get_blocks(BLOCK_RELAY) {
        let error =
            |reason: &str| Err(source.error(relay.span(), Some(block), Some(BLOCK_RELAY), reason.to_owned()));
        let [label] = &relay.labels[..] else {
            return error("requires one label, the name: relay \"name\" {");
        };
        let name = label.as_str();
        if seen.contains(&name) {
            return error(&format!("\"{name}\" is defined more than once"));
        }
        seen.push(name);
    }
    Ok(())
}

impl RawConfigSync {
    fn check(self) -> Result<ConfigSyncSettings, KeyError> {
        check_name("zone", &self.zone)?;
        check_name("region", &self.region)?;
        check_not_empty("key_file", &self.key_file)?;
        self.state_directory
            .iter()
            .try_for_each(|directory| check_not_empty("state_directory", directory))?;
        if self.relay.is_empty() {
            return Err(KeyError::new(BLOCK_RELAY, "is missing: at least one relay is required"));
        }
        if self.relay.len() > MAX_RELAYS {
            return Err(KeyError::new(BLOCK_RELAY, format!("has more than {MAX_RELAYS} blocks")));
        }
        let region = &self.region;
        let relays = self.relay.into_iter().map(|(name, relay)| relay.check(name, region));
        Ok(ConfigSyncSettings {
            relays: relays.collect::<Result<_, _>>()?,
            max_tenants: count("max_tenants", self.max_tenants, DEFAULT_MAX_TENANTS, LARGEST_MAX_TENANTS)?,
            max_routes: count("max_routes", self.max_routes, DEFAULT_MAX_ROUTES, LARGEST_MAX_ROUTES)?,
            zone: self.zone,
            region: self.region,
            key_file: self.key_file,
            state_directory: self.state_directory,
        })
    }
}

impl RawRelay {
    fn check(self, name: String, own_region: &str) -> Result<RelaySettings, KeyError> {
        check_name(&format!("relay.{name}"), &name)?;
        if let Some(zone) = &self.zone {
            check_name(&format!("relay.{name}.zone"), zone)?;
        }
        let region = self.region.unwrap_or_else(|| own_region.to_owned());
        check_name(&format!("relay.{name}.region"), &region)?;
        Ok(RelaySettings { name, address: self.address, zone: self.zone, region })
    }
}

fn check_name(key: &str, name: &str) -> Result<(), KeyError> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    let reason = format!("a name of {} bytes, expected 1 to {MAX_NAME_BYTES}", name.len());
    Err(KeyError::new(key.to_owned(), reason))
}

fn check_not_empty(key: &str, text: &str) -> Result<(), KeyError> {
    if text.is_empty() { Err(KeyError::new(key.to_owned(), "is empty")) } else { Ok(()) }
}

fn count(key: &'static str, stated: Option<u64>, default: usize, largest: usize) -> Result<usize, KeyError> {
    let count = stated.unwrap_or(default as u64);
    if (1..=largest as u64).contains(&count) {
        return Ok(count as usize);
    }
    Err(KeyError::new(key, format!("{count} is not between 1 and {largest}")))
}

impl fmt::Display for ConfigSyncSettings {
    /// Writes the block as it would appear in an operator file, with the path of the key's file but never the
    /// key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "config_sync {{")?;
        writeln!(f, "  zone            = {}", hcl_string(&self.zone))?;
        writeln!(f, "  region          = {}", hcl_string(&self.region))?;
        writeln!(f, "  key_file        = {}", hcl_string(&self.key_file))?;
        if let Some(directory) = &self.state_directory {
            writeln!(f, "  state_directory = {}", hcl_string(directory))?;
        }
        writeln!(f, "  max_tenants     = {}", self.max_tenants)?;
        writeln!(f, "  max_routes      = {}", self.max_routes)?;
        self.relays.iter().try_for_each(|relay| write!(f, "{relay}"))?;
        writeln!(f, "}}")
    }
}

impl fmt::Display for RelaySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  relay {} {{", hcl_string(&self.name))?;
        writeln!(f, "    address = \"{}\"", self.address)?;
        if let Some(zone) = &self.zone {
            writeln!(f, "    zone    = {}", hcl_string(zone))?;
        }
        writeln!(f, "    region  = {}", hcl_string(&self.region))?;
        writeln!(f, "  }}")
    }
}

/// Returns a text as an HCL string, quoted and escaped.
fn hcl_string(text: &str) -> hcl::Expression {
    hcl::Expression::from(text)
}
