//! The export protocol as a model: a sender, a network that loses, duplicates and reorders, a collector, and crashes of
//! both between any two steps, over the functions that the program uses. Every state is explored. A variant that
//! acknowledges before it has made a batch durable has to be detected.

use dunlinspread_ledger::export_protocol::{
    CollectorReply, ExportCollector, ExportSender, OfferDecision, SenderAction,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Batches to export, messages in flight at once, crashes of each end.
const BATCHES: u64 = 4;
const MAX_IN_FLIGHT: usize = 5;
const CRASHES: u8 = 3;

/// The digest of a batch.
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
    /// What of the sender is durable: batches acknowledged, and whether the next is prepared.
    sender_disk: (u64, bool),
    /// None while it is down.
    collector: Option<ExportCollector>,
    /// What of the collector is durable: each batch that was counted, in order.
    counted: Vec<u64>,
    /// A broken collector replies before this is durable.
    taking: Option<u64>,
    /// A message stays until it is lost: it may arrive any number of times, in any order.
    network: BTreeSet<Message>,
    crashes: (u8, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Prepare,
    Send,
    Settle,
    Lose(Message),
    OfferArrives(u64),
    ReplyArrives(CollectorReply),
    TakingIsDurable,
    SenderCrashes,
    CollectorCrashes,
    CollectorStarts,
}

struct ExportModel {
    /// The collector replies before its batch is durable.
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
            taking: None,
            network: BTreeSet::new(),
            crashes: (0, 0),
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        match w.sender.next() {
            SenderAction::Idle if w.sender_disk.0 < BATCHES => steps.push(Step::Prepare),
            SenderAction::Send(_) if w.network.len() < MAX_IN_FLIGHT => steps.push(Step::Send),
            SenderAction::RecordAcknowledgement(_) => steps.push(Step::Settle),
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
        if w.taking.is_some() {
            steps.push(Step::TakingIsDurable);
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
            Step::Settle => {
                w.sender_disk = (w.sender_disk.0 + 1, false);
                w.sender.acknowledgement_recorded();
            }
            Step::Lose(message) => drop(w.network.remove(&message)),
            Step::OfferArrives(n) => {
                let collector = w.collector.as_mut()?;
                let previous = if n == 1 { Vec::new() } else { digest(n - 1).to_vec() };
                let kept = |n: u64| w.counted.contains(&n).then(|| digest(n));
                let decision = collector.on_offer(n, &digest(n), &previous, kept);
                if decision == OfferDecision::Accept {
                    collector.batch_accepted(digest(n));
                    if self.acknowledges_early {
                        // One write at a time: the one before is done by now.
                        w.counted.extend(w.taking.replace(n));
                    } else {
                        w.counted.push(n);
                    }
                }
                let reply = collector.reply(decision);
                w.network.insert(Message::Reply(reply));
            }
            Step::ReplyArrives(reply) => w.sender.on_reply(&reply),
            Step::TakingIsDurable => w.counted.extend(w.taking.take()),
            Step::SenderCrashes => {
                let (acknowledged, prepared) = w.sender_disk;
                w.sender = ExportSender::new(acknowledged, prepared.then(|| digest(acknowledged + 1)));
                w.crashes.0 += 1;
            }
            Step::CollectorCrashes => {
                w.collector = None;
                w.taking = None;
                w.crashes.1 += 1;
            }
            Step::CollectorStarts => w.collector = Some(collector_from(&w.counted)),
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("none is counted twice, and in order", |_, w: &World| {
                w.counted.iter().zip(1..).all(|(n, at)| *n == at)
            }),
            Property::always("none that is settled is lost", |_, w: &World| {
                w.taking.is_some() || w.counted.len() as u64 >= w.sender_disk.0
            }),
            Property::always("no alarm without a cause", |_, w: &World| {
                !matches!(w.sender.next(), SenderAction::Fault(_))
            }),
            Property::sometimes("all are delivered", |_, w: &World| w.sender_disk.0 == BATCHES),
            Property::sometimes("all are delivered after all the crashes", |_, w: &World| {
                w.sender_disk.0 == BATCHES && w.crashes == (CRASHES, CRASHES)
            }),
            Property::always(
                "a short run on a reliable network always gets through",
                |model: &ExportModel, w: &World| model.gets_through(w),
            ),
        ]
    }
}

impl ExportModel {
    /// From this state on nothing more is lost and nobody crashes: is all delivered?
    fn gets_through(&self, from: &World) -> bool {
        if self.acknowledges_early {
            return true;
        }
        let mut w = from.clone();
        let go = |w: &mut World, step: Step| {
            if let Some(next) = self.next_state(w, step) {
                *w = next;
            }
        };
        go(&mut w, Step::CollectorStarts);
        for _ in 0..40 * BATCHES {
            if w.sender_disk.0 == BATCHES {
                return true;
            }
            // What is still in flight arrives first: old messages may not mislead either end.
            match w.network.first().cloned() {
                Some(Message::Offer(n)) => {
                    w.network.remove(&Message::Offer(n));
                    go(&mut w, Step::OfferArrives(n));
                }
                Some(Message::Reply(reply)) => {
                    w.network.remove(&Message::Reply(reply));
                    go(&mut w, Step::ReplyArrives(reply));
                }
                None => match w.sender.next() {
                    SenderAction::Idle => go(&mut w, Step::Prepare),
                    SenderAction::Send(_) => go(&mut w, Step::Send),
                    SenderAction::RecordAcknowledgement(_) => go(&mut w, Step::Settle),
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
    println!("states: {} in all, {} different", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

/// The model bites.
#[test]
fn acknowledging_before_it_is_durable_is_detected() {
    let checker = ExportModel { acknowledges_early: true }.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("none that is settled is lost").expect("a counterexample");
    println!("{} steps: {found}", found.clone().into_actions().len());
}
