//! Document with configuration values by subject.

use super::text;
use crate::{
    model::{
        Subject,
        Value, //
    },
    wire, //
};
use sassafrascrank_base::name::Name;
use serde::{
    Deserialize,
    Deserializer,
    de, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Error of a document that does not parse or contains an invalid value.
pub type Error = text::Error;

/// Values that an operator publishes together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Document {
    /// New values by subject.
    pub values: BTreeMap<Subject, Value>,
}

impl Document {
    /// Parses a document with the optional objects `customers`, `pools` and `hosts`.
    ///
    /// A value of `null` removes the subject.
    ///
    /// # Errors
    ///
    /// Fails with the line, column, field, value and remedy of the first error.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let source = text::Source::parse(text)?;
        let sections: Sections = source.read()?;
        let mut values = BTreeMap::new();
        for (Key(name), wire) in sections.customers {
            let value = check(&source, "customers", &name, wire, |contract| {
                Value::Contract(Arc::new(contract))
            })?;
            values.insert(Subject::Customer(name), value);
        }
        for (Key(name), wire) in sections.pools {
            let value = check(&source, "pools", &name, wire, |pool| {
                Value::Pool(Arc::new(pool))
            })?;
            values.insert(Subject::Pool(name), value);
        }
        for (Key(name), wire) in sections.hosts {
            let value = check(&source, "hosts", &name, wire, Value::Assignment)?;
            values.insert(Subject::Host(name), value);
        }
        Ok(Self { values })
    }
}

/// Validates one value of the object `section`; `None`, written as `null`, removes the subject.
fn check<W, M: TryFrom<W, Error = wire::Error>>(
    source: &text::Source<'_>,
    section: &str,
    name: &Name,
    wire: Option<W>,
    make: impl FnOnce(M) -> Value,
) -> Result<Value, Error> {
    let Some(wire) = wire else {
        return Ok(Value::Removed);
    };
    let model = M::try_from(wire);
    model
        .map(make)
        .map_err(|error| source.reject(&[section, name.as_str()], &error))
}

/// Top-level objects of a document.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Sections {
    #[serde(default)]
    customers: BTreeMap<Key, Option<wire::Contract>>,
    #[serde(default)]
    pools: BTreeMap<Key, Option<wire::Pool>>,
    #[serde(default)]
    hosts: BTreeMap<Key, Option<wire::Assignment>>,
}

/// Member name that is validated while it is read.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Key(Name);

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Name::new(&text).map(Self).map_err(de::Error::custom)
    }
}
