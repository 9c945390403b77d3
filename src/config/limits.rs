//! Bounds of the process's tables, queues and connections, derived from its memory and descriptor limits.

/// Maximum amount of each resource that the process uses, whatever its peers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to the control endpoint, if there is one.
    pub control_connections: usize,
    /// Maximum number of connections to the upstream service, both with open calls and idle.
    pub upstream_connections: usize,
    /// Maximum number of requests without a response.
    pub requests: usize,
    /// Maximum number of idempotency keys.
    pub idempotency_keys: usize,
    /// Maximum size of all cached results, bytes.
    pub result_bytes: usize,
    /// Maximum number of messages in each queue of the dispatcher's mailbox; senders wait while a queue is
    /// full.
    pub dispatcher_mailbox: usize,
    /// Maximum number of log lines queued for the writer; further lines are dropped and counted.
    pub log_lines: usize,
    /// Maximum number of open aggregates of a usage ledger.
    pub ledger_aggregates: usize,
}

impl ResourceLimits {
    /// Memory of a client connection with its buffers and queue, bytes.
    const CONNECTION_BYTES: usize = 32 << 10;
    /// Memory of a request with its body, bytes; the body is held twice while it is encoded.
    const REQUEST_BYTES: usize = 5 << 10;
    /// Memory of an idempotency key, bytes.
    const KEY_BYTES: usize = 400;
    /// Memory of a log line, bytes.
    const LOG_LINE_BYTES: usize = 1 << 10;
    /// Memory of an aggregate of the usage ledger, bytes.
    const AGGREGATE_BYTES: usize = 160;
    /// Descriptors used neither by clients nor by upstream calls: about fifteen, and a reserve.
    const OTHER_DESCRIPTORS: usize = 24;
    /// Maximum number of requests, whatever the memory.
    const MAX_REQUESTS: usize = 10_000;
    /// Maximum number of connections to the control endpoint, whatever the number of descriptors.
    const MAX_CONTROL_CONNECTIONS: usize = 32;
    /// Minimum number of connections to the upstream service.
    const MIN_UPSTREAM_CONNECTIONS: usize = 8;
    /// Minimum and maximum length of a queue of messages or log lines.
    const QUEUE_LENGTH: (usize, usize) = (64, 1024);

    /// Returns the limits for a process with this memory and this number of descriptors.
    ///
    /// A quarter of the memory is for client connections, a fifth for results, a sixth for requests and a
    /// tenth for idempotency keys; the rest is for upstream calls, the log and the program itself. Half of
    /// the descriptors, with a reserve of a sixteenth for connections that are closing, are for clients, and
    /// most of the rest for upstream calls. Connections to the control endpoint use the last sixteenth, which
    /// neither clients nor upstream calls use.
    pub fn new(memory_bytes: usize, descriptors: usize) -> ResourceLimits {
        let queue = |length: usize| length.clamp(Self::QUEUE_LENGTH.0, Self::QUEUE_LENGTH.1);
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
