//! The operator file as a whole.

use super::config_sync::{self, ConfigSyncSettings};
use super::error::OperatorConfigError;
use super::ledger::{LedgerConfig, RawLedger};
use super::log::LogSettings;
use super::source::Source;
use hcl_edit::Span as _;
use hcl_edit::structure::Block;
use std::fmt;
use std::path::Path;

/// The settings of an operator file. [`OperatorConfig::default`] is in force without a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The daemon's log.
    pub log: LogSettings,
    /// The usage ledger; disabled without it.
    pub ledger: Option<LedgerConfig>,
    /// Distributed configuration; disabled without it.
    pub config_sync: Option<ConfigSyncSettings>,
}

/// Names of the blocks.
const BLOCK_LOG: &str = "log";
const BLOCK_LEDGER: &str = "ledger";
const BLOCK_CONFIG_SYNC: &str = "config_sync";
/// The names of all blocks, for errors.
const BLOCKS: &str = "log, ledger, config_sync";

impl OperatorConfig {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// If the file can't be read, is no HCL, or has a block, key or value that does not belong there.
    pub fn load(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| OperatorConfigError {
            file: file.clone(),
            line: None,
            block: None,
            key: None,
            reason: format!("can't be read: {error}"),
        })?;
        OperatorConfig::read(&text, &file)
    }

    /// Reads the text of an operator file; `file` is its name in errors.
    ///
    /// # Errors
    /// As [`OperatorConfig::load`].
    pub fn read(text: &str, file: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let source = Source { text, file };
        let body = hcl_edit::parser::parse_body(text).map_err(|error| OperatorConfigError {
            file: file.to_owned(),
            line: Some(error.location().line()),
            block: None,
            key: None,
            reason: error.message().to_owned(),
        })?;
        if let Some(attribute) = body.attributes().next() {
            let reason = format!("settings stand in blocks; the blocks are: {BLOCKS}");
            return Err(source.error(attribute.span(), None, Some(attribute.key.as_str()), reason));
        }
        let mut config = OperatorConfig::default();
        let mut seen: Vec<&str> = Vec::new();
        for block in body.blocks() {
            let name = block.ident.as_str();
            if seen.contains(&name) {
                return Err(block_error(&source, block, "stands here a second time"));
            }
            seen.push(name);
            config.read_block(&source, block)?;
        }
        Ok(config)
    }

    fn read_block(&mut self, source: &Source, block: &Block) -> Result<(), OperatorConfigError> {
        match block.ident.as_str() {
            BLOCK_LOG => {
                check_no_label(source, block)?;
                self.log = source.block(block)?;
            }
            BLOCK_LEDGER => self.ledger = Some(read_ledger(source, block)?),
            BLOCK_CONFIG_SYNC => {
                check_no_label(source, block)?;
                self.config_sync = Some(config_sync::read(source, block)?);
            }
            _ => {
                let reason = format!("is no block; the blocks are: {BLOCKS}");
                return Err(block_error(source, block, reason));
            }
        }
        Ok(())
    }
}

/// Returns an error of a whole block.
fn block_error(source: &Source, block: &Block, reason: impl Into<String>) -> OperatorConfigError {
    source.error(block.span(), Some(block), None, reason.into())
}

fn check_no_label(source: &Source, block: &Block) -> Result<(), OperatorConfigError> {
    if block.labels.is_empty() {
        return Ok(());
    }
    Err(block_error(source, block, "takes no label"))
}

fn read_ledger(source: &Source, block: &Block) -> Result<LedgerConfig, OperatorConfigError> {
    let [label] = &block.labels[..] else {
        return Err(block_error(source, block, "takes one label, its name: ledger \"rounds\" {"));
    };
    let raw: RawLedger = source.block(block)?;
    raw.check(label.as_str()).map_err(|error| source.key_error(block, error))
}

impl fmt::Display for OperatorConfig {
    /// Writes what is in force, as an operator file that would set it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (format, level) = (self.log.format, self.log.level);
        let word = |w: &dyn fmt::Debug| format!("{w:?}").to_lowercase();
        writeln!(f, "log {{\n  format = \"{}\"\n  level  = \"{}\"\n}}", word(&format), word(&level))?;
        self.ledger.iter().try_for_each(|ledger| write!(f, "\n{ledger}"))?;
        self.config_sync.iter().try_for_each(|config_sync| write!(f, "\n{config_sync}"))
    }
}
