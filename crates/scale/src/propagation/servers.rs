//! Lists of servers between the coordinator's lines and the crate's settings.

use super::control::ServerLine;
use dunlinspread_config_sync::client::Server;

/// The servers of the lines.
pub fn servers(lines: &[ServerLine]) -> Vec<Server> {
    lines
        .iter()
        .map(|line| Server {
            name: line.name.as_str().into(),
            address: line.address,
            zone: line.zone.as_deref().map(Into::into),
            region: line.region.as_str().into(),
        })
        .collect()
}
