//! Faults of an operator file: what is wrong, and in which file, line, block and key.

use hcl_edit::Span as _;
use hcl_edit::structure::{Block, Body};
use serde::de::DeserializeOwned;
use std::fmt;
use std::ops::Range;

/// What is wrong in an operator file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct OperatorFault {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The block with its label, if the fault is in one.
    pub block: Option<String>,
    /// The key, if the fault is one key's.
    pub key: Option<String>,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for OperatorFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(block) = &self.block {
            write!(f, ": {block}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": `{key}`")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// What is wrong with one key of a block, before the block's place in the file is known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{key}`: {what}")]
pub(super) struct KeyFault {
    /// The key.
    pub(super) key: &'static str,
    /// What is wrong.
    pub(super) what: String,
}

impl KeyFault {
    /// Returns a fault of a key.
    pub(super) fn new(key: &'static str, what: impl Into<String>) -> KeyFault {
        KeyFault { key, what: what.into() }
    }
}

/// The text that faults are found in.
pub(super) struct Source<'a> {
    pub(super) text: &'a str,
    pub(super) file: &'a str,
}

impl Source<'_> {
    pub(super) fn line(&self, span: Option<Range<usize>>) -> Option<usize> {
        let before = self.text.as_bytes().get(..span?.start)?;
        Some(before.iter().filter(|b| **b == b'\n').count() + 1)
    }

    pub(super) fn fault(
        &self,
        span: Option<Range<usize>>,
        block: Option<&Block>,
        key: Option<&str>,
        what: String,
    ) -> OperatorFault {
        OperatorFault {
            file: self.file.to_owned(),
            line: self.line(span),
            block: block.map(title),
            key: key.map(str::to_owned),
            what,
        }
    }

    /// A fault of one key of a block, or of a block within it.
    pub(super) fn key_fault(&self, block: &Block, key: &str, what: String) -> OperatorFault {
        let span = key_span(&block.body, key).or_else(|| block.span());
        self.fault(span, Some(block), Some(key), what)
    }

    /// A block's settings. Keys that don't belong and values of another kind are faults.
    pub(super) fn block<T: DeserializeOwned>(&self, block: &Block) -> Result<T, OperatorFault> {
        let body = hcl::Body::from(block.body.clone());
        let de = hcl::de::Deserializer::from_body(body);
        serde_path_to_error::deserialize(de).map_err(|e| {
            let path = e.path().to_string();
            let key = (path != ".").then_some(path);
            let what = e.into_inner().to_string();
            match key {
                Some(key) => self.key_fault(block, &key, what),
                None => self.fault(block.span(), Some(block), None, what),
            }
        })
    }
}

/// A block as its first line names it.
fn title(block: &Block) -> String {
    let labels = block.labels.iter().map(|l| format!(" \"{}\"", l.as_str()));
    format!("{}{}", block.ident.as_str(), labels.collect::<String>())
}

/// Where a key stands, by its dotted path; a labelled block's label is one part of the path.
fn key_span(body: &Body, path: &str) -> Option<Range<usize>> {
    let (first, rest) = split_path(path);
    if let Some(attribute) = body.get_attribute(first) {
        return attribute.span();
    }
    let label = rest.map(|rest| split_path(rest).0);
    let labelled = body.get_blocks(first).find(|b| b.labels.first().map(|l| l.as_str()) == label);
    if let (Some(block), Some(rest)) = (labelled, rest) {
        let below = split_path(rest).1.and_then(|below| key_span(&block.body, below));
        return below.or_else(|| block.span());
    }
    let block = body.get_blocks(first).next()?;
    rest.and_then(|rest| key_span(&block.body, rest)).or_else(|| block.span())
}

fn split_path(path: &str) -> (&str, Option<&str>) {
    path.split_once('.').map_or((path, None), |(first, rest)| (first, Some(rest)))
}
