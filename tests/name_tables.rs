//! Lookup of positions by name, against a linear search.

use dunlinspread::server::name_table::NameTable;
use proptest::prelude::*;

proptest! {
    /// Few distinct short names, so that equal and missing ones are common.
    #[test]
    fn a_lookup_finds_what_a_linear_search_finds(
        names in proptest::collection::vec("[ab]{0,3}", 0..20),
        sought in proptest::collection::vec("[abc]{0,3}", 0..20),
    ) {
        let lookup = NameTable::new(&names);
        prop_assert_eq!(lookup.is_empty(), names.is_empty());
        for name in sought.iter().chain(&names) {
            prop_assert_eq!(lookup.position(name.as_bytes()), names.iter().position(|n| n == name));
        }
    }
}
