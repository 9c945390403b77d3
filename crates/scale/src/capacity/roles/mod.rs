//! The roles of the fleet and the rows of their tables.

mod callers;
mod configuration;
mod control_machines;
mod missing;
mod neighbours;
mod registry;
mod round_server;

use super::book::Book;
use super::row::Role;
use anyhow::Result;

/// Returns all roles in the order of the page.
///
/// # Errors
/// Returns an error that names the measurement if one that a row is computed from is missing.
pub fn all(book: &Book) -> Result<Vec<Role>> {
    Ok(vec![
        round_server::role(book)?,
        callers::role(book)?,
        registry::role(book)?,
        configuration::publisher(book)?,
        configuration::relay(book)?,
        neighbours::quota_allocator(book)?,
        neighbours::worker_pool(book)?,
        neighbours::next_tier()?,
        neighbours::ledger_collector(book)?,
        control_machines::role(book)?,
    ])
}

pub use missing::table as first_missing;
