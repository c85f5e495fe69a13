//! Access-log formats, compiled from the server's own configuration: nginx's `log_format` (ngx_http_log_module) or
//! Apache's `LogFormat` (mod_log_config). A compiled format cuts a line into fields without copying.
//!
//! ```
//! use traffic_replay::{FieldName, LogFormat};
//!
//! let format = LogFormat::nginx(r#"$remote_addr [$time_local] "$request" $status"#)?;
//! let line = br#"127.0.0.1 [10/Oct/2000:13:55:36 -0700] "GET /soal/7f3a HTTP/1.1" 200"#;
//! let fields = format.split(line).expect("a line of this form");
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

/// Apache's common log format.
const COMMON: &str = r#"%h %l %u %t "%r" %>s %b"#;
/// The combined log format of Apache and nginx.
const COMBINED: &str = r#"%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-Agent}i""#;
/// Why a built-in format compiles.
const BUILT_IN_FORMAT_IS_VALID: &str = "a built-in format compiles, as its test shows";

/// A compiled format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFormat {
    leading_literal: Vec<u8>,
    fields: Vec<Field>,
}

/// The fields of a line, as they stand in it: escapes are not undone.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    format: &'a LogFormat,
    /// One for each field of the format.
    values: Vec<&'a [u8]>,
}

impl Fields<'_> {
    /// The first field of this name; `None` if the format has none.
    pub fn get(&self, name: FieldName<'_>) -> Option<&[u8]> {
        let fields = &self.format.fields;
        let index = fields.iter().position(|field| field.name.is(name))?;
        self.values.get(index).copied()
    }
}

impl LogFormat {
    /// The common log format of Apache and nginx.
    pub fn common() -> LogFormat {
        LogFormat::apache(COMMON).expect(BUILT_IN_FORMAT_IS_VALID)
    }

    /// The combined log format of Apache and nginx.
    pub fn combined() -> LogFormat {
        LogFormat::apache(COMBINED).expect(BUILT_IN_FORMAT_IS_VALID)
    }

    /// Compiles nginx's `log_format`, without its name and quotes.
    ///
    /// # Errors
    /// A format that cannot be used, with column and problem.
    pub fn nginx(format: &str) -> Result<LogFormat, FormatError> {
        nginx::compile(format)
    }

    /// Compiles Apache's `LogFormat`, without its nickname and outer quotes. `\"` may stand as in the file or plain.
    ///
    /// # Errors
    /// A format that cannot be used, with column and problem. Columns count in the format without its escapes.
    pub fn apache(format: &str) -> Result<LogFormat, FormatError> {
        apache::compile(format)
    }

    /// Cuts a line, given without its line end, into fields.
    ///
    /// # Errors
    /// The first place where the line departs from the format.
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

/// The length of the literal that the line begins with.
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

/// The value of a field at the beginning of `rest`, up to the literal behind it.
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

/// Where `literal`, which begins with a quote, first stands without a backslash before it.
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
