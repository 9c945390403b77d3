//! The operator file: every setting that is the operators' own rather than the platform's, in HCL, one block a
//! subsystem. Without a file everything is off and the daemon behaves as its platform file says. A faulty file must
//! never half apply: it is read and checked whole, and the fault names file, line, block and key.

mod config_sync;
mod duration;
mod fault;
mod ledger;
mod log;

pub use config_sync::{ConfigSyncSettings, RelaySettings};
pub use fault::OperatorFault;
pub use ledger::{ExportTarget, LedgerConfig, PeerSettings};
pub use log::{LogFormat, LogLevel, LogSettings};

use fault::Source;
use hcl_edit::Span as _;
use hcl_edit::structure::Block;
use ledger::RawLedger;
use std::fmt;
use std::path::Path;

/// All that an operator file sets. [`Operator::default`] is what holds without one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The daemon's log.
    pub log: LogSettings,
    /// The ledger; off without one.
    pub ledger: Option<LedgerConfig>,
    /// Distributed configuration; off without it.
    pub config_sync: Option<ConfigSyncSettings>,
}

/// The blocks there are, for the message about one that isn't.
const BLOCKS: &str = "log, ledger, config_sync";

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
                "log" => {
                    no_label(&source, block)?;
                    operator.log = source.block(block)?;
                }
                "ledger" => operator.ledger = Some(read_ledger(&source, block)?),
                "config_sync" => {
                    no_label(&source, block)?;
                    operator.config_sync = Some(config_sync::read(&source, block)?);
                }
                _ => {
                    let what = format!("is no block; the blocks are: {BLOCKS}");
                    return Err(source.fault(block.span(), Some(block), None, what));
                }
            }
        }
        Ok(operator)
    }
}

fn no_label(source: &Source, block: &Block) -> Result<(), OperatorFault> {
    if block.labels.is_empty() {
        return Ok(());
    }
    Err(source.fault(block.span(), Some(block), None, "takes no label".to_owned()))
}

fn read_ledger(source: &Source, block: &Block) -> Result<LedgerConfig, OperatorFault> {
    let [label] = &block.labels[..] else {
        let what = "takes one label, its name: ledger \"rounds\" {".to_owned();
        return Err(source.fault(block.span(), Some(block), None, what));
    };
    let raw: RawLedger = source.block(block)?;
    raw.check(label.as_str()).map_err(|fault| source.key_fault(block, fault.key, fault.what))
}

impl fmt::Display for Operator {
    /// What is in force, as an operator file that would set it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (format, level) = (self.log.format, self.log.level);
        let word = |w: &dyn fmt::Debug| format!("{w:?}").to_lowercase();
        writeln!(f, "log {{\n  format = \"{}\"\n  level  = \"{}\"\n}}", word(&format), word(&level))?;
        self.ledger.iter().try_for_each(|ledger| write!(f, "\n{ledger}"))?;
        self.config_sync.iter().try_for_each(|config_sync| write!(f, "\n{config_sync}"))
    }
}
