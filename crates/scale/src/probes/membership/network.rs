//! A network of members in one process on a virtual clock: an event queue of datagrams under way and of timers.

use super::dissemination::DisseminationWatch;
use super::node_address::{address, node_of};
use anyhow::{Result, anyhow};
use dunlinspread_membership::{MemberId, Membership, Millis, Settings, ViewChange};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;

/// Bytes of the headers of a datagram over IPv4: 20 of IP, 8 of UDP.
pub const UDP_HEADERS: u64 = 28;

/// The delay of a datagram, ms, drawn evenly.
const DELAY: std::ops::RangeInclusive<Millis> = 1..=5;

/// The time over which members that know each other start, ms.
const START_SPAN: Millis = 1_000;

/// Members that a new one asks to be taken in.
const INTRODUCERS: usize = 3;

/// Datagrams and bytes, headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// What was sent since `earlier`.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic { datagrams: self.datagrams - earlier.datagrams, bytes: self.bytes - earlier.bytes }
    }
}

/// What happens at a member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake,
    Datagram(Vec<u8>),
}

/// One node in the network, with the member that runs there, if any.
struct Node {
    member: Option<Membership>,
    /// Its newest start.
    start: u64,
    /// The earliest wake-up in the queue.
    wake: Option<Millis>,
}

/// The network.
pub struct Network {
    rng: ChaCha8Rng,
    settings: Settings,
    now: Millis,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Millis, u64, usize, Event)>>,
    sequence: u64,
    loss: f64,
    traffic: Traffic,
    watch: Option<DisseminationWatch>,
    downs: u64,
}

impl Network {
    /// A network of so many nodes, nobody there yet.
    pub fn new(seed: u64, nodes: usize, settings: Settings) -> Network {
        Network {
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            now: 0,
            nodes: (0..nodes).map(|_| Node { member: None, start: 0, wake: None }).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            loss: 0.0,
            traffic: Traffic::default(),
            watch: None,
            downs: 0,
        }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// What was sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// How often a member declared another one down, or heard of it.
    pub fn downs(&self) -> u64 {
        self.downs
    }

    /// From now on this part of all datagrams is lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// A node where a member runs, drawn evenly.
    pub fn any_running(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.nodes.len());
            if self.nodes[node].member.is_some() {
                return node;
            }
        }
    }

    /// Members that run, with their nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes.iter().enumerate().filter_map(|(node, p)| p.member.as_ref().map(|member| (node, member)))
    }

    /// The member at a node, if one runs there.
    pub fn member(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].member.as_ref()
    }

    /// Starts a member that asks some of those that run to be taken in, and knows nobody else.
    ///
    /// # Errors
    /// If SWIM fails.
    pub fn start(&mut self, node: usize) -> Result<()> {
        let introducers: Vec<SocketAddrV4> = (0..INTRODUCERS).map(|_| address(self.any_running())).collect();
        let mut member = self.new_member(node)?;
        member.join(self.now, &introducers).map_err(|error| anyhow!("node {node}: {error}"))?;
        self.nodes[node].member = Some(member);
        self.settle(node);
        Ok(())
    }

    /// Starts a member at each of these nodes, within a second, all of whom know each other.
    ///
    /// # Errors
    /// If SWIM fails.
    pub fn start_acquainted(&mut self, nodes: std::ops::Range<usize>) -> Result<()> {
        let first = self.now;
        let all: Vec<MemberId> =
            nodes.clone().map(|node| MemberId { address: address(node), start: 1, incarnation: 0 }).collect();
        for node in nodes.clone() {
            self.run_until(first + START_SPAN * (node - nodes.start) as Millis / nodes.len() as Millis);
            let mut member = self.new_member(node)?;
            let others = all.iter().copied().filter(|id| id.address != address(node));
            member.learn(self.now, others).map_err(|error| anyhow!("node {node}: {error}"))?;
            self.nodes[node].member = Some(member);
            self.settle(node);
        }
        self.run_until(first + START_SPAN);
        Ok(())
    }

    /// The next start of the member of a node.
    fn new_member(&mut self, node: usize) -> Result<Membership> {
        self.nodes[node].start += 1;
        let me = MemberId { address: address(node), start: self.nodes[node].start, incarnation: 0 };
        Ok(Membership::new(me, &self.settings, self.rng.random(), self.now)?)
    }

    /// Ends the member at a node without a word.
    pub fn kill(&mut self, node: usize) -> Option<MemberId> {
        self.nodes[node].wake = None;
        self.nodes[node].member.take().map(|member| *member.id())
    }

    /// Watches how word of these members spreads from now on.
    pub fn set_watch(&mut self, watch: DisseminationWatch) {
        self.watch = Some(watch);
    }

    /// The watch, over now.
    pub fn take_watch(&mut self) -> Option<DisseminationWatch> {
        self.watch.take()
    }

    /// Whether everyone knows what is watched, or nothing is.
    pub fn is_watch_complete(&self) -> bool {
        self.watch.as_ref().is_none_or(DisseminationWatch::is_complete)
    }

    /// Runs until then.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(Reverse((due, ..))) = self.events.peek() {
            if *due > until {
                break;
            }
            if let Some(Reverse((due, _, node, event))) = self.events.pop() {
                self.now = due;
                self.on_event(node, event);
            }
        }
        self.now = until;
    }

    fn on_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let at = &mut self.nodes[node];
        let Some(member) = at.member.as_mut() else { return };
        match event {
            Event::Datagram(bytes) => {
                member.on_datagram(now, &bytes);
            }
            Event::Wake if at.wake == Some(now) => {
                at.wake = None;
                member.tick(now);
            }
            Event::Wake => return,
        }
        self.settle(node);
    }

    /// Sends what a member has to send, takes its changes, and sees that it is woken for its next timer.
    fn settle(&mut self, node: usize) {
        let Some(member) = self.nodes[node].member.as_mut() else { return };
        let datagrams = member.take_datagrams();
        let changes = member.take_changes();
        let next = member.next_due().map(|due| due.max(self.now));
        for (to, bytes) in datagrams {
            self.send(&to, bytes);
        }
        for change in changes {
            self.downs += u64::from(matches!(change, ViewChange::Down(_)));
            if let Some(watch) = &mut self.watch {
                watch.on_change(self.now, node, &change);
            }
        }
        let wake = self.nodes[node].wake;
        if let Some(next) = next
            && wake.is_none_or(|wake| next < wake)
        {
            self.nodes[node].wake = Some(next);
            self.push(next, node, Event::Wake);
        }
    }

    fn send(&mut self, to: &SocketAddrV4, bytes: Vec<u8>) {
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes.len() as u64 + UDP_HEADERS;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let due = self.now + self.rng.random_range(DELAY);
        self.push(due, node_of(to), Event::Datagram(bytes));
    }

    fn push(&mut self, due: Millis, node: usize, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((due, self.sequence, node, event)));
    }
}
