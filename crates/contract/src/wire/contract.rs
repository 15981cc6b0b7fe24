//! Serialised form of a contract.

use super::{
    Error,
    value::check_range, //
};
use crate::model;
use core::{
    fmt,
    time::Duration, //
};
use sassafrascrank_base::{
    key::class::CLASS_LIMIT,
    name::Name, //
};
use serde::{
    Deserializer,
    de, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Contract as written in documents and records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// SHA-256 digest of the credential, 64 hexadecimal digits.
    pub credential_sha256: String,
    /// Requests per second, 1 to 1,000,000.
    pub rate: u32,
    /// Requests that may arrive at once after an idle period, 1 to 1,000,000.
    pub burst: u32,
    /// Most slots in use at once, 1 to 1,000,000.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Share of each pool in percent, 1 to 100; a pool that occurs twice is an error.
    #[serde(deserialize_with = "read_shares")]
    pub shares: BTreeMap<String, u32>,
    /// Urgency classes, the most urgent first.
    pub classes: Vec<Class>,
    /// Retries in percent of requests, 0 to 100.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Whether requests may leave their availability zone.
    #[serde(default)]
    pub spill: bool,
}

/// Urgency class as written in documents and records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name by which requests choose the class.
    pub name: String,
    /// Share of the customer's slots in percent, 1 to 100.
    pub share: u32,
    /// Longest time in the queue in milliseconds, 1 to 3,600,000.
    pub queue_timeout_ms: u32,
    /// Most requests in the queue of one entry process, 1 to 100,000.
    pub queue_limit: u32,
}

/// Reads an object and rejects duplicate members. A map would silently keep the last of them.
fn read_shares<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, u32>, D::Error> {
    struct Shares;

    impl<'de> de::Visitor<'de> for Shares {
        type Value = BTreeMap<String, u32>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an object of pools and shares in percent")
        }

        fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
            let mut shares = BTreeMap::new();
            while let Some((pool, share)) = map.next_entry::<String, u32>()? {
                if shares.contains_key(&pool) {
                    let message = format!("pool {pool} occurs twice: give each pool one share");
                    return Err(de::Error::custom(message));
                }
                shares.insert(pool, share);
            }
            Ok(shares)
        }
    }

    deserializer.deserialize_map(Shares)
}

/// Default limit of retries in percent of requests; 10% limits the load of a retry storm.
const fn default_retry_percent() -> u32 {
    10
}

impl From<&model::Contract> for Contract {
    fn from(contract: &model::Contract) -> Self {
        let shares = contract.shares.iter();
        Self {
            credential_sha256: encode_digest(&contract.digest),
            rate: contract.rate.per_second,
            burst: contract.rate.burst,
            concurrency: contract.concurrency,
            shares: shares
                .map(|(pool, share)| (pool.to_string(), *share))
                .collect(),
            classes: contract.classes.iter().map(Class::from).collect(),
            retry_percent: contract.retry_percent,
            spill: contract.spill,
        }
    }
}

impl From<&model::Class> for Class {
    fn from(class: &model::Class) -> Self {
        Self {
            name: class.name.to_string(),
            share: class.share,
            queue_timeout_ms: u32::try_from(class.queue_timeout.as_millis()).unwrap_or(u32::MAX),
            queue_limit: class.queue_limit,
        }
    }
}

impl TryFrom<Contract> for model::Contract {
    type Error = Error;

    fn try_from(wire: Contract) -> Result<Self, Error> {
        let concurrency = match wire.concurrency {
            Some(slots) => Some(check_range("concurrency", slots, 1..=1_000_000)?),
            None => None,
        };
        Ok(Self {
            digest: decode_digest(&wire.credential_sha256)?,
            rate: model::Rate {
                per_second: check_range("rate", wire.rate, 1..=1_000_000)?,
                burst: check_range("burst", wire.burst, 1..=1_000_000)?,
            },
            concurrency,
            shares: check_shares(&wire.shares)?,
            classes: check_classes(wire.classes)?,
            retry_percent: check_range("retry_percent", wire.retry_percent, 0..=100)?,
            spill: wire.spill,
        })
    }
}

impl TryFrom<Class> for model::Class {
    type Error = Error;

    fn try_from(wire: Class) -> Result<Self, Error> {
        let timeout = check_range("queue_timeout_ms", wire.queue_timeout_ms, 1..=3_600_000)?;
        Ok(Self {
            name: parse_name("name", &wire.name)?,
            share: check_range("share", wire.share, 1..=100)?,
            queue_timeout: Duration::from_millis(timeout.into()),
            queue_limit: check_range("queue_limit", wire.queue_limit, 1..=100_000)?,
        })
    }
}

fn check_shares(wire: &BTreeMap<String, u32>) -> Result<Vec<(Name, u32)>, Error> {
    if wire.is_empty() {
        return Err(Error::new(
            "shares",
            "{}",
            "give a share of at least one pool",
        ));
    }
    wire.iter()
        .map(|(pool, &share)| {
            let name = parse_name("shares", pool)?;
            let field = format!("shares.{pool}");
            Ok((name, check_range(&field, share, 1..=100)?))
        })
        .collect()
}

fn check_classes(wire: Vec<Class>) -> Result<Vec<model::Class>, Error> {
    if wire.is_empty() || wire.len() > CLASS_LIMIT {
        let remedy = format!("give 1 to {CLASS_LIMIT} classes");
        return Err(Error::new("classes", wire.len(), remedy));
    }
    let classes: Vec<model::Class> = wire
        .into_iter()
        .enumerate()
        .map(|(index, class)| {
            let class = model::Class::try_from(class);
            class.map_err(|error| error.within(&format!("classes[{index}]")))
        })
        .collect::<Result<_, _>>()?;
    let total: u32 = classes.iter().map(|class| class.share).sum();
    if total > 100 {
        return Err(Error::new(
            "classes",
            total,
            "let the class shares add up to 100 at most",
        ));
    }
    let mut names = BTreeSet::new();
    for (index, class) in classes.iter().enumerate() {
        if !names.insert(class.name.as_str()) {
            return Err(Error::new(
                &format!("classes[{index}].name"),
                &class.name,
                "give each class a name of its own",
            ));
        }
    }
    Ok(classes)
}

pub(super) fn parse_name(field: &str, text: &str) -> Result<Name, Error> {
    Name::new(text).map_err(|error| Error::new(field, text, error.to_string()))
}

fn encode_digest(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_digest(text: &str) -> Result<[u8; model::DIGEST_BYTES], Error> {
    let error = || {
        let remedy = "give the SHA-256 digest of the credential as 64 hexadecimal digits";
        Error::new("credential_sha256", text, remedy)
    };
    // `from_str_radix` would also accept a sign.
    let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != 2 * model::DIGEST_BYTES || !digits {
        return Err(error());
    }
    let mut digest = [0; model::DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
    }
    Ok(digest)
}
