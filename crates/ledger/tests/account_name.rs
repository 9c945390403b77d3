//! Names of accounts are bounded and hold plain characters only.

use dunlinspread_ledger::{AccountName, AccountNameError, MAX_ACCOUNT_NAME_BYTES};

#[test]
fn names_are_bounded_and_plain() {
    let longest = "a".repeat(MAX_ACCOUNT_NAME_BYTES);
    for good in ["kochi-7", "A", "0.x_y:z", longest.as_str()] {
        assert_eq!(AccountName::parse(good).map(|a| a.as_str()), Ok(good));
    }
    let longer = "a".repeat(MAX_ACCOUNT_NAME_BYTES + 1);
    let bad = [
        ("", AccountNameError::Empty),
        (longer.as_str(), AccountNameError::TooLong),
        ("-a", AccountNameError::Character),
        ("../x", AccountNameError::Character),
        ("a b", AccountNameError::Character),
        ("a\u{e9}", AccountNameError::Character),
        ("a\0", AccountNameError::Character),
        ("unattributed", AccountNameError::Reserved),
    ];
    for (name, why) in bad {
        assert_eq!(AccountName::parse(name), Err(why), "{name:?}");
    }
}
