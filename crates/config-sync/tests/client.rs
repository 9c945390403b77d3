//! The client of a round server: its thread, its state on disk, and an owner that is slow to take updates.

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

/// An address on which nobody listens.
fn nobody() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port");
    listener.local_addr().expect("its address")
}

/// Applies updates until the position is reached, and confirms them.
fn follow(client: &Client, updates: &async_channel::Receiver<Update>, table: &mut Table, to: Position) {
    let mut at = Position::default();
    wait_until("the position", || {
        while let Ok(update) = updates.try_recv() {
            assert!(update.position > at, "{update:?} after {at:?}");
            table.apply(&update.changes);
            at = update.position;
            client.applied(at);
        }
        at == to
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
            .expect("it starts");
    let mut table = Table::new();
    follow(&client, &updates, &mut table, publisher.head());
    let last = publisher
        .propose(vec![tenant("t3", 333), Change::Delete(Key::Tenant("t4".into()))])
        .expect("accepted");
    follow(&client, &updates, &mut table, last);
    let digest = publisher.status().digest;
    assert_eq!(table.digest(), digest);
    wait_until("its age", || client.age_ms().is_some());
    wait_until("its confirmation", || client.status().in_force == last);
    drop(client);
    drop(publisher);

    let (sender, updates) = async_channel::unbounded();
    let client = Client::start(settings(nobody(), Some(state.path())), accept_all(), sender, log.logger())
        .expect("it starts");
    let update = updates.try_recv().expect("there before the start returns");
    assert_eq!(update.position, last);
    let mut table = Table::new();
    table.apply(&update.changes);
    assert_eq!(table.digest(), digest);
    assert_eq!(client.age_ms(), None, "it does not know how old that is");
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
            .expect("it starts")
    };
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    let mut table = Table::new();
    follow(&client, &updates, &mut table, publisher.head());
    wait_until("its confirmation", || client.status().in_force == publisher.head());
    let whole = client.status().bytes_in;
    drop(client);

    let last = publisher.propose(vec![tenant("t3", 333)]).expect("accepted");
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    let mut table = Table::new();
    follow(&client, &updates, &mut table, last);
    assert_eq!(table.digest(), publisher.status().digest);
    let difference = client.status().bytes_in;
    assert!(whole > 15_000 && difference < whole / 10, "{whole} bytes, then {difference}");
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
            .expect("it starts");
    follow(&client, &updates, &mut Table::new(), first);
    wait_until("its confirmation", || client.status().in_force == first);
    let second = publisher.propose(vec![tenant("b", 2)]).expect("accepted");
    // The owner goes down with it.
    let update = updates.recv_blocking().expect("an update");
    assert_eq!(update.position, second);
    drop(client);

    let (sender, updates) = async_channel::unbounded();
    let _client = Client::start(settings(nobody(), Some(state.path())), accept_all(), sender, log.logger())
        .expect("it starts");
    assert_eq!(updates.try_recv().expect("the state").position, first);
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
            .expect("it starts")
    };
    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    follow(&client, &updates, &mut Table::new(), first);
    wait_until("its confirmation", || client.status().in_force == first);
    drop(client);

    let snapshot = std::fs::read_dir(state.path())
        .expect("readable")
        .map(|entry| entry.expect("readable").path())
        .find(|path| path.extension().is_some_and(|extension| extension == "snp"))
        .expect("a snapshot is there");
    let mut bytes = std::fs::read(&snapshot).expect("readable");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&snapshot, bytes).expect("writable");

    let (sender, updates) = async_channel::unbounded();
    let client = start(sender);
    follow(&client, &updates, &mut Table::new(), first);
    assert_eq!(log.count("state on disk damaged and moved aside"), 1, "{:?}", log.all());
    assert!(state.path().join("damaged").join(snapshot.file_name().expect("a name")).exists());
    wait_until("its confirmation", || client.status().in_force == first);
    drop(client);
    let (sender, updates) = async_channel::unbounded();
    let _client = start(sender);
    assert_eq!(updates.try_recv().expect("the new state").position, first);
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
        .expect("it starts");
    let mut table = Table::new();
    follow(&client, &updates, &mut table, first);
    wait_until("its confirmation", || client.status().in_force == first);
    drop(running);
    std::fs::remove_dir_all(&state).expect("removable");
    std::fs::write(&state, "in the way").expect("writable");

    // Of another epoch, so that the client keeps a whole state in place of the one before.
    let settings =
        PublisherNodeSettings { begin_epoch: Some(first.epoch + 1), ..publisher_settings(any_port()) };
    let running = PublisherNode::open(settings, store.path(), log.logger()).expect("it opens");
    redirect.set(running.address());
    for at in 0..3 {
        let next = running.propose(vec![tenant("b", at)]).expect("accepted");
        follow(&client, &updates, &mut table, next);
        wait_until("its confirmation", || client.status().in_force == next);
    }
    assert_eq!(table.digest(), running.status().digest);
    let lines = || log.count("writing state to disk failed");
    wait_until("the line", || lines() > 0);
    drop(client);
    // It is tried again every 30 s.
    assert!(lines() <= 1 + begun.elapsed().as_secs() as usize / 30, "{:?}", log.all());
}

/// A publisher of another epoch makes the client keep a whole state in place of the one before. A disk that has failed is
/// not tried again for that.
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
        .expect("it starts");
    let mut table = Table::new();
    let first = running.propose(vec![tenant("a", 1)]).expect("accepted");
    follow(&client, &updates, &mut table, first);
    wait_until("its confirmation", || client.status().in_force == first);
    std::fs::remove_dir_all(&state).expect("removable");
    std::fs::write(&state, "in the way").expect("writable");

    let lines = || log.count("writing state to disk failed");
    for epoch in first.epoch + 1..first.epoch + 5 {
        drop(running);
        let settings = PublisherNodeSettings { begin_epoch: Some(epoch), ..publisher_settings(any_port()) };
        running = PublisherNode::open(settings, store.path(), log.logger()).expect("it opens");
        redirect.set(running.address());
        let next = running.propose(vec![tenant("b", epoch)]).expect("accepted");
        follow(&client, &updates, &mut table, next);
        wait_until("its confirmation", || client.status().in_force == next);
        wait_until("the line", || lines() > 0);
    }
    // What was handed over is written or given up before this returns.
    drop(client);
    assert!(lines() <= 1 + begun.elapsed().as_secs() as usize / 30, "{:?}", log.all());
}

#[test]
fn an_owner_that_takes_nothing_gets_all_later_changes_merged() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 0)]).expect("accepted");
    let (sender, updates) = async_channel::bounded(1);
    let client = Client::start(settings(publisher.address(), None), accept_all(), sender, log.logger())
        .expect("it starts");
    wait_until("the first one", || client.status().mirrored == first);
    let mut last = first;
    for at in 0..300 {
        last = publisher.propose(vec![tenant("a", at + 1), tenant(&format!("t{at}"), at)]).expect("accepted");
        wait_until("it is there", || client.status().mirrored == last);
    }
    let (mut table, mut taken, mut at) = (Table::new(), 0, Position::default());
    while at < last {
        let update = updates.recv_blocking().expect("an update");
        assert!(update.position > at);
        table.apply(&update.changes);
        (taken, at) = (taken + 1, update.position);
        client.applied(at);
    }
    assert!(taken < 100, "{taken} updates");
    assert_eq!(table.digest(), publisher.status().digest);
    let expected = Resource::TenantAllowance { tenant: "a".into(), milli_per_second: 300 };
    assert_eq!(table.get(&Key::Tenant("a".into())), Some(&expected));
    wait_until("its confirmation", || client.status().in_force == last);
}

#[test]
fn settings_that_no_server_accepts_are_refused_at_the_start() {
    let start = |settings| {
        let (sender, _updates) = async_channel::unbounded();
        let started = Client::start(settings, accept_all(), sender, Lines::default().logger());
        started.err().expect("refused").to_string()
    };
    let short = ClientSettings { fleet_key: b"short".to_vec(), ..settings(nobody(), None) };
    assert!(start(short).contains("fleet key of 5 bytes"));
    let mut nameless = settings(nobody(), None);
    nameless.member.name = "".into();
    assert_eq!(start(nameless), "member.name: 0 bytes, wanted 1 to 128");
}
