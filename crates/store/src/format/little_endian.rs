//! Decoding of little-endian integers in byte slices.

/// Returns the integer in the 4 bytes at `offset`, or 0 if the slice is too short.
pub(super) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Returns the integer in the 8 bytes at `offset`, or 0 if the slice is too short.
pub(super) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    bytes.get(offset..offset + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
}
