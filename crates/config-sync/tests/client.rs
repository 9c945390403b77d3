//! Tests of the client in a round server: its thread, its state on disk, and an owner that reads updates
//! slowly.

mod net_support;

use dunlinspread_config_sync::client::{Client, ClientSettings, Judge, Update};
use dunlinspread_config_sync::net::{PublisherNode, PublisherNodeSettings};
use dunlinspread_config_sync::resource::{Change, Key, Position, Resource};
use dunlinspread_config_sync::table::Table;
use net_support::redirect::Redirect;
use net_support::{
    Lines, Refusing, any_port, client_settings, publisher, publisher_settings, server, tenant, wait_until,
};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Instant;

fn settings(address: SocketAddr, state: Option<&Path>) -> ClientSettings {
    let servers = vec![server("publisher", address, None)];
    ClientSettings {
        state_directory: state.map(Into::into),
        ..client_settings("round-server", "zone-a", servers)
    }
}

fn accept_all() -> Box<dyn Judge> {
    Box::new(Refusing(""))
}

/// Returns an address without a listener.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port");
    listener.local_addr().expect("a local address")
}

/// Applies and confirms updates until the client reaches the position `target`.
fn follow(client: &Client, updates: &async_channel::Receiver<Update>, table: &mut Table, target: Position) {
    let mut at = Position::default();
    wait_until("the client reaches the position", || {
        while let Ok(update) = updates.try_recv() {
            assert!(update.position > at, "{update:?} after {at:?}");
            table.apply(&update.changes);
            at = update.position;
            client.applied(at);
        }
        at == target
    });
}

#[test]
fn a_restart_serves_the_last_state_at_once_with_no_server_there() {
    let (store, state) =
        (tempfile::tempdir().expect("a directory"), tempfile::tempdir().expect("a directory"));
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    for at in 0..20 {
        publisher.propose(vec![tenant(&format!("t{at}"), at)]).expect("accepted");
    }
    let (sender, updates) = async_channel::unbounded();
    let client =
        Client::start(settings(publisher.address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts");
    let mut table = Table::new();
    follow(&client, &updates, &mut table, publisher.head());
    let last = publisher
        .propose(vec![tenant("t3", 333), Change::Delete(Key::Tenant("t4".into()))])
        .expect("accepted");
    follow(&client, &updates, &mut table, last);
    let digest = publisher.status().digest;
    assert_eq!(table.digest(), digest);
    wait_until("the age of the state is known", || client.age_ms().is_some());
    wait_until("the confirmation is recorded", || client.status().in_force == last);
    drop(client);
    drop(publisher);

    let (sender, updates) = async_channel::unbounded();
    let client =
        Client::start(settings(unused_address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts");
    let update = updates.try_recv().expect("an update is queued before `start` returns");
    assert_eq!(update.position, last);
    let mut table = Table::new();
    table.apply(&update.changes);
    assert_eq!(table.digest(), digest);
    assert_eq!(client.age_ms(), None, "the age of the recovered state is unknown");
    assert_eq!(log.count("ERRO"), 0, "{:?}", log.all());
}

#[test]
fn a_restart_fetches_only_what_differs() {
    let (store, state) =
        (tempfile::tempdir().expect("a directory"), tempfile::tempdir().expect("a directory"));
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    publisher.propose((0..900).map(|at| tenant(&format!("t{at}"), at)).collect()).expect("accepted");
    let start = |sender| {
        Client::start(settings(publisher.address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts")
    };
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    let mut table = Table::new();
    follow(&client, &updates, &mut table, publisher.head());
    wait_until("the confirmation is recorded", || client.status().in_force == publisher.head());
    let full_bytes = client.status().bytes_in;
    drop(client);

    let last = publisher.propose(vec![tenant("t3", 333)]).expect("accepted");
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    let mut table = Table::new();
    follow(&client, &updates, &mut table, last);
    assert_eq!(table.digest(), publisher.status().digest);
    let difference_bytes = client.status().bytes_in;
    assert!(
        full_bytes > 15_000 && difference_bytes < full_bytes / 10,
        "{full_bytes} bytes at first, then {difference_bytes}"
    );
}

#[test]
fn what_was_not_confirmed_is_not_served_after_a_restart() {
    let (store, state) =
        (tempfile::tempdir().expect("a directory"), tempfile::tempdir().expect("a directory"));
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let (sender, updates) = async_channel::unbounded();
    let client =
        Client::start(settings(publisher.address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts");
    follow(&client, &updates, &mut Table::new(), first);
    wait_until("the confirmation is recorded", || client.status().in_force == first);
    let second = publisher.propose(vec![tenant("b", 2)]).expect("accepted");
    // The owner stops before it confirms this update.
    let update = updates.recv_blocking().expect("an update");
    assert_eq!(update.position, second);
    drop(client);

    let (sender, updates) = async_channel::unbounded();
    let _client =
        Client::start(settings(unused_address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts");
    assert_eq!(updates.try_recv().expect("the stored state").position, first);
}

#[test]
fn a_damaged_state_is_put_aside_and_fetched_anew() {
    let (store, state) =
        (tempfile::tempdir().expect("a directory"), tempfile::tempdir().expect("a directory"));
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let start = |sender| {
        Client::start(settings(publisher.address(), Some(state.path())), accept_all(), sender, log.logger())
            .expect("the client starts")
    };
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    follow(&client, &updates, &mut Table::new(), first);
    wait_until("the confirmation is recorded", || client.status().in_force == first);
    drop(client);

    let snapshot = std::fs::read_dir(state.path())
        .expect("readable")
        .map(|entry| entry.expect("readable").path())
        .find(|path| path.extension().is_some_and(|extension| extension == "snp"))
        .expect("a snapshot file");
    let mut bytes = std::fs::read(&snapshot).expect("readable");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&snapshot, bytes).expect("writable");

    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    follow(&client, &updates, &mut Table::new(), first);
    assert_eq!(log.count("state on disk damaged and moved aside"), 1, "{:?}", log.all());
    assert!(state.path().join("damaged").join(snapshot.file_name().expect("a file name")).exists());
    wait_until("the confirmation is recorded", || client.status().in_force == first);
    drop(client);
    let (sender, updates) = async_channel::unbounded();
    let _client = start(sender);
    assert_eq!(updates.try_recv().expect("the newly stored state").position, first);
}

#[test]
fn a_disk_that_fails_costs_a_line_in_the_log_and_no_change() {
    let store = tempfile::tempdir().expect("a directory");
    let parent = tempfile::tempdir().expect("a directory");
    let state = parent.path().join("state");
    let log = Lines::default();
    let running = publisher(store.path(), &log);
    let redirect = Redirect::to(running.address());
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    let begun = Instant::now();
    let (sender, updates) = async_channel::unbounded();
    let client = Client::start(settings(redirect.address, Some(&state)), accept_all(), sender, log.logger())
        .expect("the client starts");
    let mut table = Table::new();
    follow(&client, &updates, &mut table, first);
    wait_until("the confirmation is recorded", || client.status().in_force == first);
    drop(running);
    std::fs::remove_dir_all(&state).expect("removable");
    std::fs::write(&state, "in the way").expect("writable");

    // A new epoch makes the client replace the whole stored state.
    let settings =
        PublisherNodeSettings { begin_epoch: Some(first.epoch + 1), ..publisher_settings(any_port()) };
    let running = PublisherNode::open(settings, store.path(), log.logger()).expect("the publisher opens");
    redirect.set(running.address());
    for at in 0..3 {
        let next = running.propose(vec![tenant("b", at)]).expect("accepted");
        follow(&client, &updates, &mut table, next);
        wait_until("the confirmation is recorded", || client.status().in_force == next);
    }
    assert_eq!(table.digest(), running.status().digest);
    let failure_lines = || log.count("writing state to disk failed");
    wait_until("the failure is logged", || failure_lines() > 0);
    drop(client);
    // The client retries the disk every 30 s.
    assert!(failure_lines() <= 1 + begun.elapsed().as_secs() as usize / 30, "{:?}", log.all());
}

/// A publisher with a new epoch makes the client replace the whole stored state. That replacement does not
/// retry a failed disk before the retry interval is over.
#[test]
fn whole_states_do_not_try_a_failed_disk_again() {
    let store = tempfile::tempdir().expect("a directory");
    let parent = tempfile::tempdir().expect("a directory");
    let state = parent.path().join("state");
    let log = Lines::default();
    let mut running = publisher(store.path(), &log);
    let redirect = Redirect::to(running.address());
    let begun = Instant::now();
    let (sender, updates) = async_channel::unbounded();
    let client = Client::start(settings(redirect.address, Some(&state)), accept_all(), sender, log.logger())
        .expect("the client starts");
    let mut table = Table::new();
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    follow(&client, &updates, &mut table, first);
    wait_until("the confirmation is recorded", || client.status().in_force == first);
    std::fs::remove_dir_all(&state).expect("removable");
    std::fs::write(&state, "in the way").expect("writable");

    let failure_lines = || log.count("writing state to disk failed");
    for epoch in first.epoch + 1..first.epoch + 5 {
        drop(running);
        let settings = PublisherNodeSettings { begin_epoch: Some(epoch), ..publisher_settings(any_port()) };
        running = PublisherNode::open(settings, store.path(), log.logger()).expect("the publisher opens");
        redirect.set(running.address());
        let next = running.propose(vec![tenant("b", epoch)]).expect("accepted");
        follow(&client, &updates, &mut table, next);
        wait_until("the confirmation is recorded", || client.status().in_force == next);
        wait_until("the failure is logged", || failure_lines() > 0);
    }
    // Dropping the client returns only after each queued write has been done or abandoned.
    drop(client);
    assert!(failure_lines() <= 1 + begun.elapsed().as_secs() as usize / 30, "{:?}", log.all());
}

#[test]
fn an_owner_that_takes_nothing_gets_all_later_changes_merged() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 0)]).expect("accepted");
    let (sender, updates) = async_channel::bounded(1);
    let client = Client::start(settings(publisher.address(), None), accept_all(), sender, log.logger())
        .expect("the client starts");
    wait_until("the first change is mirrored", || client.status().mirrored == first);
    let mut last = first;
    for at in 0..300 {
        last = publisher.propose(vec![tenant("a", at + 1), tenant(&format!("t{at}"), at)]).expect("accepted");
        wait_until("the change is mirrored", || client.status().mirrored == last);
    }
    let (mut table, mut update_count, mut at) = (Table::new(), 0, Position::default());
    while at < last {
        let update = updates.recv_blocking().expect("an update");
        assert!(update.position > at);
        table.apply(&update.changes);
        (update_count, at) = (update_count + 1, update.position);
        client.applied(at);
    }
    assert!(update_count < 100, "{update_count} updates");
    assert_eq!(table.digest(), publisher.status().digest);
    let expected = Resource::TenantAllowance { tenant: "a".into(), milli_per_second: 300 };
    assert_eq!(table.get(&Key::Tenant("a".into())), Some(&expected));
    wait_until("the confirmation is recorded", || client.status().in_force == last);
}

#[test]
fn settings_that_no_server_accepts_are_refused_at_the_start() {
    let start = |settings| {
        let (sender, _updates) = async_channel::unbounded();
        let started = Client::start(settings, accept_all(), sender, Lines::default().logger());
        started.err().expect("the settings are refused").to_string()
    };
    let short = ClientSettings { fleet_key: b"short".to_vec(), ..settings(unused_address(), None) };
    assert!(start(short).contains("fleet key of 5 bytes"));
    let mut nameless = settings(unused_address(), None);
    nameless.member.name = "".into();
    assert_eq!(start(nameless), "member.name: 0 bytes, wanted 1 to 128");
}
