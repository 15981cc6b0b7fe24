//! Parsing of keys.

use sassafrascrank_claim::key::Key;
use std::fmt::Write;

const UUID: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

/// Guards against keys without a creation time, errors without a remedy, and hashes that change between versions.
#[test]
fn invalid_keys_get_an_error_with_a_remedy() {
    let long = format!("{}:{UUID}", "a".repeat(64));
    let texts = [
        format!("suva:{UUID}"),
        UUID.to_owned(),
        format!("Suva:{UUID}"),
        format!(":{UUID}"),
        "suva:01890a5dac96774bbcceb302099a8057".to_owned(),
        "suva:01890a5d-ac96-474b-bcce-b302099a8057".to_owned(),
        "suva:01890a5d-ac96-774b-0cce-b302099a8057".to_owned(),
        "suva:".to_owned(),
        long,
    ];
    let mut out = String::new();
    for text in texts {
        match text.parse::<Key>() {
            Ok(key) => {
                assert_eq!(key.to_string(), text);
                writeln!(
                    out,
                    "{key} created {} ms, hash {:016x}",
                    key.created().as_millis(),
                    key.hash()
                )
                .unwrap();
            }
            Err(error) => writeln!(out, "{error}").unwrap(),
        }
    }
    insta::assert_snapshot!(out);
}
