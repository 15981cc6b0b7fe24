//! Serialised form of any value, and the error of an invalid value.

use super::{
    Assignment,
    Contract,
    Pool,
    Reservation, //
};
use crate::model;
use std::sync::Arc;

/// Error of a field whose value is out of range or contradicts another field.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("field {field}: value {value} is not allowed: {remedy}")]
pub struct Error {
    /// Path of the field within its object, like `classes[1].share`.
    pub field: String,
    /// Value as it was given.
    pub value: String,
    /// How to correct the value.
    pub remedy: String,
}

impl Error {
    pub(super) fn new(field: &str, value: impl ToString, remedy: impl Into<String>) -> Self {
        Self {
            field: field.to_owned(),
            value: value.to_string().chars().take(80).collect(),
            remedy: remedy.into(),
        }
    }

    /// Prepends the path of the enclosing object to the field.
    pub(super) fn within(self, object: &str) -> Self {
        Self {
            field: format!("{object}.{}", self.field),
            ..self
        }
    }
}

/// Value of a subject.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// Contract of a customer.
    Contract(Contract),
    /// Policy of a pool.
    Pool(Pool),
    /// Assignment of a host.
    Assignment(Assignment),
    /// Hosts of a pool that are out of service.
    Reservation(Reservation),
    /// The subject was removed.
    Removed,
}

impl From<&model::Value> for Value {
    fn from(value: &model::Value) -> Self {
        match value {
            model::Value::Contract(contract) => Self::Contract(contract.as_ref().into()),
            model::Value::Pool(pool) => Self::Pool(pool.as_ref().into()),
            model::Value::Assignment(assignment) => Self::Assignment(assignment.into()),
            model::Value::Reservation(reservation) => {
                Self::Reservation(reservation.as_ref().into())
            }
            model::Value::Removed => Self::Removed,
        }
    }
}

impl TryFrom<Value> for model::Value {
    type Error = Error;

    fn try_from(value: Value) -> Result<Self, Error> {
        Ok(match value {
            Value::Contract(contract) => Self::Contract(Arc::new(contract.try_into()?)),
            Value::Pool(pool) => Self::Pool(Arc::new(pool.try_into()?)),
            Value::Assignment(assignment) => Self::Assignment(assignment.try_into()?),
            Value::Reservation(reservation) => Self::Reservation(Arc::new(reservation.try_into()?)),
            Value::Removed => Self::Removed,
        })
    }
}

/// Checks that `value` lies within `range`.
pub(super) fn check_range(
    field: &str,
    value: u32,
    range: core::ops::RangeInclusive<u32>,
) -> Result<u32, Error> {
    if range.contains(&value) {
        return Ok(value);
    }
    let remedy = format!("use {} to {}", range.start(), range.end());
    Err(Error::new(field, value, remedy))
}
