//! Names of tenants' accounts. They come from outside and stand on bills, in file names and in tables, so only plain
//! characters are allowed.

use std::fmt;

/// The account of requests that name none.
pub const UNATTRIBUTED: &str = "unattributed";
/// The longest name, in bytes.
pub const MAX_ACCOUNT_NAME_BYTES: usize = 64;

/// Why a text is not the name of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountNameError {
    /// It is empty.
    #[error("an account's name can't be empty")]
    Empty,
    /// It is longer than [`MAX_ACCOUNT_NAME_BYTES`].
    #[error("an account's name is at most {MAX_ACCOUNT_NAME_BYTES} bytes")]
    TooLong,
    /// It has a character that is not allowed where it stands.
    #[error(
        "an account's name has letters, digits, `.`, `_`, `-` and `:` only, and begins with a letter or digit"
    )]
    Character,
    /// It is [`UNATTRIBUTED`], the account of requests that name none.
    #[error("`{UNATTRIBUTED}` is the account of those who name none")]
    Reserved,
}

/// The name of a tenant's account.
///
/// # Invariants
/// It is [`UNATTRIBUTED`], or it has 1 to [`MAX_ACCOUNT_NAME_BYTES`] letters, digits, `.`, `_`, `-` and `:` and begins
/// with a letter or digit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountName<'a>(&'a str);

impl AccountName<'static> {
    /// Returns the account of requests that name none.
    pub fn unattributed() -> AccountName<'static> {
        AccountName(UNATTRIBUTED)
    }
}

impl<'a> AccountName<'a> {
    /// Checks a name that a request states.
    ///
    /// # Errors
    /// If it is not the name of an account.
    pub fn parse(name: &'a str) -> Result<AccountName<'a>, AccountNameError> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
        match name.as_bytes() {
            [] => Err(AccountNameError::Empty),
            all if all.len() > MAX_ACCOUNT_NAME_BYTES => Err(AccountNameError::TooLong),
            [first, ..] if !first.is_ascii_alphanumeric() => Err(AccountNameError::Character),
            all if !all.iter().all(|byte| is_allowed(*byte)) => Err(AccountNameError::Character),
            _ if name == UNATTRIBUTED => Err(AccountNameError::Reserved),
            _ => Ok(AccountName(name)),
        }
    }

    /// Returns the name.
    pub fn as_str(&self) -> &'a str {
        self.0
    }
}

impl fmt::Display for AccountName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}
