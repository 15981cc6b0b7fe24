//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It succeeded.
    Done,
    /// It failed and had no effect.
    Failed,
    /// The command line is wrong.
    Usage,
    /// Another writer was faster; nothing was published.
    Stale,
    /// The change may be in the log or still arrive there.
    Unknown,
    /// A file does not pass its check.
    Rejected,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Stale => 3,
            Self::Unknown => 4,
            Self::Rejected => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
