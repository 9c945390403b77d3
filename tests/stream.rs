//! Plays random streams of events with a fixed seed against a small model of a machine.
mod common;
mod stream_model;

use dunlinspread::{Action, Preemption};
use stream_model::{Kind, Model, SHARED_MS, STEP_MS, STOP_AT};

fn play(seed: u64, kind: Kind) -> Vec<Action> {
    let mut model = Model::new(seed, kind);
    while model.now < STOP_AT {
        model.dispatch_events();
        model.now += STEP_MS;
        if model.now >= STOP_AT {
            break;
        }
        model.step();
    }
    model.check_end();
    model.log
}

#[test]
fn the_rules_hold_on_random_streams() {
    for preemption in [Preemption::Off, Preemption::Abort, Preemption::Suspend] {
        for share in [None, Some(2.0), Some(0.4)] {
            for (shared_result_ttl_ms, cores) in [(0.0, 2.0), (SHARED_MS, 1.0), (SHARED_MS, 8.0)] {
                play(1, Kind { preemption, share, shared_result_ttl_ms, cores });
            }
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let kind =
        Kind { preemption: Preemption::Off, share: Some(2.0), shared_result_ttl_ms: SHARED_MS, cores: 2.0 };
    assert_eq!(play(77, kind), play(77, kind));
}
