//! Waits for the processes of a run to listen, to be ready or to reach a position.

use super::cluster::Cluster;
use super::control::{Command, PositionLine};
use super::daemons::DAEMON_ZONE;
use super::supervisor::NodeId;
use anyhow::Result;
use std::time::{Duration, Instant};

/// Maximum time for processes to start and to get the initial table.
pub const START_LIMIT: Duration = Duration::from_secs(180);
/// Interval between status requests.
const STATUS_PERIOD: Duration = Duration::from_millis(250);

/// Waits until all of these processes listen.
///
/// # Errors
/// Returns an error if a process ends, or not all listen within [`START_LIMIT`].
pub fn wait_listening(cluster: &mut Cluster, awaited: &str, nodes: &[NodeId]) -> Result<()> {
    cluster.wait_until(awaited, START_LIMIT, |cluster| {
        all_nodes(nodes, |node| Ok(!cluster.node(node)?.listening.is_empty()))
    })
}

/// Waits until all of these processes are ready.
///
/// # Errors
/// Returns an error if a process ends, or not all are ready within [`START_LIMIT`].
pub fn wait_ready(cluster: &mut Cluster, awaited: &str, nodes: &[NodeId]) -> Result<()> {
    cluster.wait_until(awaited, START_LIMIT, |cluster| {
        all_nodes(nodes, |node| Ok(cluster.node(node)?.ready.is_some()))
    })
}

/// Waits until all of these processes have reached a position.
///
/// # Errors
/// Returns an error if a process ends, or not all are at the position within [`START_LIMIT`].
pub fn wait_at(cluster: &mut Cluster, awaited: &str, nodes: &[NodeId], position: PositionLine) -> Result<()> {
    let mut requested = None;
    cluster.wait_until(awaited, START_LIMIT, |cluster| is_at(cluster, nodes, position, &mut requested))
}

/// Returns whether all processes have reached a position according to their last answers. Requests their
/// status again after each [`STATUS_PERIOD`].
///
/// # Errors
/// Returns an error if a process has ended.
pub fn is_at(
    cluster: &mut Cluster,
    nodes: &[NodeId],
    position: PositionLine,
    requested: &mut Option<Instant>,
) -> Result<bool> {
    if requested.is_none_or(|requested| requested.elapsed() >= STATUS_PERIOD) {
        *requested = Some(Instant::now());
        nodes.iter().try_for_each(|&node| cluster.send(node, &Command::Status))?;
    }
    all_nodes(nodes, |node| Ok(cluster.node(node)?.status.is_some_and(|least| least >= position)))
}

/// Returns whether `count` daemons have acknowledged a position according to the publisher.
///
/// # Errors
/// Returns an error if the publisher has ended.
pub fn daemons_are_at(
    cluster: &mut Cluster,
    count: usize,
    position: PositionLine,
    requested: &mut Option<Instant>,
) -> Result<bool> {
    if count == 0 {
        return Ok(true);
    }
    if requested.is_none_or(|requested| requested.elapsed() >= STATUS_PERIOD) {
        *requested = Some(Instant::now());
        cluster.send(NodeId::Publisher, &Command::ZoneStatus { zone: DAEMON_ZONE.into() })?;
    }
    let status = cluster.node(NodeId::Publisher)?.zone_status;
    Ok(status.is_some_and(|(subscribers, least)| subscribers as usize == count && least >= position))
}

/// Returns whether a condition holds for all of these processes.
///
/// # Errors
/// Returns the error of `holds`.
pub fn all_nodes(nodes: &[NodeId], mut holds: impl FnMut(NodeId) -> Result<bool>) -> Result<bool> {
    for &node in nodes {
        if !holds(node)? {
            return Ok(false);
        }
    }
    Ok(true)
}
