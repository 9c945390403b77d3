//! When a follower leaves a server that sends heartbeats but is cut off from the publisher.

mod client_support;

use client_support::{Driver, History, member, server};
use dunlinspread_config_sync::client::Server;
use dunlinspread_config_sync::follower::{DisconnectReason, FollowerEvent, FollowerSettings};
use dunlinspread_config_sync::message::{MAX_AGE_MS, Member, Role};
use dunlinspread_config_sync::resource::Millis;
use dunlinspread_config_sync::selection::ranked;
use std::collections::HashMap;

const STALE_AFTER_MS: Millis = 5_000;

fn servers() -> Vec<Server> {
    vec![
        server("zone-1", Some("a1"), "a"),
        server("zone-2", Some("a1"), "a"),
        server("region", None, "a"),
        server("far", None, "b"),
    ]
}

fn settings(seed: u64) -> FollowerSettings {
    FollowerSettings::new(member("server-1", "a1", "a"), servers(), seed)
}

fn order() -> Vec<String> {
    let settings = settings(0);
    ranked(&settings.member, &settings.servers).iter().map(|server| server.name.to_string()).collect()
}

/// A follower and servers that all have the same head, some of which are cut off from the publisher.
struct Scene {
    driver: Driver,
    history: History,
    cut_since: HashMap<String, Millis>,
    unreachable: Vec<String>,
    /// Servers that the follower watched, each with the time at which the session began.
    watched: Vec<(Millis, String)>,
    attempts: Vec<Millis>,
}

impl Scene {
    fn new(settings: FollowerSettings) -> Scene {
        let mut history = History::new(1);
        history.grow(10);
        let driver = Driver::with_state(settings, history.position, history.table.clone());
        Scene {
            driver,
            history,
            cut_since: HashMap::new(),
            unreachable: Vec::new(),
            watched: Vec::new(),
            attempts: Vec::new(),
        }
    }

    fn cut(&mut self, names: &[String]) {
        let now = self.driver.now;
        self.cut_since.extend(names.iter().map(|name| (name.clone(), now)));
    }

    /// Advances the clock; attempts are answered at once and heartbeats arrive every second.
    fn run(&mut self, duration: Millis) {
        let end = self.driver.now + duration;
        while self.driver.now < end {
            let next_heartbeat = (self.driver.now / 1_000 + 1) * 1_000;
            let deadline = self.driver.follower.deadline().max(self.driver.now);
            let heartbeat_first = next_heartbeat <= deadline;
            self.driver.now = next_heartbeat.min(deadline).min(end);
            if heartbeat_first && self.driver.now == next_heartbeat && self.driver.follower.is_open() {
                self.heartbeat();
            } else {
                self.driver.event(FollowerEvent::Tick);
            }
            self.answer();
        }
    }

    fn heartbeat(&mut self) {
        let (_, name) = self.watched.last().expect("a session");
        let age = self.cut_since.get(name).map_or(0, |since| self.driver.now - since);
        self.driver.receive(self.history.heartbeat_aged(age));
    }

    fn answer(&mut self) {
        while let Some(name) = self.driver.attempted() {
            self.attempts.push(self.driver.now);
            if self.unreachable.contains(&name) {
                self.driver.event(FollowerEvent::ConnectFailed);
            } else {
                self.watched.push((self.driver.now, name));
                self.driver.event(FollowerEvent::Connected);
            }
        }
    }

    fn current(&self) -> &str {
        &self.watched.last().expect("a session").1
    }

    fn stale_servers_left(&self) -> u64 {
        self.driver.follower.counters().servers_stale
    }
}

#[test]
fn a_server_that_alone_is_cut_off_is_left_for_a_fresh_one() {
    let mut soonest = Millis::MAX;
    let mut latest = 0;
    for seed in 0..50 {
        let mut scene = Scene::new(settings(seed));
        scene.run(3_000);
        assert_eq!(scene.current(), order()[0]);
        scene.cut(&order()[..1]);
        scene.run(12_000);
        let &(moved_at, ref name) = scene.watched.last().expect("a session");
        assert_eq!((name, scene.watched.len()), (&order()[1], 2), "seed {seed}");
        soonest = soonest.min(moved_at - 3_000);
        latest = latest.max(moved_at - 3_000);
        assert_eq!(
            scene.driver.follower.age_ms(scene.driver.now),
            Some(0),
            "the follower is up to date again"
        );
        scene.run(600_000);
        assert_eq!(scene.watched.len(), 2, "the follower stays at the fresh server");
    }
    assert!(soonest >= STALE_AFTER_MS && latest <= STALE_AFTER_MS * 3 / 2 + 1, "{soonest} to {latest} ms");
    assert!(latest - soonest > STALE_AFTER_MS / 4, "not spread in time: {soonest} to {latest} ms");
}

#[test]
fn when_all_are_equally_old_it_ends_at_the_nearest_and_tries_ever_more_seldom() {
    for seed in 0..20 {
        let mut scene = Scene::new(settings(seed));
        scene.run(3_000);
        scene.cut(&order());
        scene.run(600_000);
        // The delays are 5, 10, 20, 40 and then 80 s, each extended by up to half.
        let tries = scene.stale_servers_left();
        assert!((6..=12).contains(&tries), "seed {seed}: {tries} tries in ten minutes");
        assert!(
            scene.attempts.len() as u64 <= 2 * tries + 1,
            "seed {seed}: more attempts than one per try and one per return"
        );
        let at_nearest = time_at(&scene, &order()[0]);
        assert!(at_nearest > 570_000, "seed {seed}: {at_nearest} ms at the nearest");
        assert_eq!(scene.driver.follower.position(), scene.history.position);
    }
}

/// Returns for how long the follower watched `server`.
fn time_at(scene: &Scene, server: &str) -> Millis {
    let ends = scene.watched[1..].iter().map(|(at, _)| *at).chain([scene.driver.now]);
    let spans = scene.watched.iter().zip(ends).filter(|((_, name), _)| name == server);
    spans.map(|((begin, _), end)| end - begin).sum()
}

#[test]
fn a_cut_off_region_is_left_through_a_server_that_is_reached_and_returned_to_when_healed() {
    let mut scene = Scene::new(settings(3));
    scene.run(3_000);
    scene.cut(&order()[..3]);
    scene.run(120_000);
    assert_eq!(scene.current(), "far");
    assert_eq!(scene.driver.follower.age_ms(scene.driver.now), Some(0));
    scene.cut_since.clear();
    scene.run(120_000);
    assert!(order()[..2].contains(&scene.current().to_owned()), "{}", scene.current());
    let settled_count = scene.watched.len();
    scene.run(600_000);
    assert_eq!(scene.watched.len(), settled_count);
}

#[test]
fn from_a_fresh_far_server_a_nearer_one_that_is_cut_off_is_not_gone_back_to() {
    let mut scene = Scene::new(settings(4));
    scene.run(3_000);
    scene.cut(&order()[..3]);
    scene.run(120_000);
    let settled_at = scene.driver.now;
    scene.run(600_000);
    let far = time_at(&scene, "far");
    assert!(far > scene.driver.now - settled_at - 60_000, "{far} ms at the fresh server");
    assert_eq!(scene.current(), "far");
}

#[test]
fn servers_that_are_not_reached_do_not_end_the_session_with_the_old_one_for_long() {
    let mut scene = Scene::new(settings(5));
    scene.unreachable = order()[1..].to_vec();
    scene.run(3_000);
    scene.cut(&order()[..1]);
    scene.run(300_000);
    assert!(scene.attempts.len() <= 24, "{} attempts in five minutes", scene.attempts.len());
    assert_eq!(scene.current(), order()[0]);
    assert!(scene.driver.follower.is_open());
}

#[test]
fn a_server_that_has_just_begun_has_time_to_become_fresh() {
    let mut driver = Scene::new(settings(6)).driver;
    let mut history = History::new(1);
    history.grow(10);
    driver.accept();
    for second in 1..=4 {
        driver.now = second * 1_000;
        driver.receive(history.heartbeat_aged(MAX_AGE_MS));
        assert_eq!(driver.left(), None);
    }
    driver.now = 5_000;
    driver.receive(history.heartbeat());
    driver.now = 7_500;
    driver.receive(history.heartbeat());
    assert_eq!(driver.left(), None);
    assert_eq!(driver.follower.age_ms(7_500), Some(0));
}

#[test]
fn a_lone_server_is_kept_however_old_it_is() {
    let alone = FollowerSettings::new(member("server-1", "a1", "a"), servers()[..1].to_vec(), 1);
    let mut scene = Scene::new(alone);
    scene.run(3_000);
    scene.cut(&["zone-1".to_owned()]);
    scene.run(600_000);
    assert_eq!((scene.watched.len(), scene.stale_servers_left()), (1, 0));
    assert!(scene.driver.follower.deadline() > scene.driver.now + 1_000, "a tick is scheduled without need");
}

#[test]
fn relays_leave_before_their_subscribers_do() {
    let relay = Member { role: Role::Relay, ..member("relay-1", "a1", "a") };
    let relay = FollowerSettings::new(relay, servers(), 1).stale_after_ms;
    assert!(relay * 3 / 2 < settings(1).stale_after_ms);
}

#[test]
fn the_reason_is_said() {
    assert!(DisconnectReason::Stale(6_000).to_string().contains("6000 ms old"));
}
