//! The state machine of a connection under any order of events: reads, responses, partial messages, time, eviction,
//! shutdown and the end of the process. A plain model beside it records what is owed and what was notified.

use dunlinspread::server::frontend::connection_state::{
    CLOSE_GRACE_MS, CloseCause, ConnectionPolicy, ConnectionState, EVICTION_GRACE_MS, FinishReason,
    MESSAGE_TIMEOUT_MS, MIN_LINGER_MS, ReadProgress, Transition, UNREAD_GRACE_MS,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum ConnectionEvent {
    /// A whole request is read, or a part of a message.
    Request,
    PartialMessage,
    /// The oldest open request gets its response.
    Response,
    /// Time passes, and the listener sweeps.
    TimePasses(f64),
    /// The event loop stalled for so long, and the listener excludes that time.
    Stall(f64),
    Evict,
    ServerDrains,
    ProcessEnds,
}

fn connection_events() -> impl Strategy<Value = Vec<ConnectionEvent>> {
    let one = prop_oneof![
        5 => Just(ConnectionEvent::Request),
        2 => Just(ConnectionEvent::PartialMessage),
        5 => Just(ConnectionEvent::Response),
        8 => (1.0..1500.0).prop_map(ConnectionEvent::TimePasses),
        1 => (500.0..5000.0).prop_map(ConnectionEvent::Stall),
        1 => Just(ConnectionEvent::Evict),
        1 => Just(ConnectionEvent::ServerDrains),
        1 => Just(ConnectionEvent::ProcessEnds),
    ];
    prop::collection::vec(one, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn no_connection_closes_while_a_response_is_owed_and_none_stays_open_for_ever(all in connection_events(), idle_timeout_ms in 20.0..4000.0) {
        let (mut now, mut responses_owed, mut notified) = (1000.0, 0u32, false);
        let mut connection = ConnectionState::new(now);
        let mut policy =
            ConnectionPolicy { idle_timeout_ms, notify_all: false, finish_all: false };
        for event in all {
            let mut transition = Transition::Stay;
            match event {
                ConnectionEvent::Request if connection.accepts_requests() => {
                    connection.record_activity(now);
                    connection.record_request();
                    connection.record_read(ReadProgress { completed_message: true, ends_in_partial_message: false });
                    responses_owed += 1;
                }
                ConnectionEvent::PartialMessage if connection.accepts_requests() => {
                    connection.record_activity(now);
                    connection.record_read(ReadProgress { completed_message: false, ends_in_partial_message: true });
                }
                ConnectionEvent::Request | ConnectionEvent::PartialMessage => {}
                ConnectionEvent::Response => {
                    responses_owed = responses_owed.saturating_sub(1);
                    connection.record_activity(now);
                }
                ConnectionEvent::TimePasses(ms) => {
                    now += ms;
                    transition = connection.advance(now, responses_owed > 0, policy);
                }
                ConnectionEvent::Stall(ms) => {
                    now += ms;
                    connection.exclude_stall(ms);
                }
                ConnectionEvent::Evict => {
                    let may = connection.eviction_rank(now, responses_owed > 0).is_some();
                    prop_assert!(!may || responses_owed == 0 && connection.accepts_requests(), "evicted while a response is owed");
                    if may {
                        transition = connection.evict(now);
                        prop_assert!(connection.accepts_requests(), "a request that crosses an eviction is not accepted");
                        prop_assert!(connection.eviction_rank(now, false).is_none(), "evicted twice");
                    }
                }
                ConnectionEvent::ServerDrains => policy.notify_all = true,
                ConnectionEvent::ProcessEnds => policy.finish_all = true,
            }
            match transition {
                Transition::NotifyShutdown => {
                    prop_assert!(!notified, "notified twice");
                    notified = true;
                    prop_assert!(connection.accepts_requests(), "a request that crosses the notification is not accepted");
                }
                Transition::Finish => {
                    prop_assert!(responses_owed == 0 || policy.finish_all, "closed over {responses_owed} responses");
                    prop_assert!(!connection.accepts_requests(), "a request is accepted on a connection that finishes");
                }
                Transition::Stay => {}
            }
        }
        // Left alone with nothing owed it finishes from any state: notified after its idle timeout, and closed after that.
        let limit = now + idle_timeout_ms.max(MESSAGE_TIMEOUT_MS) + 2.0 * CLOSE_GRACE_MS + 100.0;
        while connection.accepts_requests() && now < limit {
            now += 25.0;
            connection.advance(now, false, policy);
        }
        prop_assert!(!connection.accepts_requests(), "it stays open for ever");
    }
}

/// Unread bytes hold a connection open for a bounded time, which a stall doesn't shorten and a request begins anew.
#[test]
fn unread_bytes_hold_a_connection_open_until_the_grace_is_over() {
    const STALL_MS: f64 = 700.0;
    let mut connection = ConnectionState::new(0.0);
    assert!(connection.hold_open_for_unread_bytes(0.0, CloseCause::TimeLimit));
    connection.exclude_stall(STALL_MS);
    assert!(connection.hold_open_for_unread_bytes(STALL_MS + UNREAD_GRACE_MS - 1.0, CloseCause::TimeLimit));
    assert!(!connection.hold_open_for_unread_bytes(STALL_MS + UNREAD_GRACE_MS, CloseCause::TimeLimit));
    connection.record_read(ReadProgress { completed_message: true, ends_in_partial_message: false });
    assert!(
        !connection.hold_open_for_unread_bytes(STALL_MS + UNREAD_GRACE_MS, CloseCause::TimeLimit),
        "no request was read"
    );
    connection.record_request();
    assert!(connection.hold_open_for_unread_bytes(STALL_MS + UNREAD_GRACE_MS, CloseCause::TimeLimit));
}

/// The policy of a server that serves, with an idle timeout that is not reached.
const SERVING: ConnectionPolicy =
    ConnectionPolicy { idle_timeout_ms: f64::INFINITY, notify_all: false, finish_all: false };

/// Returns the state of a connection that has sent a request, which was answered at time 0.
fn answered_connection() -> ConnectionState {
    let mut connection = ConnectionState::new(0.0);
    connection.record_request();
    connection
}

/// What crosses the notification of an eviction is served, and the connection finishes once that was answered.
#[test]
fn an_evicted_connection_is_served_until_its_grace_is_over() {
    const SENT_AT_MS: f64 = EVICTION_GRACE_MS - 1.0;
    const ANSWERED_AT_MS: f64 = 20.0 * EVICTION_GRACE_MS;
    let mut connection = answered_connection();
    assert_eq!(connection.evict(0.0), Transition::NotifyShutdown);
    assert_eq!(connection.advance(SENT_AT_MS, false, SERVING), Transition::Stay);
    assert!(connection.accepts_requests() && connection.is_leaving());
    connection.record_request();
    assert_eq!(connection.advance(ANSWERED_AT_MS, true, SERVING), Transition::Stay);
    let finishes_at_ms = ANSWERED_AT_MS + EVICTION_GRACE_MS;
    assert_eq!(connection.advance(finishes_at_ms - 1.0, false, SERVING), Transition::Stay);
    assert_eq!(connection.advance(finishes_at_ms, false, SERVING), Transition::Finish);
    assert_eq!(connection.finishing_since(), Some((finishes_at_ms, FinishReason::Evicted)));
}

/// A client that was notified before it is evicted isn't notified again, and the time since then counts.
#[test]
fn a_notified_connection_is_evicted_without_a_further_notification() {
    const EVICTED_AT_MS: f64 = 2.0 * EVICTION_GRACE_MS;
    let mut connection = answered_connection();
    let draining = ConnectionPolicy { notify_all: true, ..SERVING };
    assert_eq!(connection.advance(0.0, false, draining), Transition::NotifyShutdown);
    assert_eq!(connection.evict(EVICTED_AT_MS), Transition::Stay);
    assert_eq!(connection.advance(EVICTED_AT_MS, false, draining), Transition::Finish);
}

/// Where descriptors are short, an evicted connection is kept for as long after its last bytes as any other after its end.
#[test]
fn an_evicted_connection_lingers_from_its_last_bytes() {
    let mut silent = answered_connection();
    silent.evict(0.0);
    silent.advance(EVICTION_GRACE_MS, false, SERVING);
    assert!(silent.may_stop_lingering(EVICTION_GRACE_MS));
    let mut served = answered_connection();
    served.evict(0.0);
    let last_bytes_at_ms = EVICTION_GRACE_MS - 1.0;
    served.record_activity(last_bytes_at_ms);
    served.advance(EVICTION_GRACE_MS, false, SERVING);
    assert!(!served.may_stop_lingering(last_bytes_at_ms + MIN_LINGER_MS - 1.0));
    assert!(served.may_stop_lingering(last_bytes_at_ms + MIN_LINGER_MS));
}

/// Guards against a close over the rest of a first request at its time limit, where its beginning was unread, and then read,
/// as the connection was to make room.
#[test]
fn what_was_unread_at_an_eviction_takes_nothing_of_the_grace_at_a_time_limit() {
    const FOUND_AT_MS: f64 = 100.0;
    let mut connection = ConnectionState::new(0.0);
    assert!(connection.hold_open_for_unread_bytes(FOUND_AT_MS, CloseCause::Eviction));
    connection.record_activity(FOUND_AT_MS);
    connection.record_read(ReadProgress { completed_message: false, ends_in_partial_message: true });
    assert!(connection.would_finish(MESSAGE_TIMEOUT_MS, false, SERVING));
    assert!(connection.hold_open_for_unread_bytes(MESSAGE_TIMEOUT_MS, CloseCause::TimeLimit));
    assert!(
        !connection.hold_open_for_unread_bytes(MESSAGE_TIMEOUT_MS, CloseCause::Eviction),
        "held for good"
    );
    let end_ms = MESSAGE_TIMEOUT_MS + UNREAD_GRACE_MS;
    assert!(!connection.hold_open_for_unread_bytes(end_ms, CloseCause::TimeLimit), "held for good");
}
