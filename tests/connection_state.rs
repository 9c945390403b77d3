//! The life of a connection in any order of what can happen to it: reads, answers, half messages, time, eviction, the
//! notice to leave and the end. A plain record beside it says what is owed and what was told.

use dunlinspread::server::frontend::connection_state::{LEAVE_MS, Life, Step, WHOLE_MS, Wish};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Happens {
    /// A whole request is read, or a message in part.
    Request,
    Half,
    /// The oldest open request is answered.
    Answer,
    /// Time passes, and the list looks.
    Pass(f64),
    /// The program stood still so long, and the list makes that good.
    StoodStill(f64),
    Evict,
    Leave,
    End,
}

fn happenings() -> impl Strategy<Value = Vec<Happens>> {
    let one = prop_oneof![
        5 => Just(Happens::Request),
        2 => Just(Happens::Half),
        5 => Just(Happens::Answer),
        8 => (1.0..1500.0).prop_map(Happens::Pass),
        1 => (500.0..5000.0).prop_map(Happens::StoodStill),
        1 => Just(Happens::Evict),
        1 => Just(Happens::Leave),
        1 => Just(Happens::End),
    ];
    prop::collection::vec(one, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn no_connection_ends_over_what_is_owed_and_none_stays_for_ever(all in happenings(), idle in 20.0..4000.0) {
        let (mut now, mut owed, mut told) = (1000.0, 0u32, false);
        let mut life = Life::new(now);
        let mut wish = Wish { idle_limit: idle, leaving: false, ending: false };
        for happens in all {
            let mut step = Step::Stay;
            match happens {
                Happens::Request if life.takes() => {
                    life.used(now);
                    life.spoke();
                    life.read(false, true);
                    owed += 1;
                }
                Happens::Half if life.takes() => {
                    life.used(now);
                    life.read(true, false);
                }
                Happens::Request | Happens::Half => {}
                Happens::Answer => {
                    owed = owed.saturating_sub(1);
                    life.used(now);
                }
                Happens::Pass(ms) => {
                    now += ms;
                    step = life.look(now, owed > 0, wish);
                }
                Happens::StoodStill(ms) => {
                    now += ms;
                    life.forgive(ms);
                }
                Happens::Evict => {
                    let may = life.missed(now, owed > 0).is_some();
                    prop_assert!(!may || owed == 0 && life.takes(), "evicted over what is owed");
                    if may {
                        life.finish(now);
                    }
                }
                Happens::Leave => wish.leaving = true,
                Happens::End => wish.ending = true,
            }
            match step {
                Step::Tell => {
                    prop_assert!(!told, "told twice");
                    told = true;
                    prop_assert!(life.takes(), "what crosses the word to leave is still served");
                }
                Step::Finish => {
                    prop_assert!(owed == 0 || wish.ending, "ended over {owed} answers");
                    prop_assert!(!life.takes(), "a request is taken on a connection that ends");
                }
                Step::Stay => {}
            }
        }
        // Left alone with nothing owed it ends, however it stood: told once its idle limit is over, and ended after that.
        let limit = now + idle.max(WHOLE_MS) + 2.0 * LEAVE_MS + 100.0;
        while life.takes() && now < limit {
            now += 25.0;
            life.look(now, false, wish);
        }
        prop_assert!(!life.takes(), "it stays for ever");
    }
}
