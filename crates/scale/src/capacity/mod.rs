//! The command `capacity`: makes the tables of `docs/CAPACITY.md` from the target, `docs/capacity/slopes.json` and
//! `docs/capacity/propagation.json`, or checks that the page still says what follows from them.

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
    /// The folder with CAPACITY.md and capacity/.
    #[arg(long, default_value = "docs", value_name = "FOLDER")]
    pub docs: PathBuf,
    /// Write the tables into the page; without it, the page is only compared.
    #[arg(long)]
    pub write: bool,
}

/// Compares the page with what follows from the measurements, or writes it.
///
/// # Errors
/// If a file can't be read, a measurement is missing, or the page says something else.
pub fn run(options: &Options) -> Result<()> {
    let path = options.docs.join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let book = Book::read(&options.docs.join("capacity"))?;
    let filled = render::fill(&page, &book, &roles::all(&book)?)?;
    if options.write {
        return std::fs::write(&path, filled).with_context(|| format!("write {}", path.display()));
    }
    let differs = page.lines().zip(filled.lines()).position(|(stands, follows)| stands != follows);
    match differs {
        Some(line) => anyhow::bail!("{}:{}: does not follow from the measurements", path.display(), line + 1),
        None => anyhow::ensure!(page == filled, "{}: is too short or too long", path.display()),
    }
    println!("{}: follows from the measurements", path.display());
    Ok(())
}
