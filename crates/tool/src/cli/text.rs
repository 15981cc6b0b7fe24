//! Error reports as text for operators.

use super::Error;
use error_stack::{
    AttachmentKind,
    FrameKind,
    Report, //
};

/// Describes an error and its causes, one per line, without source locations and backtraces.
pub fn describe(report: &Report<Error>) -> String {
    let mut lines: Vec<String> = Vec::new();
    let mut notes = Vec::new();
    // `frames` yields attachments before the context that they belong to.
    for frame in report.frames() {
        match frame.kind() {
            FrameKind::Context(context) => {
                push_unique(&mut lines, context.to_string());
                lines.append(&mut notes);
            }
            FrameKind::Attachment(AttachmentKind::Printable(note)) => notes.push(note.to_string()),
            FrameKind::Attachment(_) => {}
        }
    }
    let outer = report.current_context().to_string();
    let causes = lines.iter().filter(|line| **line != outer);
    let causes: String = causes.map(|line| format!("  {line}\n")).collect();
    format!("{outer}\n{causes}")
}

/// Adds a line, unless an outer context repeats the text of its cause.
fn push_unique(lines: &mut Vec<String>, line: String) {
    if !lines.iter().any(|known| known.contains(&line)) {
        lines.push(line);
    }
}
