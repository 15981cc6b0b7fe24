//! Parsed text and errors about its values.

use super::{
    error::Error,
    node::{
        Node,
        range, //
    },
    value_error::{
        Kind,
        ValueError, //
    },
};
use crate::wire;
use jsonc_parser::{
    CollectOptions,
    ParseOptions,
    ast,
    common::Ranged, //
};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// Accepts JSON with comments and trailing commas. The other extensions of the library are disabled, because a missing
/// comma or an unquoted word is more likely a mistake than intended.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_extended_string_escapes: false,
    allow_non_finite_numbers: false,
};

/// Length at which error messages cut off a quoted value.
const QUOTE_LIMIT_CHARS: usize = 80;

/// Text with valid syntax and without duplicate members.
pub struct Source<'a> {
    text: &'a str,
    value: ast::Value<'a>,
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Fails with the line, column, field, value and remedy of the first value that does not parse or does not fit `T`.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    Source::parse(text)?.read()
}

impl<'a> Source<'a> {
    /// Parses the syntax of JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails with the line and column of the first syntax error, or of a duplicate member.
    pub fn parse(text: &'a str) -> Result<Self, Error> {
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &OPTIONS);
        let parsed = parsed.map_err(|error| {
            let message = format!("{}: write valid JSON; comments are allowed", error.kind());
            Error::at(text, error.range().start, message)
        })?;
        let Some(value) = parsed.value else {
            let message = "the text is empty: write a JSON object";
            return Err(Error::at(text, 0, message.to_owned()));
        };
        let source = Self { text, value };
        source.check_members(&source.value, "")?;
        Ok(source)
    }

    /// Converts the whole text.
    ///
    /// # Errors
    ///
    /// Fails with the line, column, field, value and remedy of the first value that does not fit `T`.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        T::deserialize(Node(&self.value)).map_err(|error| self.to_error(error))
    }

    /// Creates the error for an invalid value. `path` leads to the object that contains the value.
    pub fn reject(&self, path: &[&str], error: &wire::Error) -> Error {
        let object = self.find(path).unwrap_or(&self.value);
        let parts: Vec<&str> = error.field.split(['.', '[', ']']).collect();
        let steps = parts.iter().filter(|step| !step.is_empty());
        let mut found = object;
        for step in steps {
            match child(found, step) {
                Some(value) => found = value,
                None => break,
            }
        }
        let field = format!("{}.{}", path.join("."), error.field);
        let message = format!(
            "field {field}: value {} is not allowed: {}",
            error.value, error.remedy
        );
        Error::at(self.text, found.start(), message)
    }

    fn find(&self, path: &[&str]) -> Option<&ast::Value<'a>> {
        path.iter()
            .try_fold(&self.value, |value, step| child(value, step))
    }

    fn to_error(&self, error: ValueError) -> Error {
        let (start, end) = error.range.unwrap_or_else(|| range(&self.value));
        let mut field = error
            .path
            .iter()
            .rev()
            .fold(String::new(), |path, step| join_path(&path, step));
        let problem = match &error.kind {
            Kind::Value => format!("value {} is not allowed", quote(&self.text[start..end])),
            Kind::Missing(name) => {
                field = join_path(&field, name);
                "it is missing".to_owned()
            }
            Kind::Unknown(name) => {
                field = join_path(&field, name);
                "it is unknown".to_owned()
            }
        };
        if field.is_empty() {
            "(whole text)".clone_into(&mut field);
        }
        let message = format!("field {field}: {problem}: {}", error.remedy);
        Error::at(self.text, start, message)
    }

    /// Rejects duplicate members. The parser limits the nesting depth, and so the depth of this recursion.
    fn check_members(&self, value: &ast::Value<'_>, path: &str) -> Result<(), Error> {
        match value {
            ast::Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_members(element, &format!("{path}[{index}]"))?;
                }
                Ok(())
            }
            ast::Value::Object(object) => self.check_object(object, path),
            _ => Ok(()),
        }
    }

    fn check_object(&self, object: &ast::Object<'_>, path: &str) -> Result<(), Error> {
        let mut names = BTreeSet::new();
        for member in &object.properties {
            let name = member.name.as_str();
            let field = join_path(path, name);
            if !names.insert(name) {
                let value = quote(&self.text[member.value.start()..member.value.end()]);
                let message =
                    format!("field {field}: value {value} is a duplicate: give the field once");
                return Err(Error::at(self.text, member.start(), message));
            }
            self.check_members(&member.value, &field)?;
        }
        Ok(())
    }
}

fn child<'v, 'a>(value: &'v ast::Value<'a>, step: &str) -> Option<&'v ast::Value<'a>> {
    match value {
        ast::Value::Object(object) => {
            let mut members = object.properties.iter();
            let member = members.find(|member| member.name.as_str() == step)?;
            Some(&member.value)
        }
        ast::Value::Array(array) => array.elements.get(step.parse::<usize>().ok()?),
        _ => None,
    }
}

fn join_path(path: &str, step: &str) -> String {
    if path.is_empty() || step.starts_with('[') {
        return format!("{path}{step}");
    }
    format!("{path}.{step}")
}

/// Returns the value on one line, cut off after [`QUOTE_LIMIT_CHARS`] characters.
fn quote(text: &str) -> String {
    let words: Vec<&str> = text.split_whitespace().collect();
    let line = words.join(" ");
    if line.chars().count() <= QUOTE_LIMIT_CHARS {
        return line;
    }
    let start: String = line.chars().take(QUOTE_LIMIT_CHARS).collect();
    format!("{start}…")
}
