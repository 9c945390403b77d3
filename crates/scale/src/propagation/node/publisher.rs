//! The process of the publisher.

use super::coordinator_link::{Commands, emit};
use super::file_log::file_logger;
use crate::propagation::changes::{PlannedTransaction, planned_transactions};
use crate::propagation::control::{Command, Event, PublisherSetup};
use crate::propagation::dataset::base_transactions;
use crate::propagation::process::{allow_connections, unix_ms};
use anyhow::{Context, Result, bail};
use dunlinspread_config_sync::net::{Pending, PublisherNode, PublisherNodeSettings};
use dunlinspread_config_sync::resource::Position;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Maximum number of unanswered transactions while the initial table is published.
const BASE_WINDOW: usize = 8;
/// Interval at which refusals are read from the publisher.
const REFUSALS_PERIOD: Duration = Duration::from_millis(200);

/// A submitted proposal with its pending answer.
struct Submitted {
    sequence: u64,
    proposed_unix_ms: u64,
    pending: Pending,
}

pub fn run(setup: &PublisherSetup, commands: Commands) -> Result<()> {
    let run = &setup.run;
    allow_connections(run.topology.relays.len())?;
    let mut settings = PublisherNodeSettings::new("publisher", setup.listen, run.fleet_key.as_bytes());
    settings.seed = run.seed;
    let node = PublisherNode::open(settings, &setup.directory, file_logger(&setup.log)?)?;
    emit(&Event::Listening(vec![node.address()]));
    if node.head() == Position::default() || node.head().revision == 0 {
        publish_base(&node, setup)?;
    }
    let node = Arc::new(node);
    let planned = planned_transactions(run.shape(), run.seed, run.changes);
    let (submitted, answers) = channel();
    thread::spawn(move || report_answers(&answers));
    let refusal_source = node.clone();
    thread::spawn(move || report_refusals(&refusal_source));
    emit(&Event::Ready { head: node.head().into() });
    for command in commands {
        match command? {
            Command::Propose { sequence } => submitted.send(submit(&node, &planned, sequence)?)?,
            Command::ZoneStatus { zone } => emit(&zone_status(&node, &zone)),
            other => bail!("not a command for a publisher: {other:?}"),
        }
    }
    Ok(())
}

fn zone_status(node: &PublisherNode, zone: &str) -> Event {
    let progress = node.progress().into_iter().find(|progress| &*progress.zone == zone);
    let (subscribers, least) =
        progress.map_or((0, Position::default()), |progress| (progress.subscribers, progress.least));
    Event::ZoneStatus { subscribers, least: least.into() }
}

fn publish_base(node: &PublisherNode, setup: &PublisherSetup) -> Result<()> {
    let mut unanswered: VecDeque<Pending> = VecDeque::new();
    for changes in base_transactions(setup.run.shape(), setup.run.seed) {
        if unanswered.len() == BASE_WINDOW {
            if let Some(oldest) = unanswered.pop_front() {
                oldest.wait().context("publishing the initial table")?;
            }
        }
        unanswered.push_back(node.submit(changes));
    }
    for pending in unanswered {
        pending.wait().context("publishing the initial table")?;
    }
    Ok(())
}

fn submit(node: &PublisherNode, planned: &[PlannedTransaction], sequence: u64) -> Result<Submitted> {
    let index = usize::try_from(sequence)?.checked_sub(1).context("sequence numbers begin with 1")?;
    let transaction = planned.get(index).with_context(|| format!("transaction {sequence} is not planned"))?;
    let proposed_unix_ms = unix_ms();
    let pending = node.submit(transaction.changes.clone());
    Ok(Submitted { sequence, proposed_unix_ms, pending })
}

fn report_answers(answers: &Receiver<Submitted>) {
    for Submitted { sequence, proposed_unix_ms, pending } in answers {
        emit(&match pending.wait() {
            Ok(position) => Event::Accepted { sequence, position: position.into(), proposed_unix_ms },
            Err(failure) => Event::Rejected { sequence, reason: failure.to_string() },
        });
    }
}

fn report_refusals(node: &PublisherNode) {
    loop {
        thread::sleep(REFUSALS_PERIOD);
        let refusals = node.take_refusals();
        if !refusals.is_empty() {
            let refusals = refusals
                .iter()
                .map(|refusal| (refusal.member.to_string(), refusal.position.into()))
                .collect();
            emit(&Event::Refusals { refusals });
        }
    }
}
