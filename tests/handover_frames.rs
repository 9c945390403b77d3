//! Tests of the connection between two processes of one server: frames in any split, descriptors, and the end
//! of a link.

use dunlinspread::server::handover::{
    HandoverSocketError, HandoverStream, LinkEvent, MAX_FRAME_BYTES, OutgoingFrame, run_link,
};
use futures_lite::future::{block_on, or, poll_once, zip};
use futures_lite::pin;
use proptest::prelude::{Just, Strategy, any, prop_assert_eq, proptest};
use proptest::test_runner::Config;
use std::fs::File;
use std::io::{Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Time limit of each operation.
const TIME_LIMIT: Duration = Duration::from_secs(60);

fn stream_pair() -> (HandoverStream, HandoverStream) {
    let (left, right) = UnixStream::pair().expect("a pair");
    (HandoverStream::new(left).expect("a stream"), HandoverStream::new(right).expect("a stream"))
}

/// Returns a stream and the raw socket of its other side.
fn raw_pair() -> (HandoverStream, UnixStream) {
    let (left, right) = UnixStream::pair().expect("a pair");
    (HandoverStream::new(left).expect("a stream"), right)
}

fn encode(frame: &[u8]) -> Vec<u8> {
    let length = u32::try_from(frame.len()).expect("a short frame");
    [&length.to_be_bytes(), frame].concat()
}

/// Runs `future` to completion; fails the test at the time limit.
fn run_within_limit<T>(future: impl Future<Output = T>) -> T {
    let timed_out = async {
        async_io::Timer::after(TIME_LIMIT).await;
        panic!("not done within {TIME_LIMIT:?}")
    };
    block_on(or(future, timed_out))
}

fn outgoing(bytes: &[u8]) -> OutgoingFrame {
    OutgoingFrame { bytes: bytes.to_vec(), descriptor: None }
}

fn frame_bytes(event: Result<LinkEvent, async_channel::TryRecvError>) -> Vec<u8> {
    match event {
        Ok(LinkEvent::Frame(frame)) => frame.bytes,
        other => panic!("no frame: {other:?}"),
    }
}

/// Returns sizes of single writes, around the lengths of headers and buffers.
fn piece_sizes() -> impl Strategy<Value = Vec<usize>> {
    let size = proptest::prop_oneof![4 => 1_usize..9, 3 => 9_usize..5_000, 1 => Just(200_000)];
    proptest::collection::vec(size, 1..40)
}

fn frames() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let length = proptest::prop_oneof![4 => 0_usize..40, 3 => 40_usize..9_000, 1 => Just(MAX_FRAME_BYTES)];
    let frame = (length, any::<u8>()).prop_map(|(length, first)| {
        (0..length).map(|at| first.wrapping_add((at % 251) as u8)).collect::<Vec<u8>>()
    });
    proptest::collection::vec(frame, 0..8)
}

proptest! {
    #![proptest_config(Config { cases: 64, ..Config::default() })]

    #[test]
    fn frames_are_read_whole_in_any_split(frames in frames(), sizes in piece_sizes()) {
        let (stream, raw) = raw_pair();
        let bytes = frames.iter().flat_map(|frame| encode(frame)).collect::<Vec<u8>>();
        let writer = std::thread::spawn(move || {
            let mut remaining = &bytes[..];
            for size in sizes.iter().cycle() {
                let (piece, rest) = remaining.split_at((*size).min(remaining.len()));
                (&raw).write_all(piece).expect("writing");
                remaining = rest;
                if remaining.is_empty() {
                    return;
                }
            }
        });
        let mut read = Vec::new();
        while let Some(frame) = run_within_limit(stream.receive()).expect("a frame") {
            read.push(frame.bytes);
        }
        writer.join().expect("the writer thread");
        prop_assert_eq!(read, frames);
    }

    /// Sends frames in both directions at once, and asserts that a descriptor arrives with its own frame and
    /// no other.
    #[test]
    fn descriptors_come_with_their_frames(frames in frames(), with_descriptor in any::<u8>()) {
        let (left, right) = stream_pair();
        let file = tempfile::tempfile().expect("a file");
        let inode = file.metadata().expect("a file").ino();
        let has_descriptor = |at: usize| with_descriptor & (1 << at) != 0;
        let exchange = async |stream: &HandoverStream| {
            let write = async {
                for (at, frame) in frames.iter().enumerate() {
                    stream.send(frame, has_descriptor(at).then(|| file.as_fd())).await.expect("sent");
                }
                stream.shut_down(Shutdown::Write);
            };
            let read = async {
                let mut read = Vec::new();
                while let Some(frame) = stream.receive().await.expect("a frame") {
                    read.push(frame);
                }
                read
            };
            zip(write, read).await.1
        };
        let (at_left, at_right) = run_within_limit(zip(exchange(&left), exchange(&right)));
        for read in [at_left, at_right] {
            prop_assert_eq!(read.len(), frames.len());
            for (at, frame) in read.into_iter().enumerate() {
                prop_assert_eq!(&frame.bytes, &frames[at]);
                let actual = frame.descriptor.map(|file| File::from(file).metadata().expect("a file").ino());
                prop_assert_eq!(actual, has_descriptor(at).then_some(inode));
            }
        }
    }
}

/// Asserts that dropping the future of `receive` within a frame loses no bytes.
#[test]
fn a_dropped_read_is_gone_on_with() {
    let (stream, raw) = raw_pair();
    for byte in encode(b"piecewise") {
        {
            let receive = stream.receive();
            pin!(receive);
            assert!(block_on(poll_once(receive)).is_none());
        }
        (&raw).write_all(&[byte]).expect("writing");
    }
    let frame = run_within_limit(stream.receive()).expect("read").expect("a frame");
    assert_eq!(frame.bytes, b"piecewise");
}

/// Asserts that no frame is written after a frame whose write was begun and dropped.
#[test]
fn nothing_is_written_behind_an_unfinished_frame() {
    let (stream, _raw) = raw_pair();
    let frame = vec![0; MAX_FRAME_BYTES];
    assert!(block_on(poll_once(stream.send(&frame, None))).is_none());
    let error = block_on(stream.send(b"next", None)).expect_err("an unfinished frame");
    assert!(matches!(error, HandoverSocketError::UnfinishedFrame), "{error}");
}

#[test]
fn a_frame_that_is_too_long_is_an_error_on_both_sides() {
    let (stream, raw) = raw_pair();
    let error = block_on(stream.send(&vec![0; MAX_FRAME_BYTES + 1], None)).expect_err("too long");
    assert!(
        matches!(error, HandoverSocketError::FrameTooLong { length, .. } if length == MAX_FRAME_BYTES + 1)
    );
    block_on(stream.send(b"short", None)).expect("nothing was begun");
    for length in [u32::MAX, 0x0010_0001] {
        let (stream, raw) = raw_pair();
        (&raw).write_all(&length.to_be_bytes()).expect("writing");
        let error = run_within_limit(stream.receive()).expect_err("too long");
        assert!(
            matches!(error, HandoverSocketError::FrameTooLong { length: seen, .. } if seen == length as usize),
            "{error}"
        );
    }
    drop(raw);
}

/// Asserts that a connection is accepted that waited in the accept queue while the listening socket was
/// handed over.
#[test]
fn a_listening_socket_is_handed_over() {
    let (predecessor, successor) = stream_pair();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queued = TcpStream::connect(address).expect("a connection");
    queued.write_all(b"request").expect("writing");
    block_on(predecessor.send(b"the listening socket", Some(listener.as_fd()))).expect("sent");
    drop(listener);

    let frame = run_within_limit(successor.receive()).expect("read").expect("a frame");
    let descriptor = frame.descriptor.expect("a descriptor");
    let flags = rustix::io::fcntl_getfd(&descriptor).expect("flags");
    assert!(flags.contains(rustix::io::FdFlags::CLOEXEC), "a child process would inherit it");
    let listener = TcpListener::from(descriptor);
    assert_eq!(listener.local_addr().expect("an address"), address);
    let mut read = [0; 7];
    listener.accept().expect("the queued connection").0.read_exact(&mut read).expect("its request");
    assert_eq!(&read, b"request");
    let _later = TcpStream::connect(address).expect("a later connection");
    listener.accept().expect("the later connection");
}

/// Asserts that the first of several descriptors is kept, and that the others are closed.
#[test]
fn further_descriptors_are_closed() {
    let (stream, raw) = raw_pair();
    let (first, mut other_end_of_first) = UnixStream::pair().expect("a pair");
    let (second, mut other_end_of_second) = UnixStream::pair().expect("a pair");
    let descriptors = [first.as_fd(), second.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = rustix::net::SendAncillaryBuffer::new(&mut space);
    assert!(control.push(rustix::net::SendAncillaryMessage::ScmRights(&descriptors)));
    let bytes = encode(b"two");
    let parts = [std::io::IoSlice::new(&bytes)];
    rustix::net::sendmsg(&raw, &parts, &mut control, rustix::net::SendFlags::empty()).expect("sent");
    drop((first, second));

    let frame = run_within_limit(stream.receive()).expect("read").expect("a frame");
    let mut kept = UnixStream::from(frame.descriptor.expect("a descriptor"));
    kept.write_all(b"kept").expect("writing");
    let mut read = [0; 4];
    other_end_of_first.read_exact(&mut read).expect("read");
    assert_eq!(&read, b"kept");
    other_end_of_second.set_read_timeout(Some(TIME_LIMIT)).expect("setting the timeout");
    assert_eq!(other_end_of_second.read(&mut read).expect("closed"), 0);
}

/// Asserts that two links carry frames with descriptors, and that each reports the end after all frames.
#[test]
fn a_link_carries_frames_and_flushes_at_its_end() {
    let (left, right) = stream_pair();
    let (to_left, left_queue) = async_channel::unbounded();
    let (to_right, right_queue) = async_channel::unbounded();
    let (left_events, from_left) = async_channel::unbounded();
    let (right_events, from_right) = async_channel::unbounded();
    let large = vec![7; MAX_FRAME_BYTES];
    let descriptor = OwnedFd::from(tempfile::tempfile().expect("a file"));
    for bytes in [&b"first"[..], &large, b""] {
        to_left.try_send(outgoing(bytes)).expect("a queue");
        to_right.try_send(outgoing(bytes)).expect("a queue");
    }
    let with_descriptor = OutgoingFrame { bytes: b"last".to_vec(), descriptor: Some(descriptor) };
    to_left.try_send(with_descriptor).expect("a queue");
    // One side ends. The queue of the other side is still open when that side reads the end, and its frames
    // are still written.
    to_left.close();
    let links = zip(run_link(left, left_queue, left_events), run_link(right, right_queue, right_events));
    run_within_limit(links);
    for events in [&from_left, &from_right] {
        for bytes in [&b"first"[..], &large, b""] {
            assert_eq!(frame_bytes(events.try_recv()), bytes);
        }
    }
    match from_right.try_recv() {
        Ok(LinkEvent::Frame(frame)) => {
            assert!(frame.descriptor.is_some());
            assert_eq!(frame.bytes, b"last");
        }
        other => panic!("no frame: {other:?}"),
    }
    for events in [&from_left, &from_right] {
        assert!(matches!(events.try_recv(), Ok(LinkEvent::Closed { error: None })));
        assert!(events.try_recv().is_err(), "an event follows the end");
    }
    assert!(to_right.is_closed());
}

/// Asserts that the frames that the other process sent before it ended are delivered before the end, although
/// writing to it fails.
#[test]
fn all_frames_come_before_the_end_when_writing_fails() {
    let (stream, raw) = raw_pair();
    for number in 0..100_u32 {
        (&raw).write_all(&encode(&number.to_be_bytes())).expect("writing");
    }
    drop(raw);
    let (to_write, queue) = async_channel::bounded(8);
    for _ in 0..8 {
        to_write.try_send(outgoing(b"too late")).expect("a queue");
    }
    // The link waits for room in its event channel, so that writing fails long before the last frame is read.
    let (events, incoming) = async_channel::bounded(1);
    let collect = async {
        let mut seen = Vec::new();
        while let Ok(event) = incoming.recv().await {
            seen.push(event);
        }
        seen
    };
    let mut seen = run_within_limit(zip(run_link(stream, queue, events), collect)).1;
    let end = seen.pop();
    assert!(
        matches!(end, Some(LinkEvent::Closed { error: Some(HandoverSocketError::Write(_)) })),
        "received {end:?}"
    );
    assert_eq!(seen.len(), 100);
    for (number, event) in (0_u32..).zip(seen) {
        assert_eq!(frame_bytes(Ok(event)), number.to_be_bytes());
    }
    assert!(to_write.is_closed());
}

/// Asserts that the frames of a process that ends with unread frames are delivered, and that the end is an
/// error.
#[test]
fn all_frames_come_before_the_end_when_the_connection_is_reset() {
    let (stream, raw) = raw_pair();
    let (to_write, queue) = async_channel::unbounded();
    let (events, incoming) = async_channel::unbounded();
    to_write.try_send(outgoing(b"never read")).expect("a queue");
    let other_side = async {
        while !to_write.is_empty() {
            futures_lite::future::yield_now().await;
        }
        (&raw).write_all(&encode(b"last words")).expect("writing");
        drop(raw);
    };
    run_within_limit(zip(run_link(stream, queue, events), other_side));
    assert_eq!(frame_bytes(incoming.try_recv()), b"last words");
    let end = incoming.try_recv();
    assert!(matches!(end, Ok(LinkEvent::Closed { error: Some(_) })), "received {end:?}");
    assert!(incoming.try_recv().is_err(), "an event follows the end");
}

/// Asserts that a receiver that reads no events blocks the sender: one frame waits in the channel, one in the
/// task, and the others in the buffers of the two sockets.
#[test]
fn a_stalled_reader_holds_up_the_writer() {
    const FRAMES: usize = 64;
    let (stream, raw) = raw_pair();
    raw.set_nonblocking(true).expect("setting the blocking mode");
    let (_to_write, queue) = async_channel::unbounded();
    let (events, incoming) = async_channel::bounded(1);
    let sent = encode(&vec![1; MAX_FRAME_BYTES]).repeat(FRAMES);
    let mut link = Box::pin(run_link(stream, queue, events));
    let mut written = 0;
    // Repeats until polling the link makes no progress.
    loop {
        let before = written;
        while let Ok(length) = (&raw).write(&sent[written..]) {
            written += length;
        }
        assert!(block_on(poll_once(&mut link)).is_none());
        if written == before && incoming.is_full() {
            break;
        }
    }
    assert!(written < 4 * MAX_FRAME_BYTES, "{written} bytes were accepted");
    raw.set_nonblocking(false).expect("setting the blocking mode");
    let writer = std::thread::spawn(move || (&raw).write_all(&sent[written..]).expect("writing"));
    let collect = async {
        let mut frames = 0;
        while let Ok(LinkEvent::Frame(frame)) = incoming.recv().await {
            assert_eq!(frame.bytes.len(), MAX_FRAME_BYTES);
            frames += 1;
        }
        frames
    };
    assert_eq!(run_within_limit(zip(link, collect)).1, FRAMES);
    writer.join().expect("the writer thread");
}
