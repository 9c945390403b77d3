//! The usage ledger in the server: billing of final answers, export of closed periods, comparison of digests.

pub mod billing;
pub mod digest_exchange;
pub mod export_worker;
