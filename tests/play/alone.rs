//! The program started with none of its peers up.

use super::bytes::request;
use super::{HANG, address, message, start_with, unescape};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::Child;

/// The program with nobody around it.
pub struct Alone {
    child: Child,
    /// Where it listens.
    pub address: String,
}

impl Drop for Alone {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Alone {
    /// Started, and its log read up to the line that it serves.
    pub fn new(config: &str) -> Alone {
        Alone::limited(config, "unlimited")
    }

    /// The same with so many descriptors.
    pub fn limited(config: &str, descriptors: &str) -> Alone {
        let mut alone = Alone { child: start_with(config, descriptors).0, address: String::new() };
        let log = BufReader::new(alone.child.stderr.take().expect("a log"));
        let mut lines = log.lines().map_while(Result::ok);
        alone.address = lines.find_map(|line| address(&line)).expect("it serves");
        // The log is read to its end, or the program could not write it.
        std::thread::spawn(move || lines.for_each(drop));
        alone
    }

    /// The answer to a health check.
    pub fn check(&mut self) -> String {
        let mut stream = TcpStream::connect(&self.address).expect("it listens");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        let ask = [&[0x94, 0, 1][..], &unescape("\\xa6isWell\\x91\\x80")[..]].concat();
        stream.write_all(&ask).expect("the connection stands");
        message(&mut stream)
    }
}

/// A client of it.
pub struct Client(TcpStream);

impl Client {
    /// Connected.
    pub fn new(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("it listens");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        Client(stream)
    }

    /// One that made a health check and rests; none if it was told to leave before its answer.
    pub fn resting(address: &str) -> Option<Client> {
        let mut client = Client::new(address);
        client.0.write_all(&[&[0x94, 0, 1][..], &unescape("\\xa6isWell\\x91\\x80")[..]].concat()).ok()?;
        message(&mut client.0).starts_with(r"\x94").then_some(client)
    }

    /// Asks for a run.
    pub fn ask(&mut self, id: u64, class: &str) {
        self.0.write_all(&request("g", &format!("{id} {class}"))).expect("the connection stands");
    }
}
