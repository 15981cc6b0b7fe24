//! The program `soak`, which `soak/run` starts.

use lexopt::Arg;
use sassafrascrank_soak::{
    fault::{
        Event,
        Fault,
        Kinds,
        Size,
        schedule, //
    },
    run,
    sort::Sort, //
};
use std::{
    path::PathBuf,
    process::ExitCode, //
};

/// Exit code if the run could not take place.
const EXIT_FAILURE: u8 = 2;
/// Number of hosts that run tasks; the last pool is switched off.
const HOSTS: usize = 40;
/// One of this many jobs has long tasks.
const LONG_WORK_SHARE: u32 = 12;
/// The same if runners go dark, since a task that ends before the cut of its runner can't run twice.
const LONG_WORK_SHARE_DARK: u32 = 3;

fn main() -> ExitCode {
    match parse().map(|options| run::run(&options)) {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::FAILURE,
        Ok(Err(error)) => {
            eprintln!("soak: the run could not take place: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
        Err(error) => {
            eprintln!("soak: {error}; see soak/run");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn parse() -> Result<run::Options, lexopt::Error> {
    let (mut seed, mut seconds, mut entries) = (1, 40_u64, 7);
    let mut kinds = Kinds::ALL;
    let mut sorts = Sort::usual();
    let mut folder = PathBuf::from(".");
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        use lexopt::ValueExt;
        match argument {
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("seconds") => {
                seconds = parser.value()?.parse_with(|text| match text.parse() {
                    Ok(seconds @ 10..=600) => Ok(seconds),
                    _ => Err("a number from 10 to 600"),
                })?;
            }
            Arg::Long("entries") => {
                entries = parser.value()?.parse_with(|text| match text.parse() {
                    Ok(entries @ 1..=12) => Ok(entries),
                    _ => Err("a number from 1 to 12"),
                })?;
            }
            Arg::Long("faults") => {
                kinds = parser.value()?.parse_with(kinds_of)?;
            }
            Arg::Long("sorts") => {
                sorts = parser.value()?.parse_with(Sort::parse_list)?;
            }
            Arg::Long("folder") => folder = parser.value()?.into(),
            other => return Err(other.unexpected()),
        }
    }
    let size = Size {
        entries,
        hosts: HOSTS,
        millis: seconds * 1_000,
    };
    let faults = schedule(seed, size, kinds, &sorts);
    let dark = |event: &Event| matches!(event.fault, Fault::Dark(..));
    let long_work_share = match faults.iter().any(dark) {
        true => LONG_WORK_SHARE_DARK,
        false => LONG_WORK_SHARE,
    };
    Ok(run::Options {
        seed,
        long_work_share,
        accounts: sorts.contains(&Sort::ForeignKey),
        size,
        folder,
        faults,
    })
}

fn kinds_of(text: &str) -> Result<Kinds, &'static str> {
    let mut kinds = Kinds::default();
    for name in text.split(',') {
        match name {
            "none" => {}
            "entries" => kinds.entries = true,
            "runners" => kinds.runners = true,
            "links" => kinds.links = true,
            "log" => kinds.log = true,
            "clients" => kinds.clients = true,
            _ => {
                return Err("use entries, runners, links, log, clients, joined by commas, or none");
            }
        }
    }
    Ok(kinds)
}
