//! Reads the modules of a crate, each with its file, its imports and its re-exports.

use super::imports::{self, ImportPath};
use super::rust_files;
use std::collections::BTreeMap;
use std::path::Path;

/// A module that has a file of its own.
#[derive(Debug)]
pub struct Module {
    /// The file, relative to the crate's source folder.
    pub file: String,
    /// Absolute paths that the file uses.
    pub imports: Vec<ImportPath>,
    /// Modules that the file imports by a glob.
    pub globs: Vec<ImportPath>,
    /// Items that the module re-exports: their exported names, with their absolute paths.
    pub re_exports: BTreeMap<String, ImportPath>,
}

/// Modules of a crate by their paths; the crate's root has an empty path.
pub type Modules = BTreeMap<ImportPath, Module>;

/// Reads all modules below a crate's source folder, except files of `bin`, which are separate crates.
pub fn read_modules(source: &Path) -> Modules {
    let mut modules = Modules::new();
    for path in rust_files(source) {
        let relative = path.strip_prefix(source).expect("a file below the folder");
        if relative.starts_with("bin") {
            continue;
        }
        let file = relative.to_string_lossy().into_owned();
        let module_path = module_path(&file);
        let text = std::fs::read_to_string(&path).expect("a source file");
        let syntax = syn::parse_file(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let read = imports::read(&syntax, &module_path);
        modules.insert(
            module_path,
            Module { file, imports: read.paths, globs: read.globs, re_exports: read.re_exports },
        );
    }
    modules
}

/// Returns the path of the module that a file holds: `a/mod.rs` and `a.rs` both hold `a`.
fn module_path(file: &str) -> ImportPath {
    let name = file.trim_end_matches(".rs");
    let mut segments: Vec<String> = name.split('/').map(str::to_owned).collect();
    if matches!(segments.last().map(String::as_str), Some("mod" | "lib" | "main")) {
        segments.pop();
    }
    segments
}
