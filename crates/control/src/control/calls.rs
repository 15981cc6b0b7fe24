//! Callers' requests.

use super::Control;
use crate::{
    front::{
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
    Id,
    Record,
    replica::State, //
};
use std::collections::HashMap;

/// Time for which an accepted job is remembered that was not yet read from the log.
const RECENT: Duration = Duration::from_secs(30);

/// Whether an append is a submission or a cancel.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Act {
    Submit,
    Cancel,
}

/// An append for one or more callers.
#[derive(Debug)]
struct Append {
    id: Id,
    act: Act,
    callers: Vec<u64>,
}

/// Callers' requests that wait, and what was accepted recently.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    appends: HashMap<u64, Append>,
    /// Appends by what they are for, so that a repeat joins the one on its way.
    index: HashMap<(Id, Act), u64>,
    /// Jobs that this entry accepted, until they are read from the log.
    recent: HashMap<Id, Time>,
    /// Callers that wait for a read which began after their question.
    reads: Vec<(u64, Id, Time)>,
}

impl Calls {
    /// Forgets jobs that must have been read by now.
    pub(super) fn expire(&mut self, now: Time) {
        self.recent.retain(|_, at| now.since(*at) < RECENT);
    }
}

impl Control {
    /// Takes a caller's request.
    pub fn take_call(&mut self, request: Request, now: Time) {
        let caller = request.caller;
        match request.query {
            Query::Submit(job) => {
                if self.book.find(job.id).is_some() || self.calls.recent.contains_key(&job.id) {
                    self.reply(caller, Reply::Done);
                } else if !self.reachable {
                    // The job was not sent anywhere; another entry may reach the log.
                    self.reply(caller, unavailable());
                } else {
                    self.append(job.id, Act::Submit, Record::Job(job), caller);
                }
            }
            Query::State(id) => self.read_state(caller, id, now),
            Query::Cancel(id) => self.cancel(caller, id, now),
            Query::Pending(_) if !self.is_fresh(now) => self.reply(caller, unread()),
            Query::Pending(queue) => {
                let pending = self.book.pending(&queue);
                self.reply(caller, Reply::Pending(pending));
            }
        }
    }

    fn read_state(&mut self, caller: u64, id: Id, now: Time) {
        match self.book.state(id) {
            Some(state @ State::Ended(_)) => self.reply(caller, Reply::State(state)),
            _ if !self.is_fresh(now) => self.reply_unread(caller, id),
            // What has not ended may have changed since the last read.
            _ => {
                self.calls.reads.push((caller, id, now));
                self.out.requests.push(store::Request::Refresh);
            }
        }
    }

    /// Answers questions that were asked before the read which began at `started`.
    pub(super) fn answer_reads(&mut self, started: Time) {
        let (answered, waiting) = core::mem::take(&mut self.calls.reads)
            .into_iter()
            .partition(|&(_, _, asked)| asked <= started);
        self.calls.reads = waiting;
        let answered: Vec<(u64, Id, Time)> = answered;
        for (caller, id, _) in answered {
            let reply = match self.book.state(id) {
                Some(state) => Reply::State(state),
                None if self.calls.recent.contains_key(&id) => Reply::State(State::Queued),
                None => no_job(),
            };
            self.reply(caller, reply);
        }
    }

    /// Answers a question while the log can't be read.
    fn reply_unread(&mut self, caller: u64, id: Id) {
        let reply = match self.book.state(id) {
            Some(state) => Reply::State(state),
            None if self.calls.recent.contains_key(&id) => Reply::State(State::Queued),
            None => unread(),
        };
        self.reply(caller, reply);
    }

    fn cancel(&mut self, caller: u64, id: Id, now: Time) {
        let known = self.book.state(id);
        let recent = self.calls.recent.contains_key(&id);
        match known {
            Some(State::Ended(_)) => self.reply(caller, Reply::Done),
            None if !recent && self.is_fresh(now) => self.reply(caller, no_job()),
            None if !recent => self.reply(caller, unread()),
            _ => self.append(id, Act::Cancel, Record::Cancel(id), caller),
        }
    }

    /// Appends a record for a caller, unless the same one is on its way.
    fn append(&mut self, id: Id, act: Act, record: Record, caller: u64) {
        if let Some(token) = self.calls.index.get(&(id, act)) {
            if let Some(append) = self.calls.appends.get_mut(token) {
                append.callers.push(caller);
            }
            return;
        }
        let token = self.calls.next;
        self.calls.next += 1;
        let callers = vec![caller];
        self.calls
            .appends
            .insert(token, Append { id, act, callers });
        self.calls.index.insert((id, act), token);
        self.out
            .requests
            .push(store::Request::Accept { token, record });
    }

    /// Takes the fate of a caller's record.
    pub(super) fn take_accepted(&mut self, token: u64, stored: bool, now: Time) {
        let Some(append) = self.calls.appends.remove(&token) else {
            return;
        };
        self.calls.index.remove(&(append.id, append.act));
        if stored {
            self.refused_at = None;
            if append.act == Act::Submit {
                self.calls.recent.insert(append.id, now);
            }
            // The leader has to see it soon, and so does whoever asks here.
            self.out.requests.push(store::Request::Refresh);
        } else {
            self.refused_at = Some(now);
        }
        for caller in append.callers {
            let reply = if stored { Reply::Done } else { unavailable() };
            self.reply(caller, reply);
        }
    }

    pub(super) fn reply(&mut self, caller: u64, reply: Reply) {
        self.out.notices.push(Notice::Reply { caller, reply });
    }
}

fn no_job() -> Reply {
    let reason = "no job has this id: check the id and the address".to_owned();
    Reply::Problem(Problem::NoJob, reason)
}

fn unread() -> Reply {
    let reason =
        "this entry has not read the jobs: try again later, or at another entry".to_owned();
    Reply::Problem(Problem::Unavailable, reason)
}

fn unavailable() -> Reply {
    let reason = "the log refuses: nothing was done; try again later".to_owned();
    Reply::Problem(Problem::Unavailable, reason)
}
