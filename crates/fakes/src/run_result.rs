//! The result of a run: the worker pool computes it, and the clients check it.

/// Returns the result of a run with this request body.
pub(crate) fn run_result(body: &[u8]) -> Vec<u8> {
    [b"done:", body].concat()
}
