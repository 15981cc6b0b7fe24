//! The operator's binary `sassafrascrank`.

use sassafrascrank_tool::cli;
use std::{
    env,
    io,
    process::ExitCode, //
};

fn main() -> ExitCode {
    let arguments = env::args_os().skip(1);
    let result = cli::run(arguments, &mut io::stdin().lock(), &mut io::stdout());
    match result {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprint!("sassafrascrank: {}", cli::describe(&report));
            report.current_context().exit().into()
        }
    }
}
