//! Callers that submit, read and cancel jobs.

use crate::{
    account::{
        Accounts,
        Call, //
    },
    job::{
        Job,
        Jobs,
        Step, //
    },
    site::{
        QUEUES,
        Site, //
    },
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    StatusCode, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_client::{
    Limits,
    Pool, //
};
use std::{
    rc::Rc,
    time::Duration, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time between two attempts of a submission.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Number of attempts of a submission.
const ATTEMPTS: usize = 6;
/// Time between two reads of a job.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Number of reads of a job, which bounds the calls of a run.
const READS: usize = 12;

/// Callers, whose connections stay open until the entry is gone.
pub struct Callers {
    site: Site,
    pool: Pool,
    jobs: Jobs,
    accounts: Accounts,
    start: Instant,
    /// One of this many jobs has tasks that run for longer than the longest lease of a runner.
    long_work_share: u32,
}

impl Callers {
    /// Creates callers; times are relative to `start`. One of `long_work_share` jobs has long tasks.
    pub fn new(
        site: Site,
        jobs: Jobs,
        accounts: Accounts,
        start: Instant,
        long_work_share: u32,
    ) -> Rc<Self> {
        Rc::new(Self {
            site,
            pool: Pool::new(64, DEADLINE),
            jobs,
            accounts,
            start,
            long_work_share,
        })
    }

    /// Submits jobs for `duration`, and returns then. Reads of jobs that go on continue.
    pub async fn run(self: Rc<Self>, seed: u64, duration: Duration) {
        let mut random = StdRng::seed_from_u64(seed ^ 0xca11);
        let mut number = 0;
        // The long-running jobs come first, as services do.
        for _ in 0..2 {
            for queue in 4..QUEUES.len() {
                self.arrive(&mut random, &mut number, queue);
            }
        }
        while self.start.elapsed() < duration {
            sleep(Duration::from_millis(random.random_range(20..400))).await;
            let queue = match random.random_range(0..40) {
                0 => random.random_range(4..QUEUES.len()),
                _ => random.random_range(0..4),
            };
            self.arrive(&mut random, &mut number, queue);
        }
    }

    /// Asks for jobs of accounts for `duration`, with keys that were withdrawn or never existed.
    pub async fn run_foreign(self: Rc<Self>, seed: u64, duration: Duration) {
        let mut random = StdRng::seed_from_u64(seed ^ 0xf0e1);
        while self.start.elapsed() < duration {
            sleep(Duration::from_millis(random.random_range(50..250))).await;
            let jobs = self.jobs.borrow();
            let owned = jobs
                .iter()
                .filter_map(|(id, job)| Some((id.clone(), job.account?)));
            let owned: Vec<(String, usize)> = owned.collect();
            drop(jobs);
            if owned.is_empty() {
                continue;
            }
            let (id, account) = owned[random.random_range(0..owned.len())].clone();
            let random = StdRng::seed_from_u64(random.random());
            spawn_local(Rc::clone(&self).intrude(id, account, random));
        }
    }

    /// Makes one call with a key of the account that was withdrawn, or with one that never existed.
    async fn intrude(self: Rc<Self>, id: String, account: usize, mut random: StdRng) {
        let withdrawn = {
            let table = self.accounts.borrow();
            let keys = table.accounts[account].keys.iter();
            let keys: Vec<_> = keys
                .filter(|key| key.withdrawn.is_some())
                .cloned()
                .collect();
            match keys.is_empty() || random.random_ratio(1, 3) {
                true => None,
                false => Some(keys[random.random_range(0..keys.len())].clone()),
            }
        };
        let method = match random.random_range(0..4) {
            0 => Method::POST,
            // For some seconds a withdrawn key may still be in force, and would cancel the job.
            1 if withdrawn.is_none() => Method::DELETE,
            _ => Method::GET,
        };
        let entry = random.random_range(0..self.site.entries);
        let body = match method {
            Method::POST => self.jobs.borrow()[&id].body(),
            _ => String::new(),
        };
        let sent = self.start.elapsed();
        let key = withdrawn
            .as_ref()
            .map_or("key-that-never-existed", |key| &key.text);
        let answer = self.send(entry, method, &id, &body, Some(key)).await;
        self.accounts.borrow_mut().calls.push(Call {
            sent,
            entry,
            job: id,
            withdrawn: withdrawn.and_then(|key| key.withdrawn),
            status: answer.map(|(status, _)| status),
        });
    }

    fn arrive(self: &Rc<Self>, random: &mut StdRng, number: &mut u64, queue: usize) {
        *number += 1;
        let id = format!("{:016x}", (random.random::<u64>() & !0xffff) | *number);
        let lasting = queue >= 4;
        let step = |random: &mut StdRng| Step {
            tasks: random.random_range(3..8),
            cpu: random.random_range(800..2_500),
        };
        let count = if lasting {
            1
        } else {
            random.random_range(1..=2)
        };
        let steps = (0..count).map(|_| step(random)).collect();
        let (name, pool, _, anonymous) = QUEUES[queue];
        let account = match anonymous {
            true => None,
            false => self.accounts.borrow().submitter(*number),
        };
        let job = Job {
            queue: name.to_owned(),
            account,
            pool: pool.to_owned(),
            steps,
            work: (!lasting).then(|| match random.random_range(0..self.long_work_share) {
                0 => random.random_range(8_000..12_000),
                _ => random.random_range(300..2_000),
            }),
            accepted: None,
            cancelled: false,
            shown: Vec::new(),
        };
        self.jobs.borrow_mut().insert(id.clone(), job);
        let random = StdRng::seed_from_u64(random.random());
        spawn_local(Rc::clone(self).follow(id, random));
    }

    async fn follow(self: Rc<Self>, id: String, mut random: StdRng) {
        let body = self.jobs.borrow()[&id].body();
        let mut accepted = false;
        for _ in 0..ATTEMPTS {
            let entry = random.random_range(0..self.site.entries);
            let answer = self.call(entry, Method::POST, &id, &body).await;
            if matches!(answer, Some((StatusCode::OK, _))) {
                self.change(&id, |job, now| job.accepted = Some(now));
                accepted = true;
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        let cancel_at = random
            .random_ratio(1, 20)
            .then(|| random.random_range(1..READS));
        for read in 0..READS {
            if !accepted {
                return;
            }
            sleep(READ_INTERVAL).await;
            let entry = random.random_range(0..self.site.entries);
            if cancel_at == Some(read) {
                self.change(&id, |job, _| job.cancelled = true);
                self.call(entry, Method::DELETE, &id, "").await;
                return;
            }
            if self.read(entry, &id).await.as_deref() == Some("done") {
                return;
            }
        }
    }

    /// Asks an entry for the state of a job, records the answer and returns the state.
    pub async fn read(&self, entry: usize, id: &str) -> Option<String> {
        let answer = self.call(entry, Method::GET, id, "").await;
        let (text, state) = match answer {
            Some((StatusCode::OK, body)) => {
                let value: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
                let state = value["state"].as_str().unwrap_or("unreadable").to_owned();
                (state.clone(), Some(state))
            }
            Some((status, _)) => (status.as_u16().to_string(), None),
            None => ("no answer".to_owned(), None),
        };
        let state = state.or_else(|| (text == "410").then(|| text.clone()));
        self.change(id, |job, now| job.shown.push((now, entry, text)));
        state
    }

    fn change(&self, id: &str, change: impl FnOnce(&mut Job, Duration)) {
        if let Some(job) = self.jobs.borrow_mut().get_mut(id) {
            change(job, self.start.elapsed());
        }
    }

    /// Calls an entry with the key of the account of the job, if it has one.
    async fn call(
        &self,
        entry: usize,
        method: Method,
        id: &str,
        body: &str,
    ) -> Option<(StatusCode, String)> {
        let account = self.jobs.borrow()[id].account;
        let key = account.and_then(|account| {
            let table = self.accounts.borrow();
            Some(table.accounts[account].key()?.text.clone())
        });
        self.send(entry, method, id, body, key.as_deref()).await
    }

    async fn send(
        &self,
        entry: usize,
        method: Method,
        id: &str,
        body: &str,
        key: Option<&str>,
    ) -> Option<(StatusCode, String)> {
        let path = format!("/{}/{id}", self.jobs.borrow()[id].queue);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "jobs.example")
            .header("x-sassafrascrank-deadline-ms", DEADLINE.as_millis() as u64);
        if let Some(key) = key {
            request = request.header("authorization", format!("Token {key}"));
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
        let limits = Limits {
            connect_timeout: DEADLINE,
            response_timeout: DEADLINE,
            transfer: None,
            max_response_bytes: 1 << 20,
        };
        let answer = self
            .pool
            .call(self.site.callers(entry), request, limits)
            .await
            .ok()?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        Some((answer.status, body))
    }
}
