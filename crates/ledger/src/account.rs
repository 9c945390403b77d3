//! Names of accounts. They come from outside and end up on bills, in file names of reports and in tables: what can't
//! safely stand there is no name.

use std::fmt;

/// The account of requests that name none.
pub const UNATTRIBUTED: &str = "unattributed";
/// The longest name, in bytes.
pub const MAX_NAME: usize = 64;

/// Why something is no account's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotAName {
    /// Empty.
    #[error("an account's name can't be empty")]
    Empty,
    /// Longer than [`MAX_NAME`].
    #[error("an account's name is at most {MAX_NAME} bytes")]
    TooLong,
    /// It has a character that may not stand there.
    #[error(
        "an account's name has letters, digits, `.`, `_`, `-` and `:` only, and begins with a letter or digit"
    )]
    Character,
    /// [`UNATTRIBUTED`] is for those who name none.
    #[error("`{UNATTRIBUTED}` is the account of those who name none")]
    Reserved,
}

/// A good name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Account<'a>(&'a str);

impl Account<'static> {
    /// The account of those who name none.
    pub fn unattributed() -> Account<'static> {
        Account(UNATTRIBUTED)
    }
}

impl<'a> Account<'a> {
    /// Checks a name that someone states.
    ///
    /// # Errors
    /// If it is none.
    pub fn named(name: &'a str) -> Result<Account<'a>, NotAName> {
        let good = |b: u8| b.is_ascii_alphanumeric() || b"._-:".contains(&b);
        match name.as_bytes() {
            [] => Err(NotAName::Empty),
            all if all.len() > MAX_NAME => Err(NotAName::TooLong),
            [first, ..] if !first.is_ascii_alphanumeric() => Err(NotAName::Character),
            all if !all.iter().all(|b| good(*b)) => Err(NotAName::Character),
            _ if name == UNATTRIBUTED => Err(NotAName::Reserved),
            _ => Ok(Account(name)),
        }
    }

    /// The name.
    pub fn as_str(&self) -> &'a str {
        self.0
    }
}

impl fmt::Display for Account<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_bounded_and_plain() {
        let longest = "a".repeat(MAX_NAME);
        for good in ["kochi-7", "A", "0.x_y:z", longest.as_str()] {
            assert_eq!(Account::named(good).map(|a| a.as_str()), Ok(good));
        }
        let longer = "a".repeat(MAX_NAME + 1);
        let bad = [
            ("", NotAName::Empty),
            (longer.as_str(), NotAName::TooLong),
            ("-a", NotAName::Character),
            ("../x", NotAName::Character),
            ("a b", NotAName::Character),
            ("a\u{e9}", NotAName::Character),
            ("a\0", NotAName::Character),
            ("unattributed", NotAName::Reserved),
        ];
        for (name, why) in bad {
            assert_eq!(Account::named(name), Err(why), "{name:?}");
        }
    }
}
