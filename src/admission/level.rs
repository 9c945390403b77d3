//! The overload level from the gauges, the rank cut that follows it, and whether the runs here are sick.

use super::*;

/// Busy share of the cores from which they count as full; below it the level can't rise.
pub(super) const BUSY_FULL: f64 = 0.9;
/// Timers in a row under a level's leave threshold before it falls a step.
const CALM_TIMERS: u32 = 3;
/// One step of the rank cut, in rank.
const CUT_STEP: f64 = 0.01;
/// The cut never rises past this part of what is within allowances: the better half is left to the hold.
const CUT_MAX: f64 = 0.5;
/// What else may want a core, a core, before it counts as crowding: a read and a little more.
const OTHER_WORK: f64 = 2.0;
/// The most crowding that counts, a core, so that one absurd reading fades soon.
const MAX_OTHERS: f64 = 10.0;
/// Span over which the age of reads and the failing part of the runs are averaged, ms: a handful of readings
/// on a small machine, and over soon.
const SYMPTOM_SPAN_MS: f64 = 1000.0;
/// Part of the runs failing from which the instance counts as sick, and down to which health stays bad.
pub(super) const FAILING: f64 = 0.5;
const FAILING_STILL: f64 = 0.1;
/// Usual gaps between signs of progress (a run ends or comes to a call) without one, from which runs are
/// stalled: chance alone makes one in ten thousand so long.
const STALLED: f64 = 10.0;

/// One overload level: the time that the run queue takes to clear, as a part of the usual aim, at which the
/// level is entered and left, and the share told to callers.
pub(super) struct Level {
    pub(super) enter: f64,
    pub(super) leave: f64,
    pub(super) share: f64,
}

/// The level table.
pub(super) const LEVELS: [Level; 4] = [
    Level { enter: 0.0, leave: 0.0, share: 1.0 },
    Level { enter: 0.75, leave: 0.5, share: 0.3 },
    Level { enter: 0.95, leave: 0.75, share: 0.08 },
    Level { enter: 1.15, leave: 0.95, share: 0.01 },
];

impl AdmissionController {
    /// One step up at a time; down only after calm. A missing or absurd gauge gives way to our own counts.
    pub(super) fn step_level(&mut self, now: f64, gauges: Gauges) {
        let running = self.count(State::Running) as f64;
        let gauge = gauges.run_queue.filter(|q| q.is_finite() && (0.0..1e6).contains(q));
        let off = gauge.map_or(0.0, |q| (running - q).max(0.0));
        let queue = (gauge.unwrap_or(running) + self.held() as f64) / self.settings.cores;
        let (usual, aim) = self.usual_and_aim();
        self.clear_ms = queue * usual / self.speed_share(now) + self.age.value();
        let clear = if queue > 1.0 { self.clear_ms / aim } else { 0.0 };
        self.age.fade(SYMPTOM_SPAN_MS);
        let busy = gauges.busy.filter(|b| (0.0..=1.01).contains(b));
        // Cores that idled while requests were held show runs that wait off the cores, which reads hide from
        // the queue. Work that hangs looks alike: the crowd bounds what that adds.
        let idled = if self.held() > 0 { (1.0 - busy.unwrap_or(1.0)).max(0.0) } else { 0.0 };
        let seen = if idled > 0.0 { off.max(self.off_core) + idled * self.settings.cores } else { off };
        self.off_core += (seen.min(self.settings.cores) - self.off_core) * BLEND;
        // Other work in numbers: new connections in a storm of tries.
        let others = gauge.map_or(0.0, |q| q - running) - OTHER_WORK * self.settings.cores;
        self.other_work += (others.clamp(0.0, MAX_OTHERS * self.settings.cores) - self.other_work) * BLEND;
        let sick = self.is_sick(now);
        let clear = if sick { f64::INFINITY } else { clear };
        self.clear_ms = if sick { f64::INFINITY } else { self.clear_ms };
        let full = sick || busy.unwrap_or(running / self.settings.cores) >= BUSY_FULL;
        self.failing.fade(SYMPTOM_SPAN_MS);
        if self.level + 1 < LEVELS.len() && full && clear >= LEVELS[self.level + 1].enter {
            self.level += 1;
            self.calm = 0;
        } else if self.level > 0 && (clear < LEVELS[self.level].leave || !full) {
            self.calm += 1;
            if self.calm >= CALM_TIMERS {
                self.level -= 1;
                self.calm = 0;
            }
        } else {
            self.calm = 0;
        }
    }

    /// Symptoms that no gauge names: runs that fail fast and so draw traffic in, and runs that make no
    /// progress while requests are read. What arrives is told at once, so that it may go elsewhere, and
    /// health says bad; the failing part fades, so that a little traffic finds out whether it is over. They
    /// raise the level like load. It guards against work that fails or stops here, whatever the cause, which
    /// overload alone does not. It could hurt where a class always fails or few long runs hold all cores.
    pub(super) fn is_sick(&self, now: f64) -> bool {
        self.failing.value() > FAILING || self.is_stalled(now)
    }

    /// Whether the runs make no progress: none ended or came to a call for many of their usual gaps.
    pub(super) fn is_stalled(&self, now: f64) -> bool {
        let usual = self.usual_and_aim().0 / self.speed_share(now);
        let gap = (self.gaps.sum + usual) / (self.gaps.count + 1.0);
        self.count(State::Running) > 0 && now - self.progress > usual.max(STALLED * gap)
    }

    pub(super) fn note_progress(&mut self, now: f64) {
        self.gaps.add((now - self.progress).max(0.0));
        self.progress = now;
    }

    /// What is held can't be served while runs make no progress: it is told too. A process frozen as a whole
    /// reads nothing either, and its timer is late, or no gauge is to be had: that is no such time.
    pub(super) fn step_health(&mut self, now: f64, blind: bool, actions: &mut Actions) {
        if blind || now - self.timer_at > 2.0 * TIMER_MS {
            self.progress = (self.progress + now - self.timer_at).min(now);
        }
        self.timer_at = now;
        let stalled = self.is_stalled(now);
        if !stalled {
            self.gaps.fade(RATE_SPAN_MS);
        } else {
            self.stood_still = now;
            let held =
                self.requests.iter().filter(|(_, r)| r.state == State::Held && !self.waits_for_prior(r));
            for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.answer(now, id, false, actions);
            }
        }
        let failing = self.failing.value() > if self.healthy { FAILING } else { FAILING_STILL };
        let healthy = !stalled && !failing;
        if healthy != self.healthy && self.leaving.is_none() {
            self.healthy = healthy;
            actions.push(Action::SetHealth(healthy));
        }
    }

    /// The usual time of a run and the usual aim, over the classes as they arrive.
    pub(super) fn usual_and_aim(&self) -> (f64, f64) {
        let classes = self.learned.iter().zip(&self.settings.classes);
        let sum = classes
            .fold((0.0, 0.0), |(u, a), (l, c)| (u + l.part * l.usual, a + l.part * c.latency_objective_ms));
        (sum.0, sum.1.max(1.0))
    }

    pub(super) fn step_cut(&mut self) {
        let step = if self.level > 0 { CUT_STEP } else { -CUT_STEP };
        self.cut = (self.cut + step).clamp(0.0, self.place(CUT_MAX, false));
    }

    /// A rank's place among all that arrives, what is over an allowance below all else: a step of the cut
    /// refuses the same part of the traffic wherever it stands, and does not overshoot into what is within.
    pub(super) fn place(&self, priority: f64, over: bool) -> f64 {
        let below = self.over_allowance_arrivals / self.arrivals.max(1.0);
        if over { priority * below } else { below + priority * (1.0 - below) }
    }
}
