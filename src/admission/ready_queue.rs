//! The requests that could be started, so ordered that the best of them is found without looking at all.
//!
//! Requests of one class and one weight differ in their latency objective alone. Among those that will miss
//! it, and likewise among those that will not, an earlier objective is worth at least as much as a later one.

use super::event::RequestId;
use super::request::{Request, RequestState};
use super::sort_key::SortKey;
use std::cmp::Reverse;
use std::collections::btree_set::Range;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// Requests whose values differ by their latency objectives alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyGroup {
    /// Index of the class.
    pub(super) class: usize,
    /// Weight against other requests.
    weight: SortKey,
    /// Whether their runs were suspended and go on; else they have not run.
    pub(super) suspended: bool,
}

/// A position in the order of a group: the earlier objective first, and among equals the later request.
type Position = (SortKey, Reverse<RequestId>);

/// The requests of a group.
#[derive(Debug, Default)]
pub(super) struct ReadyRequests {
    /// Those whose latency objective was not over when it was last looked.
    pending: BTreeSet<Position>,
    /// Those whose latency objective is over: all have the same value.
    late: BTreeSet<RequestId>,
}

/// Where a request stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    group: ReadyGroup,
    objective_at: SortKey,
    arrived_at: SortKey,
    request_kb: SortKey,
    has_duplicates: bool,
}

/// The queue.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    places: HashMap<RequestId, Place>,
    groups: BTreeMap<ReadyGroup, ReadyRequests>,
    /// Requests that others duplicate: their value is not their own alone.
    with_duplicates: BTreeSet<RequestId>,
    /// Requests that have not run, by their arrival.
    arrivals: BTreeSet<(SortKey, RequestId)>,
    /// Requests that have not run, by their memory.
    sizes: BTreeSet<(SortKey, RequestId)>,
    /// The time up to which latency objectives are over.
    advanced_to: f64,
}

impl ReadyQueue {
    /// Puts a request where it belongs now; `None` takes it out.
    pub(super) fn place(&mut self, id: RequestId, request: Option<&Request>, has_duplicates: bool) {
        let place = request.map(|request| Place::new(request, has_duplicates));
        let before = match place {
            Some(place) => self.places.insert(id, place),
            None => self.places.remove(&id),
        };
        if place == before {
            return;
        }
        if let Some(before) = before {
            self.take_out(id, &before);
        }
        if let Some(place) = place {
            self.put_in(id, &place);
        }
    }

    /// Moves the requests whose latency objective is over by `now`; a clock that was set back moves all back.
    pub(super) fn advance(&mut self, now: f64) {
        let is_set_back = now < self.advanced_to;
        self.advanced_to = now;
        for requests in self.groups.values_mut() {
            if is_set_back {
                let late = std::mem::take(&mut requests.late).into_iter();
                let positions = late.filter_map(|id| Some((self.places.get(&id)?.objective_at, Reverse(id))));
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

    /// Returns the group of a request by class and weight, if it could be started.
    pub(super) fn group(&self, id: RequestId) -> Option<ReadyGroup> {
        self.places.get(&id).map(|place| place.group)
    }

    /// Returns the requests that have not run and arrived after `time`.
    pub(super) fn arrived_after(&self, time: f64) -> impl Iterator<Item = RequestId> {
        let start = Bound::Excluded((SortKey::new(time), RequestId::MAX));
        self.arrivals.range((start, Bound::Unbounded)).map(|(_, id)| *id)
    }

    /// Returns the least memory of a request that has not run, kB.
    pub(super) fn least_request_kb(&self) -> Option<f64> {
        self.sizes.first().map(|(request_kb, _)| request_kb.number())
    }

    fn put_in(&mut self, id: RequestId, place: &Place) {
        if place.has_duplicates {
            self.with_duplicates.insert(id);
        } else {
            let requests = self.groups.entry(place.group).or_default();
            requests.pending.insert((place.objective_at, Reverse(id)));
        }
        if !place.group.suspended {
            self.arrivals.insert((place.arrived_at, id));
            self.sizes.insert((place.request_kb, id));
        }
    }

    fn take_out(&mut self, id: RequestId, place: &Place) {
        if place.has_duplicates {
            self.with_duplicates.remove(&id);
        } else if let Some(requests) = self.groups.get_mut(&place.group) {
            if !requests.pending.remove(&(place.objective_at, Reverse(id))) {
                requests.late.remove(&id);
            }
            if requests.is_empty() {
                self.groups.remove(&place.group);
            }
        }
        if !place.group.suspended {
            self.arrivals.remove(&(place.arrived_at, id));
            self.sizes.remove(&(place.request_kb, id));
        }
    }
}

impl ReadyRequests {
    /// Returns those whose latency objective is over, the latest first.
    pub(super) fn late(&self) -> impl Iterator<Item = RequestId> {
        self.late.iter().rev().copied()
    }

    /// Returns the others with an objective before `time`.
    pub(super) fn missing(&self, time: f64) -> ByObjective<'_> {
        ByObjective { pending: &self.pending, after: None, end: Some(SortKey::new(time)) }
    }

    /// Returns the others with an objective from `time` on.
    pub(super) fn meeting(&self, time: f64) -> ByObjective<'_> {
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

/// A part of a group in the order of objectives, in which all of one objective can be passed over at once.
pub(super) struct ByObjective<'a> {
    pending: &'a BTreeSet<Position>,
    after: Option<Bound<Position>>,
    end: Option<SortKey>,
}

impl ByObjective<'_> {
    /// Returns the first request that `is_ready` accepts, and goes on behind the requests with its objective.
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

impl Place {
    fn new(request: &Request, has_duplicates: bool) -> Place {
        let group = ReadyGroup {
            class: request.class,
            weight: SortKey::new(request.priority_weight),
            suspended: request.state == RequestState::Suspended,
        };
        Place {
            group,
            objective_at: SortKey::new(request.objective_at),
            arrived_at: SortKey::new(request.arrived_at),
            request_kb: SortKey::new(request.request_kb),
            has_duplicates,
        }
    }
}
