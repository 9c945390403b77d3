//! Names on the wire of the worker pool protocol (JSON lines). They are defined in this file only.

/// Key of the operation of a command or message.
pub(super) const KEY_OPERATION: &str = "op";
/// Key of an attempt id, 16 hexadecimal digits.
pub(super) const KEY_ATTEMPT: &str = "id";
/// Key of a class name.
pub(super) const KEY_CLASS: &str = "class";
/// Key of a body, in Base64.
pub(super) const KEY_BODY: &str = "body";
/// Key of the sequence number of a notice, from 1.
pub(super) const KEY_SEQUENCE: &str = "seq";
/// Key of the tag of a gauge query.
pub(super) const KEY_TAG: &str = "tag";
/// Key of the outcome of a run, of the kind of the pool's start, and of the name of a rejected command.
pub(super) const KEY_END: &str = "end";
/// Key of a duration, ms.
pub(super) const KEY_DURATION_MS: &str = "ms";
/// Key of the gauge values.
pub(super) const KEY_VALUES: &str = "values";

/// Command: start a link after the last notice read.
pub(super) const COMMAND_BIND: &str = "bind";
/// Command: run a request.
pub(super) const COMMAND_RUN: &str = "spawn";
/// Command: suspend a run.
pub(super) const COMMAND_SUSPEND: &str = "suspend";
/// Command: resume a suspended run.
pub(super) const COMMAND_RESUME: &str = "proceed";
/// Command: deliver the reply to the upstream call of a run.
pub(super) const COMMAND_UPSTREAM_REPLY: &str = "supply";
/// Command: continue a run without its upstream call.
pub(super) const COMMAND_SKIP_UPSTREAM_CALL: &str = "pass";
/// Command: read the gauges.
pub(super) const COMMAND_READ_GAUGES: &str = "poll";

/// Message: the pool accepted the link.
pub(super) const MESSAGE_BOUND: &str = "bound";
/// Notice: a run ended.
pub(super) const NOTICE_RUN_ENDED: &str = "finished";
/// Notice: a run waits for an upstream call.
pub(super) const NOTICE_UPSTREAM_CALL_NEEDED: &str = "blocked";
/// Notice: ignored by this server.
pub(super) const NOTICE_IGNORED: &str = "chatter";
/// Message: the gauge values.
pub(super) const MESSAGE_GAUGES: &str = "polled";
/// Message: a command was rejected.
pub(super) const MESSAGE_COMMAND_REJECTED: &str = "unknown";

/// Kind of the pool's start: cold.
pub(super) const START_COLD: &str = "new";
/// Outcome of a run: completed with a result.
pub(super) const END_COMPLETED: &str = "good";
/// Outcome of a run: failed.
pub(super) const END_FAILED: &str = "bad";
/// Outcome of a run: stopped.
pub(super) const END_STOPPED: &str = "cut";
/// Outcome of a run: never started.
pub(super) const END_NOT_STARTED: &str = "gone";

/// Tag of the gauge query whose reply shows that all earlier notices have been read.
pub(super) const TAG_CAUGHT_UP: &str = "caught-up";

/// Tag of the gauge query whose reply shows that all earlier commands on the link were carried out.
pub(super) const TAG_DRAINED: &str = "drained";
