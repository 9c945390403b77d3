//! A fake successor that takes only those steps of a handover that a test requests.

use dunlinspread::server::handover::{HandoverDirectory, HandoverStream, connect};
use dunlinspread_handover::{ForwardedRequest, PROTOCOL_VERSION, ServerIdentity, ToPredecessor, ToSuccessor};
use futures_lite::future::block_on;
use std::path::Path;

/// Name of the server that the tests start.
const NAME: &str = "n3";
/// Classes of the server that the tests start.
const CLASSES: [&str; 2] = ["route-sheet", "pour-entry"];
/// Digest of an empty list of tenants.
const NO_TENANTS: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// The successor's end of the link.
pub struct FakeSuccessor {
    stream: HandoverStream,
    /// Number of keys in the snapshot.
    keys: u64,
}

impl FakeSuccessor {
    /// Connects to the server with this temporary directory and requests the transfer. When this returns, the
    /// server holds arriving requests.
    pub fn begin_transfer(temporary: &Path) -> FakeSuccessor {
        let directory = HandoverDirectory::open(temporary, NAME).expect("a private directory");
        let stream = connect(&directory).expect("no connection error").expect("a predecessor that listens");
        let mut successor = FakeSuccessor { stream, keys: 0 };
        let identity = ServerIdentity {
            name: NAME.to_owned(),
            classes: CLASSES.map(str::to_owned).to_vec(),
            tenants: vec![NO_TENANTS.to_owned()],
        };
        successor.send(&ToPredecessor::Hello { version: PROTOCOL_VERSION, identity });
        let welcome = successor.receive();
        assert!(matches!(welcome, ToSuccessor::Welcome { .. }), "not a welcome: {welcome:?}");
        successor.send(&ToPredecessor::RequestTransfer);
        loop {
            if let ToSuccessor::SnapshotEnd { keys } = successor.receive() {
                successor.keys = keys;
                return successor;
            }
        }
    }

    /// Confirms the snapshot, and returns once the server has committed.
    pub fn take_over(&mut self) {
        self.send(&ToPredecessor::Loaded { keys: self.keys });
        while self.receive() != ToSuccessor::Commit {}
    }

    /// Returns the next forwarded request.
    pub fn forwarded(&mut self) -> ForwardedRequest {
        loop {
            if let ToSuccessor::Request(request) = self.receive() {
                return request;
            }
        }
    }

    /// Waits until the server cancels this request.
    pub fn wait_cancelled(&mut self, request: u64) {
        while self.receive() != (ToSuccessor::Cancel { request }) {}
    }

    /// Sends a frame.
    pub fn send(&self, frame: &ToPredecessor) {
        block_on(self.stream.send(&frame.encode(), None)).expect("the link is open");
    }

    fn receive(&self) -> ToSuccessor {
        let frame = block_on(self.stream.receive()).expect("the link is open").expect("a frame");
        ToSuccessor::decode(&frame.bytes).expect("decoding a frame")
    }
}
