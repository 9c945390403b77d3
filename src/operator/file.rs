//! Reading of a whole operator file.

use super::config_sync::{self, ConfigSyncSettings};
use super::error::OperatorConfigError;
use super::ledger::{LedgerConfig, RawLedger};
use super::log::LogSettings;
use super::source::Source;
use hcl_edit::Span as _;
use hcl_edit::structure::Block;
use std::fmt;
use std::path::Path;

/// The settings of an operator file. Without a file, [`OperatorConfig::default`] is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Settings of the daemon's log.
    pub log: LogSettings,
    /// Settings of the usage ledger; if `None`, the usage ledger is disabled.
    pub ledger: Option<LedgerConfig>,
    /// Settings of distributed configuration; if `None`, distributed configuration is disabled.
    pub config_sync: Option<ConfigSyncSettings>,
}

/// Names of the blocks.
const BLOCK_LOG: &str = "log";
const BLOCK_LEDGER: &str = "ledger";
const BLOCK_CONFIG_SYNC: &str = "config_sync";
/// Names of all blocks, for error messages.
const BLOCKS: &str = "log, ledger, config_sync";

impl OperatorConfig {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Returns an [`OperatorConfigError`] if the file can't be read, is not valid HCL, or has an unknown or
    /// repeated block, an unknown key or an invalid value.
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

    /// Reads the text of an operator file; `file` is the name used for it in errors.
    ///
    /// # Errors
    /// Returns the errors of [`OperatorConfig::load`], except that for an unreadable file.
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
            let reason = format!("settings must be inside a block; the blocks are: {BLOCKS}");
            return Err(source.error(attribute.span(), None, Some(attribute.key.as_str()), reason));
        }
        let mut config = OperatorConfig::default();
        let mut seen: Vec<&str> = Vec::new();
        for block in body.blocks() {
            let name = block.ident.as_str();
            if seen.contains(&name) {
                return Err(block_error(&source, block, "is defined more than once"));
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
                let reason = format!("is not a known block; the blocks are: {BLOCKS}");
                return Err(block_error(source, block, reason));
            }
        }
        Ok(())
    }
}

/// Returns an error that applies to a whole block.
fn block_error(source: &Source, block: &Block, reason: impl Into<String>) -> OperatorConfigError {
    source.error(block.span(), Some(block), None, reason.into())
}

fn check_no_label(source: &Source, block: &Block) -> Result<(), OperatorConfigError> {
    if block.labels.is_empty() {
        return Ok(());
    }
    Err(block_error(source, block, "must not have a label"))
}

fn read_ledger(source: &Source, block: &Block) -> Result<LedgerConfig, OperatorConfigError> {
    let [label] = &block.labels[..] else {
        return Err(block_error(source, block, "requires one label, the name: ledger \"rounds\" {"));
    };
    let raw: RawLedger = source.block(block)?;
    raw.check(label.as_str()).map_err(|error| source.key_error(block, error))
}

impl fmt::Display for OperatorConfig {
    /// Writes the settings in force as an operator file.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (format, level) = (self.log.format, self.log.level);
        let lowercase = |value: &dyn fmt::Debug| format!("{value:?}").to_lowercase();
        writeln!(
            f,
            "log {{\n  format = \"{}\"\n  level  = \"{}\"\n}}",
            lowercase(&format),
            lowercase(&level)
        )?;
        self.ledger.iter().try_for_each(|ledger| write!(f, "\n{ledger}"))?;
        self.config_sync.iter().try_for_each(|config_sync| write!(f, "\n{config_sync}"))
    }
}
