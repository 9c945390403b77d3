//! Model of one request over the real `DeliveryTracker` and `redelivery`, beside a worker pool as hard as the
//! protocol allows. The link may break at any time; the worker pool then still carries out any part of the
//! commands that it has received, and loses the rest. Its runs go on in between, and it may start a second run
//! of a request whose run has ended.
//!
//! With the rule that sends all unconfirmed commands again, the model finds a reply that reaches another call,
//! and a second run of a request that must not run twice.

mod redelivery_support;

use dunlinspread::server::worker_pool::redelivery;
use redelivery_support::{
    AT_MOST_ONE_RUN, ENDS_WITHOUT_FURTHER_BREAKS, NO_WRONG_REPLY, RequestKind, RequestModel, send_again,
};
use stateright::{Checker, Model};

/// Number of upstream calls with which a reply can reach another call.
const CALLS: u64 = 2;
const REPEATABLE: RequestKind = RequestKind { is_idempotent: true, may_skip_calls: true, calls: CALLS };
const KEYED: RequestKind = RequestKind { is_idempotent: false, may_skip_calls: false, calls: CALLS };
const KEYED_WITHOUT_CALLS: RequestKind = RequestKind { calls: 0, ..KEYED };

/// Runs the model, and returns the names of the rules that are broken in some behavior.
fn broken_rules(model: RequestModel) -> Vec<&'static str> {
    let checker = model.checker().threads(1).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    let mut broken: Vec<_> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    broken
}

#[test]
fn commands_of_a_repeatable_request_do_no_harm_and_it_ends() {
    let broken = broken_rules(RequestModel { kind: REPEATABLE, rule: redelivery });
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn commands_of_a_keyed_request_do_no_harm() {
    for kind in [KEYED, KEYED_WITHOUT_CALLS] {
        let broken = broken_rules(RequestModel { kind, rule: redelivery });
        // Without a second start or reply, a run whose command was lost does not end.
        assert_eq!(broken, [ENDS_WITHOUT_FURTHER_BREAKS], "{kind:?}");
    }
}

/// Guards the model itself: it has to find the faults of the earlier rule.
#[test]
fn sending_all_commands_again_is_found_to_do_harm() {
    let broken = broken_rules(RequestModel { kind: KEYED, rule: send_again });
    assert_eq!(broken, [NO_WRONG_REPLY]);
    let broken = broken_rules(RequestModel { kind: KEYED_WITHOUT_CALLS, rule: send_again });
    assert_eq!(broken, [AT_MOST_ONE_RUN]);
}
