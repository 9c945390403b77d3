//! Names of a store's files.

use super::file_header::FileKind;

/// Returns the name of the segment whose first record is `base`.
pub fn segment_name(base: u64) -> String {
    format!("seg-{base:016x}.log")
}

/// Returns the name of the snapshot that replaces all records before `base`.
pub fn snapshot_name(base: u64) -> String {
    format!("snap-{base:016x}.snp")
}

/// Returns the kind and the base record encoded in a file name, or `None` if it is not the name of a store
/// file.
pub fn parse_file_name(name: &str) -> Option<(FileKind, u64)> {
    let segment = parse_base(name, "seg-", ".log").map(|base| (FileKind::Segment, base));
    segment.or_else(|| parse_base(name, "snap-", ".snp").map(|base| (FileKind::Snapshot, base)))
}

fn parse_base(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_suffix(suffix)?;
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
