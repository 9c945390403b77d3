//! State machine of the successor: each transition of its state table, and arbitrary sequences of events.

mod successor_caller;

use dunlinspread_handover::{
    COMMIT_TIMEOUT_MS, ConnectionFailure, FIRST_RECONNECT_MS, GiveUpReason, MAX_RECONNECTS, PROTOCOL_VERSION,
    RefuseReason, SNAPSHOT_TIMEOUT_MS, ServerIdentity, Successor, SuccessorAction as Action,
    SuccessorEvent as Event, SuccessorInput as Input, SuccessorPhase as Phase, WELCOME_TIMEOUT_MS,
};
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use successor_caller::Caller;

const KEYS: u64 = 3;

const WELCOME: Event = Event::Received(Input::Welcome { version: PROTOCOL_VERSION });
const PIECE: Event = Event::Received(Input::Keys { count: KEYS });
const SNAPSHOT_END: Event = Event::Received(Input::SnapshotEnd { keys: KEYS });
const COMMIT: Event = Event::Received(Input::Commit);

fn refuse(reason: RefuseReason) -> Event {
    Event::Received(Input::Refuse { reason })
}

fn reconnect() -> Action {
    Action::Reconnect { after_ms: FIRST_RECONNECT_MS }
}

fn new_successor() -> Successor {
    Successor::new(ServerIdentity { name: "s".into(), classes: vec!["c".into()], tenants: Vec::new() })
}

/// Returns a successor that has processed these events.
fn successor_after(events: &[Event]) -> Successor {
    let mut successor = new_successor();
    for event in events {
        successor.on_event(event.clone());
    }
    successor
}

fn successor_in(phase: Phase) -> Successor {
    let events =
        [Event::Connected, WELCOME, Event::CanServe, PIECE, SNAPSHOT_END, COMMIT, Event::Disconnected];
    let other_version = Event::Received(Input::Welcome { version: PROTOCOL_VERSION + 1 });
    let successor = match phase {
        Phase::Connecting => successor_after(&[]),
        Phase::AwaitingWelcome => successor_after(&events[..1]),
        Phase::Welcomed => successor_after(&events[..2]),
        Phase::Loading => successor_after(&events[..4]),
        Phase::AwaitingCommit => successor_after(&events[..5]),
        Phase::Owner => successor_after(&events[..6]),
        Phase::PredecessorEnded => successor_after(&events[..7]),
        Phase::GivenUp => successor_after(&[Event::Connected, other_version]),
    };
    assert_eq!(successor.phase(), phase);
    successor
}

/// Asserts the actions that an event causes and the phase after it, and returns the successor.
fn assert_transition(mut successor: Successor, event: Event, actions: &[Action], phase: Phase) -> Successor {
    assert_eq!(successor.on_event(event.clone()), actions, "{event:?}");
    assert_eq!(successor.phase(), phase, "{event:?}");
    successor
}

#[test]
fn a_handover_goes_its_way() {
    let timer = |ms| Action::StartTimer { ms };
    let hello = [Action::SendHello, timer(WELCOME_TIMEOUT_MS)];
    let linked = assert_transition(new_successor(), Event::Connected, &hello, Phase::AwaitingWelcome);
    let welcomed = assert_transition(linked, WELCOME, &[Action::StopTimer], Phase::Welcomed);
    let request = [Action::SendRequestTransfer, timer(SNAPSHOT_TIMEOUT_MS)];
    let loading = assert_transition(welcomed, Event::CanServe, &request, Phase::Loading);
    let loading = assert_transition(loading, PIECE, &[Action::LoadKeys], Phase::Loading);
    let loading = assert_transition(loading, PIECE, &[Action::LoadKeys], Phase::Loading);
    let end = Event::Received(Input::SnapshotEnd { keys: 2 * KEYS });
    let confirm = [Action::SendLoaded { keys: 2 * KEYS }, timer(COMMIT_TIMEOUT_MS)];
    let loaded = assert_transition(loading, end, &confirm, Phase::AwaitingCommit);
    let own = [Action::StopTimer, Action::BecomeOwner];
    let owner = assert_transition(loaded, COMMIT, &own, Phase::Owner);
    let ended =
        assert_transition(owner, Event::Disconnected, &[Action::PredecessorGone], Phase::PredecessorEnded);
    assert_transition(ended, Event::Disconnected, &[], Phase::PredecessorEnded);
}

#[test]
fn the_worker_pool_may_be_there_before_the_predecessor() {
    for events in [[Event::CanServe, Event::Connected], [Event::Connected, Event::CanServe]] {
        let request = [Action::SendRequestTransfer, Action::StartTimer { ms: SNAPSHOT_TIMEOUT_MS }];
        assert_transition(successor_after(&events), WELCOME, &request, Phase::Loading);
    }
    // `CanServe` remains valid for later links.
    let events = [Event::Connected, WELCOME, Event::CanServe, PIECE, Event::Disconnected, Event::Connected];
    let request = [Action::SendRequestTransfer, Action::StartTimer { ms: SNAPSHOT_TIMEOUT_MS }];
    assert_transition(successor_after(&events), WELCOME, &request, Phase::Loading);
}

#[test]
fn an_empty_snapshot_is_whole() {
    let loading = successor_after(&[Event::Connected, WELCOME, Event::CanServe]);
    let end = Event::Received(Input::SnapshotEnd { keys: 0 });
    let confirm = [Action::SendLoaded { keys: 0 }, Action::StartTimer { ms: COMMIT_TIMEOUT_MS }];
    assert_transition(loading, end, &confirm, Phase::AwaitingCommit);
}

#[test]
fn another_version_or_identity_ends_it() {
    let other_version = Event::Received(Input::Welcome { version: PROTOCOL_VERSION + 1 });
    let cases = [
        (other_version, GiveUpReason::OtherVersion),
        (refuse(RefuseReason::OtherVersion), GiveUpReason::OtherVersion),
        (refuse(RefuseReason::OtherIdentity), GiveUpReason::OtherIdentity),
    ];
    for (event, reason) in cases {
        let actions = [Action::Disconnect, Action::StopTimer, Action::GiveUp(reason)];
        assert_transition(successor_in(Phase::AwaitingWelcome), event, &actions, Phase::GivenUp);
    }
}

#[test]
fn a_link_that_fails_before_the_commit_leaves_nothing() {
    let close = [Action::Disconnect, Action::StopTimer, reconnect()];
    let ended = [Action::StopTimer, reconnect()];
    let discard_and_close = [Action::DiscardKeys, Action::Disconnect, Action::StopTimer, reconnect()];
    let discard = [Action::DiscardKeys, Action::StopTimer, reconnect()];
    let wrong_count = Event::Received(Input::SnapshotEnd { keys: KEYS + 1 });
    let cases: [(Phase, Event, &[Action]); 18] = [
        (Phase::Connecting, Event::Disconnected, &[reconnect()]),
        (Phase::AwaitingWelcome, Event::Disconnected, &ended),
        (Phase::AwaitingWelcome, Event::TimedOut, &close),
        (Phase::AwaitingWelcome, refuse(RefuseReason::Busy), &close),
        (Phase::AwaitingWelcome, refuse(RefuseReason::ShuttingDown), &close),
        (Phase::AwaitingWelcome, PIECE, &close),
        (Phase::AwaitingWelcome, COMMIT, &close),
        (Phase::Welcomed, Event::Disconnected, &ended),
        (Phase::Welcomed, PIECE, &close),
        (Phase::Welcomed, WELCOME, &close),
        (Phase::Loading, Event::Disconnected, &discard),
        (Phase::Loading, Event::TimedOut, &discard_and_close),
        (Phase::Loading, COMMIT, &discard_and_close),
        (Phase::Loading, wrong_count, &discard_and_close),
        (Phase::AwaitingCommit, Event::Disconnected, &discard),
        (Phase::AwaitingCommit, Event::TimedOut, &discard_and_close),
        (Phase::AwaitingCommit, PIECE, &discard_and_close),
        (Phase::AwaitingCommit, refuse(RefuseReason::OtherVersion), &discard_and_close),
    ];
    for (phase, event, actions) in cases {
        assert_transition(successor_in(phase), event, actions, Phase::Connecting);
    }
}

#[test]
fn events_out_of_place_change_nothing() {
    for phase in [Phase::Owner, Phase::PredecessorEnded] {
        let events =
            [Event::Connected, Event::TimedOut, Event::CanServe, WELCOME, PIECE, SNAPSHOT_END, COMMIT];
        for event in events {
            assert_transition(successor_in(phase), event, &[], phase);
        }
    }
    for phase in [Phase::Connecting, Phase::Welcomed] {
        assert_transition(successor_in(phase), Event::TimedOut, &[], phase);
    }
    assert_transition(successor_in(Phase::Connecting), PIECE, &[Action::Disconnect], Phase::Connecting);
    for event in [Event::Connected, WELCOME, COMMIT] {
        assert_transition(successor_in(Phase::GivenUp), event, &[Action::Disconnect], Phase::GivenUp);
    }
    for event in [Event::Disconnected, Event::TimedOut, Event::CanServe] {
        assert_transition(successor_in(Phase::GivenUp), event, &[], Phase::GivenUp);
    }
}

#[test]
fn it_connects_anew_a_bounded_number_of_times() {
    let mut successor = new_successor();
    let mut delays = Vec::new();
    for _ in 0..MAX_RECONNECTS {
        match successor.on_event(Event::Disconnected).as_slice() {
            [Action::Reconnect { after_ms }] => delays.push(*after_ms),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(delays, [50, 100, 200, 400, 800]);
    let reason = GiveUpReason::RetriesExhausted(ConnectionFailure::NoLink);
    let given_up =
        assert_transition(successor, Event::Disconnected, &[Action::GiveUp(reason)], Phase::GivenUp);
    assert_transition(given_up, Event::Disconnected, &[], Phase::GivenUp);
}

/// An event: the next one of a successful handover, or an arbitrary one.
#[derive(Clone, Debug)]
enum Choice {
    Next,
    Any(Event),
}

fn choice() -> impl Strategy<Value = Choice> {
    let version = prop_oneof![4 => Just(PROTOCOL_VERSION), 1 => any::<u32>()];
    let reason = prop_oneof![
        Just(RefuseReason::Busy),
        Just(RefuseReason::ShuttingDown),
        Just(RefuseReason::OtherVersion),
        Just(RefuseReason::OtherIdentity),
    ];
    let event = prop_oneof![
        2 => Just(Event::Connected),
        2 => Just(Event::CanServe),
        2 => Just(Event::Disconnected),
        2 => Just(Event::TimedOut),
        1 => version.prop_map(|version| Event::Received(Input::Welcome { version })),
        1 => reason.prop_map(refuse),
        3 => (0..KEYS).prop_map(|count| Event::Received(Input::Keys { count })),
        1 => Just(Event::Received(Input::Keys { count: u64::MAX })),
        1 => (0..2 * KEYS).prop_map(|keys| Event::Received(Input::SnapshotEnd { keys })),
        1 => Just(COMMIT),
    ];
    prop_oneof![2 => Just(Choice::Next), 1 => event.prop_map(Choice::Any)]
}

fn next_event(successor: &Successor, caller: &Caller) -> Event {
    match successor.phase() {
        Phase::Connecting | Phase::GivenUp => Event::Connected,
        Phase::AwaitingWelcome => WELCOME,
        Phase::Welcomed => Event::CanServe,
        Phase::Loading => Event::Received(Input::SnapshotEnd { keys: caller.received }),
        Phase::AwaitingCommit => COMMIT,
        Phase::Owner | Phase::PredecessorEnded => Event::Disconnected,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn any_events_make_it_an_owner_of_the_whole_table_or_none(choices in vec(choice(), 0..60)) {
        let mut successor = new_successor();
        let mut caller = Caller::default();
        for choice in choices {
            let event = match choice {
                Choice::Next => next_event(&successor, &caller),
                Choice::Any(event) => event,
            };
            caller.record_event(&event);
            let actions = successor.on_event(event.clone());
            for action in &actions {
                prop_assert_eq!(caller.perform(&event, action), Ok(()), "{:?} of {:?}", action, actions);
            }
            prop_assert_eq!(caller.check_phase(successor.phase()), Ok(()), "{:?} after {:?}", actions, event);
        }
    }
}
