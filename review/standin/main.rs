//! Plays one case against entries that run as processes of their own. See `review/REPORT.md`.
//!
//! Usage: `standin CASE PROGRAM FOLDER RECORD`. With `TROUBLE=0` in the environment the case runs without its disruption.
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod http;
mod json;
mod world;

use std::{
    path::PathBuf,
    process::exit,
    sync::Arc, //
};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let recorder = Arc::new(world::Recorder::new(&PathBuf::from(record)));
    recorder.note(format!("case {case}, trouble {trouble}"));
    let setting = cases::Setting {
        program: PathBuf::from(program),
        folder: PathBuf::from(folder),
        recorder: Arc::clone(&recorder),
        trouble,
    };
    let verdict = match case.as_str() {
        "foreign-entry" => cases::foreign_entry(&setting),
        "scheduled-job" => cases::scheduled_job(&setting),
        "lost-runner" => cases::lost_runner(&setting),
        "three-cuts" => cases::three_cuts(&setting),
        "late-start" => cases::late_start(&setting),
        _ => Err("there is no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(breach)) => (1, format!("the rule is broken: {breach}")),
        Err(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    recorder.note(&text);
    println!("{case}: {text}");
    exit(code);
}
