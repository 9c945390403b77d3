//! Reads the paths that a source file uses, as absolute paths within its crate.

use std::collections::{BTreeMap, BTreeSet};
use syn::visit::Visit;

/// A path within a crate, without the leading `crate`.
pub type ImportPath = Vec<String>;

/// Paths that a file uses.
#[derive(Debug, Default)]
pub struct Imports {
    /// Paths that the file uses, without its re-exports.
    pub paths: Vec<ImportPath>,
    /// Modules that the file imports by a glob.
    pub globs: Vec<ImportPath>,
    /// Items that the file re-exports, by their exported names.
    pub re_exports: BTreeMap<String, ImportPath>,
}

/// Reads the paths that a file uses.
pub fn read(file: &syn::File, module: &[String]) -> Imports {
    let children = file.items.iter().filter_map(|item| match item {
        syn::Item::Mod(child) => Some(child.ident.to_string()),
        _ => None,
    });
    let mut reader = Reader {
        module,
        children: children.collect(),
        aliases: BTreeMap::new(),
        used: Vec::new(),
        imports: Imports::default(),
    };
    reader.visit_file(file);
    reader.finish()
}

struct Reader<'a> {
    module: &'a [String],
    children: BTreeSet<String>,
    /// Imported names, with their absolute paths.
    aliases: BTreeMap<String, ImportPath>,
    /// Paths outside of imports, as they are written.
    used: Vec<ImportPath>,
    imports: Imports,
}

impl Reader<'_> {
    /// Returns the absolute form of a path within this crate, or `None` for other paths.
    fn absolute(&self, path: &[String]) -> Option<ImportPath> {
        let (first, mut rest) = path.split_first()?;
        let mut base = match first.as_str() {
            "crate" => Vec::new(),
            "self" => self.module.to_vec(),
            "super" => self.module.split_last()?.1.to_vec(),
            child if self.children.contains(child) && !rest.is_empty() => {
                [self.module, &[child.to_owned()]].concat()
            }
            _ => return None,
        };
        while let Some(("super", after)) = rest.split_first().map(|(first, after)| (first.as_str(), after)) {
            base.pop()?;
            rest = after;
        }
        base.extend_from_slice(rest);
        Some(base)
    }

    fn read_tree(&mut self, tree: &syn::UseTree, prefix: &mut Vec<String>, is_re_export: bool) {
        match tree {
            syn::UseTree::Path(path) => {
                prefix.push(path.ident.to_string());
                self.read_tree(&path.tree, prefix, is_re_export);
                prefix.pop();
            }
            syn::UseTree::Group(group) => {
                group.items.iter().for_each(|item| self.read_tree(item, prefix, is_re_export));
            }
            syn::UseTree::Glob(_) => self.imports.globs.extend(self.absolute(prefix)),
            syn::UseTree::Name(name) => self.add_named(prefix, &name.ident, &name.ident, is_re_export),
            syn::UseTree::Rename(renamed) => {
                self.add_named(prefix, &renamed.ident, &renamed.rename, is_re_export);
            }
        }
    }

    fn add_named(&mut self, prefix: &[String], item: &syn::Ident, name: &syn::Ident, is_re_export: bool) {
        let path = match item.to_string() {
            itself if itself == "self" => prefix.to_vec(),
            item => [prefix, &[item]].concat(),
        };
        let Some(path) = self.absolute(&path) else { return };
        if is_re_export {
            self.imports.re_exports.insert(name.to_string(), path);
        } else {
            self.aliases.insert(name.to_string(), path.clone());
            self.imports.paths.push(path);
        }
    }

    /// Returns all paths, with those outside of imports resolved by the imported names.
    fn finish(mut self) -> Imports {
        for path in std::mem::take(&mut self.used) {
            let absolute = match self.aliases.get(&path[0]) {
                Some(origin) => Some([origin.as_slice(), &path[1..]].concat()),
                None => self.absolute(&path),
            };
            self.imports.paths.extend(absolute);
        }
        self.imports
    }
}

impl<'ast> Visit<'ast> for Reader<'_> {
    fn visit_item_use(&mut self, item: &'ast syn::ItemUse) {
        let is_re_export = !matches!(item.vis, syn::Visibility::Inherited);
        self.read_tree(&item.tree, &mut Vec::new(), is_re_export);
    }

    fn visit_path(&mut self, path: &'ast syn::Path) {
        if path.segments.len() > 1 {
            let segments: Vec<String> = path.segments.iter().map(|s| s.ident.to_string()).collect();
            self.used.push(segments);
        }
        syn::visit::visit_path(self, path);
    }
}
