//! Parsing of configuration documents.

use sassafrascrank_contract::document::Document;
use std::fmt::Write;

/// Pairs of the name of a mistake and a document that contains it.
const INVALID_DOCUMENTS: &[(&str, &str)] = &[
    ("empty text", ""),
    ("not an object", "[]"),
    ("unclosed object", "{\"pools\": {\n"),
    ("missing comma", "{\"pools\": {\"a\": {} \"b\": {}}}"),
    ("unknown section", "{\n  \"customer\": {}\n}"),
    ("section of another type", "{\"pools\": 7}"),
    ("bad pool name", "{\"pools\": {\n  \"Quoting!\": {}\n}}"),
    (
        "unknown field",
        "{\"pools\": {\n  \"a\": {\n    \"slot\": 8}}}",
    ),
    (
        "negative number",
        "{\"pools\": {\n  \"a\": {\n    \"slots\": -3}}}",
    ),
    (
        "fraction",
        "{\"pools\": {\n  \"a\": {\n    \"slots\": 2.5}}}",
    ),
    (
        "text for a number",
        "{\"pools\": {\n  \"a\": {\n    \"slots\": \"8\"}}}",
    ),
    (
        "number too large for its type",
        "{\"pools\": {\"a\": {\"slots\": 4294967296}}}",
    ),
    (
        "number out of range",
        "{\"pools\": {\n  \"a\": {\n    \"slots\": 0}}}",
    ),
    (
        "percentage out of range",
        "{\"pools\": {\n  \"a\": {\"availability_percent\": 101}}}",
    ),
    (
        "text for a flag",
        "{\"pools\": {\n  \"a\": {\"spare\": \"yes\"}}}",
    ),
    ("assignment without pool", "{\"hosts\": {\n  \"h1\": {}}}"),
    (
        "assignment to a bad name",
        "{\"hosts\": {\n  \"h1\": {\"pool\": \"A\"}}}",
    ),
    (
        "assignment of another type",
        "{\"hosts\": {\n  \"h1\": \"a\"}}",
    ),
    ("pool twice", "{\"pools\": {\n  \"a\": {},\n  \"a\": {}}}"),
    ("section twice", "{\"pools\": {},\n \"pools\": {}}"),
    (
        "field twice",
        "{\"pools\": {\"a\": {\n  \"slots\": 1,\n  \"slots\": 2}}}",
    ),
    (
        "contract without fields",
        "{\"customers\": {\n  \"c\": {}}}",
    ),
];

/// Invalid contracts: the name of the mistake, the member that is replaced, and its invalid text.
const INVALID_CONTRACTS: &[(&str, &str, &str)] = &[
    ("short digest", "credential_sha256", "\"abc\""),
    (
        "digest with signs",
        "credential_sha256",
        "\"+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a+a\"",
    ),
    ("digest of another type", "credential_sha256", "12"),
    ("rate of zero", "rate", "0"),
    ("rate too large", "rate", "1000001"),
    ("burst null", "burst", "null"),
    ("concurrency of zero", "concurrency", "0"),
    ("no shares", "shares", "{}"),
    ("share of zero", "shares", "{\"a\": 0}"),
    ("share above a whole", "shares", "{\"a\": 101}"),
    ("share of a bad name", "shares", "{\"A b\": 10}"),
    ("share twice", "shares", "{\"a\": 10, \"a\": 20}"),
    ("shares as a list", "shares", "[\"a\"]"),
    ("no classes", "classes", "[]"),
    (
        "class without a timeout",
        "classes",
        "[{\"name\": \"x\", \"share\": 1, \"queue_limit\": 1}]",
    ),
    (
        "class timeout of zero",
        "classes",
        "[{\"name\": \"x\", \"share\": 1, \"queue_timeout_ms\": 0, \"queue_limit\": 1}]",
    ),
    (
        "class shares above a whole",
        "classes",
        "[{\"name\": \"x\", \"share\": 60, \"queue_timeout_ms\": 1, \"queue_limit\": 1}, \
          {\"name\": \"y\", \"share\": 41, \"queue_timeout_ms\": 1, \"queue_limit\": 1}]",
    ),
    (
        "class name twice",
        "classes",
        "[{\"name\": \"x\", \"share\": 6, \"queue_timeout_ms\": 1, \"queue_limit\": 1}, \
          {\"name\": \"x\", \"share\": 4, \"queue_timeout_ms\": 1, \"queue_limit\": 1}]",
    ),
    ("retries above a whole", "retry_percent", "101"),
    ("spill as a number", "spill", "1"),
];

fn describe(text: &str) -> String {
    match Document::parse(text) {
        Ok(_) => "ACCEPTED".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn contract(member: &str, text: &str) -> String {
    let digest = format!("\"{}\"", "ab".repeat(32));
    let class =
        "[{\"name\": \"x\", \"share\": 50, \"queue_timeout_ms\": 1000, \"queue_limit\": 10}]";
    let mut members = vec![
        ("credential_sha256", digest.as_str()),
        ("rate", "10"),
        ("burst", "10"),
        ("concurrency", "null"),
        ("shares", "{\"a\": 10}"),
        ("classes", class),
        ("retry_percent", "10"),
        ("spill", "false"),
    ];
    for (name, value) in &mut members {
        if *name == member {
            *value = text;
        }
    }
    let lines: Vec<String> = members
        .iter()
        .map(|(name, value)| format!("    \"{name}\": {value}"))
        .collect();
    format!(
        "{{\"customers\": {{\n  \"c\": {{\n{}\n}}}}}}",
        lines.join(",\n")
    )
}

/// Guards against accepting an invalid document, and against an error message that does not say what to change and
/// where.
#[test]
fn bad_documents_name_line_field_value_and_remedy() {
    let mut messages = String::new();
    let deep = "[".repeat(100_000);
    writeln!(messages, "nested too deeply: {}", describe(&deep)).unwrap();
    for (case, text) in INVALID_DOCUMENTS {
        let error = describe(text);
        writeln!(messages, "{case}: {error}").unwrap();
    }
    for (case, member, text) in INVALID_CONTRACTS {
        let error = describe(&contract(member, text));
        writeln!(messages, "{case}: {error}").unwrap();
    }
    insta::assert_snapshot!(messages);
    assert!(!messages.contains("ACCEPTED"));
}

/// Guards against a valid document that is rejected or read into wrong values, and against a removal that is ignored.
#[test]
fn a_document_with_comments_is_read_whole() {
    let text = r#"{
        // The design office.
        "customers": {
            "office": {
                "credential_sha256": "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF",
                "rate": 50, "burst": 100,
                "shares": {"quoting": 40, "designer": 60},
                "classes": [
                    {"name": "preview", "share": 70, "queue_timeout_ms": 2000, "queue_limit": 200},
                    {"name": "overnight", "share": 30, "queue_timeout_ms": 600000, "queue_limit": 5000},
                ],
            },
            "closed": null,
        },
        "pools": {"quoting": {"slots": 4}, "designer": {}},
        "hosts": {"h1": {"pool": "quoting"}, "h2": null},
    }"#;
    let document = Document::parse(text).unwrap();
    insta::assert_debug_snapshot!(document.values);
}
