//! Groups of files that import each other.

use super::imports::ImportPath;
use super::modules::{Modules, read_modules};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Maximum number of re-exports that are followed for one path.
const MAX_RE_EXPORTS: usize = 8;

/// Returns the groups of files below a crate's source folder that import each other, directly or through
/// other files of the group.
pub fn import_cycles(source: &Path) -> Vec<Vec<String>> {
    let modules = read_modules(source);
    let reachable = reachable_files(&imported_files(&modules));
    let mut groups = BTreeSet::new();
    for (file, targets) in &reachable {
        let group: Vec<String> =
            targets.iter().filter(|target| reachable[*target].contains(file)).cloned().collect();
        if group.len() > 1 {
            groups.insert(group);
        }
    }
    groups.into_iter().collect()
}

/// Returns the files that each file imports.
fn imported_files(modules: &Modules) -> BTreeMap<String, BTreeSet<String>> {
    let mut files = BTreeMap::new();
    for module in modules.values() {
        let globs = module.globs.iter().filter_map(|path| Some(modules.get(path)?.file.clone()));
        let targets = module.imports.iter().filter_map(|path| defining_file(modules, path)).chain(globs);
        let targets: BTreeSet<String> = targets.filter(|target| *target != module.file).collect();
        files.insert(module.file.clone(), targets);
    }
    files
}

/// Returns the file that defines the item of a path.
fn defining_file(modules: &Modules, path: &ImportPath) -> Option<String> {
    let mut path = path.clone();
    for _ in 0..MAX_RE_EXPORTS {
        let length = (0..=path.len()).rev().find(|length| modules.contains_key(&path[..*length]))?;
        let module = &modules[&path[..length]];
        let re_exported = path.get(length).and_then(|item| module.re_exports.get(item));
        match re_exported {
            Some(origin) => path = [origin.as_slice(), &path[length + 1..]].concat(),
            // The path imports the module itself; its items are counted where they are used.
            None if length == path.len() => return None,
            None => return Some(module.file.clone()),
        }
    }
    None
}

/// Returns the files that each file imports directly or through others.
fn reachable_files(imported: &BTreeMap<String, BTreeSet<String>>) -> BTreeMap<String, BTreeSet<String>> {
    let mut all = BTreeMap::new();
    for file in imported.keys() {
        let mut seen = BTreeSet::new();
        let mut pending: Vec<&String> = imported[file].iter().collect();
        while let Some(next) = pending.pop() {
            if seen.insert(next.clone()) {
                pending.extend(&imported[next]);
            }
        }
        all.insert(file.clone(), seen);
    }
    all
}
