//! Simulation of one pool of upstreams with random service times, shared by the tests of the router.

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

/// How an upstream responds to requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behaviour {
    /// Answers after 10 to 30 ms.
    Healthy,
    /// Answers with an error after 1 ms.
    FailsFast,
    /// Accepts and never answers; the attempt times out after 1 s.
    Silent,
    /// Alternates between 5 s of failing fast and 5 s of being healthy.
    Flaps,
}

/// The upstreams of one pool and the requests that run there.
pub(crate) struct Pool {
    pub(crate) router: Router,
    pub(crate) home: availability_zone::Key,
    pub(crate) keys: Vec<upstream::Key>,
    pub(crate) behaviours: Vec<Behaviour>,
    pub(crate) now: Time,
    /// Requests sent to each upstream since the last call of `take_sent`.
    pub(crate) sent: Vec<u64>,
    /// Attempts that were not answered with success.
    pub(crate) failed: u64,
    pub(crate) quota: u32,
    arena: SlotMap<upstream::Key, ()>,
    /// Attempts in flight: end, upstream and result.
    running: Vec<(Time, upstream::Key, AttemptResult)>,
    random: StdRng,
    seed: u64,
}

impl Pool {
    /// Creates a pool of healthy upstreams in one zone.
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
        let zeros = vec![0; self.sent.len()];
        core::mem::replace(&mut self.sent, zeros)
    }

    /// Returns the state of one upstream.
    pub(crate) fn status(&self, index: usize) -> Status {
        self.router.status(self.keys[index]).expect("known")
    }

    /// Returns the number of upstreams that are ejected or being probed; draining ones don't count.
    pub(crate) fn out_of_service(&self) -> usize {
        let is_out = |state| matches!(state, HealthState::Ejected(_) | HealthState::Probing(_));
        self.router
            .statuses()
            .filter(|status| status.drain.is_none() && is_out(status.state))
            .count()
    }

    fn finish(&mut self) {
        let now = self.now;
        let router = &mut self.router;
        self.running.retain(|&(end, key, result)| {
            if end <= now {
                router.release(end, key, result);
            }
            end > now
        });
    }

    fn send(&mut self) -> bool {
        let Some(key) = self.router.choose(self.now, self.home, false, None) else {
            return false;
        };
        let index = self.index_of(key);
        self.sent[index] += 1;
        let status = self.status(index);
        let seed = self.seed;
        assert!(status.running <= status.quota, "seed {seed}: {status:?}");
        let (time, result) = self.attempt(self.behaviours[index]);
        self.failed += u64::from(!matches!(result, AttemptResult::Answered(_)));
        self.running.push((self.now + time, key, result));
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

    fn index_of(&self, key: upstream::Key) -> usize {
        self.keys
            .iter()
            .position(|known| *known == key)
            .expect("known")
    }
}
