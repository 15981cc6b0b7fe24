//! A pool of upstreams with seeded behaviour, shared by the tests of the router.

#![allow(dead_code, reason = "each test file uses its own part")]

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_route::{
    AttemptResult,
    Attributes,
    HealthState,
    Router,
    Status, //
};
use slotmap::SlotMap;

/// How an upstream treats a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Answers after 20 ms, give or take half.
    Healthy,
    /// Answers with an error after 1 ms.
    FailsFast,
    /// Accepts and never answers; the attempt times out after 1 s.
    Silent,
    /// Fails fast for 5 s, then is healthy for 5 s, and so on.
    Flaps,
}

/// A schedule of requests against the upstreams of one pool.
pub(crate) struct Pool {
    pub(crate) router: Router,
    pub(crate) home: availability_zone::Key,
    pub(crate) keys: Vec<upstream::Key>,
    pub(crate) behaviours: Vec<Behaviour>,
    pub(crate) now: Time,
    pub(crate) sent: Vec<u64>,
    pub(crate) failed: u64,
    pub(crate) quota: u32,
    arena: SlotMap<upstream::Key, ()>,
    running: Vec<(Time, upstream::Key, AttemptResult)>,
    random: StdRng,
    seed: u64,
}

impl Pool {
    /// Makes a pool of healthy upstreams in one zone.
    pub(crate) fn new(seed: u64, size: usize, quota: u32) -> Self {
        let mut zones = SlotMap::with_key();
        let mut pool = Self {
            router: Router::new(),
            home: zones.insert(()),
            keys: Vec::new(),
            behaviours: Vec::new(),
            now: Time::from_millis(1_000_000),
            sent: Vec::new(),
            failed: 0,
            quota,
            arena: SlotMap::with_key(),
            running: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            seed,
        };
        for _ in 0..size {
            pool.add(Behaviour::Healthy);
        }
        pool
    }

    /// Adds an upstream.
    pub(crate) fn add(&mut self, behaviour: Behaviour) -> upstream::Key {
        let key = self.arena.insert(());
        let attributes = Attributes {
            availability_zone: self.home,
            slots: 8,
        };
        self.router.insert(self.now, key, attributes);
        self.router.set_quota(key, self.quota);
        self.keys.push(key);
        self.behaviours.push(behaviour);
        self.sent.push(0);
        key
    }

    /// Sends one request every `gap` for `span`; returns the number of requests that found no upstream.
    pub(crate) fn run(&mut self, span: Duration, gap: Duration) -> u64 {
        let end = self.now + span;
        let mut exhausted = 0;
        while self.now < end {
            self.finish();
            exhausted += u64::from(!self.send());
            self.now = self.now + gap;
        }
        exhausted
    }

    /// Returns the requests sent to each upstream since the last call.
    pub(crate) fn take_sent(&mut self) -> Vec<u64> {
        let fresh = vec![0; self.sent.len()];
        core::mem::replace(&mut self.sent, fresh)
    }

    /// Returns the state of one upstream.
    pub(crate) fn status(&self, place: usize) -> Status {
        self.router.status(self.keys[place]).expect("known")
    }

    /// Returns the number of upstreams that are ejected or wait for a probe; draining ones don't count.
    pub(crate) fn out(&self) -> usize {
        let out = |state| matches!(state, HealthState::Ejected(_) | HealthState::Probing(_));
        self.router
            .statuses()
            .filter(|status| status.drain.is_none() && out(status.state))
            .count()
    }

    fn finish(&mut self) {
        let now = self.now;
        let router = &mut self.router;
        self.running.retain(|&(end, key, report)| {
            if end <= now {
                router.release(end, key, report);
            }
            end > now
        });
    }

    fn send(&mut self) -> bool {
        let Some(key) = self.router.choose(self.now, self.home, false, None) else {
            return false;
        };
        let place = self.place(key);
        self.sent[place] += 1;
        let status = self.status(place);
        let seed = self.seed;
        assert!(status.running <= status.quota, "seed {seed}: {status:?}");
        let (time, report) = self.attempt(self.behaviours[place]);
        self.failed += u64::from(!matches!(report, AttemptResult::Answered(_)));
        self.running.push((self.now + time, key, report));
        true
    }

    fn attempt(&mut self, behaviour: Behaviour) -> (Duration, AttemptResult) {
        let phase = self.now.as_millis() / 5_000 % 2;
        match behaviour {
            Behaviour::Flaps if phase == 0 => self.attempt(Behaviour::FailsFast),
            Behaviour::Healthy | Behaviour::Flaps => {
                let time = Duration::from_micros(self.random.random_range(10_000..30_000));
                (time, AttemptResult::Answered(time))
            }
            Behaviour::FailsFast => {
                let time = Duration::from_millis(1);
                (time, AttemptResult::Failed(time))
            }
            Behaviour::Silent => (Duration::from_secs(1), AttemptResult::TimedOut),
        }
    }

    fn place(&self, key: upstream::Key) -> usize {
        self.keys
            .iter()
            .position(|known| *known == key)
            .expect("known")
    }
}
