//! The layout of the sources: no file is too long, and no two files of a crate import each other, directly
//! or through others.
//!
//! A file imports another when it names a path into that file's module. A path that leads to a re-export
//! counts for the file that defines the item, and a module's declarations and re-exports of its own children
//! count for nothing.

mod layout;

use layout::cycles::import_cycles;
use layout::{crate_roots, rust_files, workspace_root};

/// Maximum length of a source or test file, in lines.
const MAX_FILE_LINES: usize = 400;

#[test]
fn no_file_is_over_its_length() {
    let root = workspace_root();
    let folders =
        crate_roots(&root).into_iter().flat_map(|at| ["src", "tests", "benches"].map(|f| at.join(f)));
    let files: Vec<_> =
        folders.filter(|folder| folder.is_dir()).flat_map(|folder| rust_files(&folder)).collect();
    assert!(files.len() > 200, "only {} files were found", files.len());
    let mut long = Vec::new();
    for file in files {
        let lines = std::fs::read_to_string(&file).expect("a source file").lines().count();
        if lines > MAX_FILE_LINES {
            long.push(format!("{}: {lines} lines", file.display()));
        }
    }
    assert!(long.is_empty(), "files over {MAX_FILE_LINES} lines:\n{}", long.join("\n"));
}

#[test]
fn no_files_import_each_other() {
    let mut cycles = Vec::new();
    for at in crate_roots(&workspace_root()) {
        for cycle in import_cycles(&at.join("src")) {
            cycles.push(format!("{}: {}", at.display(), cycle.join(", ")));
        }
    }
    assert!(cycles.is_empty(), "files that import each other:\n{}", cycles.join("\n"));
}

/// Tests the check itself on two small crates: one with a cycle that a re-export hides, and one with a chain
/// and no cycle.
#[test]
fn a_cycle_is_found_through_re_exports_and_a_chain_is_none() {
    let fixture = workspace_root().join("tests/layout/fixture");
    assert_eq!(import_cycles(&fixture.join("cycle")), vec![vec!["a.rs".to_owned(), "b.rs".to_owned()]]);
    assert!(import_cycles(&fixture.join("chain")).is_empty());
}
