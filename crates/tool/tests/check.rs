//! Checks of configuration documents and settings files.

mod common;

use common::{
    file,
    mask,
    run, //
};
use std::{
    fmt::Write,
    fs,
    path::Path, //
};

const DIGEST: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// Guards against an example file that the check rejects; operators copy the examples.
#[test]
fn every_example_is_accepted() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = Vec::new();
    for folder in fs::read_dir(&examples).unwrap() {
        let entries = fs::read_dir(folder.unwrap().path()).unwrap();
        files.extend(entries.map(|entry| entry.unwrap().path()));
    }
    files.sort();
    let mut report = String::new();
    for path in files {
        let text = path.to_str().unwrap();
        let result = match path.ends_with("configuration.jsonc") {
            true => run(&["check", text], ""),
            false => run(&["check", "--settings", text], ""),
        };
        report += &result;
    }
    let folder = format!("{}/", examples.display());
    insta::assert_snapshot!(mask(&report, &[(&folder, "")]));
}

/// Guards against a wrong document that is accepted, or whose error does not name line, field, value and remedy.
#[test]
fn wrong_documents_name_the_place_and_the_remedy() {
    let customer = |fields: &str| {
        format!(
            "{{\n  \"customers\": {{ \"alba\": {{\n    \"credential_sha256\": \"{DIGEST}\", \"burst\": 1,\n    {fields}\n  }} }}\n}}"
        )
    };
    let shares = r#""shares": { "comun": 25 }"#;
    let class = r#"{ "name": "quote", "share": 50, "queue_timeout_ms": 1, "queue_limit": 1 }"#;
    let cases = [
        ("empty", String::new()),
        ("unclosed", "{\n  \"pools\": {".to_owned()),
        ("unknown section", "{ \"queues\": {} }".to_owned()),
        (
            "unknown field",
            "{\n  \"pools\": { \"comun\": { \"slot\": 8 } } }".to_owned(),
        ),
        (
            "wrong name",
            "{\n  \"pools\": { \"Comun\": {} } }".to_owned(),
        ),
        ("no pool", "{\n  \"hosts\": { \"w1\": {} } }".to_owned()),
        (
            "slots",
            "{\n  \"pools\": { \"comun\": { \"slots\": 0 } } }".to_owned(),
        ),
        (
            "negative",
            "{\n  \"pools\": { \"comun\": { \"slots\": -3 } } }".to_owned(),
        ),
        (
            "no rate",
            customer(&format!("{shares}, \"classes\": [{class}]")),
        ),
        (
            "rate",
            customer(&format!("\"rate\": 0, {shares}, \"classes\": [{class}]")),
        ),
        (
            "no class",
            customer(&format!("\"rate\": 1, {shares}, \"classes\": []")),
        ),
        (
            "two classes",
            customer(&format!(
                "\"rate\": 1, {shares}, \"classes\": [{class}, {class}]"
            )),
        ),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let path = file("document.jsonc", &text);
        writeln!(report, "== {name}\n{}", run(&["check", &path], "")).unwrap();
    }
    let missing = run(&["check", "/nowhere/document.jsonc"], "");
    writeln!(report, "== missing\n{missing}").unwrap();
    insta::assert_snapshot!(mask(&report, &[]));
}

/// Guards against settings with which an entry can't start, found only when it is deployed.
#[test]
fn wrong_settings_name_the_place_and_the_remedy() {
    let settings = |fields: &str| {
        format!(
            "{{\n  \"host\": \"entry-1\", \"availability_zone\": \"suva\",\n  \"callers\": \"127.0.0.1:1\", \
             \"peers\": \"127.0.0.1:2\",\n  \"admin\": \"127.0.0.1:3\", {fields}\n}}"
        )
    };
    let platform = "\"platform\": \"127.0.0.1:4\"";
    let cases = [
        ("good", settings(platform)),
        ("no platform", settings("\"seeds\": []")),
        (
            "host name as address",
            settings("\"platform\": \"log.example:80\""),
        ),
        (
            "threads",
            settings(&format!("{platform}, \"exchange_threads\": 0")),
        ),
        ("unknown", settings(&format!("{platform}, \"threads\": 2"))),
        ("wrong zone", settings(platform).replace("suva", "Suva")),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let path = file("settings.jsonc", &text);
        let result = run(&["check", "--settings", &path], "");
        writeln!(report, "== {name}\n{result}").unwrap();
    }
    insta::assert_snapshot!(mask(&report, &[]));
}
