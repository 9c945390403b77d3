//! The process of a relay.

use super::coordinator_link::{Commands, emit};
use super::file_log::file_logger;
use crate::propagation::control::{Command, Event, RelaySetup, Traffic};
use crate::propagation::process::{UsageMeter, allow_connections};
use crate::propagation::servers::servers;
use crate::propagation::topology::{region_name, relay_name, zone_name};
use anyhow::{Context, Result, bail};
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::net::{RelayNode, RelayNodeSettings};

/// Zone name of a region's relay, which is in no zone.
const NO_ZONE: &str = "none";

pub fn run(setup: &RelaySetup, commands: Commands) -> Result<()> {
    let topology = &setup.run.topology;
    allow_connections(topology.shape.subscribers + topology.relays.len())?;
    let place = &topology.relays[setup.relay];
    let settings = RelayNodeSettings {
        member: Member {
            name: relay_name(setup.relay).into(),
            zone: place.zone.map_or_else(|| NO_ZONE.to_owned(), zone_name).into(),
            region: region_name(place.region).into(),
            role: Role::Relay,
        },
        listen: setup.listen,
        servers: servers(&setup.servers),
        fleet_key: setup.run.fleet_key.clone().into_bytes(),
        seed: setup.run.seed ^ setup.relay as u64,
    };
    let node = RelayNode::start(settings, file_logger(&setup.log)?)
        .with_context(|| format!("starting {}", relay_name(setup.relay)))?;
    let mut usage = UsageMeter::start(0);
    emit(&Event::Listening(vec![node.address()]));
    emit(&Event::Ready { head: node.head().into() });
    for command in commands {
        match command? {
            Command::Status => emit(&Event::Status { least: node.head().into() }),
            Command::BeginMeasuring => usage.begin(traffic(&node)),
            Command::Usage => emit(&Event::Usage(usage.read(traffic(&node)))),
            other => bail!("not a command for a relay: {other:?}"),
        }
    }
    Ok(())
}

fn traffic(node: &RelayNode) -> Traffic {
    let status = node.status();
    Traffic {
        bytes_in: status.bytes_in + status.upstream_bytes_in,
        bytes_out: status.bytes_out + status.upstream_bytes_out,
        frames: status.frames + status.upstream_frames,
        snapshots: 0,
        bad_frames: status.bad_frames,
    }
}
