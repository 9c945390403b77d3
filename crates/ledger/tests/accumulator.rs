//! The accumulator against a store that loses, fails and recovers, in any order of events: no reply is sent before its
//! line is durable (or more than the stated number), nothing is counted twice or dropped, periods close in order.

use dunlinspread_ledger::{
    AccountName, Action, DurabilityMode, FailurePolicy, LedgerSettings, LedgerState, Line, LineKind, Notice,
    Outcome, RecoveredLedger, ReplyDecision, UsageAccumulator, UsageRecord,
};
use proptest::prelude::*;
use std::collections::VecDeque;

const PERIOD: u64 = 1000;

fn settings(mode: DurabilityMode, on_failure: FailurePolicy, cells: usize) -> LedgerSettings {
    LedgerSettings {
        period_ms: PERIOD,
        grace_ms: 100,
        mode,
        on_failure,
        classes: vec!["a".to_owned(), "b".to_owned()],
        cells,
        records: 8,
    }
}

/// A server's ledger with a store in memory, and the true count of its replies.
struct World {
    settings: LedgerSettings,
    /// Durable records.
    store: Vec<Vec<u8>>,
    /// With the store, not durable.
    pending: VecDeque<Vec<u8>>,
    /// The store takes nothing until it is told to resume.
    stopped: bool,
    accumulator: UsageAccumulator,
    now: u64,
    /// Marks of replies that are held.
    held: Vec<u64>,
    billed: u64,
    /// Replies sent, of all starts.
    out: u64,
    /// Replies that were held when a server was killed.
    cut: u64,
    notes: Vec<Notice>,
}

fn open(store: &[Vec<u8>]) -> LedgerState {
    let mut state = LedgerState::default();
    for (record, number) in store.iter().zip(1..) {
        let line = Line::parse(record).expect("a line");
        state.apply(number, &line).expect("lines that follow from one another");
    }
    state
}

impl World {
    fn new(settings: LedgerSettings) -> World {
        let (now, mut actions) = (10_000_050, Vec::new());
        let accumulator =
            UsageAccumulator::start(now, settings.clone(), RecoveredLedger::default(), &mut actions);
        let mut world = World {
            settings,
            store: Vec::new(),
            pending: VecDeque::new(),
            stopped: false,
            accumulator,
            now,
            held: Vec::new(),
            billed: 0,
            out: 0,
            cut: 0,
            notes: Vec::new(),
        };
        world.carry_out(actions);
        world
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.pending.push_back(record),
                Action::Resume => self.stopped = false,
                Action::Release(mark) => {
                    let before = self.held.len();
                    self.held.retain(|held| *held > mark);
                    self.out += (before - self.held.len()) as u64;
                }
                Action::Notify(note) => self.notes.push(note),
                Action::AcceptRequests(_) | Action::PeriodsClosed(_) | Action::EntryDurable { .. } => {}
            }
        }
    }

    fn bill(&mut self, tenant: u8, class: u16, outcome: usize) {
        let (name, mut actions) = (format!("s{tenant}"), Vec::new());
        let account = AccountName::parse(&name).expect("a name");
        let outcome = Outcome::ALL[outcome];
        let used =
            UsageRecord { requests: 1, account, class, outcome, pool_us: 10, bytes_in: 1, bytes_out: 2 };
        match self.accumulator.bill(self.now, &used, &mut actions) {
            ReplyDecision::SendNow => self.out += 1,
            ReplyDecision::HoldUntil(mark) => self.held.push(mark),
        }
        self.billed += 1;
        self.accumulator.flush_if_due(self.now, &mut actions);
        self.carry_out(actions);
    }

    fn sync(&mut self, count: usize) {
        if self.stopped {
            return;
        }
        let count = count.min(self.pending.len());
        self.store.extend(self.pending.drain(..count));
        let mut actions = Vec::new();
        if count > 0 {
            self.accumulator.on_durable(self.now, count, &mut actions);
        }
        self.carry_out(actions);
    }

    fn fail(&mut self) {
        let (count, mut actions) = (self.pending.len(), Vec::new());
        self.pending.clear();
        if count > 0 {
            self.stopped = true;
            self.accumulator.on_failed("no space", count, &mut actions);
        }
        self.carry_out(actions);
    }

    fn tick(&mut self, ms: u64) {
        self.now += ms;
        let mut actions = Vec::new();
        self.accumulator.tick(self.now, &mut actions);
        self.carry_out(actions);
    }

    /// The process dies; `kept` of what the store was still writing got there. It starts again with its clock moved.
    fn crash(&mut self, kept: usize, moved: i64) {
        if !self.stopped {
            let kept = kept.min(self.pending.len());
            self.store.extend(self.pending.drain(..kept));
        }
        self.pending.clear();
        self.cut += self.held.drain(..).count() as u64;
        self.now = self.now.saturating_add_signed(moved);
        self.restart(false);
    }

    fn restart(&mut self, closed_cleanly: bool) {
        let (state, mut actions) = (open(&self.store), Vec::new());
        let next_line = self.store.len() as u64 + 1;
        let recovered = RecoveredLedger { state, next_line, closed_cleanly };
        self.stopped = false;
        self.accumulator = UsageAccumulator::start(self.now, self.settings.clone(), recovered, &mut actions);
        self.carry_out(actions);
    }

    /// Requests in durable lines, and those that lines say are in none.
    fn durable(&self) -> (u64, u64) {
        let (mut billed, mut unbilled) = (0, 0);
        for record in &self.store {
            match Line::parse(record).expect("a line").kind {
                Some(LineKind::Usage(usage)) => {
                    billed += usage.entries.iter().map(|e| e.amount.requests).sum::<u64>();
                }
                Some(LineKind::Unbilled(u)) => unbilled += u.requests,
                _ => {}
            }
        }
        (billed, unbilled)
    }

    /// Brings all to the disk.
    fn settle(&mut self) {
        for _ in 0..100 {
            self.tick(20);
            self.sync(usize::MAX);
        }
        assert!(self.held.is_empty(), "replies are held for ever");
        assert_eq!(self.accumulator.gauges().at_risk, 0);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Bill(u8, u16, usize),
    Sync(usize),
    Fail,
    Tick(u64),
    Crash(usize, i64),
}

fn steps(crashes: bool) -> impl Strategy<Value = Vec<Step>> {
    let crash = u32::from(crashes);
    let step = prop_oneof![
        12 => (0u8..20, 0u16..2, 0usize..6).prop_map(|(s, c, o)| Step::Bill(s, c, o)),
        6 => (1usize..4).prop_map(Step::Sync),
        1 => Just(Step::Fail),
        3 => (1u64..400).prop_map(Step::Tick),
        crash => (0usize..4, -3000i64..5000).prop_map(|(kept, moved)| Step::Crash(kept, moved)),
    ];
    proptest::collection::vec(step, 0..300)
}

fn play(world: &mut World, steps: Vec<Step>, check: impl Fn(&World)) {
    for step in steps {
        match step {
            // While it refuses, only what it has already taken on comes to an end.
            Step::Bill(s, c, o) if world.accumulator.accepts_requests() => world.bill(s, c, o),
            Step::Bill(..) => {}
            Step::Sync(count) => world.sync(count),
            Step::Fail => world.fail(),
            Step::Tick(ms) => world.tick(ms),
            Step::Crash(kept, moved) => world.crash(kept, moved),
        }
        check(world);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn strict_mode_loses_and_duplicates_nothing(steps in steps(true), cells in 1usize..12) {
        let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, cells));
        play(&mut world, steps, |w| {
            let (billed, _) = w.durable();
            assert!(billed >= w.out, "{} replies are sent, {billed} in lines", w.out);
            assert!(billed <= w.billed, "more is billed than was answered");
        });
        world.settle();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(unbilled, 0);
        // What was held when a server died may have got there or not; each at most once.
        prop_assert!(billed >= world.out && billed <= world.out + world.cut, "{billed} {} {}", world.out, world.cut);
        let unclean = world.notes.iter().any(|n| matches!(n, Notice::UncleanShutdown { .. }));
        prop_assert!(!unclean);
    }

    #[test]
    fn interval_mode_risks_no_more_than_configured(steps in steps(true), cells in 1usize..12, at_risk in 1u64..9) {
        let mode = DurabilityMode::Interval { every_ms: 150, at_risk };
        let mut world = World::new(settings(mode, FailurePolicy::Reject, cells));
        let mut crashes = 0;
        for step in steps {
            crashes += u64::from(matches!(step, Step::Crash(..)));
            play(&mut world, vec![step], |w| {
                let (billed, _) = w.durable();
                assert!(w.out <= billed + at_risk * (crashes + 1), "{} out, {billed} billed", w.out);
            });
        }
        world.settle();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(unbilled, 0);
        prop_assert!(billed <= world.out + world.cut);
        prop_assert!(world.out <= billed + crashes * at_risk, "{} out, {billed} billed", world.out);
    }

    /// Without a crash, every reply is in a line or in the count of those that are in none.
    #[test]
    fn continuing_on_failure_counts_unbilled_requests(steps in steps(false), cells in 1usize..12) {
        let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Continue, cells));
        play(&mut world, steps, |w| assert!(w.accumulator.accepts_requests()));
        world.settle();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(billed + unbilled, world.billed);
        prop_assert_eq!(world.out, world.billed);
    }

    /// Whatever the clock does across restarts: closes follow one another without a gap, and no usage lies in a closed
    /// period (the state's own checks), and all that is over is closed in the end.
    #[test]
    fn periods_close_in_order_whatever_the_clock(steps in steps(true)) {
        let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 8));
        play(&mut world, steps, |_| {});
        world.settle();
        world.tick(2 * PERIOD + 200);
        world.sync(usize::MAX);
        let state = open(&world.store);
        prop_assert!(state.closed_to + PERIOD + 100 > state.latest_ms, "{} {}", state.closed_to, state.latest_ms);
    }
}

fn kinds(world: &World) -> Vec<LineKind> {
    world.store.iter().filter_map(|r| Line::parse(r).expect("a line").kind).collect()
}

#[test]
fn replies_wait_for_their_line_and_share_commits() {
    let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 100));
    world.sync(9);
    for _ in 0..5 {
        world.bill(1, 0, 0);
    }
    assert_eq!(
        (world.out, world.held.len(), world.pending.len()),
        (0, 5, 1),
        "one record is out, the rest waits"
    );
    world.sync(1);
    assert_eq!((world.out, world.held.len(), world.pending.len()), (1, 4, 1), "the rest goes in one");
    world.sync(1);
    assert_eq!((world.out, world.held.len(), world.pending.len()), (5, 0, 0));
    assert_eq!(world.durable(), (5, 0));
}

#[test]
fn a_period_is_closed_after_its_grace_with_all_that_belongs_to_it() {
    let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 100));
    world.sync(9);
    world.bill(1, 0, 0);
    world.tick(PERIOD);
    world.bill(2, 0, 0);
    world.sync(9);
    assert!(!kinds(&world).iter().any(|k| matches!(k, LineKind::Close(_))), "the grace is not over");
    world.tick(60);
    world.sync(9);
    let Some(LineKind::Close(close)) = kinds(&world).pop() else { panic!("not closed") };
    assert_eq!((close.from, close.to, close.late), (10_000_000, 10_001_000, false));
}

#[test]
fn periods_that_ended_while_the_server_was_down_are_closed_late_in_one_line() {
    let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 100));
    world.bill(1, 0, 0);
    world.sync(9);
    world.crash(0, 5 * PERIOD as i64);
    world.sync(9);
    assert!(kinds(&world).iter().any(|k| matches!(k, LineKind::Close(c)
        if (c.from, c.to, c.late) == (10_000_000, 10_005_000, true))));
    assert!(world.notes.contains(&Notice::ClosedLate { from: 10_000_000, to: 10_005_000 }));
}

#[test]
fn a_clock_that_steps_back_reopens_nothing() {
    let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 100));
    world.sync(9);
    world.tick(PERIOD + 200);
    world.sync(9);
    world.crash(0, -5 * PERIOD as i64);
    world.sync(9);
    world.bill(1, 0, 0);
    world.sync(9);
    assert!(world.notes.iter().any(|n| matches!(n, Notice::ClockBehind(_))));
    let Some(LineKind::Usage(usage)) = kinds(&world).pop() else { panic!("not billed") };
    assert_eq!(usage.period, 10_001_000);
}

#[test]
fn an_unclean_shutdown_in_interval_mode_is_recorded_in_a_line() {
    let mode = DurabilityMode::Interval { every_ms: 1000, at_risk: 7 };
    let mut world = World::new(settings(mode, FailurePolicy::Reject, 100));
    world.sync(9);
    world.bill(1, 0, 0);
    assert_eq!(world.out, 1);
    world.crash(0, 10);
    world.sync(9);
    let said = |k: &LineKind| matches!(k, LineKind::Unbilled(u) if u.at_most == 7 && !u.unbounded);
    assert!(kinds(&world).iter().any(said));
    // A clean shutdown leaves none.
    let before = world.store.len();
    world.restart(true);
    world.sync(9);
    assert!(!kinds(&world)[before..].iter().any(said));
}

#[test]
fn a_failing_store_rejects_new_requests_or_not_as_configured() {
    for on_failure in [FailurePolicy::Reject, FailurePolicy::Continue] {
        let mut world = World::new(settings(DurabilityMode::Strict, on_failure, 100));
        world.sync(9);
        world.bill(1, 0, 0);
        world.fail();
        let continues_on_failure = on_failure == FailurePolicy::Continue;
        assert_eq!(
            (world.accumulator.accepts_requests(), world.out),
            (continues_on_failure, u64::from(continues_on_failure))
        );
        // Room again: the same line is written, once.
        world.tick(10);
        world.sync(9);
        assert!(world.accumulator.accepts_requests());
        assert_eq!((world.durable(), world.out), ((1, 0), 1));
    }
}
