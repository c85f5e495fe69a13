//! Builds a [`LogFormat`] from the literals and fields of a format string, left to right.

use super::LogFormat;
use super::error::{FormatError, FormatProblem};
use super::field::{Field, OwnedFieldName};

/// Length limit for a format string, in bytes.
pub(super) const MAX_FORMAT_BYTES: usize = 4096;
/// Limit for the fields of a format.
pub(super) const MAX_FIELDS: usize = 64;

/// State of the compilation of one format string.
pub(super) struct FormatCompiler<'a> {
    format: &'a str,
    /// Number of bytes of `format` that are compiled already.
    position: usize,
    leading_literal: Vec<u8>,
    fields: Vec<Field>,
}

impl<'a> FormatCompiler<'a> {
    /// # Errors
    /// The format exceeds 4,096 bytes.
    pub fn new(format: &'a str) -> Result<FormatCompiler<'a>, FormatError> {
        let compiler = FormatCompiler {
            format,
            position: 0,
            leading_literal: Vec::new(),
            fields: Vec::new(),
        };
        if format.len() > MAX_FORMAT_BYTES {
            return Err(compiler.error(FormatProblem::TooLong));
        }
        Ok(compiler)
    }

    /// Creates an error at the current position.
    pub fn error(&self, problem: FormatProblem) -> FormatError {
        FormatError {
            column: self.position + 1,
            problem,
        }
    }

    /// Part of the format that is not compiled yet; `None` at the end.
    pub fn rest(&self) -> Option<&'a str> {
        Some(&self.format[self.position..]).filter(|rest| !rest.is_empty())
    }

    /// Compiles literal text up to the next `mark`, or to the end of the format.
    pub fn literal_until(&mut self, mark: char) {
        let rest = &self.format[self.position..];
        let end = rest.find(mark).unwrap_or(rest.len());
        self.push_literal(&rest[..end], end);
    }

    /// Adds literal text that lines contain, and advances by `format_bytes` in the format.
    pub fn push_literal(&mut self, text: &str, format_bytes: usize) {
        let literal = match self.fields.last_mut() {
            Some(field) => &mut field.following_literal,
            None => &mut self.leading_literal,
        };
        literal.extend(text.as_bytes());
        self.position += format_bytes;
    }

    /// Adds a field, and advances by `format_bytes` in the format.
    ///
    /// # Errors
    /// No literal separates the field from the one before it, or the format has too many fields.
    pub fn push_field(
        &mut self,
        name: OwnedFieldName,
        format_bytes: usize,
    ) -> Result<(), FormatError> {
        let previous = self.fields.last();
        if previous.is_some_and(|field| field.following_literal.is_empty()) {
            return Err(self.error(FormatProblem::AdjacentFields));
        }
        if self.fields.len() == MAX_FIELDS {
            return Err(self.error(FormatProblem::TooManyFields));
        }
        let literal = previous.map_or(&self.leading_literal, |field| &field.following_literal);
        let field = Field {
            name,
            following_literal: Vec::new(),
            is_quoted: literal.ends_with(b"\""),
        };
        self.fields.push(field);
        self.position += format_bytes;
        Ok(())
    }

    /// Returns the compiled format.
    ///
    /// # Errors
    /// The format has no field.
    pub fn finish(mut self) -> Result<LogFormat, FormatError> {
        if self.fields.is_empty() {
            return Err(self.error(FormatProblem::NoField));
        }
        for field in &mut self.fields {
            field.is_quoted &= field.following_literal.starts_with(b"\"");
        }
        Ok(LogFormat {
            leading_literal: self.leading_literal,
            fields: self.fields,
        })
    }
}
