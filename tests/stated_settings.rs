//! Settings give the same result as a tree, as in the configuration file, and as pairs of paths and values,
//! as from the simulator; errors name their keys.

use dunlinspread::codec::json::{self, Value};
use dunlinspread::config::{Config, ConfigFallbacks, StatedSettings};
use std::collections::BTreeMap;

/// Adds the paths and values of a tree to `pairs`. A list of scalars becomes its values joined by commas; a
/// list of objects becomes its length under `.count` and its items under `.0`, `.1` and so on.
fn flatten(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) {
    let child_path = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(members) => members.iter().for_each(|(key, v)| flatten(&child_path(key), v, pairs)),
        Value::Array(items) if items.iter().any(|i| matches!(i, Value::Object(_))) => {
            pairs.insert(child_path("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, v)| flatten(&child_path(&at.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let scalars: Vec<String> = items.iter().map(scalar_to_text).collect();
            pairs.insert(path.to_owned(), scalars.join(","));
        }
        Value::Null => {}
        _ => drop(pairs.insert(path.to_owned(), scalar_to_text(value))),
    }
}

fn scalar_to_text(value: &Value) -> String {
    match value {
        Value::Str(text) => text.clone(),
        Value::Number(n) => n.to_string(),
        Value::Bool(b) => b.to_string(),
        _ => String::new(),
    }
}

const TEXTS: [&str; 14] = [
    r#"{}"#,
    r#"{"servers":7,"tick_ms":2.5,"profiles":[{"effect":"pure","worth":3},{"effect":"token","target_ms":40}]}"#,
    r#"{"profiles":[{"worth":"1.5"},{},{"effect":"odd"},7],"specifics":{"class_calls":[true,false,1],
        "class_skip_worth":[0.5,0,0.25],"gauges":["a","b"],"say":"share_of","below":"shared","calls_out":2}}"#,
    r#"{"accounts":[{"name":"a","allowance_per_s":2},{"name":"b"},{"allowance_per_s":null}]}"#,
    r#"{"accounts":[],"profiles":[1,2]}"#,
    r#"{"accounts":[{"allowance_per_s":"much"}]}"#,
    r#"{"profiles":[{"worth":1},{"late_worth":"x"}]}"#,
    r#"{"profiles":[{"worth":1},{"worth":1}],"specifics":{"class_skip_worth":[0.1,"x"]}}"#,
    r#"{"specifics":{"cold":true,"below":"off","preemption":"abort","n_cores":"many"}}"#,
    r#"{"specifics":{"cold":"perhaps"}}"#,
    r#"{"specifics":{"cold":[1],"say":"off","preemption":"suspend","passes_deadline":1}}"#,
    r#"{"servers":[3],"tick_ms":{"a":1},"safety":[{"cold_share":1}],"policy_limits":null}"#,
    r#"{"servers":3,"servers":4,"servers":null}"#,
    r#"{"over_share_worth":0.05,"safety":{"fall_multiple":8,"drain_grace_ms":0,"cold_ms":1e3}}"#,
];

#[test]
fn a_tree_gives_the_same_settings_as_its_pairs() {
    for text in TEXTS {
        let tree = json::parse(text.as_bytes()).expect(text);
        let mut pairs = BTreeMap::new();
        flatten("", &tree, &mut pairs);
        let flat: StatedSettings = pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
        let tree = StatedSettings::from(&tree);
        assert_eq!(format!("{:?}", tree.settings(7)), format!("{:?}", flat.settings(7)), "{text}");
        assert_eq!(tree.gauge_names(), flat.gauge_names(), "{text}");
    }
}

/// Returns the error message for a configuration with these settings.
fn error(settings: &str) -> String {
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","pool":"127.0.0.1:1","directory":"127.0.0.1:1","settings":{settings}}}"#
    );
    Config::read(text.as_bytes(), &ConfigFallbacks::default()).expect_err("an error").to_string()
}

#[test]
fn errors_in_lists_name_their_item() {
    let class = r#""profiles":[{"name":"c"}]"#;
    let names = r#"{"name":"a"},{"name":"b"},{"name":"c"}"#;
    assert_eq!(
        error(&format!(r#"{{{class},"accounts":[{names},{{"name":""}}]}}"#)),
        "`settings.accounts.3.name`: is missing"
    );
    assert_eq!(
        error(&format!(r#"{{{class},"accounts":[{names},{{"name":"d","allowance_per_s":"x"}}]}}"#)),
        "`settings.accounts.3.allowance_per_s`: can't be read: x"
    );
    assert_eq!(error(r#"{"profiles":[{"name":"c"},{}]}"#), "`settings.profiles.1.name`: is missing");
    assert_eq!(error(r#"{"profiles":[]}"#), "`settings.profiles`: lists no class");
}

#[test]
fn a_list_past_the_limit_is_rejected() {
    let accounts = vec!["{}"; 1_000_001].join(",");
    assert_eq!(
        error(&format!(r#"{{"profiles":[{{"name":"c"}}],"accounts":[{accounts}]}}"#)),
        "`settings.accounts.count`: is too large: 1000001"
    );
    let pairs: StatedSettings = [("accounts.count", "1000001")].into_iter().collect();
    let message = pairs.settings(0).expect_err("an error").to_string();
    assert_eq!(message, "`accounts.count`: is too large: 1000001");
}
