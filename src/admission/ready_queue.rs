//! The requests that could be started, ordered so that the most valuable one is found without iterating over
//! all of them.
//!
//! The values of requests with the same class and weight differ only by their latency objectives. Among the
//! requests that will miss their objective, and likewise among those that will meet it, an earlier objective
//! is worth at least as much as a later one.

use super::event::RequestId;
use super::request::{Request, RequestState};
use super::sort_key::SortKey;
use std::cmp::Reverse;
use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// The key of a group of requests whose values differ only by their latency objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyGroup {
    /// Index of the class.
    pub(super) class: usize,
    /// Weight relative to other requests.
    weight: SortKey,
    /// Whether the requests are suspended runs to resume; otherwise they have not run.
    pub(super) suspended: bool,
}

/// A position in a group: earlier objectives first and, for equal objectives, later requests first.
type Position = (SortKey, Reverse<RequestId>);

/// The requests of a group.
#[derive(Debug, Default)]
pub(super) struct ReadyRequests {
    /// Requests whose latency objective had not passed at the last call of [`ReadyQueue::advance`].
    pending: BTreeSet<Position>,
    /// Requests whose latency objective has passed; all have the same value.
    late: BTreeSet<RequestId>,
}

/// The group and the sort keys of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReadyEntry {
    group: ReadyGroup,
    objective_at: SortKey,
    arrived_at: SortKey,
    request_kb: SortKey,
    has_duplicates: bool,
}

/// The requests that could be started.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    entries: HashMap<RequestId, ReadyEntry>,
    groups: BTreeMap<ReadyGroup, ReadyRequests>,
    /// Requests with duplicates, which are in no group: the duplicates add to their value.
    with_duplicates: BTreeSet<RequestId>,
    /// Requests that have not run, by arrival time.
    arrivals: BTreeSet<(SortKey, RequestId)>,
    /// Requests that have not run, by memory.
    sizes: BTreeSet<(SortKey, RequestId)>,
    /// Time of the last call of [`ReadyQueue::advance`]; earlier latency objectives have passed.
    advanced_to: f64,
}

impl ReadyQueue {
    /// Inserts a request or updates its position; `None` removes it.
    pub(super) fn update(&mut self, id: RequestId, request: Option<&Request>, has_duplicates: bool) {
        let entry = request.map(|request| ReadyEntry::new(request, has_duplicates));
        let previous = match entry {
            Some(entry) => self.entries.insert(id, entry),
            None => self.entries.remove(&id),
        };
        if entry == previous {
            return;
        }
        if let Some(previous) = previous {
            self.remove_from_indexes(id, &previous);
        }
        if let Some(entry) = entry {
            self.add_to_indexes(id, &entry);
        }
    }

    /// Moves the requests whose latency objective has passed by `now` to the late ones.
    ///
    /// If `now` is before the previous call, all late requests are checked anew.
    pub(super) fn advance(&mut self, now: f64) {
        let is_set_back = now < self.advanced_to;
        self.advanced_to = now;
        for requests in self.groups.values_mut() {
            if is_set_back {
                let late = std::mem::take(&mut requests.late).into_iter();
                let positions =
                    late.filter_map(|id| Some((self.entries.get(&id)?.objective_at, Reverse(id))));
                requests.pending.extend(positions);
            }
            requests.advance(now);
        }
    }

    /// Returns the groups and their requests.
    pub(super) fn groups(&self) -> impl Iterator<Item = (ReadyGroup, &ReadyRequests)> {
        self.groups.iter().map(|(group, requests)| (*group, requests))
    }

    /// Returns the requests that others duplicate, which are in no group.
    pub(super) fn with_duplicates(&self) -> impl Iterator<Item = RequestId> {
        self.with_duplicates.iter().copied()
    }

    /// Returns the group key of a request, or `None` if the request could not be started.
    pub(super) fn group(&self, id: RequestId) -> Option<ReadyGroup> {
        self.entries.get(&id).map(|entry| entry.group)
    }

    /// Returns the requests that have not run and arrived after `time`.
    pub(super) fn arrived_after(&self, time: f64) -> impl Iterator<Item = RequestId> {
        let start = Bound::Excluded((SortKey::new(time), RequestId::MAX));
        self.arrivals.range((start, Bound::Unbounded)).map(|(_, id)| *id)
    }

    /// Returns the smallest memory of a request that has not run, kB.
    pub(super) fn smallest_request_kb(&self) -> Option<f64> {
        self.sizes.first().map(|(request_kb, _)| request_kb.number())
    }

    fn add_to_indexes(&mut self, id: RequestId, entry: &ReadyEntry) {
        if entry.has_duplicates {
            self.with_duplicates.insert(id);
        } else {
            let requests = self.groups.entry(entry.group).or_default();
            requests.pending.insert((entry.objective_at, Reverse(id)));
        }
        if !entry.group.suspended {
            self.arrivals.insert((entry.arrived_at, id));
            self.sizes.insert((entry.request_kb, id));
        }
    }

    fn remove_from_indexes(&mut self, id: RequestId, entry: &ReadyEntry) {
        if entry.has_duplicates {
            self.with_duplicates.remove(&id);
        } else if let Some(requests) = self.groups.get_mut(&entry.group) {
            if !requests.pending.remove(&(entry.objective_at, Reverse(id))) {
                requests.late.remove(&id);
            }
            if requests.is_empty() {
                self.groups.remove(&entry.group);
            }
        }
        if !entry.group.suspended {
            self.arrivals.remove(&(entry.arrived_at, id));
            self.sizes.remove(&(entry.request_kb, id));
        }
    }
}

impl ReadyRequests {
    /// Returns the requests whose latency objective has passed, the most recent request first.
    pub(super) fn late(&self) -> impl Iterator<Item = RequestId> {
        self.late.iter().rev().copied()
    }

    /// Returns the requests that are not late and have an objective before `time`.
    pub(super) fn with_objective_before(&self, time: f64) -> ByObjective<'_> {
        ByObjective { pending: &self.pending, after: None, end: Some(SortKey::new(time)) }
    }

    /// Returns the requests that are not late and have an objective at or after `time`.
    pub(super) fn with_objective_from(&self, time: f64) -> ByObjective<'_> {
        let first = (SortKey::new(time), Reverse(RequestId::MAX));
        ByObjective { pending: &self.pending, after: Some(Bound::Included(first)), end: None }
    }

    fn advance(&mut self, now: f64) {
        while let Some(&(objective_at, Reverse(id))) = self.pending.first() {
            if objective_at.number() >= now {
                return;
            }
            self.pending.pop_first();
            self.late.insert(id);
        }
    }

    fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.late.is_empty()
    }
}

/// An iteration over a part of a group by objective, which visits one request per objective.
pub(super) struct ByObjective<'a> {
    pending: &'a BTreeSet<Position>,
    after: Option<Bound<Position>>,
    end: Option<SortKey>,
}

impl ByObjective<'_> {
    /// Returns the next request that `is_ready` accepts and skips the others with the same objective.
    pub(super) fn next_ready(&mut self, is_ready: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        let (objective_at, Reverse(id)) = self.range().copied().find(|(_, Reverse(id))| is_ready(*id))?;
        self.after = Some(Bound::Excluded((objective_at, Reverse(RequestId::MIN))));
        Some(id)
    }

    fn range(&self) -> Range<'_, Position> {
        let start = self.after.unwrap_or(Bound::Unbounded);
        let end = self.end.map_or(Bound::Unbounded, |end| Bound::Excluded((end, Reverse(RequestId::MAX))));
        self.pending.range((start, end))
    }
}

impl ReadyEntry {
    fn new(request: &Request, has_duplicates: bool) -> ReadyEntry {
        let group = ReadyGroup {
            class: request.class,
            weight: SortKey::new(request.priority_weight),
            suspended: request.state == RequestState::Suspended,
        };
        ReadyEntry {
            group,
            objective_at: SortKey::new(request.objective_at),
            arrived_at: SortKey::new(request.arrived_at),
            request_kb: SortKey::new(request.request_kb),
            has_duplicates,
        }
    }
}
