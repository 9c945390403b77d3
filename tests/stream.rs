//! A randomised stream of events with a fixed seed against a small model of a machine: the invariants of the
//! four rules are checked after every event.
mod common;
use common::{class, settings};
use dunlinspread::{
    Action, AdmissionController, Arrival, Event, Gauges, Outcome, Preemption, RetrySafety, Settings,
};
use std::collections::{BTreeMap, VecDeque};

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Running,
    Call,
    Over,
}

struct Model {
    class: usize,
    root: u64,
    arrived: f64,
    due: f64,
    at: At,
    answers: u32,
    gone: bool,
}

/// What a machine may be like: what it can do to runs, its share of calls where one is stated, whether reads may share
/// an answer, and its cores.
#[derive(Clone, Copy)]
struct Kind {
    preemption: Preemption,
    share: Option<f64>,
    shared_result_ttl_ms: f64,
    cores: f64,
}

fn play(seed: u64, kind: Kind) -> Vec<Action> {
    let Kind { preemption, share, shared_result_ttl_ms, cores } = kind;
    let classes = vec![
        class(RetrySafety::Idempotent),
        class(RetrySafety::IdempotencyKey),
        class(RetrySafety::AtMostOnce),
    ];
    let set = Settings {
        preemption,
        has_upstream: true,
        upstream_call_share: share,
        upstream_window_ms: 5000.0,
        shared_result_ttl_ms,
        cores,
        survivable_runs_per_core: 3.0,
        memory_kb: 2500.0,
        tenant_quotas: vec![10.0, 100.0],
        over_quota_weight: 0.1,
        classes,
        ..settings()
    };
    let memory = set.memory_kb;
    let mut controller = AdmissionController::new(0.0, set);
    let mut random = Random(seed);
    let mut world: BTreeMap<u64, Model> = BTreeMap::new();
    let mut ran: BTreeMap<u64, u32> = BTreeMap::new();
    let mut kept: BTreeMap<u64, f64> = BTreeMap::new();
    // Reads that ended well, and when; calls: whose, from when, until when at the latest, and whether still out.
    let mut ended: BTreeMap<u64, f64> = BTreeMap::new();
    let mut calls: Vec<(u64, f64, f64, bool)> = Vec::new();
    let mut shared = 0;
    let (mut now, mut next, mut timer, mut log) = (0.0, 0, 0.0, Vec::new());
    let (mut notice, stop) = (None, 60_000.0);
    let mut events = VecDeque::from([Event::Start]);
    while now < stop {
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            controller.on_event(now, event, &mut out);
            for action in &out {
                match action {
                    Action::Run(id) => {
                        let m = world.get_mut(id).expect("a known request");
                        assert_eq!(m.at, At::Held);
                        if let Some(notice) = notice {
                            assert!(m.arrived <= notice + 1000.0, "run after the grace");
                        }
                        if m.class != 0 {
                            let count = ran.entry(m.root).or_insert(0);
                            *count += 1;
                            assert_eq!(*count, 1, "an effect twice: {id}");
                        }
                        if m.class == 1 {
                            assert!(kept.contains_key(id), "run before it was kept: {id}");
                        }
                        m.at = At::Running;
                    }
                    Action::Reject { id, .. } => {
                        let m = world.get_mut(id).expect("a known request");
                        assert!(
                            m.class == 0 || m.at == At::Held && !ran.contains_key(&m.root),
                            "rejected after a run"
                        );
                        m.answers += 1;
                        if m.at == At::Held {
                            m.at = At::Over;
                        }
                    }
                    Action::Fail(id) => {
                        let m = world.get_mut(id).expect("a known request");
                        m.answers += 1;
                        if m.at == At::Held {
                            m.at = At::Over;
                        }
                    }
                    Action::ReserveKey { id, ttl_ms } => {
                        // Keeping a newer try of the same request hands its entry on.
                        let root = world.get(id).expect("a known request").root;
                        kept.retain(|k, _| world.get(k).is_none_or(|m| m.root != root));
                        kept.insert(*id, now + ttl_ms);
                    }
                    Action::ReleaseKey(id) => drop(kept.remove(id)),
                    Action::CallUpstream { id, timeout_ms } => calls.push((*id, now, now + timeout_ms, true)),
                    Action::ReuseResult(id) => {
                        shared += u32::from(world[id].class == 0);
                        // The stand-in for the machine's copy of the result: it ends at once.
                        let m = world.get_mut(id).expect("a known request");
                        m.at = At::Over;
                        let told = |a: &Action| matches!(a, Action::Fail(x) | Action::Reject { id: x, .. } if x == id);
                        m.answers += u32::from(!out.iter().any(told));
                        events.push_back(Event::RunEnded { id: *id, outcome: Outcome::Ok, took_ms: 1.0 });
                    }
                    Action::SetTimer { delay_ms, .. } => timer = now + delay_ms,
                    Action::SkipUpstreamCall(_) => panic!("no class may leave a call out"),
                    _ => {}
                }
            }
            log.extend(out);
            kept.retain(|_, until| *until > now);
            let held: f64 = world.values().map(|m| if m.at == At::Held { 20.0 } else { 0.0 }).sum();
            let run: f64 =
                world.values().map(|m| if matches!(m.at, At::Running | At::Call) { 80.0 } else { 0.0 }).sum();
            assert!(held + run + 50.0 * kept.len() as f64 <= memory, "memory");
            let on = world.values().filter(|m| m.at == At::Running).count();
            assert!(on as f64 <= (3.0 * cores).max(1.0), "a crowd of {on}");
            for c in calls.iter_mut().filter(|c| c.3 && world.get(&c.0).is_none_or(|m| m.at != At::Call)) {
                // Given up with its request: it lingers.
                (c.2, c.3) = (c.2.min(now) + 200.0, false);
            }
            let part = |c: &(u64, f64, f64, bool)| (c.2.min(now) - c.1.max(now - 5000.0)).max(0.0) / 5000.0;
            let mean = calls.iter().map(part).sum::<f64>();
            assert!(share.is_none_or(|s| mean <= s + 1e-9), "{mean} calls in hand");
            for (id, m) in &world {
                assert!(m.answers <= 1, "two answers: {id}");
                assert!(m.answers == 1 || m.gone || now <= m.due + 80.0, "lost: {id} {:?} at {now}", m.at);
            }
        }
        now += 5.0;
        if now >= stop {
            break;
        }
        world.retain(|_, m| m.at != At::Over);
        if now > 50_000.0 && notice.is_none() {
            notice = Some(now);
            world.values_mut().for_each(|m| m.due = m.due.min(stop));
            events.push_back(Event::Drain { stop_at: stop });
        }
        if let Some(c) = calls.iter_mut().find(|c| c.3 && c.2 <= now) {
            (c.2, c.3) = (c.2 + 200.0, false);
            events.push_back(Event::UpstreamCallEnded {
                id: c.0,
                outcome: Outcome::TimedOut,
                took_ms: now - c.1,
            });
            continue;
        }
        calls.retain(|c| c.2 > now - 5000.0);
        if timer <= now {
            let busy = random.below(11) as f64 / 10.0;
            let gauges =
                Gauges { busy: Some(busy), run_queue: Some(random.below(30) as f64), ..Gauges::default() };
            events.push_back(Event::Timer { token: 1, gauges });
            continue;
        }
        let live: Vec<u64> = world.iter().filter(|(_, m)| m.at != At::Held).map(|(id, _)| *id).collect();
        let picked = if live.is_empty() { None } else { live.get(random.below(live.len() as u64) as usize) };
        match (random.below(5), picked) {
            (0 | 1, _) => {
                next += 1;
                let class = random.below(3) as usize;
                let age_ms = random.below(100) as f64;
                let tries: Vec<u64> = kept.keys().copied().filter(|id| *id != next).collect();
                let fresh = |id: &u64| {
                    let open = world.get(id).is_some_and(|m| m.class == 0);
                    open || ended.get(id).is_some_and(|at| now - at < 1000.0)
                };
                let reads = tries.iter().copied().filter(|id| shared_result_ttl_ms > 0.0 && fresh(id));
                let writes = tries
                    .iter()
                    .copied()
                    .filter(|id| ran.contains_key(id) || world.get(id).is_some_and(|m| m.class == 1));
                let tries: Vec<u64> = if class == 0 { reads.collect() } else { writes.collect() };
                let again = class < 2 && !tries.is_empty() && random.below(3) == 0;
                let prior = if again { Some(tries[random.below(tries.len() as u64) as usize]) } else { None };
                let root = prior.map_or(next, |p| world.get(&p).map_or(p, |m| m.root));
                let deadline =
                    if random.below(2) == 0 { Some(now + random.below(2000) as f64) } else { None };
                let due = deadline.filter(|d| *d > 0.0).unwrap_or(now - age_ms + 3000.0);
                let due = if notice.is_some() { due.min(stop) } else { due };
                let m =
                    Model { class, root, arrived: now - age_ms, due, at: At::Held, answers: 0, gone: false };
                world.insert(next, m);
                events.push_back(Event::Arrival(Arrival {
                    id: next,
                    class,
                    tenant: random.below(3) as usize,
                    deadline,
                    request_kb: 20.0,
                    priority: random.below(100) as f64 / 100.0,
                    age_ms,
                    duplicate_of: prior,
                    shareable: class == 0,
                    ..Arrival::default()
                }));
            }
            (2, Some(id)) => {
                let m = world.get_mut(id).expect("picked from it");
                if m.at == At::Running {
                    m.at = At::Over;
                    m.answers = 1;
                    ended.insert(*id, now);
                    events.push_back(Event::RunEnded { id: *id, outcome: Outcome::Ok, took_ms: 50.0 });
                }
            }
            (3, Some(id)) => {
                let m = world.get_mut(id).expect("picked from it");
                if m.at == At::Running && m.answers == 0 {
                    m.at = At::Call;
                    events.push_back(Event::UpstreamCallNeeded(*id));
                } else if let Some(c) = calls.iter_mut().find(|c| c.3 && c.0 == *id && m.at == At::Call) {
                    (c.2, c.3) = (now, false);
                    m.at = At::Running;
                    events.push_back(Event::UpstreamCallEnded {
                        id: *id,
                        outcome: Outcome::Ok,
                        took_ms: 10.0,
                    });
                }
            }
            (4, Some(id)) if random.below(10) == 0 => {
                let m = world.get_mut(id).expect("picked from it");
                m.gone = true;
                events.push_back(Event::ClientGone(*id));
            }
            _ => {}
        }
    }
    assert!(world.values().all(|m| m.answers == 1 || m.gone), "unanswered at the stop");
    assert!(next > 1000 && ran.len() > 2, "{next} {}", ran.len());
    assert_eq!(shared > 0, shared_result_ttl_ms > 0.0, "{shared} reads shared an answer");
    log
}

#[test]
fn the_rules_hold_on_random_streams() {
    for preemption in [Preemption::Off, Preemption::Abort, Preemption::Suspend] {
        for share in [None, Some(2.0), Some(0.4)] {
            for (fresh_ms, cores) in [(0.0, 2.0), (1000.0, 1.0), (1000.0, 8.0)] {
                let kind = Kind { preemption, share, shared_result_ttl_ms: fresh_ms, cores };
                play(1, kind);
            }
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let kind =
        Kind { preemption: Preemption::Off, share: Some(2.0), shared_result_ttl_ms: 1000.0, cores: 2.0 };
    assert_eq!(play(77, kind), play(77, kind));
}
