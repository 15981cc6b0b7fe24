//! What the control thread of an entry that reads the jobs has done lately, for one log line every few seconds.

use super::Control;
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::{
    Config,
    Engine,
    account::Usage,
    contention, //
};
use sassafrascrank_trace::{
    Event,
    Value, //
};
use std::sync::Arc;

/// Time between two log lines.
const INTERVAL: Duration = Duration::from_millis(2_000);

/// Largest number of accounts whose state is reported, which are those that use most. Their events have to fit into the ring of the
/// thread beside the others.
const ACCOUNT_LIMIT: usize = 200;
/// Largest number of pairs of images in a log line.
const SHOWN_PAIRS: usize = 16;

/// What the control thread has done since the last log line.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Since when.
    since: Option<Time>,
    decisions: u64,
    decision_time: Duration,
    /// Appends as the leader, their records, and the time until the log had answered.
    appends: u64,
    append_time: Duration,
    append_time_max: Duration,
    pub(super) records_appended: u64,
    /// Records of the jobs that were read.
    pub(super) records_read: u64,
    pub(super) orders: u64,
    pub(super) reports: u64,
    /// Accounts whose state was reported last.
    accounts: Vec<Arc<str>>,
    /// The table of images that slow each other down, as last shown.
    contention: contention::Summary,
}

impl Activity {
    /// Counts an append of the leader that took `took`.
    pub(super) fn count_append(&mut self, took: Duration) {
        self.appends += 1;
        self.append_time += took;
        self.append_time_max = self.append_time_max.max(took);
    }
}

impl Control {
    /// Counts a round of decisions that took `spent`.
    pub fn count_decision(&mut self, spent: Duration) {
        self.activity.decisions += 1;
        self.activity.decision_time += spent;
    }

    /// Writes the log line if it is due.
    pub(super) fn report_activity(&mut self, now: Time) {
        let since = *self.activity.since.get_or_insert(now);
        if now < since + INTERVAL {
            return;
        }
        self.report_accounts(now);
        let activity = core::mem::take(&mut self.activity);
        self.activity.since = Some(now);
        self.activity.accounts = activity.accounts;
        self.activity.contention = activity.contention;
        self.report_contention(now);
        if activity.records_read == 0 && activity.records_appended == 0 {
            return;
        }
        let mean = |total: Duration, count: u64| total / u32::try_from(count.max(1)).unwrap_or(1);
        let event = Event::new("activity", now)
            .with("age", Value::Duration(now.since(self.read_started)))
            .with("read", Value::Count(activity.records_read));
        let Some(engine) = &self.engine else {
            self.out.events.push(event.low_priority());
            return;
        };
        let (jobs, runs, ready) = engine.counts();
        let event = event
            .with("jobs", Value::Count(jobs as u64))
            .with("runs", Value::Count(runs as u64))
            .with("ready", Value::Count(ready as u64))
            .with("decisions", Value::Count(activity.decisions))
            .with("deciding", Value::Duration(activity.decision_time));
        let unconfirmed = now.since(self.election.confirmed_at());
        let append_mean = mean(activity.append_time, activity.appends);
        // An event has few fields, so the leader's appends have a line of their own.
        let appends = Event::new("leader-appends", now)
            .with("age", Value::Duration(unconfirmed))
            .with("appends", Value::Count(activity.appends))
            .with("appended", Value::Count(activity.records_appended))
            .with("append-mean", Value::Duration(append_mean))
            .with("append-max", Value::Duration(activity.append_time_max))
            .with("orders", Value::Count(activity.orders))
            .with("reports", Value::Count(activity.reports));
        self.out.events.push(event.low_priority());
        self.out.events.push(appends.low_priority());
    }

    /// Shows the table of images that slow each other down if it has changed. It is empty unless this entry leads.
    fn report_contention(&mut self, now: Time) {
        let engine = self.engine.as_ref();
        let summary = engine.map(Engine::contention).unwrap_or_default();
        if summary == self.activity.contention {
            return;
        }
        self.activity.contention = summary;
        let pairs = engine.map(|engine| engine.strongest_contention(SHOWN_PAIRS));
        let pairs = pairs.unwrap_or_default().into_iter();
        let pairs = pairs.map(|pair| {
            let (affected, beside, percent) = (pair.affected, pair.beside, pair.percent);
            format!("{affected} beside {beside} {percent}%")
        });
        let pairs: Vec<String> = pairs.collect();
        let event = Event::new("contention-table", now)
            .with("images", Value::Count(summary.images as u64))
            .with("pairs", Value::Count(summary.pairs as u64))
            .with("interfering", Value::Count(summary.interfering as u64))
            .with("evicted", Value::Count(summary.evicted))
            .with("untracked", Value::Count(summary.untracked))
            .with("rejected", Value::Count(summary.rejected))
            .with("strongest", Value::Text(pairs.join(", ").into()));
        self.out.events.push(event.as_state().low_priority());
    }

    /// Reports what runs and waits for each account, at the leader. Once the lead is lost, nothing does as far as this entry knows.
    fn report_accounts(&mut self, now: Time) {
        let mut rows = self
            .engine
            .as_ref()
            .map_or_else(Vec::new, |engine| engine.usage());
        rows.sort_by_key(|row| core::cmp::Reverse(row.used.cpu));
        rows.truncate(ACCOUNT_LIMIT);
        let reported: Vec<Arc<str>> = rows.iter().map(|row| Arc::clone(&row.name)).collect();
        let former = core::mem::replace(&mut self.activity.accounts, reported);
        let reported = &self.activity.accounts;
        let gone = former.into_iter().filter(|name| !reported.contains(name));
        let gone = gone.map(|name| Usage {
            name,
            ..Usage::default()
        });
        let events = gone.chain(rows).map(|row| account_event(row, now));
        self.out.events.extend(events);
    }

    /// Reports the caps of a configuration.
    pub(super) fn report_caps(&mut self, config: &Config, now: Time) {
        let events = config.iter_accounts().take(ACCOUNT_LIMIT).map(|account| {
            Event::new("account-cap", now)
                .with("cpu", Value::Count(account.cap.cpu))
                .with("memory", Value::Count(account.cap.memory))
                .with("gpu", Value::Count(account.cap.gpu))
                .with("weight", Value::Count(account.weight.into()))
                .with_account(Some(Arc::clone(&account.name)))
                .as_state()
                .metrics_only()
        });
        self.out.events.extend(events);
    }
}

/// Returns the event with the state of an account. It gets no log line if nothing runs or waits.
fn account_event(row: Usage, now: Time) -> Event {
    let idle = row.within + row.beyond + row.used.cpu + row.used.memory + row.used.gpu == 0;
    let event = Event::new("account", now)
        .with("cpu", Value::Count(row.used.cpu))
        .with("memory", Value::Count(row.used.memory))
        .with("gpu", Value::Count(row.used.gpu))
        .with("within", Value::Count(row.within))
        .with("beyond", Value::Count(row.beyond))
        .with_account(Some(row.name))
        .as_state()
        .low_priority();
    match idle {
        true => event.metrics_only(),
        false => event,
    }
}
