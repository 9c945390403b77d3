//! End-to-end tests of a publisher, two levels of relays and subscribers over real sockets.

mod net_support;

use dunlinspread_config_sync::net::ProposeFailure;
use dunlinspread_config_sync::net::{PublisherNode, RelayNode};
use dunlinspread_config_sync::publisher::ProposeError;
use dunlinspread_config_sync::resource::Key;
use net_support::{
    Lines, Refusing, Subscribers, class, client_settings, publisher, relay, route, server, tenant, wait_until,
};

const SUBSCRIBERS: usize = 24;
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

struct Fleet {
    log: Lines,
    publisher: PublisherNode,
    /// The region's relay, followed by one relay per zone.
    relays: Vec<RelayNode>,
    subscribers: Subscribers,
    _store: tempfile::TempDir,
}

fn fleet(refusing: &'static str) -> Fleet {
    let log = Lines::default();
    let store = tempfile::tempdir().expect("a directory");
    let publisher = publisher(store.path(), &log);
    let upstream = vec![server("publisher", publisher.address(), None)];
    let mut relays = vec![relay("region", "zone-a", upstream, &log)];
    let region = server("region", relays[0].address(), None);
    let mut servers = Vec::new();
    for zone in ZONES {
        let name = format!("relay-{zone}");
        relays.push(relay(&name, zone, vec![region.clone()], &log));
        servers.push(server(&name, relays[relays.len() - 1].address(), Some(zone)));
    }
    servers.push(region);
    let head = publisher.head();
    wait_until("the relays serve", || relays.iter().all(|relay| relay.head() == head));
    let mut subscribers = Subscribers::new();
    for at in 0..SUBSCRIBERS {
        let settings = client_settings(&format!("subscriber-{at}"), ZONES[at % 2], servers.clone());
        // Only the first subscriber refuses the tenant that the test names.
        subscribers.add(settings, Box::new(Refusing(if at == 0 { refusing } else { "" })), &log);
    }
    Fleet { log, publisher, relays, subscribers, _store: store }
}

#[test]
fn changes_come_in_force_everywhere_and_progress_comes_back() {
    let fleet = fleet("nothing");
    let mut last = fleet.publisher.propose(vec![class("gold", 4), route("get", "gold")]).expect("accepted");
    for at in 0..50 {
        last = fleet.publisher.propose(vec![tenant(&format!("t{at}"), at)]).expect("accepted");
    }
    wait_until("all in force", || fleet.subscribers.are_at(last));
    let digest = fleet.publisher.status().digest;
    for in_force in &fleet.subscribers.in_force {
        assert_eq!(in_force.table().digest(), digest);
        assert_eq!(in_force.regressions(), 0);
    }
    wait_until("progress of both zones", || {
        let zones = fleet.publisher.progress();
        zones.len() == 2 && zones.iter().all(|zone| zone.least == last && zone.subscribers == 12)
    });
    // Each subscriber ends at its own zone's relay; one that first connected elsewhere returns.
    for relay in &fleet.relays[1..] {
        wait_until("subscribers at their zone's relay", || relay.status().sessions == SUBSCRIBERS / 2);
    }
    wait_until("only relays at the region's relay", || fleet.relays[0].status().sessions == 2);
    assert_eq!(fleet.publisher.status().sessions, 1);
    assert_eq!(fleet.log.count("bad frame"), 0, "{:?}", fleet.log.all());
}

#[test]
fn a_refused_change_stays_out_in_one_subscriber_and_is_reported() {
    let fleet = fleet("odd");
    // Later changes arrive as deltas. If the first snapshot were refused, nothing would come in force.
    let first = fleet.publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    wait_until("all in force", || fleet.subscribers.are_at(first));
    fleet.publisher.propose(vec![tenant("odd", 1)]).expect("accepted");
    let last = fleet.publisher.propose(vec![tenant("even", 2)]).expect("accepted");
    wait_until("all in force", || fleet.subscribers.are_at(last));
    let has_odd =
        |at: usize| fleet.subscribers.in_force[at].table().get(&Key::Tenant("odd".into())).is_some();
    assert!(!has_odd(0));
    assert!((1..SUBSCRIBERS).all(has_odd));
    let mut refusals = Vec::new();
    wait_until("the refusal", || {
        refusals.extend(fleet.publisher.take_refusals());
        !refusals.is_empty()
    });
    assert_eq!((&*refusals[0].member, &*refusals[0].reason), ("subscriber-0", "no odd here"));
    wait_until("the count of refusing subscribers", || {
        fleet.publisher.progress().iter().map(|zone| zone.refusing).sum::<u32>() == 1
    });
    assert_eq!(fleet.subscribers.handles[0].status().held_back, 1);
}

#[test]
fn what_the_publisher_refuses_is_told_to_nobody() {
    let fleet = fleet("nothing");
    let last = fleet.publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let unchanged = fleet.publisher.propose(vec![tenant("a", 1)]);
    assert_eq!(unchanged, Err(ProposeFailure::Refused(ProposeError::NoChange)));
    let unknown_class = fleet.publisher.propose(vec![route("get", "no such class")]);
    assert!(
        matches!(unknown_class, Err(ProposeFailure::Refused(ProposeError::Invalid(_)))),
        "{unknown_class:?}"
    );
    wait_until("all in force", || fleet.subscribers.are_at(last));
    assert_eq!(fleet.publisher.head(), last);
}

#[test]
fn subscribers_move_when_their_relay_is_lost() {
    let mut fleet = fleet("nothing");
    let first = fleet.publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    wait_until("all in force", || fleet.subscribers.are_at(first));
    // Zone b's relay stops; its subscribers connect to another server.
    drop(fleet.relays.pop());
    let last = fleet.publisher.propose(vec![tenant("b", 2)]).expect("accepted");
    wait_until("all in force after the loss of the relay", || fleet.subscribers.are_at(last));
    wait_until("progress of both zones", || {
        let zones = fleet.publisher.progress();
        zones.len() == 2 && zones.iter().all(|zone| zone.least == last && zone.subscribers == 12)
    });
    assert!(fleet.subscribers.in_force.iter().all(|in_force| in_force.regressions() == 0));
}

#[test]
fn all_learn_that_they_have_all_there_is() {
    let fleet = fleet("nothing");
    let last = fleet.publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    wait_until("all in force", || fleet.subscribers.are_at(last));
    let digest = fleet.publisher.status().digest;
    wait_until("equal digests", || {
        fleet.subscribers.handles.iter().all(|handle| handle.status().digest == digest)
    });
    wait_until("all subscribers report that their state is current", || {
        fleet.subscribers.handles.iter().all(|handle| handle.age_ms().is_some_and(|age| age < 5_000))
    });
}

#[test]
fn a_relay_that_is_cut_off_goes_on_serving_what_it_has() {
    let log = Lines::default();
    let store = tempfile::tempdir().expect("a directory");
    let publisher = publisher(store.path(), &log);
    let region = relay("region", "zone-a", vec![server("publisher", publisher.address(), None)], &log);
    let last = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    wait_until("the relay has the change", || region.head() == last);
    drop(publisher);
    let mut subscribers = Subscribers::new();
    let servers = vec![server("region", region.address(), None)];
    subscribers.add(client_settings("late", "zone-a", servers), Box::new(Refusing("")), &log);
    wait_until("in force", || subscribers.are_at(last));
    wait_until("the relay reports progress", || region.progress().iter().any(|zone| zone.least == last));
}
