//! The rules that hold in all behaviors of the model.

use super::server::Progress;
use super::system::{RequestModel, System};
use dunlinspread::server::worker_pool::Delivery;
use stateright::Property;

pub const NO_WRONG_REPLY: &str = "no run takes the reply to another of its calls";
pub const AT_MOST_ONE_RUN: &str = "a request that is not idempotent runs at most once";
const ALL_DELIVERED_CARRIED_OUT: &str = "a command that counts as delivered was carried out";
const NOTHING_UNWRITTEN_CARRIED_OUT: &str = "a command that counts as not written was not carried out";
pub const ENDS_WITHOUT_FURTHER_BREAKS: &str = "the run ends if the link does not break again";

pub fn properties() -> Vec<Property<RequestModel>> {
    vec![
        Property::always(NO_WRONG_REPLY, |_, state: &System| !state.pool.took_wrong_reply),
        Property::always(AT_MOST_ONE_RUN, |model: &RequestModel, state: &System| {
            model.kind.is_idempotent || state.pool.runs_started <= 1
        }),
        Property::always(ALL_DELIVERED_CARRIED_OUT, |_, state: &System| {
            sent_numbers(state, Delivery::Delivered).all(|number| state.pool.carried_out.contains(&number))
        }),
        Property::always(NOTHING_UNWRITTEN_CARRIED_OUT, |_, state: &System| {
            sent_numbers(state, Delivery::NotWritten).all(|number| !state.pool.carried_out.contains(&number))
        }),
        Property::always(ENDS_WITHOUT_FURTHER_BREAKS, |_, state: &System| {
            !state.is_settled() || state.server.progress == Progress::Ended
        }),
    ]
}

/// Returns the numbers of the commands that were sent on a link that ended, and have this delivery now.
fn sent_numbers(state: &System, expected: Delivery) -> impl Iterator<Item = u64> {
    let deliveries = state.server.unconfirmed.iter().map(|(_, delivery)| *delivery);
    let ended = deliveries.filter(|_| !state.server.is_linked);
    ended.filter_map(move |delivery| match delivery {
        Delivery::Sent(number) if state.server.tracker.after_link_end(delivery) == expected => Some(number),
        _ => None,
    })
}
