//! Unparsed settings: a JSON tree from the configuration file, or the simulator's pairs of paths and values.
//!
//! Both are read with the same paths. A list of scalars is read as its values joined by commas, a list of
//! objects by the index of an item and the item's key. Values are borrowed and parsed only when they are
//! read.

use super::{ConfigError, keys};
use crate::codec::json::Value;
use std::borrow::Cow;
use std::collections::HashMap;

/// Maximum number of items of a list.
const MAX_ITEMS: usize = 1_000_000;

/// Unparsed settings from a configuration file or the simulator.
#[derive(Clone, Debug)]
pub struct StatedSettings<'a>(Source<'a>);

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
    /// The pairs that hold the items, and the number of items.
    Pairs(&'a HashMap<&'a str, &'a str>, usize),
    Tree(&'a [Value]),
}

impl<'a> FromIterator<(&'a str, &'a str)> for StatedSettings<'a> {
    fn from_iter<T: IntoIterator<Item = (&'a str, &'a str)>>(pairs: T) -> Self {
        StatedSettings(Source::Pairs(pairs.into_iter().collect()))
    }
}

impl<'a> From<&'a Value> for StatedSettings<'a> {
    fn from(value: &'a Value) -> Self {
        StatedSettings(Source::Tree(value))
    }
}

impl StatedSettings<'_> {
    /// Returns the value at a path of one or two keys.
    pub(super) fn text(&self, path: &str) -> Option<Cow<'_, str>> {
        match &self.0 {
            Source::Pairs(pairs) => pairs.get(path).copied().map(Cow::Borrowed),
            Source::Tree(root) => to_text(at_path(root, path)?),
        }
    }

    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        self.text(key).map_or(Ok(default), |value| parse(key, &value))
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, ConfigError> {
        match self.text(key).as_deref() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(ConfigError::unreadable(key, value)),
        }
    }

    /// Returns the values of a list of scalars.
    pub(super) fn values(&self, key: &str) -> Vec<String> {
        let text = self.text(key).unwrap_or_default();
        text.split(',').map(str::to_owned).collect()
    }

    /// Returns the list of objects at a path; an empty list if there is none.
    pub(super) fn list(&self, path: &'static str) -> Result<List<'_>, ConfigError> {
        let count_key = || format!("{path}{}", keys::COUNT_SUFFIX);
        let items = match &self.0 {
            Source::Pairs(pairs) => {
                let count = pairs.get(count_key().as_str());
                Items::Pairs(pairs, count.map_or(Ok(0), |value| parse(&count_key(), value))?)
            }
            Source::Tree(root) => match member(root, path) {
                Some(Value::Array(items)) if has_objects(items) => Items::Tree(items),
                _ => Items::Tree(&[]),
            },
        };
        let list = List { path, items };
        if list.len() > MAX_ITEMS {
            return Err(ConfigError::new(count_key(), format!("is too large: {}", list.len())));
        }
        Ok(list)
    }

    /// Returns the names of a list's items, in order. An item without a name is an error.
    pub(super) fn names(&self, path: &'static str) -> Result<Vec<String>, ConfigError> {
        let list = self.list(path)?;
        let name = |index| {
            let text = list.text(index, keys::ITEM_NAME).filter(|text| !text.is_empty());
            text.map(Cow::into_owned).ok_or_else(|| ConfigError::missing(list.key(index, keys::ITEM_NAME)))
        };
        (0..list.len()).map(name).collect()
    }

    /// Returns the names of the gauges, in the order in which their values are sent.
    pub fn gauge_names(&self) -> Vec<String> {
        self.values(keys::GAUGE_NAMES)
    }
}

impl List<'_> {
    pub(super) fn len(&self) -> usize {
        match &self.items {
            Items::Pairs(_, count) => *count,
            Items::Tree(items) => items.len(),
        }
    }

    /// Returns the path of a key of an item.
    fn key(&self, index: usize, key: &str) -> String {
        format!("{}.{index}.{key}", self.path)
    }

    pub(super) fn text(&self, index: usize, key: &str) -> Option<Cow<'_, str>> {
        match &self.items {
            Items::Pairs(pairs, _) => pairs.get(self.key(index, key).as_str()).copied().map(Cow::Borrowed),
            Items::Tree(items) => to_text(member(items.get(index)?, key)?),
        }
    }

    pub(super) fn number(&self, index: usize, key: &str, default: f64) -> Result<f64, ConfigError> {
        let value = self.text(index, key);
        value.map_or(Ok(default), |value| {
            value.parse().map_err(|_| ConfigError::unreadable(self.key(index, key), &value))
        })
    }
}

/// Parses the value of a key.
pub(super) fn parse<T: std::str::FromStr>(key: &str, value: &str) -> Result<T, ConfigError> {
    value.parse().map_err(|_| ConfigError::unreadable(key, value))
}

/// Returns a member of an object; if several have the same name, the last one that is not null.
fn member<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let Value::Object(members) = value else { return None };
    let last = members.iter().rev().find(|(name, value)| name == key && *value != Value::Null);
    last.map(|(_, value)| value)
}

fn at_path<'a>(root: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(root, member)
}

fn has_objects(items: &[Value]) -> bool {
    items.iter().any(|item| matches!(item, Value::Object(_)))
}

/// Returns a scalar, or a list of scalars joined by commas, as text; `None` for other values.
fn to_text(value: &Value) -> Option<Cow<'_, str>> {
    match value {
        Value::Str(text) => Some(Cow::Borrowed(text)),
        Value::Number(_) | Value::Bool(_) => Some(Cow::Owned(scalar_to_text(value))),
        Value::Array(items) if !has_objects(items) => {
            let scalars: Vec<String> = items.iter().map(scalar_to_text).collect();
            Some(Cow::Owned(scalars.join(",")))
        }
        Value::Array(_) | Value::Object(_) | Value::Null => None,
    }
}

fn scalar_to_text(value: &Value) -> String {
    match value {
        Value::Str(text) => text.clone(),
        Value::Number(number) => number.to_string(),
        Value::Bool(flag) => flag.to_string(),
        Value::Null | Value::Array(_) | Value::Object(_) => String::new(),
    }
}
