//! What the process may hold, derived from the limits that it is told.

/// The most of each resource that the process holds, whatever comes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Client connections.
    pub client_connections: usize,
    /// Connections of operators, where there is a control endpoint.
    pub control_connections: usize,
    /// Connections to the upstream service, open calls and idle ones together.
    pub upstream_connections: usize,
    /// Requests that have no response yet.
    pub requests: usize,
    /// Idempotency keys.
    pub idempotency_keys: usize,
    /// Cached results, in bytes.
    pub result_bytes: usize,
    /// Messages in each queue of the dispatcher's mailbox, before their senders wait.
    pub dispatcher_mailbox: usize,
    /// Log lines that wait for the writer; further ones are dropped and counted.
    pub log_lines: usize,
    /// Aggregates that a usage ledger holds open.
    pub ledger_aggregates: usize,
}

impl ResourceLimits {
    /// Memory of a client connection with its buffers and queue, bytes.
    const CONNECTION_BYTES: usize = 32 << 10;
    /// Memory of a request with its body, twice while it is encoded, bytes.
    const REQUEST_BYTES: usize = 5 << 10;
    /// Memory of an idempotency key, bytes.
    const KEY_BYTES: usize = 400;
    /// Memory of a log line, bytes.
    const LOG_LINE_BYTES: usize = 1 << 10;
    /// Memory of an aggregate of the usage ledger, bytes.
    const AGGREGATE_BYTES: usize = 160;
    /// Descriptors that are neither a client's nor an upstream call's: some fifteen, and a reserve.
    const OTHER_DESCRIPTORS: usize = 24;
    /// The most requests, whatever the memory.
    const MAX_REQUESTS: usize = 10_000;
    /// The most connections of operators.
    const MAX_CONTROL_CONNECTIONS: usize = 32;
    /// The fewest connections to the upstream service.
    const MIN_UPSTREAM_CONNECTIONS: usize = 8;
    /// The smallest and largest queue of messages or log lines.
    const QUEUE: (usize, usize) = (64, 1024);

    /// Returns the limits for a process of this memory and so many descriptors.
    ///
    /// Of the memory, a quarter is for clients, a fifth for results, a sixth for requests and a tenth for keys; the rest
    /// is for upstream calls, the log and the program itself. Of the descriptors, clients get a half, with a reserve
    /// for connections that are closing, and upstream calls most of the rest; operators' connections come out of the last
    /// sixteenth, which neither of them gets.
    pub fn new(memory_bytes: usize, descriptors: usize) -> ResourceLimits {
        let queue = |length: usize| length.clamp(Self::QUEUE.0, Self::QUEUE.1);
        let upstream_connections = (descriptors * 3 / 8).saturating_sub(Self::OTHER_DESCRIPTORS);
        ResourceLimits {
            client_connections: (descriptors / 2 + descriptors / 16)
                .min(memory_bytes / 4 / Self::CONNECTION_BYTES),
            control_connections: (descriptors / 16).min(Self::MAX_CONTROL_CONNECTIONS),
            upstream_connections: upstream_connections.max(Self::MIN_UPSTREAM_CONNECTIONS),
            requests: (memory_bytes / 6 / Self::REQUEST_BYTES).min(Self::MAX_REQUESTS),
            idempotency_keys: memory_bytes / 10 / Self::KEY_BYTES,
            result_bytes: memory_bytes / 5,
            dispatcher_mailbox: queue(memory_bytes / 32 / Self::REQUEST_BYTES),
            log_lines: queue(memory_bytes / 64 / Self::LOG_LINE_BYTES),
            ledger_aggregates: memory_bytes / 32 / Self::AGGREGATE_BYTES,
        }
    }
}
