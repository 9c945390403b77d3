//! The command `capacity`: generates the tables of `docs/CAPACITY.md` from the target,
//! `docs/capacity/slopes.json` and `docs/capacity/propagation.json`, or checks that the page still matches
//! them.

mod assumptions;
mod book;
pub mod estimate;
mod render;
mod roles;
mod row;
mod target;

use anyhow::{Context, Result};
use book::Book;
use std::path::PathBuf;

/// Options of `capacity`.
#[derive(clap::Args)]
pub struct Options {
    /// Folder that contains CAPACITY.md and capacity/.
    #[arg(long, default_value = "docs", value_name = "FOLDER")]
    pub docs: PathBuf,
    /// Write the tables into the page; without this flag, the page is only compared.
    #[arg(long)]
    pub write: bool,
}

/// Compares the page with the tables generated from the measurements, or writes them into it.
///
/// # Errors
/// Returns an error if a file cannot be read or written, a measurement is missing, or the page differs from
/// the generated tables.
pub fn run(options: &Options) -> Result<()> {
    let path = options.docs.join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let book = Book::read(&options.docs.join("capacity"))?;
    let filled = render::fill(&page, &book, &roles::all(&book)?)?;
    if options.write {
        return std::fs::write(&path, filled).with_context(|| format!("write {}", path.display()));
    }
    let first_difference =
        page.lines().zip(filled.lines()).position(|(current, expected)| current != expected);
    match first_difference {
        Some(line) => anyhow::bail!("{}:{}: does not follow from the measurements", path.display(), line + 1),
        None => anyhow::ensure!(page == filled, "{}: has missing or extra text at its end", path.display()),
    }
    println!("{}: follows from the measurements", path.display());
    Ok(())
}
