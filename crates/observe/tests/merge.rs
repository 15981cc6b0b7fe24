//! Merge of several time lines: no effect may come before its cause, whatever the clocks show.

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};
use sassafrascrank_observe::{
    event::Kind,
    timeline::{
        Process,
        Record,
        merge, //
    },
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

mod support;
use support::{
    lines,
    name,
    process,
    record,
    request, //
};

/// Position of a record: index of the process and sequence.
type Position = (usize, u64);

/// Simulation of three processes that forward requests and publish configurations, with skewed clocks.
struct Simulation {
    random: StdRng,
    processes: Vec<Arc<Process>>,
    /// Offset of each clock in milliseconds, from 0 to 2,000, so that two clocks differ by less than 2 s.
    clock_offsets_ms: Vec<u64>,
    /// True time in milliseconds.
    now_ms: u64,
    /// Time line of each process.
    timelines: Vec<Vec<Record>>,
    /// Offset of the configuration in force at each process.
    configurations: Vec<u64>,
    /// Pairs of a cause and its effect, as the simulation produced them.
    edges: Vec<(Position, Position)>,
    /// Steps that are still to run: the cause, the process and the step.
    pending: Vec<(Position, usize, Step)>,
}

#[derive(Clone, Copy)]
/// An effect of a record at another process.
enum Step {
    /// Serves a forwarded request; `lost` means that the answer doesn't reach `from`.
    Serve {
        request: u64,
        from: usize,
        lost: bool,
    },
    /// Passes on the answer of the process that the request was forwarded to.
    Relay { request: u64 },
    /// Puts a published configuration into force.
    Apply { configuration: u64 },
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            processes: ["suva-1", "lautoka-1", "nadi-1"].map(process).to_vec(),
            clock_offsets_ms: (0..3).map(|_| random.random_range(0..2_000)).collect(),
            now_ms: 10_000,
            timelines: vec![Vec::new(); 3],
            configurations: vec![0; 3],
            edges: Vec::new(),
            pending: Vec::new(),
            random,
        }
    }

    /// Appends a record of process `at`, with the current time of its clock.
    fn append(&mut self, at: usize, kind: Kind, set: impl FnOnce(&mut Record)) -> Position {
        self.now_ms += self.random.random_range(0..3);
        let sequence = self.timelines[at].len() as u64 + 1;
        let mut record = record(
            &self.processes[at],
            sequence,
            self.now_ms + self.clock_offsets_ms[at],
            kind,
        );
        record.configuration = self.configurations[at];
        set(&mut record);
        self.timelines[at].push(record);
        (at, sequence)
    }

    /// Appends a record about request `number` at process `at`.
    fn append_request(&mut self, at: usize, kind: Kind, number: u64) -> Position {
        self.append(at, kind, |record| record.request = Some(request(number)))
    }

    /// Lets a request arrive at `from`, which forwards it to `to`, sometimes twice because the first answer is lost.
    fn forward(&mut self, number: u64, from: usize, to: usize) {
        self.append_request(from, Kind::Arrived, number);
        let repeated = self.random.random_bool(0.2);
        for lost in [true, false].into_iter().skip(usize::from(!repeated)) {
            let host = self.processes[to].host.clone();
            let sent = self.append(from, Kind::Forwarded, |record| {
                record.request = Some(request(number));
                record.member = Some(host);
            });
            let step = Step::Serve {
                request: number,
                from,
                lost,
            };
            self.pending.push((sent, to, step));
        }
    }

    /// Lets process `at` publish a configuration, which the other processes apply later.
    fn publish(&mut self, at: usize, configuration: u64) {
        let published = self.append(at, Kind::ConfigurationPublished, |record| {
            record.configuration = configuration;
        });
        for to in (0..3).filter(|to| *to != at) {
            self.pending
                .push((published, to, Step::Apply { configuration }));
        }
    }

    /// Runs one of the pending steps, chosen at random.
    fn run_pending_step(&mut self) {
        let chosen = self.random.random_range(0..self.pending.len());
        // A repeated request arrives after the first one.
        let serves = |step: &Step| matches!(step, Step::Serve { .. });
        let (_, to, step) = self.pending[chosen];
        let first = self
            .pending
            .iter()
            .position(|(_, at, other)| *at == to && serves(other));
        let chosen = if serves(&step) {
            first.unwrap_or(chosen)
        } else {
            chosen
        };
        let (cause, at, step) = self.pending.remove(chosen);
        let effect = match step {
            Step::Serve {
                request,
                from,
                lost,
            } => {
                let arrived = self.append_request(at, Kind::Arrived, request);
                let answered = self.append_request(at, Kind::Answered, request);
                if !lost {
                    self.pending.push((answered, from, Step::Relay { request }));
                }
                arrived
            }
            Step::Relay { request } => self.append_request(at, Kind::Answered, request),
            Step::Apply { configuration } if configuration <= self.configurations[at] => return,
            Step::Apply { configuration } => {
                self.configurations[at] = configuration;
                self.append(at, Kind::ConfigurationInForce, |_| ())
            }
        };
        self.edges.push((cause, effect));
    }

    fn run(&mut self) {
        for number in 1..60 {
            let from = self.random.random_range(0..3);
            match self.random.random_range(0..4) {
                0 => self.publish(from, number),
                1 => {
                    self.append_request(from, Kind::Arrived, number);
                    self.append_request(from, Kind::Answered, number);
                }
                _ => {
                    let to = (from + self.random.random_range(1..3)) % 3;
                    self.forward(number, from, to);
                }
            }
            while !self.pending.is_empty() && self.random.random_bool(0.6) {
                self.run_pending_step();
            }
        }
        while !self.pending.is_empty() {
            self.run_pending_step();
        }
    }
}

/// Guards against a merge that puts an effect before its cause because of a skewed clock, or loses or repeats a record.
#[test]
fn merged_order_is_causal_despite_clock_skew() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let mut records = simulation.timelines.concat();
        let total = records.len();
        records.extend_from_within(..total / 10);
        records.shuffle(&mut simulation.random);

        let merged = merge(records);

        assert_eq!(merged.len(), total, "seed {seed}: every record once");
        let position = |record: &Record| {
            let process = simulation
                .processes
                .iter()
                .position(|process| *process == record.process);
            (process.expect("a known process"), record.sequence)
        };
        let indices: HashMap<Position, usize> = merged.iter().map(position).zip(0..).collect();
        for (at, timeline) in simulation.timelines.iter().enumerate() {
            for sequence in 1..timeline.len() as u64 {
                let ordered = indices[&(at, sequence)] < indices[&(at, sequence + 1)];
                assert!(ordered, "seed {seed}: process {at} at sequence {sequence}");
            }
        }
        for (cause, effect) in &simulation.edges {
            assert!(
                indices[cause] < indices[effect],
                "seed {seed}: {cause:?} before {effect:?}"
            );
        }
    }
}

/// Returns the records of a keyed request that `suva-1` forwards to `nadi-1`, whose clock is 1 s late, under a
/// configuration that `lautoka-1`, whose clock is 1 s early, publishes.
fn forwarded_request() -> Vec<Record> {
    let [suva, lautoka, nadi] = ["suva-1", "lautoka-1", "nadi-1"].map(process);
    let with = |mut record: Record, configuration: u64| {
        record.configuration = configuration;
        record
    };
    let about = |mut record: Record, configuration: u64| {
        record.request = Some(request(1));
        record.pool = Some(name("quoting"));
        record.configuration = configuration;
        record
    };
    let mut forwarded = about(record(&suva, 3, 5_022, Kind::Forwarded), 12);
    forwarded.member = Some(name("nadi-1"));
    vec![
        with(record(&lautoka, 1, 6_000, Kind::ConfigurationPublished), 12),
        with(record(&lautoka, 2, 6_005, Kind::ConfigurationInForce), 12),
        with(record(&suva, 1, 5_010, Kind::ConfigurationInForce), 12),
        about(record(&suva, 2, 5_020, Kind::Arrived), 12),
        forwarded,
        about(record(&suva, 4, 5_060, Kind::Answered), 12),
        with(record(&nadi, 1, 4_012, Kind::ConfigurationInForce), 12),
        about(record(&nadi, 2, 4_025, Kind::Arrived), 12),
        about(record(&nadi, 3, 4_030, Kind::Granted), 12),
        about(record(&nadi, 4, 4_055, Kind::Answered), 12),
    ]
}

/// Guards against a merge of several processes that shows a forwarded request out of order.
#[test]
fn merges_three_processes() {
    insta::assert_snapshot!(lines(&merge(forwarded_request())));
}

/// Guards against lost records or an endless merge if the ordering rules contradict each other: a process learns that
/// its append took effect only after it has received a request from a process that already applied it.
#[test]
fn contradictory_rules_keep_all_records() {
    let [suva, nadi] = ["suva-1", "nadi-1"].map(process);
    let mut records = vec![
        record(&nadi, 1, 10, Kind::ConfigurationInForce),
        record(&nadi, 2, 20, Kind::Forwarded),
        record(&suva, 1, 30, Kind::Arrived),
        record(&suva, 2, 40, Kind::ConfigurationPublished),
    ];
    records[0].configuration = 5;
    records[1].configuration = 5;
    records[3].configuration = 5;
    records[1].request = Some(request(1));
    records[1].member = Some(name("suva-1"));
    records[2].request = Some(request(1));
    insta::assert_snapshot!(lines(&merge(records)));
}
