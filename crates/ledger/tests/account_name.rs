//! Account names have a bounded length and contain only a restricted set of ASCII characters.

use dunlinspread_ledger::{AccountName, AccountNameError, MAX_ACCOUNT_NAME_BYTES};

#[test]
fn names_are_bounded_and_plain() {
    let longest = "a".repeat(MAX_ACCOUNT_NAME_BYTES);
    for name in ["kochi-7", "A", "0.x_y:z", longest.as_str()] {
        assert_eq!(AccountName::parse(name).map(|account| account.as_str()), Ok(name));
    }
    let longer = "a".repeat(MAX_ACCOUNT_NAME_BYTES + 1);
    let invalid_names = [
        ("", AccountNameError::Empty),
        (longer.as_str(), AccountNameError::TooLong),
        ("-a", AccountNameError::Character),
        ("../x", AccountNameError::Character),
        ("a b", AccountNameError::Character),
        ("a\u{e9}", AccountNameError::Character),
        ("a\0", AccountNameError::Character),
        ("unattributed", AccountNameError::Reserved),
    ];
    for (name, error) in invalid_names {
        assert_eq!(AccountName::parse(name), Err(error), "{name:?}");
    }
}
