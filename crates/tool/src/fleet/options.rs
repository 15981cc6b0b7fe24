//! Options of the verbs that publish a decision.

use super::Options;
use crate::cli::{
    Error,
    value, //
};
use core::net::SocketAddr;
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::Parser;
use sassafrascrank_base::prelude::*;

/// Options as given on the command line, before they are checked.
pub(crate) struct Flags {
    platform: Option<SocketAddr>,
    writer: String,
    seconds: u64,
    /// Time at which the fleet is judged; `None` for the current time.
    pub(crate) at: Option<Time>,
    /// Whether the change is only printed and not published.
    pub(crate) is_dry: bool,
}

impl Default for Flags {
    fn default() -> Self {
        Self {
            platform: None,
            writer: "operator".to_owned(),
            seconds: 10,
            at: None,
            is_dry: false,
        }
    }
}

impl Flags {
    /// Parses the value of the option `name`; returns `false` if the option is none of these.
    pub(crate) fn read(
        &mut self,
        name: &str,
        parser: &mut Parser,
        usage: &Error,
    ) -> Result<bool, Report<Error>> {
        match name {
            "platform" => self.platform = Some(value(parser, usage)?),
            "writer" => self.writer = value(parser, usage)?,
            "timeout" => self.seconds = value(parser, usage)?,
            "at" => self.at = Some(Time::from_millis(value(parser, usage)?)),
            "dry-run" => self.is_dry = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Checks the options; `publishes` says whether a record may be published.
    pub(crate) fn check(&self, publishes: bool, usage: &Error) -> Result<Options, Report<Error>> {
        let usage_error = |problem: String| Report::new(usage.clone()).attach(problem);
        let seconds = self.seconds;
        if !(1..=600).contains(&seconds) {
            return Err(usage_error(format!(
                "--timeout {seconds}: use 1 to 600 seconds"
            )));
        }
        if self.at.is_some() && publishes && !self.is_dry {
            let problem = "--at MS: a record has the present time; add --dry-run";
            return Err(usage_error(problem.to_owned()));
        }
        let missing = || usage_error("--platform ADDR is missing".to_owned());
        Ok(Options {
            platform: self.platform.ok_or_else(missing)?,
            writer: Name::new(&self.writer).change_context_lazy(|| usage.clone())?,
            limit: Duration::from_secs(seconds),
            is_dry: self.is_dry,
        })
    }
}
