//! Settings as they are stated: a tree from the configuration file, or the simulator's pairs of paths and values. Both
//! are read under the same paths: a list of plain values as its values joined by commas, a list of objects by the number
//! of an item and the item's key. Nothing is copied that is not asked for.

use super::Fault;
use crate::codec::json::Value;
use std::borrow::Cow;
use std::collections::HashMap;

/// The most items of a list.
const ITEMS_MAX: usize = 1_000_000;

/// The stated settings.
#[derive(Clone, Debug)]
pub struct Pairs<'a>(Source<'a>);

#[derive(Clone, Debug)]
enum Source<'a> {
    Pairs(HashMap<&'a str, &'a str>),
    Tree(&'a Value),
}

/// A list of objects.
pub(super) struct List<'a> {
    path: &'static str,
    items: Items<'a>,
}

enum Items<'a> {
    /// So many, under paths of the pairs.
    Pairs(&'a HashMap<&'a str, &'a str>, usize),
    Tree(&'a [Value]),
}

impl<'a> FromIterator<(&'a str, &'a str)> for Pairs<'a> {
    fn from_iter<T: IntoIterator<Item = (&'a str, &'a str)>>(pairs: T) -> Self {
        Pairs(Source::Pairs(pairs.into_iter().collect()))
    }
}

impl<'a> From<&'a Value> for Pairs<'a> {
    fn from(value: &'a Value) -> Self {
        Pairs(Source::Tree(value))
    }
}

impl Pairs<'_> {
    /// The value at a path of one or two keys.
    pub(super) fn text(&self, path: &str) -> Option<Cow<'_, str>> {
        match &self.0 {
            Source::Pairs(pairs) => pairs.get(path).copied().map(Cow::Borrowed),
            Source::Tree(root) => plain(at_path(root, path)?),
        }
    }

    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64, Fault> {
        self.text(key).map_or(Ok(default), |value| read(key, &value))
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, Fault> {
        match self.text(key).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(unreadable(key, value)),
        }
    }

    /// The values of a list of plain values.
    pub(super) fn values(&self, key: &str) -> Vec<String> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::to_owned).collect()
    }

    /// A list of objects; without such a list, an empty one.
    pub(super) fn list(&self, path: &'static str) -> Result<List<'_>, Fault> {
        let count_key = || format!("{path}.count");
        let items = match &self.0 {
            Source::Pairs(pairs) => {
                let count = pairs.get(count_key().as_str());
                Items::Pairs(pairs, count.map_or(Ok(0), |value| read(&count_key(), value))?)
            }
            Source::Tree(root) => match member(root, path) {
                Some(Value::Array(items)) if has_objects(items) => Items::Tree(items),
                _ => Items::Tree(&[]),
            },
        };
        let list = List { path, items };
        if list.len() > ITEMS_MAX {
            return Err(Fault::new(count_key(), format!("is too large: {}", list.len())));
        }
        Ok(list)
    }

    /// The names of a list's items, in order; an item without one can't be told from the others.
    pub(super) fn names(&self, path: &'static str) -> Result<Vec<String>, Fault> {
        let list = self.list(path)?;
        let name = |at| {
            let text = list.text(at, "name").filter(|text| !text.is_empty());
            text.map(Cow::into_owned).ok_or_else(|| Fault::new(list.key(at, "name"), "is missing"))
        };
        (0..list.len()).map(name).collect()
    }

    /// What the gauges are called, in the order in which they come.
    pub fn gauge_names(&self) -> Vec<String> {
        self.values("specifics.gauges")
    }
}

impl List<'_> {
    pub(super) fn len(&self) -> usize {
        match &self.items {
            Items::Pairs(_, count) => *count,
            Items::Tree(items) => items.len(),
        }
    }

    /// The path of an item's key.
    fn key(&self, at: usize, key: &str) -> String {
        format!("{}.{at}.{key}", self.path)
    }

    pub(super) fn text(&self, at: usize, key: &str) -> Option<Cow<'_, str>> {
        match &self.items {
            Items::Pairs(pairs, _) => pairs.get(self.key(at, key).as_str()).copied().map(Cow::Borrowed),
            Items::Tree(items) => plain(member(items.get(at)?, key)?),
        }
    }

    pub(super) fn number(&self, at: usize, key: &str, default: f64) -> Result<f64, Fault> {
        let value = self.text(at, key);
        value.map_or(Ok(default), |value| value.parse().map_err(|_| unreadable(&self.key(at, key), &value)))
    }
}

/// Reads a value.
pub(super) fn read<T: std::str::FromStr>(key: &str, value: &str) -> Result<T, Fault> {
    value.parse().map_err(|_| unreadable(key, value))
}

fn unreadable(key: &str, value: &str) -> Fault {
    Fault::new(key, format!("can't be read: {value}"))
}

/// An object's member. Of members with one name the last that says something counts.
fn member<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let Value::Object(members) = value else { return None };
    let found = members.iter().rev().find(|(name, value)| name == key && *value != Value::Null);
    found.map(|(_, value)| value)
}

fn at_path<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, member)
}

fn has_objects(items: &[Value]) -> bool {
    items.iter().any(|item| matches!(item, Value::Object(_)))
}

/// A plain value, or a list of plain values joined by commas, as text.
fn plain(value: &Value) -> Option<Cow<'_, str>> {
    match value {
        Value::Str(text) => Some(Cow::Borrowed(text)),
        Value::Number(_) | Value::Bool(_) => Some(Cow::Owned(scalar(value))),
        Value::Array(items) if !has_objects(items) => {
            let scalars: Vec<String> = items.iter().map(scalar).collect();
            Some(Cow::Owned(scalars.join(",")))
        }
        Value::Array(_) | Value::Object(_) | Value::Null => None,
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Str(text) => text.clone(),
        Value::Number(number) => number.to_string(),
        Value::Bool(flag) => flag.to_string(),
        Value::Null | Value::Array(_) | Value::Object(_) => String::new(),
    }
}
