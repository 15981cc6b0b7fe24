//! Client accounts of a run: their keys and caps over time, and calls with keys that no longer or never exist.

use hyper::StatusCode;
use sassafrascrank_standin::cluster;
use std::{
    cell::RefCell,
    iter::repeat_n,
    rc::Rc,
    time::Duration, //
};

/// Names of the accounts with their share of the jobs, weights in jobs a second, and caps in thousandths of a core.
const ACCOUNTS: [(&str, usize, u32, u64); 3] = [
    ("acacia", 4, 4, 40_000),
    ("bambu", 2, 2, 24_000),
    ("ceiba", 1, 1, 16_000),
];
/// Part of its cap that an account keeps while the cap is lowered.
const LOWERED_PART: u64 = 8;

/// A key with the time from which the configuration lacks it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Text of the key.
    pub text: String,
    /// When it was withdrawn; `None` if it is valid.
    pub withdrawn: Option<Duration>,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Guaranteed rate of its jobs in jobs a second.
    pub weight: u32,
    /// Keys in the order in which they were added.
    pub keys: Vec<Key>,
    /// Cap in thousandths of a core while it is not lowered.
    pub cap: u64,
    /// Caps with the times of their publication.
    pub caps: Vec<(Duration, u64)>,
    /// Number of faults that lower the cap at the moment.
    lowered: usize,
}

impl Account {
    /// Creates an account with one key.
    pub fn new(name: &str, weight: u32, cap: u64) -> Self {
        let mut account = Self {
            name: name.to_owned(),
            weight,
            keys: Vec::new(),
            cap,
            caps: vec![(Duration::ZERO, cap)],
            lowered: 0,
        };
        account.add_key();
        account
    }

    /// Adds a key.
    pub fn add_key(&mut self) {
        let text = format!("key-{}-{}", self.name, self.keys.len());
        self.keys.push(Key {
            text,
            withdrawn: None,
        });
    }

    /// Withdraws the oldest valid key.
    pub fn withdraw_key(&mut self, now: Duration) {
        if let Some(key) = self.keys.iter_mut().find(|key| key.withdrawn.is_none()) {
            key.withdrawn = Some(now);
        }
    }

    /// Returns the oldest valid key, which all entries have had time to read.
    pub fn key(&self) -> Option<&Key> {
        self.keys.iter().find(|key| key.withdrawn.is_none())
    }

    /// Lowers the cap, or ends one lowering.
    pub fn lower_cap(&mut self, lower: bool, now: Duration) {
        self.lowered = match lower {
            true => self.lowered + 1,
            false => self.lowered.saturating_sub(1),
        };
        let cap = match self.lowered {
            0 => self.cap,
            _ => self.cap / LOWERED_PART,
        };
        self.caps.push((now, cap));
    }

    /// Returns the highest cap that was published in the `grace` before `now` or stood at its begin.
    pub fn highest_cap(&self, now: Duration, grace: Duration) -> u64 {
        let since = now.saturating_sub(grace);
        let before = self.caps.iter().rfind(|(at, _)| *at < since);
        let within = self
            .caps
            .iter()
            .filter(|(at, _)| since <= *at && *at <= now);
        let caps = before.into_iter().chain(within).map(|(_, cap)| *cap);
        caps.max().unwrap_or(self.cap)
    }
}

impl From<&Account> for cluster::Account {
    fn from(account: &Account) -> Self {
        let valid = account.keys.iter().filter(|key| key.withdrawn.is_none());
        Self {
            name: account.name.clone(),
            keys: valid.map(|key| key.text.clone()).collect(),
            weight: f64::from(account.weight),
            cpu_cap: account.caps.last().map_or(account.cap, |(_, cap)| *cap),
            ..Self::default()
        }
    }
}

/// A call with a key that the configuration lacked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// When it was sent.
    pub sent: Duration,
    /// Entry that was called.
    pub entry: usize,
    /// Id of the job.
    pub job: String,
    /// When the key was withdrawn; `None` if it never existed.
    pub withdrawn: Option<Duration>,
    /// Status of the answer; `None` if there was none.
    pub status: Option<StatusCode>,
}

/// The accounts of a run, and the calls with foreign keys.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Accounts; none if callers need no key.
    pub accounts: Vec<Account>,
    /// Calls with keys that were withdrawn or never existed.
    pub calls: Vec<Call>,
}

impl Table {
    /// Creates the accounts of a run.
    pub fn new() -> Self {
        let new = |(name, _, weight, cap)| Account::new(name, weight, cap);
        Self {
            accounts: ACCOUNTS.map(new).to_vec(),
            calls: Vec::new(),
        }
    }

    /// Returns the account that submits the job with this number.
    pub fn submitter(&self, number: u64) -> Option<usize> {
        let owners = ACCOUNTS.iter().enumerate();
        let owners = owners.flat_map(|(index, (_, share, _, _))| repeat_n(index, *share));
        let owners: Vec<usize> = owners.collect();
        let place = number % owners.len() as u64;
        let found = owners.get(usize::try_from(place).unwrap_or_default());
        found.copied().filter(|index| *index < self.accounts.len())
    }
}

/// The table, shared by the callers, the faults and the judge, which run on one thread.
pub type Accounts = Rc<RefCell<Table>>;

/// Number of accounts, for schedules.
pub const COUNT: usize = ACCOUNTS.len();
