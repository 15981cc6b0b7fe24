//! The line of a file that an error is about, and where its fields are described.

use sassafrascrank_contract::document;
use sassafrascrank_daemon::settings;

/// Longest part of a line that is shown, in characters.
const SHOWN_LIMIT: usize = 160;

/// Returns the line of a document with the error, and where to look.
pub(super) fn of_document(text: &str, error: &document::Error) -> String {
    let line = show(text, error.line);
    format!("{line}  the fields are in examples/trenzas/configuration.jsonc and docs/OPERATIONS.md")
}

/// Returns the line of a settings file with the error, and where to look.
pub(super) fn of_settings(text: &str, error: &settings::Error) -> String {
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

/// Shows the line with this number, from 1.
fn show(text: &str, number: usize) -> String {
    let line = text.lines().nth(number.saturating_sub(1));
    let Some(line) = line.filter(|line| !line.trim().is_empty()) else {
        return String::new();
    };
    let line: String = line.chars().take(SHOWN_LIMIT).collect();
    format!("line {number} | {line}\n")
}
