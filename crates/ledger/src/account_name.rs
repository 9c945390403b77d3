//! Names of accounts. They come from outside and end up on bills, in file names of reports and in tables: what can't
//! safely stand there is no name.

use std::fmt;

/// The account of requests that name none.
pub const UNATTRIBUTED: &str = "unattributed";
/// The longest name, in bytes.
pub const MAX_ACCOUNT_NAME_BYTES: usize = 64;

/// Why something is no account's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountNameError {
    /// Empty.
    #[error("an account's name can't be empty")]
    Empty,
    /// Longer than [`MAX_ACCOUNT_NAME_BYTES`].
    #[error("an account's name is at most {MAX_ACCOUNT_NAME_BYTES} bytes")]
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
pub struct AccountName<'a>(&'a str);

impl AccountName<'static> {
    /// The account of those who name none.
    pub fn unattributed() -> AccountName<'static> {
        AccountName(UNATTRIBUTED)
    }
}

impl<'a> AccountName<'a> {
    /// Checks a name that someone states.
    ///
    /// # Errors
    /// If it is none.
    pub fn parse(name: &'a str) -> Result<AccountName<'a>, AccountNameError> {
        let good = |b: u8| b.is_ascii_alphanumeric() || b"._-:".contains(&b);
        match name.as_bytes() {
            [] => Err(AccountNameError::Empty),
            all if all.len() > MAX_ACCOUNT_NAME_BYTES => Err(AccountNameError::TooLong),
            [first, ..] if !first.is_ascii_alphanumeric() => Err(AccountNameError::Character),
            all if !all.iter().all(|b| good(*b)) => Err(AccountNameError::Character),
            _ if name == UNATTRIBUTED => Err(AccountNameError::Reserved),
            _ => Ok(AccountName(name)),
        }
    }

    /// The name.
    pub fn as_str(&self) -> &'a str {
        self.0
    }
}

impl fmt::Display for AccountName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}
