//! The open-loop load: latency is measured from the due time of a request, whatever the other side does. An
//! unreachable limit on file descriptors is reported in the error.

use anyhow::Result;
use dunlinspread_scale::descriptors::raise_limit;
use dunlinspread_scale::probes::open_loop::{Load, Outcome, Wire, percentile, run};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// A wire format in which a request is one byte and the response is the same byte.
#[derive(Clone)]
struct Echo;

impl Wire for Echo {
    fn encode(&self, number: u64) -> Vec<u8> {
        vec![number as u8]
    }

    fn next_answer(&self, received: &mut Vec<u8>) -> Result<Option<(u64, bool)>> {
        if received.is_empty() {
            return Ok(None);
        }
        let byte = received.remove(0);
        Ok(Some((u64::from(byte), byte % 5 != 0)))
    }
}

/// Runs a load against a server that holds back all responses until `requests` requests have arrived.
fn run_against_delayed_server(requests: usize, seed: u64) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bytes = vec![0; requests];
        stream.read_exact(&mut bytes).expect("all requests");
        stream.write_all(&bytes).expect("all answers");
        // Keeps the connection open until the other side closes it.
        let _ = stream.read(&mut [0]);
    });
    let stream = TcpStream::connect(address).expect("a connection");
    let outcome = run(&Echo, &[stream], Load { rate: 200.0, requests, seed }).expect("a load");
    server.join().expect("the server ends");
    outcome
}

#[test]
fn latency_counts_from_when_a_request_was_due() {
    let seed = 7;
    let outcome = run_against_delayed_server(20, seed);
    assert_eq!(outcome.late_ms.len(), 20);
    // Every fifth response is an error. The others were held back until the last request was sent, which at
    // 200 requests per second is about 100 ms after the first one was due.
    assert_eq!(outcome.latency_ms.len(), 16, "seed {seed}: {outcome:?}");
    let (first, last) = (outcome.latency_ms[15], outcome.latency_ms[0]);
    assert!(first - last > 20.0, "seed {seed}: {outcome:?}");
}

#[test]
fn percentiles_are_values_that_occurred() {
    let values: Vec<f64> = (1..=1000).map(f64::from).collect();
    assert_eq!(percentile(&values, 0.5), 500.0);
    assert_eq!(percentile(&values, 0.99), 990.0);
    assert_eq!(percentile(&values, 0.999), 999.0);
    assert_eq!(percentile(&values, 1.0), 1000.0);
    assert_eq!(percentile(&values[..1], 0.5), 1.0);
    assert_eq!(percentile(&[], 0.5), 0.0);
}

#[test]
fn a_limit_that_cannot_be_had_is_named() {
    raise_limit(16).expect("16 is far below every limit");
    let error = raise_limit(1 << 40).expect_err("no system allows 2^40").to_string();
    assert!(error.contains("descriptors"), "{error}");
}
