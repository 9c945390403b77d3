//! The files in a store's directory, and the checks of their headers.

use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{FORMAT_VERSION, FileHeader, FileKind, HeaderError, parse_file_name};
use crate::recovery::BaseFile;

/// Extension of files that are not completely written.
const TEMPORARY_EXTENSION: &str = ".tmp";

/// The files of a store. Segments and snapshots are sorted by base record.
#[derive(Debug)]
pub(crate) struct StoreFiles {
    pub segments: Vec<BaseFile>,
    pub snapshots: Vec<BaseFile>,
    /// Files that a crash left before they were renamed. Their content was never reported durable.
    pub temporary: Vec<String>,
}

impl StoreFiles {
    /// Lists the store's files in a directory. Other files are ignored.
    ///
    /// # Errors
    /// Returns [`StoreError::Io`] if the directory can't be listed.
    pub fn list(disk: &dyn Disk) -> Result<StoreFiles, StoreError> {
        let names = disk.list().map_err(StoreError::io("listing", &disk.name()))?;
        let mut files = StoreFiles { segments: Vec::new(), snapshots: Vec::new(), temporary: Vec::new() };
        for name in names {
            match parse_file_name(&name) {
                Some((FileKind::Segment, base)) => files.segments.push(BaseFile { base, name }),
                Some((FileKind::Snapshot, base)) => files.snapshots.push(BaseFile { base, name }),
                None if name.ends_with(TEMPORARY_EXTENSION) => files.temporary.push(name),
                None => {}
            }
        }
        files.segments.sort_unstable();
        files.snapshots.sort_unstable();
        Ok(files)
    }
}

/// Returns the error for a file that is damaged at `offset`.
pub(crate) fn damaged(file: &str, offset: u64, fault: impl Into<String>) -> StoreError {
    StoreError::Damaged { file: file.to_owned(), offset, fault: fault.into() }
}

/// Decodes a file's header and checks it against the file name and the owner.
///
/// # Errors
/// Returns [`StoreError::Damaged`] if the header is damaged or does not match the file name,
/// [`StoreError::Version`] if the format is newer, and [`StoreError::Owner`] if the file belongs to another
/// owner.
pub(crate) fn checked_header(
    bytes: &[u8],
    name: &str,
    kind: FileKind,
    base: u64,
    owner: &str,
) -> Result<FileHeader, StoreError> {
    let header = FileHeader::decode(bytes).map_err(|error| match error {
        HeaderError::Damaged(fault) => damaged(name, 0, fault),
        HeaderError::Version(found) => {
            StoreError::Version { file: name.to_owned(), found, newest: FORMAT_VERSION }
        }
    })?;
    if header.owner != owner {
        return Err(StoreError::Owner {
            file: name.to_owned(),
            found: header.owner,
            expected: owner.to_owned(),
        });
    }
    if header.kind != kind || header.base != base {
        return Err(damaged(
            name,
            16,
            "the kind or the base record of the header does not match the file name",
        ));
    }
    Ok(header)
}
