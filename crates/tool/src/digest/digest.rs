//! The verb `digest`.

use crate::cli::{
    Error,
    Exit,
    print,
    unexpected, //
};
use error_stack::{
    Report,
    ResultExt, //
};
use lexopt::{
    Arg,
    Parser, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::io::{
    Read,
    Write, //
};

/// Help of the verb.
pub const HELP: &str = "\
Reads a credential from the standard input and prints its SHA-256 digest for the field credential_sha256 of a
contract. One line end at the end of the input is not part of the credential.

Usage: sassafrascrank digest < FILE

Options:
  -h, --help  print this help

Exit codes: 0 done, 1 the standard input can't be read or holds no credential, 2 the command line is wrong
";

const USAGE: Error = Error::Usage("digest ");
/// Largest credential in bytes; it has to fit into the header of a request.
const CREDENTIAL_BYTES_MAX: usize = 4_096;

/// Runs the verb.
///
/// # Errors
///
/// Fails if the command line is wrong or the input is no credential.
pub fn run<I: Read, O: Write>(
    parser: &mut Parser,
    input: &mut I,
    output: &mut O,
) -> Result<Exit, Report<Error>> {
    if let Some(argument) = parser.next().change_context(USAGE)? {
        return match argument {
            Arg::Short('h') | Arg::Long("help") => print(output, HELP),
            other => Err(unexpected(USAGE, other)),
        };
    }
    let mut credential = Vec::new();
    // One byte for a line end, and one that shows that the credential is too long.
    let limit = CREDENTIAL_BYTES_MAX as u64 + 2;
    let read = input.take(limit).read_to_end(&mut credential);
    read.change_context(Error::Input)?;
    if credential.ends_with(b"\n") {
        credential.pop();
    }
    if credential.is_empty() || credential.len() > CREDENTIAL_BYTES_MAX {
        let problem = format!(
            "{} bytes: use 1 to {CREDENTIAL_BYTES_MAX}",
            credential.len()
        );
        return Err(Report::new(Error::Input).attach(problem));
    }
    print(output, &format!("{}\n", encode(&credential)))
}

/// Returns the SHA-256 digest as 64 hexadecimal digits.
pub fn encode(credential: &[u8]) -> String {
    let digest = Sha256::digest(credential);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
