//! For which account a caller acts, and whether this entry may decide that.

use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::config::{
    Config,
    Credential,
    Queue, //
};
use std::sync::Arc;

/// Age of the confirmation up to which an entry refuses an unknown credential. Above it, a newer configuration may have the
/// credential, and a caller that was accepted through another entry must not be refused. It covers two reads of the operators'
/// records, so calls with wrong credentials cost the candidates nothing while the log answers.
const REFUSAL_AGE_LIMIT: Duration = Duration::from_secs(2);

/// For whom a caller acts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Principal {
    /// The queue needs no credential.
    Anonymous,
    /// The account that has the caller's credential.
    Account(Arc<str>),
    /// The caller has no credential, or one that no account has.
    Unknown,
}

impl Principal {
    /// Determines for whom a caller acts by a configuration.
    pub fn determine(config: &Config, queue: &Queue, credential: Option<&Credential>) -> Self {
        let Some(accounts) = config.accounts.as_ref().filter(|_| !queue.anonymous) else {
            return Self::Anonymous;
        };
        match credential.and_then(|credential| accounts.authenticate(credential)) {
            Some(account) => Self::Account(Arc::clone(&account.name)),
            None => Self::Unknown,
        }
    }
}

/// What an entry that passes a request on to a candidate says of its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// Version of the configuration of that entry.
    pub version: u64,
    /// For whom the caller acts by that configuration.
    pub principal: Principal,
}

/// When the configuration in force was last known to be the newest one, and for how long that permits decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// When the last read that reached the end of the operators' records began.
    pub at: Time,
    /// Age up to which credentials are decided on; `None` without a limit.
    pub limit: Option<Duration>,
}

impl Confirmation {
    /// Tells whether the configuration is recent enough to decide on a credential.
    pub fn is_valid(&self, now: Time) -> bool {
        self.limit.is_none_or(|limit| now.since(self.at) <= limit)
    }

    /// Tells whether a newer configuration with the credential of a caller is so unlikely that the caller can be refused
    /// without a question to a candidate.
    pub fn is_recent(&self, now: Time) -> bool {
        now.since(self.at) <= REFUSAL_AGE_LIMIT
    }
}

/// For whom a caller acts, by the configuration of one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Judgement {
    /// For whom the caller acts as far as the entry knows, which it may state to others; `None` if the configuration is too old
    /// for that.
    pub stated: Option<Principal>,
    /// The same for the entry's own answer; `None` also if the credential is unknown and the configuration not recent enough
    /// to refuse it.
    pub decided: Option<Principal>,
}

/// Judges for whom a caller acts.
pub fn judge(
    config: &Config,
    queue: &Queue,
    credential: Option<&Credential>,
    statement: Option<&Statement>,
    confirmation: Confirmation,
    now: Time,
) -> Judgement {
    let is_valid = confirmation.is_valid(now);
    let stated = state(config, queue, credential, statement, is_valid);
    let refuses = credential.is_some() && stated == Some(Principal::Unknown);
    let decides = !refuses || confirmation.is_recent(now);
    Judgement {
        decided: stated.clone().filter(|_| decides),
        stated,
    }
}

/// Returns for whom a caller acts as far as this entry knows; `None` if the configuration is too old for that.
///
/// A statement by a newer configuration counts as it is. Otherwise this entry's own one counts, so a credential that was
/// removed in it is not accepted because another entry has not read that yet.
fn state(
    config: &Config,
    queue: &Queue,
    credential: Option<&Credential>,
    statement: Option<&Statement>,
    is_valid: bool,
) -> Option<Principal> {
    if let Some(statement) = statement
        && statement.version > config.version
    {
        return Some(statement.principal.clone());
    }
    let own = Principal::determine(config, queue, credential);
    if own == Principal::Anonymous || is_valid {
        return Some(own);
    }
    // The other entry has decided by the same configuration, which it has confirmed.
    let equal = statement.filter(|statement| statement.version == config.version);
    equal.map(|statement| statement.principal.clone())
}
