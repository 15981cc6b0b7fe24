//! Errors of the command line.

use super::Exit;
use sassafrascrank_base::name::Name;
use sassafrascrank_job::Id;
use std::path::PathBuf;

/// What the tool was doing when it failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The command line is wrong; holds the verb and a space, or nothing, for the hint at `--help`.
    #[error("the command line can't be used; see sassafrascrank {0}--help")]
    Usage(&'static str),
    /// A file can't be read.
    #[error("can't read {0}; name a readable file")]
    File(PathBuf),
    /// The standard input can't be read.
    #[error("the standard input holds no credential; pipe it into the command")]
    Input,
    /// A file does not pass its check.
    #[error("{0} is rejected")]
    Rejected(PathBuf),
    /// The output can't be written.
    #[error("can't write the output; check where it leads")]
    Output,
    /// The operating system refuses an address, a file descriptor or a thread.
    #[error("can't start; free the addresses, or raise the limits on file descriptors and threads")]
    Start,
    /// Nothing was published.
    #[error("can't publish")]
    Publish,
    /// The fleet can't be read from the platform.
    #[error("can't read the fleet; name the address of a platform that runs")]
    Fleet,
    /// The jobs can't be read from the log.
    #[error("can't read the jobs; name the address of a log that answers")]
    Log,
    /// The log has no job of this identity.
    #[error("the log has no job {0}; check the id, jobs are kept for 5 min after their end")]
    NoJob(Id),
    /// The fleet has no host or pool of this name.
    #[error("there is no {kind} {name}; see sassafrascrank {kind}s --help")]
    Missing {
        /// `host` or `pool`.
        kind: &'static str,
        /// The name.
        name: Name,
    },
    /// The state of the fleet does not allow the action.
    #[error("refused, nothing was published")]
    Refused,
    /// The demo failed.
    #[error("the demo failed")]
    Demo,
}

impl Error {
    /// Returns how the command ends after this error.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Rejected(_) => Exit::Rejected,
            _ => Exit::Failed,
        }
    }
}
