//! A world with all processes and links: its possible steps, and the state that the properties check.

use crate::link::Link;
use crate::predecessor_process::{Mode, PredecessorProcess};
use crate::rules::{FIRST_KEYS, Rules};
use crate::successor_process::SuccessorProcess;
use dunlinspread_handover::{PredecessorEvent, RefuseReason, SuccessorEvent, SuccessorInput};
use std::collections::BTreeSet;

/// Identifies a process: the predecessor, or a successor by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Process {
    Predecessor,
    Successor(usize),
}

/// A step of the world. Successors are identified by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A successor is started.
    Start,
    /// A successor connects or fails to connect.
    Connect(usize),
    /// A successor is connected to its worker pool.
    CanServe(usize),
    /// The predecessor reads a frame of this successor.
    ReadAtPredecessor(usize),
    /// The predecessor detects the end of its link and loses all unread frames.
    EndAtPredecessor(usize),
    /// A successor reads a frame.
    ReadAtSuccessor(usize),
    /// A successor detects the end of its link and loses all unread frames.
    EndAtSuccessor(usize),
    /// A timer expires.
    TimeOut(Process),
    /// An attempt of a key arrives at a process, which begins a run.
    Attempt(Process, u8),
    /// A process crashes.
    Crash(Process),
    /// A link ends between two live processes.
    Cut(usize),
    /// The predecessor is requested to shut down.
    RequestShutdown,
}

impl Step {
    /// Returns whether the step is a fault. Random play chooses faults less often.
    pub fn is_fault(self) -> bool {
        matches!(self, Step::TimeOut(_) | Step::Crash(_) | Step::Cut(_) | Step::RequestShutdown)
    }
}

/// State of all processes and their links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub predecessor: PredecessorProcess,
    pub successors: Vec<SuccessorProcess>,
    /// For each new key, the processes that began a run of it.
    runs: Vec<BTreeSet<Process>>,
    /// Whether a successor became the owner before it had all keys of the predecessor.
    owner_without_keys: bool,
    crashes: u8,
    cuts: u8,
    timeouts: u8,
}

impl World {
    pub fn new(rules: &Rules) -> Self {
        World {
            predecessor: PredecessorProcess::new(rules),
            successors: Vec::new(),
            runs: vec![BTreeSet::new(); usize::from(rules.new_keys)],
            owner_without_keys: false,
            crashes: 0,
            cuts: 0,
            timeouts: 0,
        }
    }

    pub fn owners(&self) -> usize {
        let successors = self.successors.iter().filter(|successor| successor.owns_keys()).count();
        usize::from(self.predecessor.owns_keys()) + successors
    }

    /// Returns whether a successor became ready before it had all keys of the predecessor.
    pub fn was_ready_without_keys(&self) -> bool {
        self.owner_without_keys
    }

    /// Returns whether more than one process began a run of the same key.
    pub fn ran_at_two_processes(&self) -> bool {
        self.runs.iter().any(|processes| processes.len() > 1)
    }

    /// Returns an action that a state machine requested in a state that does not allow it.
    pub fn disallowed_action(&self) -> Option<&'static str> {
        let of_successors = self.successors.iter().find_map(|successor| successor.disallowed_action);
        self.predecessor.disallowed_action.or(of_successors)
    }

    /// Returns the possible steps. If only faults are possible, running timers may expire regardless of the
    /// bound.
    pub fn steps(&self, rules: &Rules) -> Vec<Step> {
        let mut steps = self.steps_within_bounds(rules);
        if steps.iter().all(|step| step.is_fault()) {
            let timers = self.running_timers().map(Step::TimeOut);
            steps.extend(timers.filter(|_| self.timeouts >= rules.timeouts));
        }
        steps
    }

    /// Returns whether no timer is running and no step other than a fault is possible.
    pub fn is_settled(&self, rules: &Rules) -> bool {
        self.running_timers().next().is_none() && self.steps(rules).iter().all(|step| step.is_fault())
    }

    /// Returns whether the predecessor has crashed, decides on requests, or has handed the keys over to a
    /// live successor.
    pub fn keys_have_an_owner(&self) -> bool {
        let decides = self.predecessor.mode == Mode::Deciding;
        !self.predecessor.alive || decides || self.successors.iter().any(SuccessorProcess::owns_keys)
    }

    fn running_timers(&self) -> impl Iterator<Item = Process> {
        let predecessor =
            Some(Process::Predecessor).filter(|_| self.predecessor.alive && self.predecessor.timer_running);
        let numbered_successors = self.successors.iter().enumerate();
        let successors =
            numbered_successors.filter(|(_, successor)| successor.alive && successor.timer_running);
        predecessor.into_iter().chain(successors.map(|(number, _)| Process::Successor(number)))
    }

    fn steps_within_bounds(&self, rules: &Rules) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.successors.len() < rules.starts {
            steps.push(Step::Start);
        }
        if rules.shutdown && self.predecessor.alive && !self.predecessor.shutdown_requested {
            steps.push(Step::RequestShutdown);
        }
        self.process_steps(
            Process::Predecessor,
            self.predecessor.alive,
            self.predecessor.timer_running,
            rules,
            &mut steps,
        );
        for (number, successor) in self.successors.iter().enumerate() {
            let process = Process::Successor(number);
            self.process_steps(process, successor.alive, successor.timer_running, rules, &mut steps);
            self.successor_steps(number, rules, &mut steps);
            self.link_steps(number, rules, &mut steps);
        }
        steps
    }

    fn process_steps(
        &self,
        process: Process,
        alive: bool,
        timer_running: bool,
        rules: &Rules,
        steps: &mut Vec<Step>,
    ) {
        if !alive {
            return;
        }
        if timer_running && self.timeouts < rules.timeouts {
            steps.push(Step::TimeOut(process));
        }
        if self.crashes < rules.crashes {
            steps.push(Step::Crash(process));
        }
        for key in new_keys(rules) {
            let would_run = match process {
                Process::Predecessor => self.predecessor.would_run(key),
                Process::Successor(number) => self.successors[number].would_run(key),
            };
            if would_run {
                steps.push(Step::Attempt(process, key));
            }
        }
    }

    fn successor_steps(&self, number: usize, rules: &Rules, steps: &mut Vec<Step>) {
        let successor = &self.successors[number];
        if !successor.alive {
            return;
        }
        if successor.connecting && successor.connections < rules.connections {
            steps.push(Step::Connect(number));
        }
        if !successor.can_serve_reported {
            steps.push(Step::CanServe(number));
        }
        if successor.linked && successor.link.has_frame_for_successor() {
            steps.push(Step::ReadAtSuccessor(number));
        }
        if successor.linked && successor.link.closed_by_predecessor {
            steps.push(Step::EndAtSuccessor(number));
        }
    }

    fn link_steps(&self, number: usize, rules: &Rules, steps: &mut Vec<Step>) {
        let successor = &self.successors[number];
        let linked = self.predecessor.alive && self.predecessor.linked_to == Some(number);
        if linked && successor.link.has_frame_for_predecessor() {
            steps.push(Step::ReadAtPredecessor(number));
        }
        if linked && successor.link.closed_by_successor {
            steps.push(Step::EndAtPredecessor(number));
        }
        let may_be_cut = !successor.owner || rules.cuts_after_commit;
        if linked && successor.linked && may_be_cut && self.cuts < rules.cuts {
            steps.push(Step::Cut(number));
        }
    }

    /// Performs a step that [`World::steps`] returned.
    pub fn take(&mut self, step: Step, rules: &Rules) {
        match step {
            Step::Start => self.successors.push(SuccessorProcess::new(rules)),
            Step::Connect(number) => self.connect(number, rules),
            Step::CanServe(number) => {
                self.successors[number].can_serve_reported = true;
                self.successors[number].on_event(SuccessorEvent::CanServe);
            }
            Step::ReadAtPredecessor(number) => self.read_at_predecessor(number, rules),
            Step::EndAtPredecessor(number) => {
                self.predecessor.linked_to = None;
                let link = &mut self.successors[number].link;
                link.close_by_predecessor();
                self.predecessor.on_event(PredecessorEvent::Disconnected, rules, link);
            }
            Step::ReadAtSuccessor(number) => self.read_at_successor(number),
            Step::EndAtSuccessor(number) => {
                self.successors[number].linked = false;
                self.successors[number].link.close_by_successor();
                self.successors[number].on_event(SuccessorEvent::Disconnected);
            }
            Step::TimeOut(process) => self.time_out(process, rules),
            Step::Attempt(process, key) => self.begin_run(process, key),
            Step::Crash(process) => self.crash(process),
            Step::Cut(number) => {
                self.cuts += 1;
                self.successors[number].link.cut();
            }
            Step::RequestShutdown => {
                self.predecessor.shutdown_requested = true;
                let mut no_link = Link::default();
                self.predecessor.on_event(PredecessorEvent::ShutdownRequested, rules, &mut no_link);
            }
        }
    }

    fn connect(&mut self, number: usize, rules: &Rules) {
        let successor = &mut self.successors[number];
        successor.connecting = false;
        successor.connections += 1;
        if !self.predecessor.alive {
            successor.on_event(SuccessorEvent::Disconnected);
        } else if self.predecessor.linked_to.is_some() {
            // The predecessor's caller refuses by itself, without an event for the predecessor's state
            // machine.
            successor.on_event(SuccessorEvent::Connected);
            let reason = RefuseReason::Busy;
            successor.on_event(SuccessorEvent::Received(SuccessorInput::Refuse { reason }));
        } else {
            successor.link = Link::default();
            successor.linked = true;
            self.predecessor.linked_to = Some(number);
            successor.on_event(SuccessorEvent::Connected);
            self.predecessor.on_event(PredecessorEvent::Connected, rules, &mut successor.link);
        }
    }

    fn read_at_predecessor(&mut self, number: usize, rules: &Rules) {
        let link = &mut self.successors[number].link;
        if let Some(frame) = link.read_at_predecessor() {
            self.predecessor.receive(frame, rules, link);
        }
    }

    fn read_at_successor(&mut self, number: usize) {
        let successor = &mut self.successors[number];
        let was_owner = successor.owner;
        if let Some(frame) = successor.link.read_at_successor() {
            successor.receive(frame);
        }
        let became_owner = successor.owner && !was_owner;
        if became_owner && !successor.table.is_superset(&self.predecessor.table) {
            self.owner_without_keys = true;
        }
    }

    fn time_out(&mut self, process: Process, rules: &Rules) {
        // Timeouts beyond the bound happen only when no other step is possible. They are not counted, because
        // the count would make otherwise equal states distinct.
        self.timeouts = rules.timeouts.min(self.timeouts + 1);
        match process {
            Process::Predecessor => {
                self.predecessor.timer_running = false;
                let mut no_link = Link::default();
                let link = match self.predecessor.linked_to {
                    Some(number) => &mut self.successors[number].link,
                    None => &mut no_link,
                };
                self.predecessor.on_event(PredecessorEvent::TimedOut, rules, link);
            }
            Process::Successor(number) => {
                self.successors[number].timer_running = false;
                self.successors[number].on_event(SuccessorEvent::TimedOut);
            }
        }
    }

    fn begin_run(&mut self, process: Process, key: u8) {
        match process {
            Process::Predecessor => self.predecessor.table.insert(key),
            Process::Successor(number) => self.successors[number].table.insert(key),
        };
        self.runs[usize::from(key) - FIRST_KEYS.len()].insert(process);
    }

    fn crash(&mut self, process: Process) {
        self.crashes += 1;
        match process {
            Process::Predecessor => {
                self.predecessor.alive = false;
                if let Some(number) = self.predecessor.linked_to.take() {
                    self.successors[number].link.close_by_predecessor();
                }
            }
            Process::Successor(number) => {
                let successor = &mut self.successors[number];
                successor.alive = false;
                if std::mem::take(&mut successor.linked) {
                    successor.link.close_by_successor();
                }
            }
        }
    }
}

fn new_keys(rules: &Rules) -> impl Iterator<Item = u8> + use<> {
    let first = FIRST_KEYS.len() as u8;
    first..first + rules.new_keys
}
