//! Account names of tenants. They come from clients and appear in bills, file names and tables, so only a
//! restricted set of ASCII characters is allowed.

use std::fmt;

/// Name of the account that is billed for requests without an account name.
pub const UNATTRIBUTED: &str = "unattributed";
/// Maximum length of an account name, in bytes.
pub const MAX_ACCOUNT_NAME_BYTES: usize = 64;

/// The reason why a string is not a valid account name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountNameError {
    /// The name is empty.
    #[error("account name is empty")]
    Empty,
    /// The name is longer than [`MAX_ACCOUNT_NAME_BYTES`].
    #[error("account name is longer than {MAX_ACCOUNT_NAME_BYTES} bytes")]
    TooLong,
    /// The name contains a character that is not allowed at its position.
    #[error(
        "account name must begin with a letter or digit and contain only these and `.`, `_`, `-` and `:`"
    )]
    Character,
    /// The name is [`UNATTRIBUTED`], which is reserved for requests without an account name.
    #[error("account name `{UNATTRIBUTED}` is reserved for requests without an account name")]
    Reserved,
}

/// The validated name of a tenant's account.
///
/// # Invariants
/// The name is [`UNATTRIBUTED`], or it consists of 1 to [`MAX_ACCOUNT_NAME_BYTES`] letters, digits, `.`, `_`,
/// `-` and `:`, and begins with a letter or digit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountName<'a>(&'a str);

impl AccountName<'static> {
    /// Returns the account that is billed for requests without an account name.
    pub fn unattributed() -> AccountName<'static> {
        AccountName(UNATTRIBUTED)
    }
}

impl<'a> AccountName<'a> {
    /// Validates the account name of a request.
    ///
    /// # Errors
    /// Returns an [`AccountNameError`] if the name is not a valid account name.
    pub fn parse(name: &'a str) -> Result<AccountName<'a>, AccountNameError> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte);
        match name.as_bytes() {
            [] => Err(AccountNameError::Empty),
            bytes if bytes.len() > MAX_ACCOUNT_NAME_BYTES => Err(AccountNameError::TooLong),
            [first, ..] if !first.is_ascii_alphanumeric() => Err(AccountNameError::Character),
            bytes if !bytes.iter().all(|byte| is_allowed(*byte)) => Err(AccountNameError::Character),
            _ if name == UNATTRIBUTED => Err(AccountNameError::Reserved),
            _ => Ok(AccountName(name)),
        }
    }

    /// Returns the name as a string.
    pub fn as_str(&self) -> &'a str {
        self.0
    }
}

impl fmt::Display for AccountName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}
