//! Converts the server lists of the coordinator's messages to those of the client settings.

use super::control::ServerLine;
use dunlinspread_config_sync::client::Server;

/// Converts a list of servers.
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
