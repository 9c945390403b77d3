//! The id of a line, and its text.

use prost::Message;

/// The id of a line: the store's owner, the start that wrote it, and its number in the store.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct LineId {
    /// The server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The start, by [`Start::start`](crate::Start::start).
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// The number in the store.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

impl LineId {
    /// Reads an id from its text; none if it is not of the form `SERVER/START/NUMBER`.
    pub fn parse(text: &str) -> Option<LineId> {
        let mut parts = text.rsplitn(3, '/');
        let (number, start, server) = (parts.next()?, parts.next()?, parts.next()?);
        if server.is_empty() {
            return None;
        }
        Some(LineId { server: server.to_owned(), start: start.parse().ok()?, number: number.parse().ok()? })
    }
}

/// The text of a line's id: `SERVER/START/NUMBER`.
pub struct LineIdText<'a>(pub &'a LineId);

impl std::fmt::Display for LineIdText<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.0.server, self.0.start, self.0.number)
    }
}
