//! The follower's choice of server, its reasons to leave one, and the age of its state.

mod client_support;

use client_support::{Driver, History, at, member, server};
use dunlinspread_config_sync::backoff::BackoffSettings;
use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::follower::{DisconnectReason, FollowerEvent, FollowerSettings};
use dunlinspread_config_sync::message::ToClient;
use dunlinspread_config_sync::resource::Position;
use dunlinspread_config_sync::selection::ranked;

fn servers() -> Vec<Server> {
    vec![
        server("zone-1", Some("a1"), "a"),
        server("zone-2", Some("a1"), "a"),
        server("region", None, "a"),
        server("far", None, "b"),
    ]
}

fn settings() -> FollowerSettings {
    FollowerSettings::new(member("server-1", "a1", "a"), servers(), 7)
}

fn order() -> Vec<String> {
    let settings = settings();
    ranked(&settings.member, &settings.servers).iter().map(|server| server.name.to_string()).collect()
}

fn history() -> History {
    let mut history = History::new(1);
    history.grow(10);
    history
}

fn driver(history: &History) -> Driver {
    Driver::with_state(settings(), history.position, history.table.clone())
}

#[test]
fn servers_that_do_not_answer_are_tried_in_order_again_and_again() {
    let mut driver = driver(&history());
    let expected: Vec<String> = order().into_iter().cycle().take(10).collect();
    for name in expected {
        assert_eq!(driver.next_attempt(), name);
        let failed_at = driver.now;
        driver.event(FollowerEvent::ConnectFailed);
        assert!(driver.follower.deadline() <= failed_at + BackoffSettings::default().cap_ms);
    }
}

#[test]
fn a_connection_that_is_not_made_in_time_is_given_up() {
    let mut driver = driver(&history());
    driver.next_attempt();
    assert_eq!(driver.follower.deadline(), 1_500);
    driver.tick_at(1_499);
    assert_eq!(driver.left(), None);
    driver.tick_at(1_500);
    assert_eq!(driver.left(), Some(DisconnectReason::ConnectLimit(1_500)));
    assert_eq!(driver.next_attempt(), order()[1]);
}

#[test]
fn a_lost_session_goes_on_at_the_next_nearest_server() {
    let history = history();
    let mut driver = driver(&history);
    assert_eq!(driver.accept(), order()[0]);
    driver.receive(history.heartbeat());
    driver.event(FollowerEvent::Disconnected);
    assert_eq!(driver.accept(), order()[1]);
    driver.receive(history.heartbeat());
    driver.event(FollowerEvent::Disconnected);
    assert_eq!(driver.accept(), order()[0], "the nearest server is tried again after another one was lost");
}

#[test]
fn a_server_that_is_behind_is_left_and_never_followed() {
    let history = history();
    let behind = [
        ToClient::Heartbeat { head: at(1, 9), age_ms: 0 },
        ToClient::Heartbeat { head: at(0, 99), age_ms: 0 },
        ToClient::Resync { head: at(1, 9) },
        ToClient::Resync { head: Position::default() },
    ];
    for message in behind {
        let mut driver = driver(&history);
        driver.accept();
        driver.receive(message);
        assert!(matches!(driver.left(), Some(DisconnectReason::ServerBehind { .. })));
        assert!(!driver.follower.is_open());
        assert_eq!(driver.follower.position(), history.position);
        assert_eq!(driver.next_attempt(), order()[1]);
    }
}

#[test]
fn a_snapshot_that_is_behind_is_not_applied() {
    let history = history();
    let mut old = History::new(1);
    old.grow(4);
    let mut driver = driver(&history);
    driver.accept();
    driver.receive(ToClient::Resync { head: history.position });
    for message in old.snapshot(&history.table.bucket_digests()) {
        driver.receive(message);
    }
    assert!(matches!(driver.left(), Some(DisconnectReason::ServerBehind { .. })));
    assert_eq!(driver.follower.position(), history.position);
    assert_eq!(driver.follower.table().digest(), history.table.digest());
}

#[test]
fn when_all_are_behind_the_attempts_are_spread_in_time() {
    let history = history();
    let mut driver = driver(&history);
    for _ in 0..200 {
        driver.accept();
        driver.receive(ToClient::Heartbeat { head: at(1, 3), age_ms: 0 });
    }
    assert!(driver.now > 100_000, "200 attempts within {} ms", driver.now);
}

#[test]
fn silence_drops_the_link_and_heartbeats_keep_it() {
    let history = history();
    let mut driver = driver(&history);
    driver.accept();
    for second in 1..=10 {
        driver.tick_at(second * 1_000);
        driver.receive(history.heartbeat());
        assert_eq!(driver.left(), None);
    }
    driver.tick_at(13_499);
    assert_eq!(driver.left(), None);
    driver.tick_at(13_500);
    assert_eq!(driver.left(), Some(DisconnectReason::Silent(3_500)));
    assert_eq!(driver.next_attempt(), order()[1]);
}

#[test]
fn a_server_that_is_heard_but_leads_nowhere_is_left() {
    let history = history();
    let mut driver = driver(&history);
    driver.accept();
    let mut second = 0;
    while driver.left().is_none() {
        second += 1;
        assert!(second < 10, "the follower did not leave the server in time");
        driver.now = second * 1_000;
        driver.receive(ToClient::Heartbeat { head: at(1, 11), age_ms: 0 });
    }
    assert_eq!(driver.left(), Some(DisconnectReason::Stalled(4_000)));
}

#[test]
fn a_server_that_has_nothing_is_left_also_by_one_that_has_nothing() {
    let mut driver = Driver::new(settings());
    driver.accept();
    for second in 1..=4 {
        driver.now = second * 1_000;
        driver.receive(ToClient::Heartbeat { head: Position::default(), age_ms: 0 });
    }
    assert!(matches!(driver.left(), Some(DisconnectReason::Stalled(_))));
    assert_eq!(driver.follower.age_ms(driver.now), None);
}

#[test]
fn a_busy_server_is_asked_again_when_it_said_and_left_at_the_third_time() {
    let history = history();
    let mut driver = driver(&history);
    for _ in 0..2 {
        assert_eq!(driver.accept(), order()[0]);
        let attempted_at = driver.now;
        driver.receive(ToClient::Busy { retry_after_ms: 400 });
        assert_eq!(driver.left(), Some(DisconnectReason::Busy(400)));
        assert_eq!(driver.follower.deadline(), attempted_at + 400);
    }
    assert_eq!(driver.accept(), order()[0]);
    driver.receive(ToClient::Busy { retry_after_ms: 400 });
    assert_eq!(driver.next_attempt(), order()[1]);
}

#[test]
fn a_busy_server_can_not_ask_for_an_endless_wait() {
    let mut driver = driver(&history());
    driver.accept();
    driver.receive(ToClient::Busy { retry_after_ms: u64::MAX });
    assert_eq!(driver.follower.deadline(), driver.now + 5_000);
}

/// Returns a follower connected to the region's server, after those of its zone did not answer.
fn on_region(history: &History) -> Driver {
    let mut driver = driver(history);
    for _ in 0..2 {
        driver.next_attempt();
        driver.event(FollowerEvent::ConnectFailed);
    }
    assert_eq!(driver.accept(), "region");
    driver.receive(history.heartbeat());
    driver
}

/// Sends heartbeats until the follower leaves its server; returns the elapsed time.
fn heartbeats_until_left(driver: &mut Driver, history: &History) -> u64 {
    let start = driver.now;
    while driver.left().is_none() {
        assert!(driver.now < start + 100_000, "the follower did not leave the server in time");
        driver.now += 500;
        driver.receive(history.heartbeat());
    }
    driver.now - start
}

#[test]
fn from_a_farther_server_the_nearer_ones_are_tried_again() {
    let history = history();
    let mut driver = on_region(&history);
    for attempt in 0..4 {
        let waited = heartbeats_until_left(&mut driver, &history);
        assert!((10_000..=30_500).contains(&waited), "waited {waited} ms");
        assert_eq!(driver.left(), Some(DisconnectReason::TryingNearer));
        assert_eq!(
            driver.attempted(),
            Some(order()[attempt % 2].clone()),
            "the nearer servers are tried in turn, without delay"
        );
        driver.event(FollowerEvent::ConnectFailed);
        assert_eq!(driver.accept(), "region", "the follower returns to the working server");
        driver.receive(history.heartbeat());
    }
    heartbeats_until_left(&mut driver, &history);
    driver.event(FollowerEvent::Connected);
    driver.receive(history.heartbeat());
    assert_eq!(driver.left(), None);
    let near_at = driver.now;
    while driver.now < near_at + 100_000 {
        driver.now += 500;
        driver.receive(history.heartbeat());
        assert_eq!(driver.left(), None, "the follower stays at a nearest server");
    }
}

#[test]
fn a_nearer_server_that_accepts_but_does_not_answer_is_left_soon() {
    let history = history();
    let mut driver = on_region(&history);
    heartbeats_until_left(&mut driver, &history);
    driver.event(FollowerEvent::Connected);
    let start = driver.now;
    driver.tick_at(start + 1_500);
    assert_eq!(driver.left(), Some(DisconnectReason::Silent(1_500)));
    assert_eq!(driver.accept(), "region");
}

#[test]
fn its_age_grows_from_when_it_last_was_at_the_head() {
    let mut history = history();
    let mut driver = driver(&history);
    assert_eq!(driver.follower.age_ms(0), None);
    driver.accept();
    driver.now += 1_000;
    driver.receive(history.heartbeat());
    let known = driver.now;
    assert_eq!(driver.follower.age_ms(known), Some(0));
    let position = history.position;
    history.grow(1);
    driver.now += 1_000;
    driver.receive(history.heartbeat());
    assert_eq!(
        driver.follower.age_ms(driver.now),
        Some(1_000),
        "a head that the follower lacks does not reset its age"
    );
    driver.receive(history.since(position));
    assert_eq!(driver.follower.age_ms(driver.now), Some(0));
    driver.event(FollowerEvent::Disconnected);
    assert_eq!(driver.follower.age_ms(driver.now + 60_000), Some(60_000));
}

#[test]
fn without_servers_it_waits() {
    let mut driver = Driver::new(FollowerSettings { servers: vec![], ..settings() });
    for _ in 0..10 {
        let before = driver.now;
        assert!(driver.wake().is_empty());
        assert!(driver.follower.deadline() > before, "the deadline is in the future");
    }
}

#[test]
fn events_that_do_not_belong_to_a_session_change_nothing() {
    let mut history = history();
    let mut driver = driver(&history);
    driver.event(FollowerEvent::Disconnected);
    assert_eq!(driver.attempted(), Some(order()[0].clone()));
    let position = history.position;
    history.grow(1);
    driver.receive(history.since(position));
    assert_eq!(driver.follower.position(), position, "no session is open");
    assert!(driver.actions.is_empty());
    driver.event(FollowerEvent::Connected);
    driver.event(FollowerEvent::Connected);
    assert!(driver.actions.is_empty(), "a second `Connected` has no effect");
}
