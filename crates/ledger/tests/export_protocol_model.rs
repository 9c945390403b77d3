//! A model of the export protocol, built on the functions that the server uses: a sender, a collector, a
//! network that loses, duplicates and reorders messages, and crashes of both ends between any two steps. All
//! reachable states are explored. The model must detect a variant that acknowledges a batch before it is
//! durable.

use dunlinspread_ledger::export_protocol::{
    CollectorReply, ExportCollector, ExportSender, OfferDecision, SenderAction,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Number of batches to export.
const BATCHES: u64 = 4;
/// Maximum number of messages in flight when a message is sent.
const MAX_IN_FLIGHT: usize = 5;
/// Maximum number of crashes of each end.
const CRASHES: u8 = 3;

/// Returns the digest of a batch.
fn digest(number: u64) -> [u8; 32] {
    [number as u8; 32]
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Offer(u64),
    Reply(CollectorReply),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    sender: ExportSender,
    /// Durable state of the sender: number of acknowledged batches, and whether the next one is prepared.
    sender_disk: (u64, bool),
    /// Running collector; `None` while it is down.
    collector: Option<ExportCollector>,
    /// Durable state of the collector: the numbers of all counted batches, in order.
    counted: Vec<u64>,
    /// Batch that a faulty collector has acknowledged but not made durable yet.
    pending_write: Option<u64>,
    /// Messages in flight. A message stays until it is lost, so it may arrive any number of times and in any
    /// order.
    network: BTreeSet<Message>,
    /// Number of crashes of the sender and of the collector.
    crashes: (u8, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Prepare,
    Send,
    RecordAcknowledgement,
    Lose(Message),
    OfferArrives(u64),
    ReplyArrives(CollectorReply),
    WriteBecomesDurable,
    SenderCrashes,
    CollectorCrashes,
    CollectorStarts,
}

struct ExportModel {
    /// Whether the collector replies before its batch is durable.
    acknowledges_early: bool,
}

fn collector_from(counted: &[u64]) -> ExportCollector {
    counted
        .last()
        .map_or(ExportCollector::default(), |last| ExportCollector::new(counted.len() as u64, digest(*last)))
}

impl Model for ExportModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            sender: ExportSender::new(0, None),
            sender_disk: (0, false),
            collector: Some(ExportCollector::default()),
            counted: Vec::new(),
            pending_write: None,
            network: BTreeSet::new(),
            crashes: (0, 0),
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        match w.sender.next() {
            SenderAction::Idle if w.sender_disk.0 < BATCHES => steps.push(Step::Prepare),
            SenderAction::Send(_) if w.network.len() < MAX_IN_FLIGHT => steps.push(Step::Send),
            SenderAction::RecordAcknowledgement(_) => steps.push(Step::RecordAcknowledgement),
            _ => {}
        }
        for message in &w.network {
            steps.push(Step::Lose(message.clone()));
            match message {
                Message::Offer(n) if w.collector.is_some() && w.network.len() <= MAX_IN_FLIGHT => {
                    steps.push(Step::OfferArrives(*n));
                }
                Message::Reply(reply) => steps.push(Step::ReplyArrives(*reply)),
                Message::Offer(_) => {}
            }
        }
        if w.pending_write.is_some() {
            steps.push(Step::WriteBecomesDurable);
        }
        if w.crashes.0 < CRASHES {
            steps.push(Step::SenderCrashes);
        }
        match w.collector {
            Some(_) if w.crashes.1 < CRASHES => steps.push(Step::CollectorCrashes),
            None => steps.push(Step::CollectorStarts),
            _ => {}
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Prepare => {
                w.sender_disk.1 = true;
                w.sender.batch_prepared(digest(w.sender_disk.0 + 1)).expect("one batch at a time");
            }
            Step::Send => {
                let SenderAction::Send(n) = w.sender.next() else { return None };
                w.network.insert(Message::Offer(n));
            }
            Step::RecordAcknowledgement => {
                w.sender_disk = (w.sender_disk.0 + 1, false);
                w.sender.acknowledgement_recorded();
            }
            Step::Lose(message) => drop(w.network.remove(&message)),
            Step::OfferArrives(n) => {
                let collector = w.collector.as_mut()?;
                let previous = if n == 1 { Vec::new() } else { digest(n - 1).to_vec() };
                let stored_digest = |n: u64| w.counted.contains(&n).then(|| digest(n));
                let decision = collector.on_offer(n, &digest(n), &previous, stored_digest);
                if decision == OfferDecision::Accept {
                    collector.batch_accepted(digest(n));
                    if self.acknowledges_early {
                        // Only one write is pending at a time, so the previous write is durable by now.
                        w.counted.extend(w.pending_write.replace(n));
                    } else {
                        w.counted.push(n);
                    }
                }
                let reply = collector.reply(decision);
                w.network.insert(Message::Reply(reply));
            }
            Step::ReplyArrives(reply) => w.sender.on_reply(&reply),
            Step::WriteBecomesDurable => w.counted.extend(w.pending_write.take()),
            Step::SenderCrashes => {
                let (acknowledged, prepared) = w.sender_disk;
                w.sender = ExportSender::new(acknowledged, prepared.then(|| digest(acknowledged + 1)));
                w.crashes.0 += 1;
            }
            Step::CollectorCrashes => {
                w.collector = None;
                w.pending_write = None;
                w.crashes.1 += 1;
            }
            Step::CollectorStarts => w.collector = Some(collector_from(&w.counted)),
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("batches are counted once and in order", |_, w: &World| {
                w.counted.iter().zip(1..).all(|(n, at)| *n == at)
            }),
            Property::always("no acknowledged batch is lost", |_, w: &World| {
                w.pending_write.is_some() || w.counted.len() as u64 >= w.sender_disk.0
            }),
            Property::always("no fault is reported without a cause", |_, w: &World| {
                !matches!(w.sender.next(), SenderAction::Fault(_))
            }),
            Property::sometimes("all batches are delivered", |_, w: &World| w.sender_disk.0 == BATCHES),
            Property::sometimes("all batches are delivered after all crashes", |_, w: &World| {
                w.sender_disk.0 == BATCHES && w.crashes == (CRASHES, CRASHES)
            }),
            Property::always(
                "a reliable network always delivers all batches within a bounded number of steps",
                |model: &ExportModel, w: &World| model.delivers_all_batches(w),
            ),
        ]
    }
}

impl ExportModel {
    /// Returns whether all batches are delivered from this state if no more messages are lost and neither end
    /// crashes.
    fn delivers_all_batches(&self, from: &World) -> bool {
        if self.acknowledges_early {
            return true;
        }
        let mut w = from.clone();
        let apply = |w: &mut World, step: Step| {
            if let Some(next) = self.next_state(w, step) {
                *w = next;
            }
        };
        apply(&mut w, Step::CollectorStarts);
        for _ in 0..40 * BATCHES {
            if w.sender_disk.0 == BATCHES {
                return true;
            }
            // Messages that are still in flight arrive first, because old messages must not mislead either
            // end.
            match w.network.first().cloned() {
                Some(Message::Offer(n)) => {
                    w.network.remove(&Message::Offer(n));
                    apply(&mut w, Step::OfferArrives(n));
                }
                Some(Message::Reply(reply)) => {
                    w.network.remove(&Message::Reply(reply));
                    apply(&mut w, Step::ReplyArrives(reply));
                }
                None => match w.sender.next() {
                    SenderAction::Idle => apply(&mut w, Step::Prepare),
                    SenderAction::Send(_) => apply(&mut w, Step::Send),
                    SenderAction::RecordAcknowledgement(_) => apply(&mut w, Step::RecordAcknowledgement),
                    SenderAction::Fault(_) => return false,
                },
            }
        }
        w.sender_disk.0 == BATCHES
    }
}

#[test]
fn every_batch_is_counted_once() {
    let checker = ExportModel { acknowledges_early: false }.checker().threads(4).spawn_bfs().join();
    println!("states: {} in total, {} unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

/// The model detects a collector that acknowledges a batch before it is durable.
#[test]
fn acknowledging_before_it_is_durable_is_detected() {
    let checker = ExportModel { acknowledges_early: true }.checker().threads(4).spawn_bfs().join();
    let counterexample = checker.discovery("no acknowledged batch is lost").expect("a counterexample");
    println!("{} steps: {counterexample}", counterexample.clone().into_actions().len());
}
