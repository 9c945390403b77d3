//! Tests that equal idempotency keys in different classes are independent, in the built server with 300
//! classes with idempotency keys.

#[allow(dead_code, reason = "each test program uses a part of it")]
mod play;

/// Number of classes with idempotency keys in the configuration.
const CLASSES: usize = 300;
/// Distance of two class numbers with the same lowest byte.
const BYTE_VALUES: usize = 256;

/// Returns the script line that adds classes `k0`, `k1` and so on, with idempotency keys, before the default
/// ones.
fn keyed_classes() -> String {
    let class = |at: usize| {
        format!(
            r#"{{"name":"k{at}","effect":"token","give_up_ms":90000,"target_ms":80000,"memory_span_ms":95000,"worth":5}},"#
        )
    };
    let classes: String = (0..CLASSES).map(class).collect();
    format!("config \"profiles\":[ -> \"profiles\":[{classes}\n")
}

/// Adds to the script a request `id` of a class, with the same key for all classes. The request has to be
/// run, and its result is the number of the class.
fn run_once(script: &mut String, id: usize, class: usize) {
    use base64::Engine as _;
    let result = base64::engine::general_purpose::STANDARD.encode(format!("{class:03}"));
    *script += &format!("a: req {id} k{class} dedupe=same\npool?\n");
    let finished =
        format!(r#"{{"op":"finished","seq":{id},"id":"61{id:014}","end":"good","ms":9,"body":"{result}"}}"#);
    *script += &format!("pool: {finished}\na?\n");
}

#[test]
fn classes_with_the_same_lowest_byte_do_not_share_keys() {
    let mut script = keyed_classes();
    script += "pool?\npool: {\"op\":\"bound\",\"end\":\"old\",\"ms\":5000}\n";
    let pairs = (0..CLASSES - BYTE_VALUES).flat_map(|class| [class, class + BYTE_VALUES]);
    let classes: Vec<usize> = pairs.collect();
    for (at, class) in classes.iter().enumerate() {
        run_once(&mut script, at + 1, *class);
    }
    let transcript = play::play(&script);
    for class in classes {
        let command = format!("\"class\":\"k{class}\"");
        assert_eq!(transcript.matches(&command).count(), 1, "runs of class {class}");
        let answer = format!("\\xc4\\x03{class:03}\\x81");
        assert_eq!(transcript.matches(&answer).count(), 1, "answers of class {class}");
    }
}
