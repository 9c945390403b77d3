//! Network faults: bad frames, peers that do not read, and exhausted file descriptors.

mod net_support;

use dunlinspread_config_sync::codec::{decode_to_client, encode_to_client, encode_to_server};
use dunlinspread_config_sync::frame::{FrameDecoder, FrameKey, MAX_FRAME};
use dunlinspread_config_sync::message::{Role, ToClient, ToServer};
use dunlinspread_config_sync::resource::{Digest, Position};
use net_support::{
    FLEET_KEY, Lines, Refusing, Subscribers, any_port, client_settings, member, publisher, server, tenant,
    wait_until,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

fn key() -> FrameKey {
    FrameKey::new(FLEET_KEY).expect("a valid key")
}

fn watch() -> Vec<u8> {
    let message = ToServer::Watch {
        member: member("raw", "zone-a", Role::Subscriber),
        position: Position::default(),
        digest: Digest::default(),
    };
    key().seal(|out| encode_to_server(&message, out)).expect("a short payload").to_vec()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    // Far longer than any step here takes; only a failing test waits this long.
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a read timeout");
    stream
}

/// Reads one whole frame and returns its bytes.
fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut decoder = FrameDecoder::new(key());
    let mut frame = Vec::new();
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("more of the frame");
        frame.push(byte[0]);
        decoder.feed(&byte);
        if decoder.next_payload().expect("a valid frame").is_some() {
            return frame;
        }
    }
}

/// Reads until the other end closes the connection.
fn read_to_end(stream: &mut TcpStream) {
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(error) => panic!("the connection was not closed: {error}"),
        }
    }
}

/// Asserts that the first subscriber reconnected only after logged silences, which a slow machine can cause.
fn assert_undisturbed(subscribers: &Subscribers, log: &Lines) {
    let silences = log.count("nothing heard for") as u64;
    assert_eq!(subscribers.handles[0].status().connections, 1 + silences, "{:?}", log.all());
}

#[test]
fn a_bad_frame_closes_its_connection_with_one_line_and_changes_nothing() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let mut subscribers = Subscribers::new();
    let servers = vec![server("publisher", publisher.address(), None)];
    subscribers.add(client_settings("good", "zone-a", servers), Box::new(Refusing("")), &log);
    wait_until("in force", || subscribers.are_at(first));

    let mut reflected = connect(publisher.address());
    reflected.write_all(&watch()).expect("written");
    let own_frame = read_frame(&mut reflected);
    let other_key = FrameKey::new(b"a key of another fleet").expect("long enough");
    let flipped = |at: usize| {
        let mut frame = watch();
        frame[at] ^= 0x10;
        frame
    };
    let bad: Vec<(&str, Vec<u8>)> = vec![
        ("an HTTP request", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec()),
        ("too long", (MAX_FRAME as u32).to_le_bytes().to_vec()),
        ("another version", flipped(4)),
        ("a damaged tag", flipped(20)),
        ("a damaged payload", flipped(40)),
        ("another key", other_key.seal(|out| out.push(0)).expect("a short payload").to_vec()),
        ("no message", key().seal(|_| ()).expect("a short payload").to_vec()),
        ("a frame of the server's own", own_frame),
    ];
    for (count, (description, bytes)) in bad.iter().enumerate() {
        let mut stream = connect(publisher.address());
        stream.write_all(bytes).expect("written");
        read_to_end(&mut stream);
        wait_until(description, || publisher.status().bad_frames == count as u64 + 1);
        assert_eq!(log.count("bad frame"), count + 1, "{description}: {:?}", log.all());
    }
    assert_eq!(publisher.head(), first);
    let last = publisher.propose(vec![tenant("b", 2)]).expect("accepted");
    wait_until("in force", || subscribers.are_at(last));
    assert_undisturbed(&subscribers, &log);
}

#[test]
fn a_subscriber_leaves_a_server_of_bad_frames_and_keeps_its_state() {
    let store = tempfile::tempdir().expect("a directory");
    let (log, quiet) = (Lines::default(), Lines::default());
    let publisher = publisher(store.path(), &quiet);
    let last = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let listener = TcpListener::bind(any_port()).expect("a port");
    // This server is nearer than the publisher and therefore tried first.
    let servers = vec![
        server("damaged", listener.local_addr().expect("a local address"), Some("zone-a")),
        server("publisher", publisher.address(), None),
    ];
    let mut subscribers = Subscribers::new();
    subscribers.add(client_settings("round-server", "zone-a", servers), Box::new(Refusing("")), &log);
    let (mut stream, _) = listener.accept().expect("it connects");
    let heartbeat = ToClient::Heartbeat { head: Position { epoch: 1, revision: 9 }, age_ms: 0 };
    let mut frame = key().seal(|out| encode_to_client(&heartbeat, out)).expect("a short payload").to_vec();
    let end = frame.len() - 1;
    frame[end] ^= 1;
    stream.write_all(&frame).expect("written");
    read_to_end(&mut stream);
    wait_until("in force from the publisher", || subscribers.are_at(last));
    wait_until("the count of bad frames", || subscribers.handles[0].status().bad_frames == 1);
    assert_eq!(log.count("bad frame"), 1, "{:?}", log.all());
}

/// Starts a proxy that damages one byte on the way to the client, at offset `damage_at`; returns its address.
fn damaging_proxy(target: SocketAddr, damage_at: usize) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port");
    let address = listener.local_addr().expect("a local address");
    std::thread::spawn(move || {
        let mut damage_at = Some(damage_at);
        while let Ok((client, _)) = listener.accept() {
            let Ok(server) = TcpStream::connect(target) else { return };
            let (mut from, mut back) =
                (client.try_clone().expect("a clone"), server.try_clone().expect("a clone"));
            let up = std::thread::spawn(move || drop(std::io::copy(&mut from, &mut back)));
            forward(server, client, &mut damage_at);
            drop(up);
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, damage_at: &mut Option<usize>) {
    let (mut forwarded, mut bytes) = (0, [0; 4096]);
    while let Ok(count @ 1..) = from.read(&mut bytes) {
        if let Some(at) = damage_at.filter(|at| (forwarded..forwarded + count).contains(at)) {
            bytes[at - forwarded] ^= 0x04;
            *damage_at = None;
        }
        forwarded += count;
        if to.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

#[test]
fn damage_anywhere_on_the_way_is_overcome() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let mut subscribers = Subscribers::new();
    // Offsets within lengths, tags and payloads, of snapshots and of deltas.
    let offsets = [0, 3, 4, 17, 60, 500, 1_500, 2_711];
    for offset in offsets {
        let proxy = damaging_proxy(publisher.address(), offset);
        let servers = vec![server("publisher", proxy, None)];
        subscribers.add(
            client_settings(&format!("at-{offset}"), "zone-a", servers),
            Box::new(Refusing("")),
            &log,
        );
    }
    let mut last = Position::default();
    for at in 0..100 {
        last = publisher.propose(vec![tenant(&format!("t{at}"), at)]).expect("accepted");
    }
    wait_until("all in force", || subscribers.are_at(last));
    for in_force in &subscribers.in_force {
        assert_eq!(in_force.table().digest(), publisher.status().digest);
        assert_eq!(in_force.regressions(), 0);
    }
    for handle in &subscribers.handles {
        assert!(
            handle.status().connections >= 2,
            "the client did not reconnect after the damage: {:?}",
            handle.status()
        );
    }
}

#[test]
fn a_client_that_does_not_read_is_closed_and_holds_up_nobody() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let mut last = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let mut subscribers = Subscribers::new();
    let servers = vec![server("publisher", publisher.address(), None)];
    subscribers.add(client_settings("good", "zone-a", servers), Box::new(Refusing("")), &log);
    // The client below watches from the current head, so that it receives deltas.
    wait_until("in force", || subscribers.are_at(last));
    let mut silent = connect(publisher.address());
    let status = publisher.status();
    let message = ToServer::Watch {
        member: member("silent", "zone-a", Role::Subscriber),
        position: status.head,
        digest: status.digest,
    };
    silent
        .write_all(&key().seal(|out| encode_to_server(&message, out)).expect("a short payload"))
        .expect("written");
    wait_until("two sessions", || publisher.status().sessions == 2);
    let long = "x".repeat(90);
    let mut round = 0;
    // The loop sends more than the system's buffers and the backlog limit hold together.
    while publisher.status().closed_slow == 0 {
        round += 1;
        assert!(round < 1_000, "still open after {round} transactions of about 100 KB");
        let changes = (0..900).map(|at| tenant(&format!("{long}{at}"), round)).collect();
        last = publisher.propose(changes).expect("accepted");
    }
    wait_until("in force", || subscribers.are_at(last));
    assert_undisturbed(&subscribers, &log);
    assert_eq!(log.count("too slow, it has to resync"), 1, "{:?}", log.all());
}

/// Runs in a process of its own with a low limit on descriptors, started by the test below.
#[test]
#[ignore = "run by the_listener_stays_when_descriptors_run_out"]
fn under_a_limit_of_descriptors() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let last = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let mut streams = Vec::new();
    while let Ok(stream) = TcpStream::connect(publisher.address()) {
        streams.push(stream);
        assert!(streams.len() < 1_000, "no limit on descriptors was reached");
    }
    // The last connections are established but not accepted.
    wait_until("the listener fails", || log.count("accepting connections failed") > 0);
    drop(streams);
    let mut subscribers = Subscribers::new();
    let servers = vec![server("publisher", publisher.address(), None)];
    subscribers.add(client_settings("good", "zone-a", servers), Box::new(Refusing("")), &log);
    wait_until("in force", || subscribers.are_at(last));
}

#[test]
fn the_listener_stays_when_descriptors_run_out() {
    let test = std::env::current_exe().expect("the path of the test binary");
    let output = std::process::Command::new("sh")
        .args(["-c", "ulimit -n 64; exec \"$0\" --exact under_a_limit_of_descriptors --ignored"])
        .arg(test)
        .output()
        .expect("a shell");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success() && text.contains("1 passed"),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

/// Guards the documented format: a session of a program that uses only that format, without the crate's
/// client.
#[test]
fn a_raw_session_gets_a_snapshot_and_then_heartbeats_of_its_head() {
    let store = tempfile::tempdir().expect("a directory");
    let log = Lines::default();
    let publisher = publisher(store.path(), &log);
    let first = publisher.propose(vec![tenant("a", 1)]).expect("accepted");
    let mut stream = connect(publisher.address());
    stream.write_all(&watch()).expect("written");
    let fetch = ToServer::FetchDifferences { bucket_digests: Vec::new() };
    let fetch = key().seal(|out| encode_to_server(&fetch, out)).expect("a short payload");
    let mut seen = Vec::new();
    while seen.len() < 4 {
        let mut decoder = FrameDecoder::new(key());
        decoder.feed(&read_frame(&mut stream));
        let payload = decoder.next_payload().expect("a valid frame").expect("a complete frame").to_vec();
        match decode_to_client(&payload).expect("a message") {
            ToClient::Resync { head } => {
                assert_eq!(head, first);
                seen.push("resync");
                stream.write_all(&fetch).expect("written");
            }
            ToClient::Piece { sequence: 0, buckets } => {
                assert_eq!(buckets.iter().map(|bucket| bucket.resources.len()).sum::<usize>(), 1);
                seen.push("piece");
            }
            ToClient::SnapshotEnd { position, digest, pieces: 1, .. } => {
                assert_eq!((position, digest), (first, publisher.status().digest));
                seen.push("end");
            }
            ToClient::Heartbeat { head, age_ms } => {
                assert_eq!((head, age_ms), (first, 0));
                if seen.len() == 3 {
                    seen.push("heartbeat");
                }
            }
            other => panic!("unexpected message: {other:?}"),
        }
    }
    assert_eq!(seen, ["resync", "piece", "end", "heartbeat"]);
}
