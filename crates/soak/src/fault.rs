//! The seeded schedule of faults.

use crate::link::{
    Close,
    Mode, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_standin::cluster::Fault as Log;
use std::time::Duration;

/// Faults begin when all entries have had time to start.
const FIRST: u64 = 8_000;
/// Longest series of faults, in milliseconds.
const SERIES: u64 = 9_000;
/// Time between two series. Long-running tasks are judged while the last 7 s are calm.
const CALM: u64 = 11_000;
/// Number of sorts of faults.
const SORTS: u8 = 11;
/// The sort of runners that start again under their ids and are cut off soon after.
const RESTART_AND_CUT: u8 = 10;
/// Largest number of faults of a run.
const LIMIT: usize = 600;

/// Which service a proxy stands before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The log.
    Log,
    /// The host service.
    Hosts,
    /// The runner of the host with this number.
    Runner(usize),
    /// All services.
    All,
}

/// A fault. Entries and hosts are given by their numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An entry is killed, and started again at the end.
    Kill(usize),
    /// An entry is asked to end, and started again at the end.
    Terminate(usize),
    /// An entry stands still.
    Freeze(usize),
    /// A runner crashes, and starts again at the end, under the same id if so.
    Crash(usize, bool),
    /// A runner is cut off from all entries.
    Cut(usize),
    /// A runner drains until the end, leaves, and a new one starts a second later.
    Drain(usize),
    /// The proxies of an entry are in this mode.
    Link(usize, Target, Mode),
    /// The proxies of an entry end connections.
    Close(usize, Target, Close),
    /// The log has a fault for an entry, or for all.
    Log(Option<usize>, Log),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it begins.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Kinds of faults that a run may have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Kinds {
    /// Faults of entries.
    pub entries: bool,
    /// Faults of runners.
    pub runners: bool,
    /// Faults of connections.
    pub links: bool,
    /// Faults of the log.
    pub log: bool,
}

impl Kinds {
    /// All kinds.
    pub const ALL: Self = Self {
        entries: true,
        runners: true,
        links: true,
        log: true,
    };
}

/// Numbers of entries and hosts, and the duration of the run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of hosts that run tasks.
    pub hosts: usize,
    /// Duration in milliseconds.
    pub millis: u64,
}

/// Returns the faults of a seed, in the order of their begin.
pub fn schedule(seed: u64, size: Size, kinds: Kinds) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut series = FIRST;
    while series + 2_000 < size.millis {
        let length = SERIES.min(size.millis - series - 1_000);
        // Each series mixes one to three sorts of faults, so that a broken case stays readable.
        for _ in 0..random.random_range(1..=3) {
            let sort = random.random_range(0..SORTS);
            let count = match sort {
                // Many crashes a second.
                3 | 4 => random.random_range(20..=90),
                _ => random.random_range(2..=8),
            };
            let subject = random.random_range(0..size.entries);
            for _ in 0..count {
                let begin = series + random.random_range(0..length);
                let (fault, lasts) = draw(&mut random, sort, subject, size);
                let mut add = |begin: u64, fault: Fault, lasts: u64| {
                    if allowed(fault, kinds) && events.len() < LIMIT && begin < size.millis {
                        events.push(Event {
                            begin: Duration::from_millis(begin),
                            end: Duration::from_millis((begin + lasts).min(size.millis)),
                            fault,
                        });
                    }
                };
                add(begin, fault, lasts);
                if let (RESTART_AND_CUT, Fault::Crash(host, _)) = (sort, fault) {
                    let cut = begin + lasts + random.random_range(200..3_000);
                    add(cut, Fault::Cut(host), random.random_range(2_000..9_000));
                }
            }
        }
        series += length + CALM;
    }
    events.sort_by_key(|event| event.begin);
    events
}

fn allowed(fault: Fault, kinds: Kinds) -> bool {
    match fault {
        Fault::Kill(_) | Fault::Terminate(_) | Fault::Freeze(_) => kinds.entries,
        Fault::Crash(..) | Fault::Cut(_) | Fault::Drain(_) => kinds.runners,
        Fault::Link(..) | Fault::Close(..) => kinds.links,
        Fault::Log(..) => kinds.log,
    }
}

/// Returns a fault of a sort with its duration in milliseconds. `subject` is the entry that a series is about.
fn draw(random: &mut StdRng, sort: u8, subject: usize, size: Size) -> (Fault, u64) {
    let any = random.random_range(0..size.entries);
    let host = random.random_range(0..size.hosts);
    let target = match random.random_range(0..4) {
        0 | 1 => Target::Log,
        2 => Target::Runner(host),
        _ => Target::All,
    };
    let short = random.random_range(50..4_000);
    match sort {
        0 => (Fault::Kill(any), random.random_range(100..3_000)),
        1 => (Fault::Terminate(any), random.random_range(500..6_500)),
        2 => (Fault::Freeze(any), short),
        3 => (
            Fault::Crash(host, random.random()),
            random.random_range(50..900),
        ),
        4 => (
            Fault::Crash(host, random.random()),
            random.random_range(100..4_000),
        ),
        5 => (Fault::Drain(host), random.random_range(2_000..3_500)),
        6 => match random.random_range(0..3) {
            0 => (Fault::Close(subject, target, Close::Reset), 1),
            1 => (Fault::Close(any, Target::All, Close::Idle), 1),
            _ => (Fault::Close(any, Target::All, Close::Reset), 1),
        },
        7 => {
            let mode = match random.random_range(0..4) {
                0 | 1 => Mode::Hold,
                2 => Mode::Refuse,
                _ => Mode::Delay(Duration::from_millis(random.random_range(20..600))),
            };
            (Fault::Link(subject, target, mode), short)
        }
        8 => (Fault::Log(Some(subject), log(random)), short),
        RESTART_AND_CUT => (Fault::Crash(host, true), random.random_range(50..900)),
        _ => (Fault::Log(None, log(random)), short),
    }
}

fn log(random: &mut StdRng) -> Log {
    match random.random_range(0..5) {
        0 => Log::Down,
        1 => Log::Slow(Duration::from_millis(random.random_range(50..900))),
        2 => Log::LostAnswers,
        _ => Log::FailedReads,
    }
}
