//! Reads the workspace's source files for the checks of their layout.

pub mod cycles;
mod imports;
mod modules;

use std::path::{Path, PathBuf};

/// Returns the folder of the workspace.
pub fn workspace_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the folders of all crates: the root package and the members.
pub fn crate_roots(root: &Path) -> Vec<PathBuf> {
    let mut roots = vec![root.to_owned()];
    roots.extend(entries(&root.join("crates")).into_iter().filter(|path| path.join("Cargo.toml").is_file()));
    roots
}

/// Returns all Rust files below a folder, sorted by path.
pub fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for path in entries(folder) {
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the paths of a folder's entries, sorted.
fn entries(folder: &Path) -> Vec<PathBuf> {
    let read = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    let mut paths: Vec<PathBuf> = read.map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    paths
}
