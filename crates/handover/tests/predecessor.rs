//! State machine of the predecessor: each transition of its state table, and arbitrary sequences of events.

use dunlinspread_handover::{
    HELLO_TIMEOUT_MS, LOAD_TIMEOUT_MS, PROTOCOL_VERSION, Predecessor, PredecessorAction as Action,
    PredecessorEvent as Event, PredecessorInput as Input, PredecessorPhase as Phase, RefuseReason,
    ServerIdentity, TRANSFER_REQUEST_TIMEOUT_MS,
};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, prop_oneof, proptest};

const KEYS: u64 = 3;

fn identity() -> ServerIdentity {
    ServerIdentity { name: "s".into(), classes: vec!["c".into()], tenants: vec!["t".into()] }
}

fn hello() -> Event {
    Event::Received(Input::Hello { version: PROTOCOL_VERSION, identity: identity() })
}

fn loaded(keys: u64) -> Event {
    Event::Received(Input::Loaded { keys })
}

const REQUEST_TRANSFER: Event = Event::Received(Input::RequestTransfer);

/// Returns a predecessor that has reached `phase` through the events of a handover.
fn predecessor_in(phase: Phase) -> Predecessor {
    let mut predecessor = Predecessor::new(identity());
    let events = [Event::Connected, hello(), REQUEST_TRANSFER, loaded(KEYS)];
    let count = match phase {
        Phase::Serving => 0,
        Phase::Welcomed => 2,
        Phase::Transferring => 3,
        Phase::HandedOver => 4,
    };
    for event in events.into_iter().take(count) {
        predecessor.on_event(event);
        predecessor.snapshot_sent(KEYS);
    }
    assert_eq!(predecessor.phase(), phase);
    predecessor
}

fn linked() -> Predecessor {
    let mut predecessor = Predecessor::new(identity());
    predecessor.on_event(Event::Connected);
    predecessor
}

/// Asserts the actions that an event causes and the phase after it, and returns the predecessor.
fn assert_transition(
    mut predecessor: Predecessor,
    event: Event,
    actions: &[Action],
    phase: Phase,
) -> Predecessor {
    assert_eq!(predecessor.on_event(event.clone()), actions, "{event:?}");
    assert_eq!(predecessor.phase(), phase, "{event:?}");
    predecessor
}

#[test]
fn a_handover_goes_its_way() {
    let start = Predecessor::new(identity());
    let timer = |ms| Action::StartTimer { ms };
    let linked = assert_transition(start, Event::Connected, &[timer(HELLO_TIMEOUT_MS)], Phase::Serving);
    let welcome = [Action::SendWelcome, timer(TRANSFER_REQUEST_TIMEOUT_MS)];
    let welcomed = assert_transition(linked, hello(), &welcome, Phase::Welcomed);
    let transfer = [Action::Freeze, Action::SendSnapshot, timer(LOAD_TIMEOUT_MS)];
    let mut transferring = assert_transition(welcomed, REQUEST_TRANSFER, &transfer, Phase::Transferring);
    transferring.snapshot_sent(KEYS);
    let commit = [Action::SendCommit, Action::HandOver, Action::StopTimer];
    assert_transition(transferring, loaded(KEYS), &commit, Phase::HandedOver);
}

#[test]
fn another_version_or_identity_is_refused() {
    let other = |change: fn(&mut ServerIdentity)| {
        let mut identity = identity();
        change(&mut identity);
        Event::Received(Input::Hello { version: PROTOCOL_VERSION, identity })
    };
    let other_version = Input::Hello { version: PROTOCOL_VERSION + 1, identity: identity() };
    let no_identity = Input::Hello { version: PROTOCOL_VERSION + 1, identity: ServerIdentity::default() };
    let cases = [
        (Event::Received(other_version), RefuseReason::OtherVersion),
        (Event::Received(no_identity), RefuseReason::OtherVersion),
        (other(|identity| identity.name.push('x')), RefuseReason::OtherIdentity),
        (other(|identity| identity.classes.push("d".into())), RefuseReason::OtherIdentity),
        (other(|identity| identity.tenants.clear()), RefuseReason::OtherIdentity),
    ];
    for (event, reason) in cases {
        let refusal = [Action::SendRefusal(reason), Action::Disconnect, Action::StopTimer];
        let refused = assert_transition(linked(), event, &refusal, Phase::Serving);
        let timer = Action::StartTimer { ms: HELLO_TIMEOUT_MS };
        assert_transition(refused, Event::Connected, &[timer], Phase::Serving);
    }
}

#[test]
fn a_link_that_fails_before_the_commit_leaves_the_predecessor_serving() {
    let transferring = || predecessor_in(Phase::Transferring);
    let welcomed = || predecessor_in(Phase::Welcomed);
    let close = [Action::Disconnect, Action::StopTimer];
    let resume_and_close = [Action::Resume, Action::Disconnect, Action::StopTimer];
    let cases: [(Predecessor, Event, &[Action]); 12] = [
        (linked(), Event::Disconnected, &[Action::StopTimer]),
        (linked(), Event::TimedOut, &[Action::Disconnect]),
        (linked(), REQUEST_TRANSFER, &close),
        (linked(), loaded(KEYS), &close),
        (welcomed(), Event::Disconnected, &[Action::StopTimer]),
        (welcomed(), Event::TimedOut, &[Action::Disconnect]),
        (welcomed(), hello(), &close),
        (transferring(), Event::Disconnected, &[Action::Resume, Action::StopTimer]),
        (transferring(), Event::TimedOut, &[Action::Resume, Action::Disconnect]),
        (transferring(), loaded(KEYS + 1), &resume_and_close),
        (transferring(), REQUEST_TRANSFER, &resume_and_close),
        (transferring(), hello(), &resume_and_close),
    ];
    for (predecessor, event, actions) in cases {
        assert_transition(predecessor, event, actions, Phase::Serving);
    }
}

#[test]
fn a_confirmation_before_the_snapshot_was_sent_is_out_of_place() {
    let mut predecessor = predecessor_in(Phase::Welcomed);
    predecessor.on_event(REQUEST_TRANSFER);
    let actions = [Action::Resume, Action::Disconnect, Action::StopTimer];
    assert_transition(predecessor, loaded(0), &actions, Phase::Serving);
}

#[test]
fn after_the_commit_only_the_end_of_the_link_has_an_effect() {
    let ignored = [
        Event::Connected,
        Event::TimedOut,
        Event::ShutdownRequested,
        hello(),
        REQUEST_TRANSFER,
        loaded(KEYS),
    ];
    for event in ignored {
        assert_transition(predecessor_in(Phase::HandedOver), event, &[], Phase::HandedOver);
    }
    let handed_over = predecessor_in(Phase::HandedOver);
    assert_transition(handed_over, Event::Disconnected, &[Action::TakeBack], Phase::Serving);
}

#[test]
fn a_shutdown_refuses_new_successors_and_lets_a_greeted_one_go_on() {
    let refusal = Action::SendRefusal(RefuseReason::ShuttingDown);
    let serving =
        assert_transition(predecessor_in(Phase::Serving), Event::ShutdownRequested, &[], Phase::Serving);
    assert_transition(serving, Event::Connected, &[refusal.clone(), Action::Disconnect], Phase::Serving);
    let not_welcomed = assert_transition(linked(), Event::ShutdownRequested, &[], Phase::Serving);
    assert_transition(
        not_welcomed,
        hello(),
        &[refusal, Action::Disconnect, Action::StopTimer],
        Phase::Serving,
    );
    let welcomed =
        assert_transition(predecessor_in(Phase::Welcomed), Event::ShutdownRequested, &[], Phase::Welcomed);
    let transfer = [Action::Freeze, Action::SendSnapshot, Action::StartTimer { ms: LOAD_TIMEOUT_MS }];
    assert_transition(welcomed, REQUEST_TRANSFER, &transfer, Phase::Transferring);
    let transferring = predecessor_in(Phase::Transferring);
    let transferring = assert_transition(transferring, Event::ShutdownRequested, &[], Phase::Transferring);
    let commit = [Action::SendCommit, Action::HandOver, Action::StopTimer];
    assert_transition(transferring, loaded(KEYS), &commit, Phase::HandedOver);
}

#[test]
fn events_without_a_link_change_nothing() {
    let serving = || predecessor_in(Phase::Serving);
    assert_transition(serving(), Event::Disconnected, &[], Phase::Serving);
    assert_transition(serving(), Event::TimedOut, &[], Phase::Serving);
    assert_transition(serving(), hello(), &[Action::Disconnect], Phase::Serving);
    for phase in [Phase::Welcomed, Phase::Transferring, Phase::HandedOver] {
        assert_transition(predecessor_in(phase), Event::Connected, &[], phase);
    }
}

/// State of the caller after the actions performed so far.
#[derive(Debug, Default, PartialEq)]
struct Caller {
    frozen: bool,
    handed_over: bool,
    timer_running: bool,
    commits: usize,
    hand_overs: usize,
}

impl Caller {
    /// Performs an action, or returns an error if the action is not allowed in this state.
    fn perform(&mut self, action: &Action) -> Result<(), &'static str> {
        let is_deciding = !self.frozen && !self.handed_over;
        let allowed = match action {
            Action::Freeze => is_deciding,
            Action::SendSnapshot | Action::SendCommit | Action::HandOver | Action::Resume => self.frozen,
            Action::TakeBack => self.handed_over,
            Action::SendWelcome | Action::SendRefusal(_) => is_deciding,
            Action::Disconnect => !self.handed_over,
            Action::StartTimer { .. } | Action::StopTimer => true,
        };
        match action {
            Action::Freeze => self.frozen = true,
            Action::Resume => self.frozen = false,
            Action::SendCommit => self.commits += 1,
            Action::HandOver => {
                self.hand_overs += 1;
                (self.frozen, self.handed_over) = (false, true);
            }
            Action::TakeBack => self.handed_over = false,
            Action::StartTimer { .. } => self.timer_running = true,
            Action::StopTimer => self.timer_running = false,
            Action::SendSnapshot | Action::SendWelcome | Action::SendRefusal(_) | Action::Disconnect => {}
        }
        if allowed { Ok(()) } else { Err("the action is not allowed in this state") }
    }
}

/// An event: the next one of a successful handover, or an arbitrary one.
#[derive(Clone, Debug)]
enum Choice {
    Next,
    Any(Event),
}

fn choice() -> impl Strategy<Value = Choice> {
    let versions = prop_oneof![Just(PROTOCOL_VERSION), any::<u32>()];
    let identities = prop_oneof![Just(identity()), Just(ServerIdentity::default())];
    let other_hello = (versions, identities)
        .prop_map(|(version, identity)| Event::Received(Input::Hello { version, identity }));
    let event = prop_oneof![
        Just(Event::Connected),
        Just(Event::Disconnected),
        Just(Event::TimedOut),
        Just(Event::ShutdownRequested),
        Just(REQUEST_TRANSFER),
        other_hello,
        (0..KEYS + 2).prop_map(loaded),
    ];
    prop_oneof![2 => Just(Choice::Next), 1 => event.prop_map(Choice::Any)]
}

fn next_event(predecessor: &Predecessor, caller: &Caller) -> Event {
    match predecessor.phase() {
        Phase::Serving if caller.timer_running => hello(),
        Phase::Serving => Event::Connected,
        Phase::Welcomed => REQUEST_TRANSFER,
        Phase::Transferring => loaded(KEYS),
        Phase::HandedOver => Event::Disconnected,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn any_events_leave_it_serving_frozen_or_handed_over(
        steps in vec((choice(), 0_u8..8), 0..60),
    ) {
        let mut predecessor = Predecessor::new(identity());
        let mut caller = Caller::default();
        for (choice, snapshot_choice) in steps {
            let event = match choice {
                Choice::Next => next_event(&predecessor, &caller),
                Choice::Any(event) => event,
            };
            if event == Event::TimedOut {
                caller.timer_running = false;
            }
            let was_frozen = caller.frozen;
            let actions = predecessor.on_event(event.clone());
            for action in &actions {
                prop_assert_eq!(caller.perform(action), Ok(()), "{:?} of {:?}", action, actions);
            }
            // The snapshot is usually sent immediately, and in 1 of 8 steps not at all.
            if snapshot_choice > 0 {
                predecessor.snapshot_sent(KEYS);
            }
            prop_assert_eq!(caller.commits, caller.hand_overs);
            prop_assert_eq!(caller.frozen, predecessor.phase() == Phase::Transferring);
            prop_assert_eq!(caller.handed_over, predecessor.phase() == Phase::HandedOver);
            let ends_transfer = matches!(event, Event::TimedOut | Event::Disconnected | Event::Received(_));
            prop_assert_eq!(
                was_frozen && ends_transfer && caller.frozen,
                false,
                "still frozen after {:?}",
                event
            );
            let needs_timer = matches!(predecessor.phase(), Phase::Welcomed | Phase::Transferring);
            prop_assert_eq!(needs_timer && !caller.timer_running, false, "no timer after {:?}", event);
            prop_assert_eq!(predecessor.phase() == Phase::HandedOver && caller.timer_running, false);
        }
    }
}
