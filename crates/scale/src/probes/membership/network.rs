//! Simulates a network of members in one process on a virtual clock, with an event queue of datagrams in
//! transit and of timers.

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

/// Delay of a datagram, ms, drawn from a uniform distribution.
const DELAY: std::ops::RangeInclusive<Millis> = 1..=5;

/// Time over which the starts of members that know each other are spread, ms.
const START_SPAN: Millis = 1_000;

/// Number of running members that a new member contacts to join.
const INTRODUCERS: usize = 3;

/// Numbers of datagrams and of bytes, headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Bytes of the datagrams.
    pub bytes: u64,
}

impl Traffic {
    /// Returns the traffic since `earlier`.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic { datagrams: self.datagrams - earlier.datagrams, bytes: self.bytes - earlier.bytes }
    }
}

/// Event at a member.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake,
    Datagram(Vec<u8>),
}

/// A node in the network, with the member that runs there, if any.
struct Node {
    member: Option<Membership>,
    /// Number of the newest start of the node's member.
    start: u64,
    /// Time of the earliest wake-up in the queue.
    wake: Option<Millis>,
}

/// A simulated network.
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
    /// Creates a network with the given number of nodes and no running members.
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

    /// Returns the virtual time, ms.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the traffic so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Returns how often a member declared another one down or learned that it was declared down.
    pub fn downs(&self) -> u64 {
        self.downs
    }

    /// Sets the fraction of datagrams that is lost from now on.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Returns a node with a running member, drawn from a uniform distribution.
    pub fn any_running(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.nodes.len());
            if self.nodes[node].member.is_some() {
                return node;
            }
        }
    }

    /// Returns the running members with their nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(index, node)| node.member.as_ref().map(|member| (index, member)))
    }

    /// Returns the member at a node, if one is running.
    pub fn member(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].member.as_ref()
    }

    /// Starts a member that joins through some of the running members and knows no others.
    ///
    /// # Errors
    /// Returns an error if the SWIM protocol returns one.
    pub fn start(&mut self, node: usize) -> Result<()> {
        let introducers: Vec<SocketAddrV4> = (0..INTRODUCERS).map(|_| address(self.any_running())).collect();
        let mut member = self.new_member(node)?;
        member.join(self.now, &introducers).map_err(|error| anyhow!("node {node}: {error}"))?;
        self.nodes[node].member = Some(member);
        self.settle(node);
        Ok(())
    }

    /// Starts a member at each of these nodes within a second. All of them know each other.
    ///
    /// # Errors
    /// Returns an error if the SWIM protocol returns one.
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

    /// Creates a member for the next start of a node.
    fn new_member(&mut self, node: usize) -> Result<Membership> {
        self.nodes[node].start += 1;
        let me = MemberId { address: address(node), start: self.nodes[node].start, incarnation: 0 };
        Ok(Membership::new(me, &self.settings, self.rng.random(), self.now)?)
    }

    /// Stops the member at a node without notice to the others, and returns its id.
    pub fn kill(&mut self, node: usize) -> Option<MemberId> {
        self.nodes[node].wake = None;
        self.nodes[node].member.take().map(|member| *member.id())
    }

    /// Sets the watch that records changes of views from now on.
    pub fn set_watch(&mut self, watch: DisseminationWatch) {
        self.watch = Some(watch);
    }

    /// Removes the watch and returns it.
    pub fn take_watch(&mut self) -> Option<DisseminationWatch> {
        self.watch.take()
    }

    /// Returns whether the watch is complete, or there is none.
    pub fn is_watch_complete(&self) -> bool {
        self.watch.as_ref().is_none_or(DisseminationWatch::is_complete)
    }

    /// Processes all events up to a time.
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
        let slot = &mut self.nodes[node];
        let Some(member) = slot.member.as_mut() else { return };
        match event {
            Event::Datagram(bytes) => {
                member.on_datagram(now, &bytes);
            }
            Event::Wake if slot.wake == Some(now) => {
                slot.wake = None;
                member.tick(now);
            }
            Event::Wake => return,
        }
        self.settle(node);
    }

    /// Sends a member's pending datagrams, processes the changes of its view, and schedules a wake-up for its
    /// next timer.
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
