//! Hints for an error in a file: the line that it is in, and where the fields are described.

use sassafrascrank_contract::document;
use sassafrascrank_daemon::settings;

/// Longest part of a line that is shown, in characters; the rest is cut off.
const SHOWN_CHARACTERS_MAX: usize = 160;

/// Returns the line of a document that the error is in, and where its fields are described.
pub(super) fn in_document(text: &str, error: &document::Error) -> String {
    let line = show(text, error.line);
    format!("{line}  the fields are in examples/trenzas/configuration.jsonc and docs/OPERATIONS.md")
}

/// Returns the line of a settings file that the error is in, and where its fields are described.
pub(super) fn in_settings(text: &str, error: &settings::Error) -> String {
    let line = match error {
        settings::Error::Text(error) => show(text, error.line),
        settings::Error::Value { field, .. } => {
            let quoted = format!("\"{field}\"");
            let position = text.lines().position(|line| line.contains(&quoted));
            position.map_or_else(String::new, |position| show(text, position + 1))
        }
        settings::Error::File(_) => String::new(),
    };
    format!(
        "{line}  the fields are in examples/trenzas/entry-nicoya-1.jsonc and docs/OPERATIONS.md"
    )
}

/// Formats the line with this number, counted from 1; returns nothing if it is blank or does not exist.
fn show(text: &str, number: usize) -> String {
    let line = text.lines().nth(number.saturating_sub(1));
    let Some(line) = line.filter(|line| !line.trim().is_empty()) else {
        return String::new();
    };
    let line: String = line.chars().take(SHOWN_CHARACTERS_MAX).collect();
    format!("line {number} | {line}\n")
}
