//! Reader for one line of the simulator's line protocol: a name and tab-separated values.

use crate::error::WireError;
use load_balancer::{Micros, RequestId};
use std::str::FromStr;

/// Separator between the name and the values of a line.
const SEPARATOR: char = '\t';
/// Marks an absent value.
const ABSENT: &str = "-";

/// Line whose values are read one after another.
pub struct Line<'a> {
    name: &'a str,
    /// Values that are not read yet; `None` after the last.
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    /// Creates a line and reads its name.
    pub fn new(text: &'a str) -> Self {
        let values = Values::split(text);
        Line {
            name: values.first,
            rest: values.rest,
        }
    }

    /// Name of the line, which determines its kind.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// Returns all values that are not read yet, unsplit.
    pub fn rest(&self) -> &'a str {
        self.rest.unwrap_or("")
    }

    /// Reads a value as text.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        let Some(rest) = self.rest else {
            return Err(WireError::MissingField {
                line: self.name.into(),
                field,
            });
        };
        let values = Values::split(rest);
        self.rest = values.rest;
        Ok(values.first)
    }

    /// Reads a required value. `expected` completes the error text "is not ...".
    pub fn parsed<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<T, WireError> {
        let value = self.text(field)?;
        value
            .parse()
            .map_err(|_| self.invalid_value(field, value, expected))
    }

    /// Reads an optional value; `None` if it is absent or empty.
    pub fn optional<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, WireError> {
        let value = self.text(field)?;
        if value == ABSENT || value.is_empty() {
            return Ok(None);
        }
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(self.invalid_value(field, value, expected)),
        }
    }

    /// Reads a required whole number.
    pub fn integer(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.parsed(field, "a whole number")
    }

    /// Reads a request ID.
    pub fn request_id(&mut self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.parsed("id", "a number below 2^32")?))
    }

    /// Reads a required time in seconds.
    pub fn time(&mut self, field: &'static str) -> Result<Micros, WireError> {
        let seconds = self.parsed(field, "a time")?;
        self.validate_time(field, seconds)
    }

    /// Reads an optional time in seconds.
    pub fn optional_time(&mut self, field: &'static str) -> Result<Option<Micros>, WireError> {
        let seconds = self.optional(field, "a time")?;
        seconds
            .map(|seconds| self.validate_time(field, seconds))
            .transpose()
    }

    fn validate_time(&self, field: &'static str, seconds: f64) -> Result<Micros, WireError> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(self.invalid_value(field, &seconds.to_string(), "a time"));
        }
        Ok(Micros::from_secs_f64(seconds))
    }

    /// Reads a flag; an absent flag is false.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, WireError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | ABSENT => Ok(false),
            other => Err(WireError::InvalidFlag {
                line: self.name.into(),
                field,
                value: other.into(),
            }),
        }
    }

    /// Reads one of the `known` names and returns its index; `None` if the value is absent, empty
    /// or `0`.
    pub fn name_index(
        &mut self,
        field: &'static str,
        known: &[String],
    ) -> Result<Option<usize>, WireError> {
        let value = self.text(field)?;
        if let Some(index) = known.iter().position(|name| name == value) {
            return Ok(Some(index));
        }
        if value == ABSENT || value == "0" || value.is_empty() {
            return Ok(None);
        }
        Err(self.invalid_value(field, value, "in the settings"))
    }

    /// Creates the error for a value that cannot be parsed or is out of range.
    pub fn invalid_value(
        &self,
        field: &'static str,
        value: &str,
        expected: &'static str,
    ) -> WireError {
        WireError::InvalidValue {
            line: self.name.into(),
            field,
            value: value.into(),
            expected,
        }
    }
}

/// First value of a text, and the remaining values if there are any.
struct Values<'a> {
    first: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Values<'a> {
    fn split(text: &'a str) -> Values<'a> {
        let mut parts = text.splitn(2, SEPARATOR);
        Values {
            first: parts.next().unwrap_or(""),
            rest: parts.next(),
        }
    }
}
