//! Encoding of JSON strings.

/// Appends a string in quotes, escaped as needed.
pub fn put_str(out: &mut String, text: &str) {
    out.push('"');
    for character in text.chars() {
        match character {
            '"' | '\\' => out.extend(['\\', character]),
            '\0'..='\u{1f}' => {
                out.push_str(&format!("\\u{:04x}", u32::from(character)));
            }
            _ => out.push(character),
        }
    }
    out.push('"');
}
