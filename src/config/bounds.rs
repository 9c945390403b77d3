//! What the process may hold, from the limits that it is told.

/// What the process may hold, scaled to its limits: whatever outside sends, each kind of holding keeps to its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients.
    pub clients: usize,
    /// Calls below, open and kept connections together.
    pub calls: usize,
    /// Requests in the ledger.
    pub requests: usize,
    /// Keys in the table.
    pub keys: usize,
    /// Bytes of kept results.
    pub result_bytes: usize,
    /// Messages that wait for the core, before those who send them wait.
    pub core_mailbox: usize,
    /// Log lines that wait for the writer; further ones are dropped and counted.
    pub log_lines: usize,
    /// Aggregates that a ledger holds open, if there is one.
    pub ledger_cells: usize,
}

impl Bounds {
    /// What one of each may take with everything around it, bytes. A connection has its buffers and mailbox, a
    /// request its body, twice while it is encoded.
    const CLIENT: usize = 32 << 10;
    const REQUEST: usize = 5 << 10;
    const KEY: usize = 400;
    const LOG_LINE: usize = 1 << 10;
    const LEDGER_CELL: usize = 160;
    /// Descriptors that are neither a client's nor a call's: some fifteen, and room.
    const OTHER_DESCRIPTORS: usize = 24;

    /// Bounds for limits. Of the memory, a quarter is for clients, a fifth for results, a sixth for requests and a
    /// tenth for keys; the rest is for calls, the log and the program itself. Client proxies open half of the
    /// descriptors at most, and a few of theirs may be only just closing; the rest is for calls.
    pub fn new(memory_bytes: usize, sockets: usize) -> Bounds {
        Bounds {
            clients: (sockets / 2 + sockets / 16).min(memory_bytes / 4 / Self::CLIENT),
            calls: (sockets * 3 / 8).saturating_sub(Self::OTHER_DESCRIPTORS).max(8),
            requests: (memory_bytes / 6 / Self::REQUEST).min(10_000),
            keys: memory_bytes / 10 / Self::KEY,
            result_bytes: memory_bytes / 5,
            core_mailbox: (memory_bytes / 32 / Self::REQUEST).clamp(64, 1024),
            log_lines: (memory_bytes / 64 / Self::LOG_LINE).clamp(64, 1024),
            ledger_cells: memory_bytes / 32 / Self::LEDGER_CELL,
        }
    }
}
