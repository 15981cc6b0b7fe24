//! Error of a value that does not fit its type, before its byte range is converted to line and column.

use core::fmt;
use serde::de;

/// What is wrong with a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// The value is invalid.
    Value,
    /// A member of the object is missing.
    Missing(String),
    /// The object has an unknown member.
    Unknown(String),
}

/// Error of a value that does not fit its type.
#[derive(Debug)]
pub(super) struct ValueError {
    pub(super) kind: Kind,
    pub(super) remedy: String,
    /// Byte range of the value, once it is known.
    pub(super) range: Option<(usize, usize)>,
    /// Member names and indices that lead to the value, innermost first.
    pub(super) path: Vec<String>,
}

impl ValueError {
    fn new(kind: Kind, remedy: String) -> Self {
        Self {
            kind,
            remedy,
            range: None,
            path: Vec::new(),
        }
    }

    /// Sets the range unless an inner value has set it.
    pub(super) fn within(mut self, range: (usize, usize)) -> Self {
        self.range.get_or_insert(range);
        self
    }

    /// Adds the name of the enclosing member or the index of the element to the path.
    pub(super) fn under(mut self, step: String) -> Self {
        self.path.push(step);
        self
    }
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.remedy)
    }
}

impl core::error::Error for ValueError {}

impl de::Error for ValueError {
    fn custom<T: fmt::Display>(message: T) -> Self {
        Self::new(Kind::Value, message.to_string())
    }

    fn invalid_type(_: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::new(Kind::Value, describe_expected(&expected.to_string()))
    }

    fn invalid_value(_: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::new(Kind::Value, describe_expected(&expected.to_string()))
    }

    fn missing_field(field: &'static str) -> Self {
        Self::new(Kind::Missing(field.to_owned()), "add it".to_owned())
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let remedy = format!("use one of {}", expected.join(", "));
        Self::new(Kind::Unknown(field.to_owned()), remedy)
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Self {
        Self::new(Kind::Value, format!("use one of {}", expected.join(", ")))
    }
}

/// Returns the remedy for an expected type in terms of JSON instead of Rust type names.
fn describe_expected(expected: &str) -> String {
    let description = match expected {
        "u8" => "a whole number from 0 to 255",
        "u16" => "a whole number from 0 to 65535",
        "u32" => "a whole number from 0 to 4294967295",
        "u64" | "usize" => "a whole number from 0 on",
        "a boolean" => "true or false",
        "a string" => "a text in double quotes",
        "a sequence" => "a list",
        "a map" => "an object",
        other if other.starts_with("struct ") => "an object",
        other => other,
    };
    format!("use {description}")
}
