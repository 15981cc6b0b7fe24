//! The seeded schedule of faults.

use crate::{
    account,
    link::{
        Close,
        Held,
        Mode, //
    },
    sort::Sort,
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
    /// A runner crashes without a sign to the entries, whose calls wait for it, and starts again under its id at the end.
    Dark(usize, Held),
    /// A runner is cut off from all entries.
    Cut(usize, Held),
    /// A runner drains until the end, leaves, and a new one starts a second later.
    Drain(usize),
    /// The proxies of an entry are in this mode.
    Link(usize, Target, Mode),
    /// The proxies of an entry end connections.
    Close(usize, Target, Close),
    /// The log has a fault for an entry, or for all.
    Log(Option<usize>, Log),
    /// A key of an account is added, and its oldest one withdrawn at the end.
    Key(usize),
    /// The cap of an account is lowered.
    Cap(usize),
    /// Clients of an entry, this many, send bodies that stop short of their end.
    Crowd(usize, usize),
}

impl Fault {
    /// Tells whether it can keep an entry from reading the log or from deciding in time.
    pub fn cuts_off(self, entry: usize) -> bool {
        match self {
            Self::Freeze(other)
            | Self::Link(other, Target::Log | Target::All, _)
            | Self::Close(other, Target::Log | Target::All, _) => other == entry,
            Self::Log(other, _) => other.is_none_or(|other| other == entry),
            _ => false,
        }
    }
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
    /// What clients and the operator of their accounts do.
    pub clients: bool,
}

impl Kinds {
    /// All kinds.
    pub const ALL: Self = Self {
        entries: true,
        runners: true,
        links: true,
        log: true,
        clients: true,
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

/// Events of a schedule that grows.
struct Plan {
    events: Vec<Event>,
    size: Size,
    kinds: Kinds,
}

impl Plan {
    fn add(&mut self, begin: u64, fault: Fault, lasts: u64) {
        let millis = self.size.millis;
        if allowed(fault, self.kinds) && self.events.len() < LIMIT && begin < millis {
            self.events.push(Event {
                begin: Duration::from_millis(begin),
                end: Duration::from_millis((begin + lasts).min(millis)),
                fault,
            });
        }
    }

    /// Adds the faults of one sort to a series.
    fn extend(&mut self, random: &mut StdRng, sort: Sort, series: u64, length: u64) {
        let count = match sort {
            // Many crashes a second.
            Sort::CrashBrief | Sort::Crash => random.random_range(20..=90),
            Sort::RestartDark | Sort::RestartLate => random.random_range(8..=16),
            // Enough for both keys and caps in each series.
            Sort::ForeignKey => random.random_range(6..=10),
            // A single crowd, so that the number of its clients is the bound.
            Sort::Crowd => 1,
            _ => random.random_range(2..=8),
        };
        let subject = random.random_range(0..self.size.entries);
        for _ in 0..count {
            let begin = series + random.random_range(0..length);
            let (fault, lasts) = draw(random, sort, subject, self.size);
            self.add(begin, fault, lasts);
            let cut = match (sort, fault) {
                (Sort::Restart, Fault::Crash(host, _)) => Fault::Cut(host, Held::Kept),
                (_, Fault::Dark(host, held)) => Fault::Cut(host, held),
                _ => continue,
            };
            let at = begin + lasts + random.random_range(200..3_000);
            self.add(at, cut, random.random_range(2_000..9_000));
        }
    }
}

/// Returns the faults of a seed, in the order of their begin.
pub fn schedule(seed: u64, size: Size, kinds: Kinds, sorts: &[Sort]) -> Vec<Event> {
    let (client, other): (Vec<Sort>, Vec<Sort>) = sorts.iter().partition(|sort| sort.is_client());
    let (dark, plain): (Vec<Sort>, Vec<Sort>) = other.iter().partition(|sort| sort.is_dark());
    let mut random = StdRng::seed_from_u64(seed);
    // With generators of their own, the dark sorts and those of clients change no other fault of a seed.
    let mut dark_random = StdRng::seed_from_u64(seed ^ 0xda2c);
    let mut client_random = StdRng::seed_from_u64(seed ^ 0xc11e);
    let mut plan = Plan {
        events: Vec::new(),
        size,
        kinds,
    };
    let mut series = FIRST;
    while series + 2_000 < size.millis {
        let length = SERIES.min(size.millis - series - 1_000);
        if !plain.is_empty() {
            // Each series mixes one to three sorts of faults, so that a broken case stays readable.
            for _ in 0..random.random_range(1..=3) {
                let sort = pick(&mut random, &plain);
                plan.extend(&mut random, sort, series, length);
            }
        }
        if !dark.is_empty() {
            let sort = pick(&mut dark_random, &dark);
            plan.extend(&mut dark_random, sort, series, length);
        }
        for sort in &client {
            plan.extend(&mut client_random, *sort, series, length);
        }
        series += length + CALM;
    }
    plan.events.sort_by_key(|event| event.begin);
    plan.events
}

fn pick(random: &mut StdRng, sorts: &[Sort]) -> Sort {
    let count = u8::try_from(sorts.len()).unwrap_or(u8::MAX);
    sorts[usize::from(random.random_range(0..count))]
}

fn allowed(fault: Fault, kinds: Kinds) -> bool {
    match fault {
        Fault::Kill(_) | Fault::Terminate(_) | Fault::Freeze(_) => kinds.entries,
        Fault::Crash(..) | Fault::Dark(..) | Fault::Cut(..) | Fault::Drain(_) => kinds.runners,
        Fault::Link(..) | Fault::Close(..) => kinds.links,
        Fault::Log(..) => kinds.log,
        Fault::Key(_) | Fault::Cap(_) | Fault::Crowd(..) => kinds.clients,
    }
}

/// Returns a fault of a sort with its duration in milliseconds. `subject` is the entry that a series is about.
fn draw(random: &mut StdRng, sort: Sort, subject: usize, size: Size) -> (Fault, u64) {
    let any = random.random_range(0..size.entries);
    let host = random.random_range(0..size.hosts);
    let target = match random.random_range(0..4) {
        0 | 1 => Target::Log,
        2 => Target::Runner(host),
        _ => Target::All,
    };
    let short = random.random_range(50..4_000);
    match sort {
        Sort::Kill => (Fault::Kill(any), random.random_range(100..3_000)),
        Sort::Terminate => (Fault::Terminate(any), random.random_range(500..6_500)),
        Sort::Freeze => (Fault::Freeze(any), short),
        Sort::CrashBrief => (
            Fault::Crash(host, random.random()),
            random.random_range(50..900),
        ),
        Sort::Crash => (
            Fault::Crash(host, random.random()),
            random.random_range(100..4_000),
        ),
        Sort::Drain => (Fault::Drain(host), random.random_range(2_000..3_500)),
        Sort::Close => match random.random_range(0..3) {
            0 => (Fault::Close(subject, target, Close::Reset), 1),
            1 => (Fault::Close(any, Target::All, Close::Idle), 1),
            _ => (Fault::Close(any, Target::All, Close::Reset), 1),
        },
        Sort::Link => {
            let mode = match random.random_range(0..4) {
                0 | 1 => Mode::Hold(Held::Kept),
                2 => Mode::Refuse,
                _ => Mode::Delay(Duration::from_millis(random.random_range(20..600))),
            };
            (Fault::Link(subject, target, mode), short)
        }
        Sort::LogView => (Fault::Log(Some(subject), log(random)), short),
        Sort::Log => (Fault::Log(None, log(random)), short),
        Sort::Restart => (Fault::Crash(host, true), random.random_range(50..900)),
        Sort::RestartDark => (
            Fault::Dark(host, Held::Dropped),
            random.random_range(50..900),
        ),
        Sort::RestartLate => (
            Fault::Dark(host, Held::Queued),
            random.random_range(500..6_000),
        ),
        Sort::ForeignKey => {
            let account = random.random_range(0..account::COUNT);
            match random.random_range(0..3) {
                // Longer than the time for which an earlier cap may count.
                0 => (Fault::Cap(account), random.random_range(7_500..9_000)),
                // Entries have time to read the key that is added before callers use it.
                _ => (Fault::Key(account), random.random_range(3_000..5_000)),
            }
        }
        Sort::Crowd => (
            Fault::Crowd(any, random.random_range(20..=40)),
            random.random_range(2_000..6_000),
        ),
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
