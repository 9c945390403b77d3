//! The text of an operator file, and the positions of its blocks and keys.

use super::error::{KeyError, OperatorConfigError};
use hcl_edit::Span as _;
use hcl_edit::structure::{Block, Body};
use serde::de::DeserializeOwned;
use std::ops::Range;

/// The text of an operator file, and the name used for the file in errors.
pub(super) struct Source<'a> {
    pub(super) text: &'a str,
    pub(super) file: &'a str,
}

impl Source<'_> {
    /// Returns the number of the line, from 1, at which a span starts.
    fn line(&self, span: Option<Range<usize>>) -> Option<usize> {
        let before = self.text.as_bytes().get(..span?.start)?;
        Some(before.iter().filter(|b| **b == b'\n').count() + 1)
    }

    /// Returns an error located at a span of the text.
    pub(super) fn error(
        &self,
        span: Option<Range<usize>>,
        block: Option<&Block>,
        key: Option<&str>,
        reason: String,
    ) -> OperatorConfigError {
        OperatorConfigError {
            file: self.file.to_owned(),
            line: self.line(span),
            block: block.map(title),
            key: key.map(str::to_owned),
            reason,
        }
    }

    /// Returns an error for one key of a block, or of a block nested in it.
    pub(super) fn key_error(&self, block: &Block, error: KeyError) -> OperatorConfigError {
        let span = key_span(&block.body, &error.key).or_else(|| block.span());
        self.error(span, Some(block), Some(&error.key), error.reason)
    }

    /// Deserializes the settings of a block.
    ///
    /// # Errors
    /// Returns an [`OperatorConfigError`] if a key is unknown or missing, or a value has the wrong type.
    pub(super) fn block<T: DeserializeOwned>(&self, block: &Block) -> Result<T, OperatorConfigError> {
        let body = hcl::Body::from(block.body.clone());
        let deserializer = hcl::de::Deserializer::from_body(body);
        serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let path = e.path().to_string();
            let key = (path != ".").then_some(path);
            let reason = e.into_inner().to_string();
            match key {
                Some(key) => self.key_error(block, KeyError::new(key, reason)),
                None => self.error(block.span(), Some(block), None, reason),
            }
        })
    }
}

/// Returns the name of a block with its labels, as written in its first line.
fn title(block: &Block) -> String {
    let labels = block.labels.iter().map(|label| format!(" \"{}\"", label.as_str()));
    format!("{}{}", block.ident.as_str(), labels.collect::<String>())
}

/// Returns the span of the key at a dotted path; the label of a labelled block is one part of the path.
fn key_span(body: &Body, path: &str) -> Option<Range<usize>> {
    let (first, rest) = split_path(path);
    if let Some(attribute) = body.get_attribute(first) {
        return attribute.span();
    }
    let label = rest.map(|rest| split_path(rest).0);
    let labelled =
        body.get_blocks(first).find(|block| block.labels.first().map(|label| label.as_str()) == label);
    if let (Some(block), Some(rest)) = (labelled, rest) {
        let inner_span = split_path(rest).1.and_then(|inner| key_span(&block.body, inner));
        return inner_span.or_else(|| block.span());
    }
    let block = body.get_blocks(first).next()?;
    rest.and_then(|rest| key_span(&block.body, rest)).or_else(|| block.span())
}

fn split_path(path: &str) -> (&str, Option<&str>) {
    path.split_once('.').map_or((path, None), |(first, rest)| (first, Some(rest)))
}
