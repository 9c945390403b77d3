//! Tests of the state machine of a connection under any order of events: reads, responses, partial messages,
//! time, eviction, shutdown and the end of the process. A simple model records the responses owed and whether
//! the client was notified.

use dunlinspread::server::frontend::connection_state::{
    CLOSE_GRACE_MS, CloseCause, ConnectionPolicy, ConnectionState, EVICTION_GRACE_MS, FinishReason,
    MESSAGE_TIMEOUT_MS, MIN_LINGER_MS, ReadProgress, Transition, UNREAD_GRACE_MS,
};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum ConnectionEvent {
    /// A whole request is read.
    Request,
    /// A part of a message is read.
    PartialMessage,
    /// The oldest open request gets its response.
    Response,
    /// Time passes, ms, and the listener then advances the connection.
    TimePasses(f64),
    /// The event loop stalled for this time, ms, which the listener excludes.
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
                    let may_evict = connection.eviction_rank(now, responses_owed > 0).is_some();
                    prop_assert!(!may_evict || responses_owed == 0 && connection.accepts_requests(), "evicted while a response is owed");
                    if may_evict {
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
                    prop_assert!(responses_owed == 0 || policy.finish_all, "closed with {responses_owed} responses owed");
                    prop_assert!(!connection.accepts_requests(), "a request is accepted on a connection that finishes");
                }
                Transition::Stay => {}
            }
        }
        // Without further events and with nothing owed, a connection finishes from any state: it is notified
        // after its idle timeout, and closed after that.
        let limit = now + idle_timeout_ms.max(MESSAGE_TIMEOUT_MS) + 2.0 * CLOSE_GRACE_MS + 100.0;
        while connection.accepts_requests() && now < limit {
            now += 25.0;
            connection.advance(now, false, policy);
        }
        prop_assert!(!connection.accepts_requests(), "the connection stays open indefinitely");
    }
}

/// Asserts that unread bytes hold a connection open for a bounded time, which a stall doesn't shorten and
/// which starts again with each request.
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

/// Asserts that a request that crosses the eviction notice is served, and that the connection finishes after
/// its response and a further grace period.
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

/// Asserts that a client that was notified before its eviction isn't notified again, and that the grace
/// period counts from the first notification.
#[test]
fn a_notified_connection_is_evicted_without_a_further_notification() {
    const EVICTED_AT_MS: f64 = 2.0 * EVICTION_GRACE_MS;
    let mut connection = answered_connection();
    let draining = ConnectionPolicy { notify_all: true, ..SERVING };
    assert_eq!(connection.advance(0.0, false, draining), Transition::NotifyShutdown);
    assert_eq!(connection.evict(EVICTED_AT_MS), Transition::Stay);
    assert_eq!(connection.advance(EVICTED_AT_MS, false, draining), Transition::Finish);
}

/// Asserts that an evicted connection lingers for the minimum time after its last bytes when descriptors are
/// short.
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

/// Guards against a connection closed at the time limit of its first request while the rest of the request is
/// unread. The fault came about when the start of the request was unread at an eviction attempt and read
/// afterwards: the grace period that the eviction began was then counted against the time limit.
#[test]
fn what_was_unread_at_an_eviction_takes_nothing_of_the_grace_at_a_time_limit() {
    const UNREAD_AT_MS: f64 = 100.0;
    let mut connection = ConnectionState::new(0.0);
    assert!(connection.hold_open_for_unread_bytes(UNREAD_AT_MS, CloseCause::Eviction));
    connection.record_activity(UNREAD_AT_MS);
    connection.record_read(ReadProgress { completed_message: false, ends_in_partial_message: true });
    assert!(connection.would_finish(MESSAGE_TIMEOUT_MS, false, SERVING));
    assert!(connection.hold_open_for_unread_bytes(MESSAGE_TIMEOUT_MS, CloseCause::TimeLimit));
    assert!(
        !connection.hold_open_for_unread_bytes(MESSAGE_TIMEOUT_MS, CloseCause::Eviction),
        "held open without limit"
    );
    let end_ms = MESSAGE_TIMEOUT_MS + UNREAD_GRACE_MS;
    assert!(!connection.hold_open_for_unread_bytes(end_ms, CloseCause::TimeLimit), "held open without limit");
}
