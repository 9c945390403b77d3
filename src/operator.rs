//! The operator file: every setting that is the operators' own rather than the platform's, in HCL, one block a
//! subsystem. Without a file everything is off and the daemon behaves as its platform file says. A faulty file must
//! never half apply: it is read and checked whole, and the fault names file, line, block and key.

use hcl_edit::Span as _;
use hcl_edit::structure::{Block, Body};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::ops::Range;
use std::path::Path;

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

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least important lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only failures that need someone.
    Error,
    /// Those, and what may need someone.
    Warning,
    /// Those, and changes of state.
    #[default]
    Info,
}

/// The block `log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The form of the lines; `--log-format` overrides it.
    pub format: LogFormat,
    /// The least important lines written.
    pub level: LogLevel,
}

/// All that an operator file sets. [`Operator::default`] is what holds without one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The daemon's log.
    pub log: LogSettings,
}

/// The blocks there are, for the message about one that isn't.
const BLOCKS: &str = "log";

impl Operator {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, is no HCL, or has a block, key or value that does not belong there.
    pub fn load(path: &Path) -> Result<Operator, OperatorFault> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| OperatorFault {
            file: file.clone(),
            line: None,
            block: None,
            key: None,
            what: format!("can't be read: {e}"),
        })?;
        Operator::read(&text, &file)
    }

    /// Reads the text of an operator file; `file` is its name in messages.
    ///
    /// # Errors
    /// As [`Operator::load`].
    pub fn read(text: &str, file: &str) -> Result<Operator, OperatorFault> {
        let source = Source { text, file };
        let body = hcl_edit::parser::parse_body(text).map_err(|e| OperatorFault {
            file: file.to_owned(),
            line: Some(e.location().line()),
            block: None,
            key: None,
            what: e.message().to_owned(),
        })?;
        let mut operator = Operator::default();
        let mut seen: Vec<&str> = Vec::new();
        if let Some(attribute) = body.attributes().next() {
            let what = format!("settings stand in blocks; the blocks are: {BLOCKS}");
            return Err(source.fault(attribute.span(), None, Some(attribute.key.as_str()), what));
        }
        for block in body.blocks() {
            let name = block.ident.as_str();
            if seen.contains(&name) {
                return Err(source.fault(
                    block.span(),
                    Some(block),
                    None,
                    "stands here a second time".to_owned(),
                ));
            }
            seen.push(name);
            match name {
                "log" => operator.log = source.block(block, Label::Without)?,
                _ => {
                    let what = format!("is no block; the blocks are: {BLOCKS}");
                    return Err(source.fault(block.span(), Some(block), None, what));
                }
            }
        }
        Ok(operator)
    }
}

impl fmt::Display for Operator {
    /// What is in force, as an operator file that would set it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (format, level) = (self.log.format, self.log.level);
        let word = |w: &dyn fmt::Debug| format!("{w:?}").to_lowercase();
        writeln!(f, "log {{\n  format = \"{}\"\n  level  = \"{}\"\n}}", word(&format), word(&level))
    }
}

/// Whether a block bears a name of its own.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Label {
    Without,
}

/// The text that faults are found in.
struct Source<'a> {
    text: &'a str,
    file: &'a str,
}

impl Source<'_> {
    fn line(&self, span: Option<Range<usize>>) -> Option<usize> {
        let before = self.text.as_bytes().get(..span?.start)?;
        Some(before.iter().filter(|b| **b == b'\n').count() + 1)
    }

    fn fault(
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

    /// A block's settings. Keys that don't belong, values of another kind and labels too many or too few are faults.
    fn block<T: DeserializeOwned>(&self, block: &Block, label: Label) -> Result<T, OperatorFault> {
        let Label::Without = label;
        if !block.labels.is_empty() {
            return Err(self.fault(block.span(), Some(block), None, "takes no label".to_owned()));
        }
        let body = hcl::Body::from(block.body.clone());
        let de = hcl::de::Deserializer::from_body(body);
        serde_path_to_error::deserialize(de).map_err(|e| {
            let path = e.path().to_string();
            let key = (path != ".").then_some(path);
            let span = key.as_deref().and_then(|k| key_span(&block.body, k)).or_else(|| block.span());
            self.fault(span, Some(block), key.as_deref(), e.into_inner().to_string())
        })
    }
}

/// A block as its first line names it.
fn title(block: &Block) -> String {
    let labels = block.labels.iter().map(|l| format!(" \"{}\"", l.as_str()));
    format!("{}{}", block.ident.as_str(), labels.collect::<String>())
}

/// Where a key stands, by its dotted path.
fn key_span(body: &Body, path: &str) -> Option<Range<usize>> {
    let (first, rest) = path.split_once('.').map_or((path, None), |(first, rest)| (first, Some(rest)));
    if let Some(attribute) = body.get_attribute(first) {
        return attribute.span();
    }
    let block = body.get_blocks(first).next()?;
    rest.and_then(|rest| key_span(&block.body, rest)).or_else(|| block.span())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(text: &str) -> String {
        Operator::read(text, "op.hcl").expect_err("it is faulty").to_string()
    }

    #[test]
    fn an_empty_file_sets_nothing() {
        assert_eq!(Operator::read("# nothing\n", "op.hcl"), Ok(Operator::default()));
    }

    #[test]
    fn what_is_in_force_reads_back() {
        let operator =
            Operator::read("log {\n  format = \"json\"\n  level = \"warning\"\n}\n", "op.hcl").expect("good");
        assert_eq!(operator.log, LogSettings { format: LogFormat::Json, level: LogLevel::Warning });
        assert_eq!(Operator::read(&operator.to_string(), "printed"), Ok(operator));
    }

    #[test]
    fn faults_name_file_line_block_and_key() {
        assert_eq!(
            fault("\nlog {\n  form = \"json\"\n}\n"),
            "op.hcl:3: log: `form`: unknown field `form`, expected `format` or `level`"
        );
        let other = fault("log {\n  level = \"loud\"\n}\n");
        assert!(other.starts_with("op.hcl:2: log: `level`: unknown variant `loud`"), "{other}");
        let other = fault("log {\n\n  format = 7\n}\n");
        assert!(other.starts_with("op.hcl:3: log: `format`: "), "{other}");
        assert_eq!(fault("lag {}\n"), "op.hcl:1: lag: is no block; the blocks are: log");
        assert_eq!(fault("a = 1\n"), "op.hcl:1: `a`: settings stand in blocks; the blocks are: log");
        assert_eq!(fault("log {}\n\nlog {}\n"), "op.hcl:3: log: stands here a second time");
        assert_eq!(fault("log \"x\" {}\n"), "op.hcl:1: log \"x\": takes no label");
        assert!(fault("log {\n").starts_with("op.hcl:"), "{}", fault("log {\n"));
    }
}
