//! Access-log formats, compiled from the configuration of the server that writes the log: nginx's
//! `log_format` (ngx_http_log_module) or Apache's `LogFormat` (mod_log_config). A compiled format
//! splits a line into fields without copying.
//!
//! ```
//! use traffic_replay::{FieldName, LogFormat};
//!
//! let format = LogFormat::nginx(r#"$remote_addr [$time_local] "$request" $status"#)?;
//! let line = br#"127.0.0.1 [10/Oct/2000:13:55:36 -0700] "GET /soal/7f3a HTTP/1.1" 200"#;
//! let fields = format.split(line).expect("a line in this format");
//! assert_eq!(fields.get(FieldName::Status), Some(&b"200"[..]));
//! # Ok::<(), traffic_replay::FormatError>(())
//! ```

mod apache;
mod compiler;
mod error;
mod field;
mod nginx;

pub use error::{ExpectedPart, FormatError, FormatProblem, LineError};
use field::Field;
pub use field::FieldName;

/// Common log format of Apache.
const COMMON: &str = r#"%h %l %u %t "%r" %>s %b"#;
/// Combined log format of Apache and nginx.
const COMBINED: &str = r#"%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-Agent}i""#;
const BUILT_IN_FORMAT_IS_VALID: &str = "built-in formats are valid";

/// Compiled access-log format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFormat {
    leading_literal: Vec<u8>,
    fields: Vec<Field>,
}

/// Fields of a log line, as written in the line: escapes are not decoded.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    format: &'a LogFormat,
    /// One value for each field of the format, in the same order.
    values: Vec<&'a [u8]>,
}

impl Fields<'_> {
    /// Value of the first field with this name; `None` if the format has no such field.
    pub fn get(&self, name: FieldName<'_>) -> Option<&[u8]> {
        let fields = &self.format.fields;
        let index = fields.iter().position(|field| field.name.is(name))?;
        self.values.get(index).copied()
    }
}

impl LogFormat {
    /// Common log format of Apache and nginx.
    pub fn common() -> LogFormat {
        LogFormat::apache(COMMON).expect(BUILT_IN_FORMAT_IS_VALID)
    }

    /// Combined log format of Apache and nginx.
    pub fn combined() -> LogFormat {
        LogFormat::apache(COMBINED).expect(BUILT_IN_FORMAT_IS_VALID)
    }

    /// Compiles the value of nginx's `log_format`, given without the format's name and quotes.
    ///
    /// # Errors
    /// The format is invalid; the error names the column and the problem.
    pub fn nginx(format: &str) -> Result<LogFormat, FormatError> {
        nginx::compile(format)
    }

    /// Compiles the value of Apache's `LogFormat`, given without nickname and outer quotes. Quotes
    /// inside may be escaped (`\"`), as in the configuration file, or plain.
    ///
    /// # Errors
    /// The format is invalid; the error names the problem and its column in the unescaped format.
    pub fn apache(format: &str) -> Result<LogFormat, FormatError> {
        apache::compile(format)
    }

    /// Splits a line, given without its line terminator, into fields.
    ///
    /// # Errors
    /// The line does not match the format; the error names the first difference.
    pub fn split<'a>(&'a self, line: &'a [u8]) -> Result<Fields<'a>, LineError> {
        let mut position = match_literal(line, &self.leading_literal)?;
        let mut values = Vec::with_capacity(self.fields.len());
        for field in &self.fields {
            let rest = &line[position..];
            let value = split_field(rest, field).map_err(|expected| LineError {
                column: line.len() + 1,
                expected,
            })?;
            values.push(value);
            position += value.len() + field.following_literal.len();
        }
        if position < line.len() {
            return Err(LineError {
                column: position + 1,
                expected: ExpectedPart::EndOfLine,
            });
        }
        Ok(Fields {
            format: self,
            values,
        })
    }
}

/// Length of `literal`; an error if the line does not begin with it.
fn match_literal(line: &[u8], literal: &[u8]) -> Result<usize, LineError> {
    let pairs = line.iter().zip(literal);
    let matching = pairs.take_while(|(a, b)| a == b).count();
    match literal.get(matching) {
        None => Ok(matching),
        Some(&byte) => Err(LineError {
            column: matching + 1,
            expected: ExpectedPart::Byte(byte),
        }),
    }
}

/// Value of a field at the start of `rest`: everything up to the literal that follows the field.
fn split_field<'a>(rest: &'a [u8], field: &Field) -> Result<&'a [u8], ExpectedPart> {
    let literal = &field.following_literal;
    let Some(&first) = literal.first() else {
        return Ok(rest);
    };
    let length = if field.is_quoted {
        find_outside_escapes(rest, literal)
    } else {
        memchr::memmem::find(rest, literal)
    };
    match length {
        Some(length) => Ok(&rest[..length]),
        None => Err(ExpectedPart::Byte(first)),
    }
}

/// Offset of the first occurrence of `literal` whose first byte, a quote, is not escaped by a
/// backslash.
fn find_outside_escapes(rest: &[u8], literal: &[u8]) -> Option<usize> {
    let mut from = 0;
    while from < rest.len() {
        let found = from + memchr::memchr2(b'"', b'\\', &rest[from..])?;
        if rest[found] == b'\\' {
            from = found + 2;
        } else if rest[found..].starts_with(literal) {
            return Some(found);
        } else {
            from = found + 1;
        }
    }
    None
}
