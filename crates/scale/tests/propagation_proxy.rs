//! The fault proxy of a region: which bytes it forwards, holds back and damages, and which connections it
//! refuses.

use async_executor::Executor;
use dunlinspread_scale::propagation::control::{CutKind, LinkScope};
use dunlinspread_scale::propagation::fault_proxy::FaultProxy;
use futures_lite::future;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REGION: usize = 0;
const OTHER_REGION: usize = 1;
/// Indexes of the links: within the region, to another region, and to the publisher.
const WITHIN: usize = 0;
const CROSSING: usize = 1;
const PUBLISHER: usize = 2;
const LINKS: [Option<usize>; 3] = [Some(REGION), Some(OTHER_REGION), None];
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a cut link is checked for forwarded bytes. Bytes that arrive later make the check weaker
/// but never make it fail.
const SILENCE: Duration = Duration::from_millis(200);
const MESSAGE: [u8; 9] = *b"a message";

fn proxy() -> FaultProxy {
    let executor = Arc::new(Executor::new());
    let proxy = FaultProxy::start(REGION, LINKS.to_vec(), &executor).expect("the proxy listens");
    thread::spawn(move || async_io::block_on(executor.run(future::pending::<()>())));
    let target = echo_server();
    proxy.set_targets(vec![target; LINKS.len()]);
    proxy
}

/// Starts a server that echoes the bytes that it receives, and returns its address.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the target listens");
    let address = listener.local_addr().expect("the target's address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection to the target");
            thread::spawn(move || {
                let mut reader = stream.try_clone().expect("the target's second handle");
                let _ = std::io::copy(&mut reader, &mut stream);
            });
        }
    });
    address
}

fn connect(proxy: &FaultProxy, link: usize) -> TcpStream {
    let stream = TcpStream::connect(proxy.addresses()[link]).expect("the proxy accepts");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a read timeout");
    stream
}

fn echoed(stream: &mut TcpStream) -> std::io::Result<[u8; MESSAGE.len()]> {
    stream.write_all(&MESSAGE)?;
    read_message(stream)
}

fn read_message(stream: &mut TcpStream) -> std::io::Result<[u8; MESSAGE.len()]> {
    let mut message = [0; MESSAGE.len()];
    stream.read_exact(&mut message)?;
    Ok(message)
}

#[test]
fn passes_both_ways_on_every_link() {
    let proxy = proxy();
    for link in [WITHIN, CROSSING, PUBLISHER] {
        let mut stream = connect(&proxy, link);
        for _ in 0..3 {
            assert_eq!(echoed(&mut stream).unwrap(), MESSAGE);
        }
    }
}

#[test]
fn a_silent_cut_holds_back_until_it_heals() {
    let proxy = proxy();
    for link in [CROSSING, PUBLISHER] {
        let mut open = connect(&proxy, link);
        assert_eq!(echoed(&mut open).unwrap(), MESSAGE);
        proxy.cut(REGION, CutKind::Silent);
        let mut new = connect(&proxy, link);
        for stream in [&mut open, &mut new] {
            stream.set_read_timeout(Some(SILENCE)).unwrap();
            let error = echoed(stream).unwrap_err();
            assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        }
        proxy.heal(REGION);
        assert_eq!(read_message(&mut open).unwrap(), MESSAGE);
        assert_eq!(read_message(&mut new).unwrap(), MESSAGE);
    }
}

#[test]
fn a_refusing_cut_closes_connections_and_accepts_none() {
    let proxy = proxy();
    let mut open = connect(&proxy, PUBLISHER);
    assert_eq!(echoed(&mut open).unwrap(), MESSAGE);
    proxy.cut(REGION, CutKind::Refuse);
    assert!(echoed(&mut open).is_err());
    assert!(echoed(&mut connect(&proxy, PUBLISHER)).is_err());
    proxy.heal(REGION);
    assert_eq!(echoed(&mut connect(&proxy, PUBLISHER)).unwrap(), MESSAGE);
}

#[test]
fn a_region_is_cut_off_from_both_sides_and_not_within() {
    let proxy = proxy();
    let mut within = connect(&proxy, WITHIN);
    let mut crossing = connect(&proxy, CROSSING);
    let mut publisher = connect(&proxy, PUBLISHER);
    for stream in [&mut within, &mut crossing, &mut publisher] {
        assert_eq!(echoed(stream).unwrap(), MESSAGE);
    }
    // The other region is cut off, which affects only the link to it.
    proxy.cut(OTHER_REGION, CutKind::Refuse);
    assert_eq!(echoed(&mut within).unwrap(), MESSAGE);
    assert_eq!(echoed(&mut publisher).unwrap(), MESSAGE);
    assert!(echoed(&mut crossing).is_err());
    // This region is cut off as well; links within it keep working.
    proxy.cut(REGION, CutKind::Refuse);
    assert_eq!(echoed(&mut within).unwrap(), MESSAGE);
    assert!(echoed(&mut publisher).is_err());
}

#[test]
fn damages_one_byte_towards_the_client_of_the_links_that_are_meant() {
    let proxy = proxy();
    let mut within = connect(&proxy, WITHIN);
    let mut crossing = connect(&proxy, CROSSING);
    assert_eq!(echoed(&mut within).unwrap(), MESSAGE);
    assert_eq!(echoed(&mut crossing).unwrap(), MESSAGE);
    proxy.damage(LinkScope::Within);
    let damaged = echoed(&mut within).unwrap();
    assert_eq!(damaged.iter().zip(MESSAGE).filter(|(received, sent)| **received != *sent).count(), 1);
    assert_eq!(echoed(&mut within).unwrap(), MESSAGE, "only one message is damaged");
    assert_eq!(echoed(&mut crossing).unwrap(), MESSAGE, "other links are not damaged");
}
