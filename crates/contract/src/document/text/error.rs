//! Error that is shown to the operator.

/// The text is not valid JSON or contains an invalid value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("line {line}, column {column}: {message}")]
pub struct Error {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// Field, value and remedy.
    pub message: String,
}

impl Error {
    /// Creates the error for the position `start`, a byte index into `text`.
    pub(super) fn at(text: &str, start: usize, message: String) -> Self {
        let before = text.get(..start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            message,
        }
    }
}
