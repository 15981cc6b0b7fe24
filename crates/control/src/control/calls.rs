//! Handling of callers' requests.

use super::Control;
use crate::{
    front::{
        Access,
        Answer,
        Notice,
        Query,
        Request, //
    },
    port::{
        Problem,
        Reply, //
    },
    store,
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_job::{
    Id, Job, Record,
    replica::{
        Count,
        State, //
    },
};
use sassafrascrank_schedule::{
    Config,
    config::Account, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Time for which an accepted job is remembered. By then it has been read from the log.
const ACCEPTED_LIMIT: Duration = Duration::from_secs(30);

/// Size of a job up to which it counts as small. The longest specification and some steps fit into it.
const SMALL_JOB_BYTES: usize = 8 << 10;

/// Whether an append is a submission or a cancellation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operation {
    Submit,
    Cancel,
}

/// An append in progress for one or more callers.
#[derive(Debug)]
struct Append {
    id: Id,
    operation: Operation,
    /// For whom the first of the callers acts.
    access: Access,
    callers: Vec<u64>,
    /// Bytes of memory that the job of a submission takes.
    bytes: usize,
}

/// A job that this entry has accepted.
#[derive(Debug)]
struct Accepted {
    at: Time,
    /// For whom its caller acts.
    access: Access,
}

/// Callers' requests that wait for the log, and jobs that were accepted recently.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// Token of the next append.
    next_token: u64,
    /// Appends in progress, by token.
    appends: HashMap<u64, Append>,
    /// Tokens of the appends in progress, so that a repeated request joins the append of the first one.
    index: HashMap<(Id, Operation), u64>,
    /// Bytes of the jobs in `appends`. They stay in memory until the log answers, also if their callers have left.
    bytes: usize,
    /// Jobs that this entry accepted recently. They may not have been read from the log yet.
    accepted: HashMap<Id, Accepted>,
    /// Callers that wait for a read of the log that begins after their question, and for the result of a submission of
    /// the same job that is in progress.
    lookups: Vec<Lookup>,
}

/// A caller that waits for a read of the log, because the last one does not answer its question about a job.
#[derive(Clone, Debug)]
struct Lookup {
    caller: u64,
    access: Access,
    id: Id,
    question: Question,
    asked: Time,
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// The load of its account is too high; the caller may come again after the time.
    Throttled(Duration),
    /// This entry holds too many jobs.
    Full,
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Throttled(after) => throttled(after),
            Refusal::Full => jobs_full(),
        }
    }
}

/// What a caller wants of a job.
#[derive(Clone, Copy, Debug)]
enum Question {
    /// Its state.
    State,
    /// To cancel it, if it exists.
    Cancel,
    /// Whether it was accepted before; otherwise its submission is refused.
    Submit(Refusal),
}

impl Calls {
    /// Removes accepted jobs that must have been read from the log by now.
    pub(super) fn expire(&mut self, now: Time) {
        self.accepted
            .retain(|_, accepted| now.since(accepted.at) < ACCEPTED_LIMIT);
    }
}

impl Control {
    /// Handles a caller's request.
    pub fn handle_call(&mut self, request: Request, now: Time) {
        let Request {
            caller,
            access,
            query,
        } = request;
        match query {
            Query::Submit(job) => match self.permits(&access, job.id) {
                Some(true) => self.reply(caller, Reply::Done),
                Some(false) => self.reply(caller, id_taken()),
                // The job was not stored, so the caller can submit it at another entry, which may reach the log.
                None if !self.log_reachable => self.reply(caller, log_lost()),
                None => self.submit(caller, access, job, now),
            },
            Query::State(id) => self.query_state(caller, access, id, now),
            Query::Cancel(id) => self.cancel(caller, access, id, now),
            Query::Pending(_) if !self.is_fresh(now) => self.reply(caller, unread()),
            Query::Pending(queue) => self.count_pending(caller, queue, now),
        }
    }

    /// Tells whether one more job may be held. Large ones use at most three quarters of the limit, so that they do not keep
    /// out small ones.
    fn has_room(&self, job: &Job) -> bool {
        let bytes = job.bytes();
        let limit = match bytes > SMALL_JOB_BYTES {
            true => self.job_limit / 4 * 3,
            false => self.job_limit,
        };
        self.replica.bytes() + self.calls.bytes + bytes <= limit
    }

    /// Tells whether a caller may act on a job; `None` if this entry does not know the job.
    fn permits(&self, access: &Access, id: Id) -> Option<bool> {
        let read = self.replica.find(id).and_then(|key| self.replica.get(key));
        if let Some(entry) = read
            && let Some(queue) = &entry.queue
        {
            return Some(access.permits(queue, entry.account.as_deref()));
        }
        let accepted = self.calls.accepted.get(&id)?;
        Some(access.permits_job_of(&accepted.access))
    }

    /// Appends a submission, unless it is refused because of the load of its account.
    fn submit(&mut self, caller: u64, access: Access, job: Arc<Job>, now: Time) {
        let id = job.id;
        if !self.calls.index.contains_key(&(id, Operation::Submit)) {
            let full = (!self.has_room(&job)).then_some(Refusal::Full);
            let throttled = || self.check_load(&access, id, now).map(Refusal::Throttled);
            if let Some(refusal) = full.or_else(throttled) {
                self.refuse(caller, access, id, refusal, now);
                return;
            }
            if let Some(account) = account(self.config.as_deref(), &access) {
                self.gate.record_submission(account, id, now);
            }
        }
        self.append(id, Operation::Submit, Record::Job(job), caller, access);
    }

    /// Refuses a submission, unless another entry has accepted the job since the last read. An entry that does not read the jobs
    /// can't wait for a read.
    fn refuse(&mut self, caller: u64, access: Access, id: Id, refusal: Refusal, now: Time) {
        match self.is_fresh(now) {
            true => self.look_up(caller, access, id, Question::Submit(refusal), now),
            false => self.reply(caller, refusal.into()),
        }
    }

    /// Returns the time after which the caller of a submission should come again, if the load of its account is too high. An
    /// entry that does not read the jobs doesn't know the load, and can't wait for a read.
    fn check_load(&self, access: &Access, id: Id, now: Time) -> Option<Duration> {
        if !self.is_fresh(now) {
            return None;
        }
        let account = account(self.config.as_deref(), access)?;
        let pending = self.replica.count_of_account(&account.name).pending;
        self.gate.check(account, id, pending, now)
    }

    fn count_pending(&mut self, caller: u64, queue: Arc<str>, now: Time) {
        let Count { active, pending } = self.replica.count(&queue);
        let event = Event::new("pending", now)
            .with("age", Value::Duration(now.since(self.read_started)))
            .with("pending", Value::Count(pending))
            .with("active", Value::Count(active))
            .with("queue", Value::Text(queue));
        self.out.events.push(event.low_priority());
        self.reply_until(caller, Reply::Pending(pending), self.fresh_until());
    }

    fn query_state(&mut self, caller: u64, access: Access, id: Id, now: Time) {
        if self.permits(&access, id) == Some(false) {
            self.reply(caller, no_job());
            return;
        }
        match self.replica.state(id) {
            Some(state @ State::Ended(_)) => self.reply(caller, Reply::State(state)),
            _ if !self.is_fresh(now) => self.reply_from_old_read(caller, id),
            // A job that has not ended may have changed since the last read.
            _ => self.look_up(caller, access, id, Question::State, now),
        }
    }

    /// Lets a caller wait for a read of the log that begins now or later.
    fn look_up(&mut self, caller: u64, access: Access, id: Id, question: Question, now: Time) {
        self.calls.lookups.push(Lookup {
            caller,
            access,
            id,
            question,
            asked: now,
        });
        self.out.requests.push(store::Request::Refresh);
    }

    /// Answers callers that asked about a job before the read that began at `started`.
    pub(super) fn answer_lookups(&mut self, started: Time) {
        let lookups = core::mem::take(&mut self.calls.lookups).into_iter();
        let (answered, waiting): (Vec<_>, Vec<_>) = lookups
            .partition(|lookup| lookup.asked <= started && !self.is_submission_open(lookup.id));
        self.calls.lookups = waiting;
        for Lookup {
            caller,
            access,
            id,
            question,
            ..
        } in answered
        {
            let permitted = self.permits(&access, id) != Some(false);
            let state = self.known_state(id).filter(|_| permitted);
            let reply = match (state, question) {
                _ if matches!(question, Question::Submit(_)) && !permitted => id_taken(),
                (None, Question::Submit(refusal)) => refusal.into(),
                (Some(_), Question::Submit(_)) => Reply::Done,
                (None, _) => no_job(),
                (Some(state), Question::State) => Reply::State(state),
                (Some(State::Ended(_)), Question::Cancel) => Reply::Done,
                (Some(_), Question::Cancel) => {
                    self.append_cancel(id, caller, access);
                    continue;
                }
            };
            self.reply(caller, reply);
        }
    }

    /// Answers callers that wait for a read of the jobs, which this entry no longer reads.
    pub(super) fn fail_lookups(&mut self) {
        for lookup in core::mem::take(&mut self.calls.lookups) {
            self.reply(lookup.caller, unread());
        }
    }

    /// Returns the state of a job that has been read or that this entry has accepted.
    fn known_state(&self, id: Id) -> Option<State> {
        let accepted = self.calls.accepted.contains_key(&id);
        self.replica
            .state(id)
            .or_else(|| accepted.then_some(State::Queued))
    }

    /// Tells whether this entry is appending a job that has not been read yet. The log may store it after any read, so
    /// whether it exists is known only with the result of the append.
    fn is_submission_open(&self, id: Id) -> bool {
        let appends = self.calls.index.contains_key(&(id, Operation::Submit));
        appends && self.known_state(id).is_none()
    }

    /// Answers from the last read, because the log has not been read recently. Does not say that a job is unknown.
    fn reply_from_old_read(&mut self, caller: u64, id: Id) {
        let state = self.known_state(id);
        self.reply(caller, state.map_or_else(unread, Reply::State));
    }

    fn cancel(&mut self, caller: u64, access: Access, id: Id, now: Time) {
        if self.permits(&access, id) == Some(false) {
            self.reply(caller, no_job());
            return;
        }
        match self.known_state(id) {
            Some(State::Ended(_)) => self.reply(caller, Reply::Done),
            Some(_) => self.append_cancel(id, caller, access),
            // Another entry may have accepted the job since the last read.
            None if self.is_fresh(now) => self.look_up(caller, access, id, Question::Cancel, now),
            None => self.reply(caller, unread()),
        }
    }

    fn append_cancel(&mut self, id: Id, caller: u64, access: Access) {
        self.append(id, Operation::Cancel, Record::Cancel(id), caller, access);
    }

    /// Appends a record for a caller, or lets the caller wait for the same append if it is in progress.
    fn append(
        &mut self,
        id: Id,
        operation: Operation,
        record: Record,
        caller: u64,
        access: Access,
    ) {
        if let Some(token) = self.calls.index.get(&(id, operation)) {
            if let Some(append) = self.calls.appends.get_mut(token) {
                match access.permits_job_of(&append.access) {
                    true => append.callers.push(caller),
                    false => self.reply(caller, id_taken()),
                }
            }
            return;
        }
        let token = self.calls.next_token;
        self.calls.next_token += 1;
        let callers = vec![caller];
        let bytes = match &record {
            Record::Job(job) => job.bytes(),
            _ => 0,
        };
        self.calls.bytes += bytes;
        self.calls.appends.insert(
            token,
            Append {
                id,
                operation,
                access,
                callers,
                bytes,
            },
        );
        self.calls.index.insert((id, operation), token);
        self.out
            .requests
            .push(store::Request::Accept { token, record });
    }

    /// Handles the result of the append of a caller's record.
    pub(super) fn handle_accepted(&mut self, token: u64, stored: bool, now: Time) {
        let Some(append) = self.calls.appends.remove(&token) else {
            return;
        };
        self.calls.index.remove(&(append.id, append.operation));
        self.calls.bytes -= append.bytes;
        if stored {
            self.append_failed_at = None;
            if append.operation == Operation::Submit {
                let accepted = Accepted {
                    at: now,
                    access: append.access,
                };
                self.calls.accepted.insert(append.id, accepted);
            }
            // This entry may be the leader or be asked for the state of the job, so it reads the record at once.
            self.out.requests.push(store::Request::Refresh);
        } else {
            if append.operation == Operation::Submit {
                self.gate.settle(append.id);
            }
            self.append_failed_at = Some(now);
        }
        for caller in append.callers {
            let reply = if stored { Reply::Done } else { unavailable() };
            self.reply(caller, reply);
        }
    }

    fn reply(&mut self, caller: u64, reply: Reply) {
        self.reply_until(caller, reply, Time::MAX);
    }

    /// Replies with what the caller may be told up to the time `until`.
    fn reply_until(&mut self, caller: u64, reply: Reply, until: Time) {
        let answer = Answer::new(reply, until);
        self.out.notices.push(Notice::Reply { caller, answer });
    }
}

/// Returns the account for which a caller acts, if the configuration has it.
fn account<'a>(config: Option<&'a Config>, access: &Access) -> Option<&'a Account> {
    config?.account(access.account.as_ref()?)
}

fn throttled(after: Duration) -> Reply {
    let reason = "the account submits more jobs than it is guaranteed, and they wait: nothing was done; try again after \
                  the time in Retry-After"
        .to_owned();
    Reply::Throttled(after, reason)
}

fn no_job() -> Reply {
    let reason = "no job has this id: check the id and the address".to_owned();
    Reply::Problem(Problem::NoJob, reason)
}

fn id_taken() -> Reply {
    let reason = "the id can't be used with this key: choose another id".to_owned();
    Reply::Problem(Problem::IdTaken, reason)
}

fn unread() -> Reply {
    let reason =
        "this entry has not read the jobs: try again later, or at another entry".to_owned();
    Reply::Problem(Problem::Unavailable, reason)
}

fn log_lost() -> Reply {
    let reason = "the log does not answer: nothing was done; try again later".to_owned();
    Reply::Problem(Problem::LogLost, reason)
}

fn jobs_full() -> Reply {
    let reason = "the entry holds too many jobs: nothing was done; try again later".to_owned();
    Reply::Problem(Problem::Overloaded, reason)
}

fn unavailable() -> Reply {
    let reason = "the log refuses: nothing was done; try again later".to_owned();
    Reply::Problem(Problem::Unavailable, reason)
}
