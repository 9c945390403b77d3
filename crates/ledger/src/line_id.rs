//! The id of a line and its text form.

use prost::Message;

/// The id of a line: the server, the start that wrote the line, and the line's number in the store.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct LineId {
    /// Name of the server that owns the store.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Id of the start that wrote the line; see [`Start::start`](crate::Start::start).
    #[prost(uint64, tag = "2")]
    pub start: u64,
    /// Number of the line in the store.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

impl LineId {
    /// Parses an id from its text form; returns `None` if the text is not of the form `SERVER/START/NUMBER`.
    pub fn parse(text: &str) -> Option<LineId> {
        let mut parts = text.rsplitn(3, '/');
        let (number, start, server) = (parts.next()?, parts.next()?, parts.next()?);
        if server.is_empty() {
            return None;
        }
        Some(LineId { server: server.to_owned(), start: start.parse().ok()?, number: number.parse().ok()? })
    }
}

/// Displays a line id in its text form, `SERVER/START/NUMBER`.
pub struct LineIdText<'a>(pub &'a LineId);

impl std::fmt::Display for LineIdText<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.0.server, self.0.start, self.0.number)
    }
}
