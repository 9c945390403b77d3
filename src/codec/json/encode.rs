//! Encoding of JSON strings.

/// Appends a string in quotes.
pub fn put_str(out: &mut String, text: &str) {
    use std::fmt::Write as _;
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\0'..='\u{1f}' => {
                let done = write!(out, "\\u{:04x}", u32::from(c));
                debug_assert!(done.is_ok());
            }
            _ => out.push(c),
        }
    }
    out.push('"');
}
