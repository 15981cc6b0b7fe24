//! One entry, with a simulated store thread.

use super::{
    Scenario,
    Simulation,
    Submission,
    VISIBLE_LIMIT,
    event::Event, //
};
use rand::RngExt;
use sassafrascrank_base::prelude::*;
use sassafrascrank_control::{
    control::{
        Control,
        Identity, //
    },
    front::{
        Answer,
        Notice, //
    },
    port::{
        self,
        Item,
        Page,
        Problem,
        Reply, //
    },
    store::{
        self,
        Request,
        Written, //
    },
};
use sassafrascrank_job::{
    Id,
    Record,
    record, //
};
use sassafrascrank_schedule::{
    Rules,
    runner::Change, //
};
use sassafrascrank_standin::cluster::{
    Producer,
    Rejected, //
};
use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

/// The entry with twice the capacity of the others, which takes the lead from them while they send orders.
pub(super) const LARGE_ENTRY: usize = 2;
/// Topic of the jobs.
pub(super) const TOPIC: &str = "jobs";
/// Time for which the state of an ended job is kept.
const RETENTION: Duration = Duration::from_secs(300);
/// Range of the time after which an append without an answer is repeated, in milliseconds.
const REPEAT_MS: (u64, u64) = (120, 160);

/// One entry, with the state of its simulated store thread.
pub(super) struct Entry {
    index: usize,
    scenario: Scenario,
    pub(super) control: Option<Control>,
    pub(super) incarnation: u64,
    pub(super) paused_until: Duration,
    pub(super) log_cut_until: Duration,
    /// Until then reads of the log fail.
    pub(super) reads_cut_until: Duration,
    /// Reads that begin before the first time are handled later by the second.
    pub(super) read_delay: (Duration, Duration),
    next_offset: Option<u64>,
    /// When the present read of the newest record of each key began, and its pages so far.
    newest: Option<(Time, Page)>,
    read_interval: Duration,
    /// Number of the claim for which the service list is read.
    runners_claim: Option<u64>,
    pub(super) epoch: u64,
    sequence: u64,
    writes: VecDeque<(u64, Vec<Record>)>,
    writing: Option<(u64, Vec<Record>, Duration)>,
    accepts: BTreeMap<u64, Record>,
    accept_sequence: BTreeMap<u64, u64>,
}

impl Entry {
    pub(super) fn new(index: usize, scenario: Scenario) -> Self {
        Self {
            index,
            scenario,
            control: None,
            incarnation: 0,
            paused_until: Duration::ZERO,
            log_cut_until: Duration::ZERO,
            reads_cut_until: Duration::ZERO,
            read_delay: (Duration::ZERO, Duration::ZERO),
            next_offset: None,
            newest: None,
            read_interval: Duration::from_millis(300),
            runners_claim: None,
            epoch: 0,
            sequence: 0,
            writes: VecDeque::new(),
            writing: None,
            accepts: BTreeMap::new(),
            accept_sequence: BTreeMap::new(),
        }
    }

    fn restart(&mut self, now: Time) {
        self.incarnation += 1;
        let identity = Identity {
            name: format!("entry-{}", self.index).into(),
            incarnation: now.as_micros() + self.incarnation,
            capacity: if self.index == LARGE_ENTRY { 500 } else { 250 },
        };
        let lead = sassafrascrank_lead::Timing::default();
        let mut rules = Rules::default();
        if !self.scenario.waits_for_leases {
            rules.leader_lease = Duration::ZERO;
            rules.start_limit = Duration::ZERO;
        }
        self.control = Some(Control::new(identity, lead, rules, RETENTION, now));
        self.read_delay = (Duration::ZERO, Duration::ZERO);
        self.next_offset = None;
        self.newest = None;
        self.read_interval = Duration::from_millis(300);
        self.runners_claim = None;
        self.epoch = 0;
        self.writes.clear();
        self.writing = None;
        self.accepts.clear();
        self.accept_sequence.clear();
    }
}

impl Simulation {
    pub(super) fn boot(&mut self, index: usize) {
        let now = self.time();
        self.entries[index].restart(now);
        let incarnation = self.entries[index].incarnation;
        let config = self.config.clone();
        self.with(index, |control| {
            let event = store::Event::Operator {
                records: vec![port::OperatorRecord::Config(config)],
                started: now,
                last: true,
            };
            control.handle_event(event, now);
        });
        self.push_after(1, 20, Event::Read(index, incarnation));
        self.push_after(1, 25, Event::Tick(index, incarnation));
    }

    /// Lets an entry handle something, and carries out its requests and orders.
    pub(super) fn with(&mut self, index: usize, act: impl FnOnce(&mut Control)) {
        let Some(control) = &mut self.entries[index].control else {
            return;
        };
        act(control);
        let output = control.take_output();
        self.check_events(index, &output);
        for notice in output.notices {
            if let Notice::Reply { caller, answer } = notice {
                self.answer(index, caller, answer);
            }
        }
        for request in output.requests {
            self.request(index, request);
        }
        for order in output.orders {
            self.order(index, order);
        }
    }

    /// Lets an answer reach its caller, at once or late.
    fn answer(&mut self, index: usize, caller: u64, answer: Answer) {
        let Some((from, to)) = self.scenario.answer_delay_ms else {
            self.replied(caller, answer);
            return;
        };
        let event = Event::Answer {
            entry: index,
            incarnation: self.entries[index].incarnation,
            caller,
            answer,
        };
        self.push_after(from, to, event);
    }

    pub(super) fn replied(&mut self, caller: u64, answer: Answer) {
        match answer.at(self.time()) {
            Reply::Pending(pending) => {
                self.counted += 1;
                self.undercounted += usize::from(2 * pending < self.waiting());
            }
            Reply::Done => {
                if let Some(submission) = self.submissions.get_mut(caller as usize) {
                    submission.accepted.get_or_insert(self.now);
                }
            }
            Reply::Problem(problem, _) => {
                let cancelled = caller.checked_sub(super::CANCEL_CALLER);
                let cancelled = cancelled.map(|index| index as usize);
                if let Some(submission) =
                    cancelled.and_then(|index| self.submissions.get_mut(index))
                {
                    submission.cancelled = false;
                    self.denied += usize::from(problem == Problem::NoJob);
                }
            }
            Reply::State(_) | Reply::Throttled(..) => {}
        }
    }

    /// Returns the number of jobs that were accepted so long ago that every entry has to count them, of which no task
    /// was ever started.
    fn waiting(&self) -> u64 {
        let runs = self.runners.iter().flat_map(|runner| {
            let ended = runner.history.iter().chain(&runner.worker.history);
            let running = runner.worker.runs.iter().map(|run| &run.task);
            ended.map(|ended| &ended.task).chain(running)
        });
        let tasks: BTreeSet<&String> = runs.collect();
        let has_begun = |job: Id| {
            let job = job.to_string();
            tasks.iter().any(|task| task.starts_with(&job))
        };
        let waits = |submission: &&Submission| {
            submission
                .accepted
                .is_some_and(|at| self.now >= at + VISIBLE_LIMIT)
                && !submission.cancelled
                && !has_begun(submission.job.id)
        };
        self.submissions.iter().filter(waits).count() as u64
    }

    fn request(&mut self, index: usize, request: Request) {
        let incarnation = self.entries[index].incarnation;
        match request {
            Request::Accept { token, record } => {
                let entry = &mut self.entries[index];
                let sequence = entry.accept_sequence.len() as u64;
                entry.accept_sequence.insert(token, sequence);
                entry.accepts.insert(token, record);
                self.push_after(3, 10, Event::Accept(index, incarnation, token));
            }
            Request::Lead { epoch, record } => {
                let entry = &mut self.entries[index];
                entry.epoch = epoch;
                entry.sequence = 0;
                entry.writes.clear();
                entry.writes.push_back((epoch, vec![record]));
                entry.writing = None;
                self.push_after(3, 10, Event::Append(index, incarnation));
            }
            Request::Write(records) => {
                let entry = &mut self.entries[index];
                let epoch = entry.epoch;
                entry.writes.push_back((epoch, records));
                self.push_after(3, 10, Event::Append(index, incarnation));
            }
            Request::Abandon => {
                let entry = &mut self.entries[index];
                entry.epoch = 0;
                entry.writes.clear();
                entry.writing = None;
            }
            Request::SetReads {
                jobs_interval: jobs,
                runners,
                ..
            } => {
                let entry = &mut self.entries[index];
                entry.read_interval = jobs;
                let begins = entry.runners_claim != runners;
                entry.runners_claim = runners;
                if begins {
                    self.list_to(index);
                }
            }
            Request::Refresh | Request::Announce { .. } | Request::WriteSeat { .. } => {}
        }
    }

    pub(super) fn list_to_all(&mut self) {
        for index in 0..self.entries.len() {
            self.list_to(index);
        }
    }

    fn list_to(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation;
        let Some(claim) = self.entries[index].runners_claim else {
            return;
        };
        let changes = self.listing().into_iter().map(Change::Set).collect();
        let event = store::Event::Runners {
            claim,
            changes,
            complete: true,
        };
        self.push_after(10, 60, Event::Store(index, incarnation, event));
    }

    pub(super) fn read(&mut self, index: usize, incarnation: u64) {
        if self.entries[index].incarnation != incarnation || self.entries[index].control.is_none() {
            return;
        }
        let entry = &self.entries[index];
        if entry.log_cut_until.max(entry.reads_cut_until) > self.now {
            self.entries[index].newest = None;
            let failed = store::Event::ReadFailed {
                topic: port::Topic::Jobs,
                failures: 1,
                took: Duration::ZERO,
                reason: String::new(),
            };
            self.push_after(50, 90, Event::Store(index, incarnation, failed));
            self.push_after(100, 150, Event::Read(index, incarnation));
            return;
        }
        let (started, page) = match self.entries[index].next_offset {
            None => match self.read_newest(index) {
                Some(read) => read,
                None => {
                    self.push_after(5, 100, Event::Read(index, incarnation));
                    return;
                }
            },
            Some(from) => match self.log.read(TOPIC, from) {
                Ok((end, records)) => {
                    let rows = (from..).zip(records).take(self.scenario.page_limit);
                    let items = rows.map(|(offset, (key, value))| item(offset, key, value));
                    let items: Vec<Item> = items.collect();
                    let next = from + items.len() as u64;
                    (self.time(), Page { items, next, end })
                }
                Err(_) => {
                    self.entries[index].next_offset = None;
                    self.push_after(1, 5, Event::Read(index, incarnation));
                    return;
                }
            },
        };
        let decode = |item: &Item| {
            let record = record::decode(&item.key, &item.value);
            let record = record.expect("the entries write what they can read");
            Some((item.offset, record?))
        };
        let last = page.is_last();
        let event = store::Event::Jobs {
            records: page.items.iter().filter_map(decode).collect(),
            started,
            complete: self.entries[index].next_offset.is_none(),
            last,
        };
        self.entries[index].next_offset = Some(page.next);
        let entry = &self.entries[index];
        let late = match entry.read_delay {
            (until, delay) if self.now < until => delay,
            _ => Duration::ZERO,
        };
        // A read that is handled late or that does not reach the end of the log is followed by the next one at once.
        let interval_ms = match last && late.is_zero() {
            true => entry.read_interval.as_millis() as u64,
            false => 0,
        };
        let handled = self.now + late + self.millis(2, 6);
        self.push(handled, Event::Store(index, incarnation, event));
        self.read_operator(index, incarnation, handled);
        let pause = self.millis(interval_ms.max(10), interval_ms.max(10) + 10);
        self.push(self.now + late + pause, Event::Read(index, incarnation));
    }

    /// Reads the next page of the newest record of each key. After the last page, returns when the first one was read
    /// and all records. Pages are not a snapshot, so reading continues from the end that the first page reported.
    fn read_newest(&mut self, index: usize) -> Option<(Time, Page)> {
        let now = self.time();
        let limit = self.scenario.page_limit;
        let (end, mut rows) = self.log.newest(TOPIC);
        let first = Page {
            next: end,
            ..Page::default()
        };
        let newest = &mut self.entries[index].newest;
        let (_, page) = newest.get_or_insert((now, first));
        page.end = end;
        if let Some(last) = page.items.last() {
            rows.retain(|(_, key, _)| *key > last.key);
        }
        let more = rows.len() > limit;
        let rows = rows.into_iter().take(limit);
        page.items
            .extend(rows.map(|(offset, key, value)| item(offset, key, value)));
        if more {
            return None;
        }
        page.items.sort_unstable_by_key(|item| item.offset);
        newest.take()
    }

    pub(super) fn append(&mut self, index: usize, incarnation: u64) {
        if self.entries[index].incarnation != incarnation || self.entries[index].control.is_none() {
            return;
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.writing.is_none() {
            let Some((epoch, records)) = entry.writes.pop_front() else {
                return;
            };
            if epoch != entry.epoch {
                return;
            }
            entry.writing = Some((epoch, records, now));
        }
        if entry.log_cut_until > now {
            self.push_after(REPEAT_MS.0, REPEAT_MS.1, Event::Append(index, incarnation));
            return;
        }
        let Some((epoch, records, started)) = entry.writing.clone() else {
            return;
        };
        let producer = Producer {
            name: "leader".to_owned(),
            epoch,
            sequence: entry.sequence,
        };
        let rows = records.iter().map(record::encode).collect();
        let result = self.log.append(TOPIC, Some(&producer), None, rows);
        if self.faulty() && self.rng.random_bool(0.05) {
            // The answer is lost; the append is repeated with the same sequence.
            self.push_after(REPEAT_MS.0, REPEAT_MS.1, Event::Append(index, incarnation));
            return;
        }
        let result = match result {
            Ok(_) => Written::Stored,
            Err(Rejected::Fenced) => Written::Fenced,
            Err(other) => panic!("the sequence of the leader is broken: {other:?}"),
        };
        let entry = &mut self.entries[index];
        entry.sequence += 1;
        entry.writing = None;
        let event = store::Event::Written {
            epoch,
            started: super::START + started,
            result,
        };
        self.push_after(2, 6, Event::Store(index, incarnation, event));
        self.push_after(7, 9, Event::Append(index, incarnation));
    }

    pub(super) fn accept(&mut self, index: usize, incarnation: u64, token: u64) {
        if self.entries[index].incarnation != incarnation || self.entries[index].control.is_none() {
            return;
        }
        if self.entries[index].log_cut_until > self.now {
            self.push_after(
                REPEAT_MS.0,
                REPEAT_MS.1,
                Event::Accept(index, incarnation, token),
            );
            return;
        }
        let entry = &self.entries[index];
        let producer = Producer {
            name: format!("entry-{index}-{token}"),
            epoch: incarnation,
            sequence: 0,
        };
        let rows = vec![record::encode(&entry.accepts[&token])];
        let result = self.log.append(TOPIC, Some(&producer), None, rows);
        assert!(result.is_ok(), "a caller's append is rejected: {result:?}");
        if self.faulty() && self.rng.random_bool(0.05) {
            self.push_after(
                REPEAT_MS.0,
                REPEAT_MS.1,
                Event::Accept(index, incarnation, token),
            );
            return;
        }
        let event = store::Event::Accepted {
            token,
            stored: true,
            took: None,
        };
        self.push_after(2, 6, Event::Store(index, incarnation, event));
    }
}

fn item(offset: u64, key: String, value: Vec<u8>) -> Item {
    Item { offset, key, value }
}
