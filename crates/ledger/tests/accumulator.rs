//! The accumulator with a simulated store that loses records, fails and recovers, for random sequences of
//! events. No reply is sent before its line is durable, or no more than the configured number in interval
//! mode; no request is counted twice or dropped; and periods close in order.

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

/// The ledger of a server with a store in memory, and the actual counts of its replies.
struct World {
    settings: LedgerSettings,
    /// Durable records.
    store: Vec<Vec<u8>>,
    /// Records handed over to the store that are not durable yet.
    pending: VecDeque<Vec<u8>>,
    /// Whether the store writes nothing until it receives [`Action::Resume`].
    stopped: bool,
    accumulator: UsageAccumulator,
    now: u64,
    /// Marks of held replies.
    held: Vec<u64>,
    /// Number of replies billed since the first start.
    billed: u64,
    /// Number of replies sent since the first start.
    sent: u64,
    /// Number of replies that were held when a server crashed.
    held_at_crash: u64,
    notices: Vec<Notice>,
}

fn read_state(store: &[Vec<u8>]) -> LedgerState {
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
            sent: 0,
            held_at_crash: 0,
            notices: Vec::new(),
        };
        world.execute(actions);
        world
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.pending.push_back(record),
                Action::Resume => self.stopped = false,
                Action::Release(mark) => {
                    let before = self.held.len();
                    self.held.retain(|held| *held > mark);
                    self.sent += (before - self.held.len()) as u64;
                }
                Action::Notify(notice) => self.notices.push(notice),
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
            ReplyDecision::SendNow => self.sent += 1,
            ReplyDecision::HoldUntil(mark) => self.held.push(mark),
        }
        self.billed += 1;
        self.accumulator.flush_if_due(self.now, &mut actions);
        self.execute(actions);
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
        self.execute(actions);
    }

    fn fail(&mut self) {
        let (count, mut actions) = (self.pending.len(), Vec::new());
        self.pending.clear();
        if count > 0 {
            self.stopped = true;
            self.accumulator.on_failed("no space", count, &mut actions);
        }
        self.execute(actions);
    }

    fn tick(&mut self, ms: u64) {
        self.now += ms;
        let mut actions = Vec::new();
        self.accumulator.tick(self.now, &mut actions);
        self.execute(actions);
    }

    /// Crashes the process: the store keeps the first `kept` of the pending records. The process restarts
    /// with its clock changed by `clock_change` ms.
    fn crash(&mut self, kept: usize, clock_change: i64) {
        if !self.stopped {
            let kept = kept.min(self.pending.len());
            self.store.extend(self.pending.drain(..kept));
        }
        self.pending.clear();
        self.held_at_crash += self.held.drain(..).count() as u64;
        self.now = self.now.saturating_add_signed(clock_change);
        self.restart(false);
    }

    fn restart(&mut self, closed_cleanly: bool) {
        let (state, mut actions) = (read_state(&self.store), Vec::new());
        let next_line = self.store.len() as u64 + 1;
        let recovered = RecoveredLedger { state, next_line, closed_cleanly };
        self.stopped = false;
        self.accumulator = UsageAccumulator::start(self.now, self.settings.clone(), recovered, &mut actions);
        self.execute(actions);
    }

    /// Returns the number of requests in durable usage lines, and the number in durable unbilled lines.
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

    /// Makes all usage durable, and checks that all replies are released.
    fn make_all_durable(&mut self) {
        for _ in 0..100 {
            self.tick(20);
            self.sync(usize::MAX);
        }
        assert!(self.held.is_empty(), "replies are never released");
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
        crash => (0usize..4, -3000i64..5000).prop_map(|(kept, clock_change)| Step::Crash(kept, clock_change)),
    ];
    proptest::collection::vec(step, 0..300)
}

fn play(world: &mut World, steps: Vec<Step>, check: impl Fn(&World)) {
    for step in steps {
        match step {
            // While the accumulator rejects new requests, only requests admitted earlier would be billed.
            Step::Bill(s, c, o) if world.accumulator.accepts_requests() => world.bill(s, c, o),
            Step::Bill(..) => {}
            Step::Sync(count) => world.sync(count),
            Step::Fail => world.fail(),
            Step::Tick(ms) => world.tick(ms),
            Step::Crash(kept, clock_change) => world.crash(kept, clock_change),
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
            assert!(billed >= w.sent, "{} replies are sent, {billed} requests are in lines", w.sent);
            assert!(billed <= w.billed, "more requests are billed than were answered");
        });
        world.make_all_durable();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(unbilled, 0);
        // A reply that was held when the server crashed may have been billed or not, but at most once.
        prop_assert!(
            billed >= world.sent && billed <= world.sent + world.held_at_crash,
            "{billed} {} {}",
            world.sent,
            world.held_at_crash
        );
        let unclean = world.notices.iter().any(|n| matches!(n, Notice::UncleanShutdown { .. }));
        prop_assert!(!unclean);
    }

    #[test]
    fn interval_mode_risks_no_more_than_configured(
        steps in steps(true),
        cells in 1usize..12,
        at_risk in 1u64..9,
    ) {
        let mode = DurabilityMode::Interval { every_ms: 150, at_risk };
        let mut world = World::new(settings(mode, FailurePolicy::Reject, cells));
        let mut crashes = 0;
        for step in steps {
            crashes += u64::from(matches!(step, Step::Crash(..)));
            play(&mut world, vec![step], |w| {
                let (billed, _) = w.durable();
                assert!(w.sent <= billed + at_risk * (crashes + 1), "{} sent, {billed} billed", w.sent);
            });
        }
        world.make_all_durable();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(unbilled, 0);
        prop_assert!(billed <= world.sent + world.held_at_crash);
        prop_assert!(world.sent <= billed + crashes * at_risk, "{} sent, {billed} billed", world.sent);
    }

    /// Without a crash, every reply is counted either in a usage line or in an unbilled line.
    #[test]
    fn continuing_on_failure_counts_unbilled_requests(steps in steps(false), cells in 1usize..12) {
        let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Continue, cells));
        play(&mut world, steps, |w| assert!(w.accumulator.accepts_requests()));
        world.make_all_durable();
        let (billed, unbilled) = world.durable();
        prop_assert_eq!(billed + unbilled, world.billed);
        prop_assert_eq!(world.sent, world.billed);
    }

    /// For any change of the clock across restarts, closes follow one another without gaps, no usage is added
    /// to a closed period (`LedgerState::apply` checks both), and all ended periods are closed in the end.
    #[test]
    fn periods_close_in_order_whatever_the_clock(steps in steps(true)) {
        let mut world = World::new(settings(DurabilityMode::Strict, FailurePolicy::Reject, 8));
        play(&mut world, steps, |_| {});
        world.make_all_durable();
        world.tick(2 * PERIOD + 200);
        world.sync(usize::MAX);
        let last = read_state(&world.store);
        prop_assert!(last.closed_to + PERIOD + 100 > last.latest_ms, "{} {}", last.closed_to, last.latest_ms);
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
    assert_eq!((world.sent, world.held.len(), world.pending.len()), (0, 5, 1), "one is pending, others wait");
    world.sync(1);
    assert_eq!((world.sent, world.held.len(), world.pending.len()), (1, 4, 1), "the others share one record");
    world.sync(1);
    assert_eq!((world.sent, world.held.len(), world.pending.len()), (5, 0, 0));
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
    assert!(world.notices.contains(&Notice::ClosedLate { from: 10_000_000, to: 10_005_000 }));
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
    assert!(world.notices.iter().any(|n| matches!(n, Notice::ClockBehind(_))));
    let Some(LineKind::Usage(usage)) = kinds(&world).pop() else { panic!("not billed") };
    assert_eq!(usage.period, 10_001_000);
}

#[test]
fn an_unclean_shutdown_in_interval_mode_is_recorded_in_a_line() {
    let mode = DurabilityMode::Interval { every_ms: 1000, at_risk: 7 };
    let mut world = World::new(settings(mode, FailurePolicy::Reject, 100));
    world.sync(9);
    world.bill(1, 0, 0);
    assert_eq!(world.sent, 1);
    world.crash(0, 10);
    world.sync(9);
    let is_unbilled = |k: &LineKind| matches!(k, LineKind::Unbilled(u) if u.at_most == 7 && !u.unbounded);
    assert!(kinds(&world).iter().any(is_unbilled));
    // A restart after a clean shutdown does not write an unbilled line.
    let before = world.store.len();
    world.restart(true);
    world.sync(9);
    assert!(!kinds(&world)[before..].iter().any(is_unbilled));
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
            (world.accumulator.accepts_requests(), world.sent),
            (continues_on_failure, u64::from(continues_on_failure))
        );
        // The store recovers: the same line is written, once.
        world.tick(10);
        world.sync(9);
        assert!(world.accumulator.accepts_requests());
        assert_eq!((world.durable(), world.sent), ((1, 0), 1));
    }
}
