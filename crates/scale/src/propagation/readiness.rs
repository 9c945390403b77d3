//! How far the processes of a run are, by their last answers.

use super::cluster::Cluster;
use super::control::{Command, PositionLine};
use super::daemons::DAEMON_ZONE;
use super::supervisor::NodeId;
use anyhow::Result;
use std::time::{Duration, Instant};

/// How long processes may take to start and to have the first table.
pub const START_LIMIT: Duration = Duration::from_secs(180);
/// How often subscribers are asked how far they are.
const STATUS_PERIOD: Duration = Duration::from_millis(250);

/// Waits until all of these processes listen.
///
/// # Errors
/// If one ends, or they take too long.
pub fn wait_listening(cluster: &mut Cluster, what: &str, nodes: &[NodeId]) -> Result<()> {
    cluster.wait_until(what, START_LIMIT, |cluster| {
        all_nodes(nodes, |node| Ok(!cluster.node(node)?.listening.is_empty()))
    })
}

/// Waits until all of these processes are ready.
///
/// # Errors
/// As [`wait_listening`].
pub fn wait_ready(cluster: &mut Cluster, what: &str, nodes: &[NodeId]) -> Result<()> {
    cluster.wait_until(what, START_LIMIT, |cluster| {
        all_nodes(nodes, |node| Ok(cluster.node(node)?.ready.is_some()))
    })
}

/// Waits until all of these processes are at a position.
///
/// # Errors
/// As [`wait_listening`].
pub fn wait_at(cluster: &mut Cluster, what: &str, nodes: &[NodeId], position: PositionLine) -> Result<()> {
    let mut asked = None;
    cluster.wait_until(what, START_LIMIT, |cluster| is_at(cluster, nodes, position, &mut asked))
}

/// Returns whether all are at a position by their last answers; asks them again each [`STATUS_PERIOD`].
///
/// # Errors
/// If one has ended.
pub fn is_at(
    cluster: &mut Cluster,
    nodes: &[NodeId],
    position: PositionLine,
    asked: &mut Option<Instant>,
) -> Result<bool> {
    if asked.is_none_or(|asked| asked.elapsed() >= STATUS_PERIOD) {
        *asked = Some(Instant::now());
        nodes.iter().try_for_each(|&node| cluster.send(node, &Command::Status))?;
    }
    all_nodes(nodes, |node| Ok(cluster.node(node)?.status.is_some_and(|least| least >= position)))
}

/// Returns whether so many daemons acknowledged a position, as the publisher has it.
///
/// # Errors
/// If the publisher has ended.
pub fn daemons_are_at(
    cluster: &mut Cluster,
    count: usize,
    position: PositionLine,
    asked: &mut Option<Instant>,
) -> Result<bool> {
    if count == 0 {
        return Ok(true);
    }
    if asked.is_none_or(|asked| asked.elapsed() >= STATUS_PERIOD) {
        *asked = Some(Instant::now());
        cluster.send(NodeId::Publisher, &Command::ZoneStatus { zone: DAEMON_ZONE.into() })?;
    }
    let status = cluster.node(NodeId::Publisher)?.zone_status;
    Ok(status.is_some_and(|(subscribers, least)| subscribers as usize == count && least >= position))
}

/// Returns whether something holds for all of these processes.
///
/// # Errors
/// As `holds`.
pub fn all_nodes(nodes: &[NodeId], mut holds: impl FnMut(NodeId) -> Result<bool>) -> Result<bool> {
    for &node in nodes {
        if !holds(node)? {
            return Ok(false);
        }
    }
    Ok(true)
}
