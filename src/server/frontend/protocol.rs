//! Names on the wire of the client protocol (MessagePack-RPC). They are defined in this file only.

/// Message type of a request: `[0, id, method, args]`.
pub(super) const TYPE_REQUEST: u64 = 0;
/// Message type of a response: `[1, id, error, result]`.
pub(super) const TYPE_RESPONSE: u64 = 1;
/// Message type of a notification: `[2, method, args]`.
pub(super) const TYPE_NOTIFICATION: u64 = 2;
/// Number of elements of a response.
pub(super) const RESPONSE_ELEMENTS: u8 = 4;
/// Number of elements of a notification.
pub(super) const NOTIFICATION_ELEMENTS: u8 = 3;
/// Number of elements of a result (body and fields) and of an error (name and fields).
pub(super) const PAYLOAD_ELEMENTS: u8 = 2;

/// Method of a health check.
pub(super) const METHOD_HEALTH_CHECK: &[u8] = b"isWell";
/// Notification from a client that it no longer waits for the listed message ids.
pub(super) const NOTIFICATION_CANCEL: &[u8] = b"forget";
/// Notification to a client that the server accepts no new request on the connection.
pub(super) const NOTIFICATION_SHUTDOWN: &str = "shutdown";

/// Request field: id of the attempt, 16 hexadecimal digits.
pub(super) const FIELD_ATTEMPT: &str = "call";
/// Request field: time at which the request reached the machine, Unix ms.
pub(super) const FIELD_RECEIVED_AT: &str = "recv";
/// Request field: memory that the request occupies while queued, kB.
pub(super) const FIELD_REQUEST_KB: &str = "heap";
/// Request field: priority, 0 to 1.
pub(super) const FIELD_PRIORITY: &str = "crit";
/// Request field: idempotency key.
pub(super) const FIELD_IDEMPOTENCY_KEY: &str = "dedupe";
/// Request field: how long the client waits for this attempt, ms.
pub(super) const FIELD_TIMEOUT_MS: &str = "ttl";
/// Request field: the tenant, which is also the account that is billed.
pub(super) const FIELD_TENANT: &str = "org";
/// Request field: the item that the request reads. Its presence means that the result may be shared.
pub(super) const FIELD_SHARED_READ: &str = "row";

/// Error name of a rejected request.
pub(super) const ERROR_REJECTED: &str = "Backoff";
/// Error name of a failed request.
pub(super) const ERROR_FAILED: &str = "Failed";
/// Error name of an invalid request.
pub(super) const ERROR_INVALID: &str = "Invalid";
/// Response field: the advertised share.
pub(super) const FIELD_ADVERTISED_SHARE: &str = "load";
/// Response field: Retry-After, ms.
pub(super) const FIELD_RETRY_AFTER_MS: &str = "pushback";
/// Response field: the client must not retry on another server.
pub(super) const FIELD_DO_NOT_RETRY: &str = "stop";
/// Value of a response field that is a flag.
pub(super) const FLAG_SET: &str = "1";
