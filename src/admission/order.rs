//! Which held request runs next, how many run at once, and what runs usually take.

use super::*;

/// Runs a core meant to be on the cores; a little over one covers the gaps between runs.
const RUNS_PER_CORE: f64 = 1.25;
/// Part of the survivable crowd that is ever used, so that reads and late stops stay harmless.
const CROWD_USED: f64 = 0.7;
/// Part of the expected time that must be left before the aim for a run to be worth starting.
const MUST_FIT: f64 = 0.7;

impl AdmissionController {
    /// Starts held requests, best first, while the run limit and the memory have room.
    pub(super) fn start_runs(&mut self, now: f64, actions: &mut Actions) {
        while self.has_run_room(now) {
            let (blocked, full) = (self.calls_block(now), self.full_classes());
            let must_call = |r: &Request| {
                let class = &self.settings.classes[r.class];
                class.makes_upstream_calls && class.degraded_weight <= 0.0
            };
            let room = self.settings.memory_kb * ROOM_USED - self.memory_used();
            let fits = |r: &Request| r.request_kb * (self.settings.run_memory_factor - 1.0) <= room;
            let waiting = |r: &Request| match r.state {
                State::Held => {
                    let free = !self.waits_for_prior(r) && !self.is_after_grace(r.arrived);
                    !r.answered && free && fits(r) && !(blocked && must_call(r))
                }
                State::Paused => true,
                _ => false,
            };
            let idle = self.is_idle();
            let candidates = self.requests.iter().filter(|(_, r)| waiting(r) && !full.contains_key(&r.class));
            let best = candidates.map(|(id, r)| (*id, self.value_with_repeats(now, *id, r, idle)));
            let Some((id, _)) = best.max_by(|a, b| a.1.total_cmp(&b.1)) else { return };
            self.progress = if idle { now } else { self.progress };
            self.set_state(id, State::Running);
            actions.push(Action::Run(id));
            let repeats =
                self.requests.iter().filter(|(_, r)| r.duplicate_of == Some(id) && r.state == State::Held);
            for repeat in repeats.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.set_state(repeat, State::Reusing);
                actions.push(Action::ReuseResult(repeat));
            }
        }
    }

    /// Classes with as many requests under way as their limit lets run, with that number.
    fn full_classes(&self) -> BTreeMap<usize, usize> {
        let mut full = BTreeMap::new();
        if self.settings.class_limits.is_empty() {
            return full;
        }
        for r in self.requests.values() {
            let runs = matches!(r.state, State::Running | State::AtCall(_) | State::Calling);
            *full.entry(r.class).or_insert(0) += usize::from(runs);
        }
        full.retain(|class, runs| self.settings.class_limits.get(class).is_some_and(|most| *runs >= *most));
        full
    }

    /// Held requests but for those that wait for others of their class alone, which say nothing of the cores.
    pub(super) fn held(&self) -> usize {
        let full = self.full_classes();
        let held = |r: &&Request| r.state == State::Held && !full.contains_key(&r.class);
        self.requests.values().filter(held).count()
    }

    /// It reached the machine too late after the notice to leave to be run, also as heir of an earlier try.
    pub(super) fn is_after_grace(&self, arrived: f64) -> bool {
        self.leaving.is_some_and(|(notice, _)| arrived > notice + self.settings.drain_grace_ms - 1.0)
    }

    pub(super) fn waits_for_prior(&self, r: &Request) -> bool {
        r.duplicate_of.and_then(|p| self.requests.get(&p)).is_some_and(|p| p.state == State::Held)
    }

    /// Whether the answer to that read is fresh, or will come: one that is being stopped or was given up
    /// brings none, and safe work may just as well run for itself.
    pub(super) fn can_share(&self, duplicate_of: RequestId) -> bool {
        self.requests.get(&duplicate_of).map_or(self.entries.contains_key(&duplicate_of), |p| !p.answered)
    }

    /// One run serves all that wait for its answer.
    pub(super) fn value_with_repeats(&self, now: f64, id: RequestId, r: &Request, idle: bool) -> f64 {
        let waits =
            |x: &&Request| x.duplicate_of == Some(id) && !x.answered && self.entries.contains_key(&id);
        let repeats = self.requests.values().filter(waits).map(|x| self.value(now, x, idle));
        self.value(now, r, idle) + repeats.sum::<f64>()
    }

    /// Worth for the work, less where the aim can't be met; among equals the earlier aim first.
    pub(super) fn value(&self, now: f64, r: &Request, idle: bool) -> f64 {
        let usual = self.learned[r.class].usual.max(1.0);
        let worth = if self.is_late(now, r, idle) {
            r.priority_weight * self.settings.classes[r.class].late_weight
        } else {
            r.priority_weight
        };
        worth / usual - (r.aim - now).max(0.0) * 1e-12
    }

    /// Nothing runs.
    pub(super) fn is_idle(&self) -> bool {
        self.count(State::Running) == 0
    }

    /// Whether a run of it would end past its aim, as runs go now. While nothing runs that is not known: a
    /// wrong estimate is corrected by runs alone. It guards against one that turns all away for good.
    pub(super) fn is_late(&self, now: f64, r: &Request, idle: bool) -> bool {
        let takes = if idle { 0.0 } else { self.learned[r.class].usual * self.pace * MUST_FIT };
        now + takes > r.aim
    }

    /// Whether a run may start. Those at a call count to the survivable crowd, or all would crowd the cores
    /// when they come back together.
    pub(super) fn has_run_room(&self, now: f64) -> bool {
        let (on, at_call) =
            (self.count(State::Running) as f64, self.waiting_calls() + self.count(State::Calling));
        on < self.run_limit(now) && on + (at_call as f64) < self.survivable(now).max(1.0)
    }

    /// Whether runs that wait for a call to be made take up the run limit. More of a class that can't do
    /// without would wait behind them, and in vain where what lies below is slow.
    pub(super) fn calls_block(&self, now: f64) -> bool {
        (self.count(State::Running) + self.waiting_calls()) as f64 >= self.run_limit(now)
    }

    pub(super) fn waiting_calls(&self) -> usize {
        self.requests.values().filter(|r| matches!(r.state, State::AtCall(_))).count()
    }

    /// Runs that the cores survive at the present speed, with a margin.
    pub(super) fn survivable(&self, now: f64) -> f64 {
        let crowd = 1.0 + (self.settings.survivable_runs_per_core - 1.0) * self.speed_share(now);
        self.settings.cores * crowd * CROWD_USED
    }

    /// Runs that may be on the cores at once: a little over one a core, plus those seen to wait for disk;
    /// never near the survivable crowd at the present speed, even if all come back to the cores at once.
    pub(super) fn run_limit(&self, now: f64) -> f64 {
        let wanted = self.settings.cores * RUNS_PER_CORE + self.off_core;
        wanted.min(self.survivable(now)).max(1.0).floor()
    }

    /// The share of its speed that the instance has at least.
    pub(super) fn speed_share(&self, now: f64) -> f64 {
        if !self.settings.cold_start || self.settings.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let warmed = ((now - self.born) / self.settings.warm_up_ms).clamp(0.0, 1.0);
        self.settings.cold_start_speed + (1.0 - self.settings.cold_start_speed) * warmed
    }

    pub(super) fn learn(&mut self, now: f64, class: usize, took_ms: f64) {
        let speed = self.speed_share(now);
        let Some(l) = self.learned.get_mut(class) else { return };
        l.seen = l.seen.saturating_add(1);
        let weight = (1.0 / f64::from(l.seen)).max(0.01);
        let ratio = clamp_finite(took_ms / l.usual.max(1.0), 0.0, 10.0);
        if l.seen > 10 {
            self.pace += (ratio - self.pace) * BLEND;
        }
        // Slow runs of a cold start must not pass for the usual ones once it is warm.
        l.usual += (took_ms * speed - l.usual) * weight;
    }
}
