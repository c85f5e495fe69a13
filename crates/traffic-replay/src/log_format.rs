//! The form of an access log's lines, compiled from what the server's own configuration says: nginx's `log_format`
//! (ngx_http_log_module) or Apache's `LogFormat` (mod_log_config). A line is cut into fields without a copy.
//!
//! ```
//! use traffic_replay::{FieldName, LogFormat};
//!
//! let format = LogFormat::nginx(r#"$remote_addr [$time_local] "$request" $status"#)?;
//! let line = br#"127.0.0.1 [10/Oct/2000:13:55:36 -0700] "GET /soal/7f3a HTTP/1.1" 200"#;
//! let fields = format.cut(line).expect("a line of this form");
//! assert_eq!(fields.get(FieldName::Status), Some(&b"200"[..]));
//! # Ok::<(), traffic_replay::FormatError>(())
//! ```

use std::fmt;

/// A format is no longer than this: servers' own lines of configuration are not either.
const FORMAT_LONGEST: usize = 4096;
/// A format names no more fields than this.
const FIELDS_MOST: usize = 64;

/// What a field tells. Units are the server's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FieldName<'a> {
    /// The client's address.
    Client,
    /// `day/Mon/year:hour:minute:second zone`, of a line's end.
    TimeLocal,
    /// ISO 8601 with its zone, of a line's end.
    TimeIso,
    /// Unix time in seconds with a fraction.
    TimeSeconds,
    /// Unix time in milliseconds.
    TimeMillis,
    /// Unix time in microseconds.
    TimeMicros,
    /// Method, target and protocol, as they came.
    Request,
    /// The method.
    Method,
    /// The target: path and query.
    Target,
    /// The path alone.
    Path,
    /// The query alone.
    Query,
    /// The status.
    Status,
    /// Bytes sent; `-` for none.
    Bytes,
    /// How long the request took, in seconds with or without a fraction.
    TookSeconds,
    /// How long it took, in milliseconds.
    TookMillis,
    /// How long it took, in microseconds.
    TookMicros,
    /// A header of the request, by its name in lower case with `-`.
    Header(&'a str),
    /// Anything else, by the name that the format gives it.
    Other(&'a str),
}

/// Why a format can't be used. The column counts bytes from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormatError {
    /// Where in the format.
    pub column: usize,
    /// What is wrong there, in one plain sentence.
    pub problem: String,
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "log format, column {}: {}", self.column, self.problem)
    }
}

impl std::error::Error for FormatError {}

/// Why a line is not of the format. The column counts bytes from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineError {
    /// Where the line departs from the format.
    pub column: usize,
    /// What should stand there: text of the format, or the end of the line.
    pub wants: Wanted,
}

/// What a line lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// This byte, the first of a text that the format has there.
    Byte(u8),
    /// The end of the line.
    End,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.wants {
            Wanted::Byte(byte) => {
                write!(
                    f,
                    "column {}: {:?} is missing",
                    self.column,
                    char::from(byte)
                )
            }
            Wanted::End => write!(
                f,
                "column {}: the line goes on where it should end",
                self.column
            ),
        }
    }
}

impl std::error::Error for LineError {}

/// An owned [`FieldName`]; names are kept as the format has them.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Name {
    Plain(FieldName<'static>),
    Header(String),
    Other(String),
}

impl Name {
    fn is(&self, name: FieldName<'_>) -> bool {
        match self {
            Name::Plain(own) => *own == name,
            Name::Header(own) => matches!(name, FieldName::Header(name) if name == own),
            Name::Other(own) => matches!(name, FieldName::Other(name) if name == own),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: Name,
    /// The text behind it; empty for the last field of a line.
    then: Vec<u8>,
    /// It stands in quotes, in which servers escape quotes of its own with a backslash.
    quoted: bool,
}

/// A compiled format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogFormat {
    before: Vec<u8>,
    fields: Vec<Field>,
}

/// The fields of a line, as they stand in it: escapes are not undone.
#[derive(Clone, Debug)]
pub struct Fields<'a> {
    format: &'a LogFormat,
    values: Vec<&'a [u8]>,
}

impl Fields<'_> {
    /// The first field of this name; `None` if the format has none.
    pub fn get(&self, name: FieldName<'_>) -> Option<&[u8]> {
        let place = self
            .format
            .fields
            .iter()
            .position(|field| field.name.is(name))?;
        self.values.get(place).copied()
    }
}

impl LogFormat {
    /// Apache's and nginx's common form.
    pub fn common() -> LogFormat {
        LogFormat::apache(r#"%h %l %u %t "%r" %>s %b"#).expect("a format that its test compiles")
    }

    /// Apache's and nginx's combined form.
    pub fn combined() -> LogFormat {
        LogFormat::apache(r#"%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-Agent}i""#)
            .expect("a format that its test compiles")
    }

    /// nginx's `log_format`, without its name and quotes: `$name` and `${name}` among text.
    pub fn nginx(format: &str) -> Result<LogFormat, FormatError> {
        let mut parts = Parts::new(format)?;
        while let Some(rest) = parts.rest() {
            let Some(after) = rest.strip_prefix('$') else {
                parts.text_until('$');
                continue;
            };
            let named = |c: char| c.is_ascii_alphanumeric() || c == '_';
            let (name, length) = match after.strip_prefix('{') {
                Some(inner) => {
                    let end = inner
                        .find('}')
                        .ok_or_else(|| parts.error("'${' is never closed"))?;
                    (&inner[..end], end + 3)
                }
                None => {
                    let end = after.find(|c| !named(c)).unwrap_or(after.len());
                    (&after[..end], end + 1)
                }
            };
            if name.is_empty() || !name.chars().all(named) {
                return Err(parts.error("a '$' that no name follows"));
            }
            parts.field(nginx_name(name), length)?;
        }
        parts.finish()
    }

    /// Apache's `LogFormat`, without its nickname and quotes, its `\"` as in the file or plain.
    pub fn apache(format: &str) -> Result<LogFormat, FormatError> {
        let format = format.replace("\\\"", "\"").replace("\\t", "\t");
        let mut parts = Parts::new(&format)?;
        while let Some(rest) = parts.rest() {
            let Some(after) = rest.strip_prefix('%') else {
                parts.text_until('%');
                continue;
            };
            if after.starts_with('%') {
                parts.text("%", 2);
                continue;
            }
            // Conditions on the status and the choice of original or final request change no field's form.
            let directive = after.trim_start_matches(|c: char| {
                c.is_ascii_digit() || matches!(c, ',' | '!' | '<' | '>')
            });
            let (argument, letter) = match directive.strip_prefix('{') {
                Some(inner) => {
                    let end = inner
                        .find('}')
                        .ok_or_else(|| parts.error("'%{' is never closed"))?;
                    (Some(&inner[..end]), &inner[end + 1..])
                }
                None => (None, directive),
            };
            let Some(letter) = letter.chars().next() else {
                return Err(parts.error("a '%' that nothing follows"));
            };
            let name = apache_name(letter, argument).ok_or_else(|| {
                parts.error(&format!(
                    "the directive that ends with '{letter}' is not known"
                ))
            })?;
            let skipped = after.len() - directive.len();
            let length = 1 + skipped + argument.map_or(0, |a| a.len() + 2) + letter.len_utf8();
            if letter == 't' && argument.is_none() {
                parts.text("[", 0);
                parts.field(name, length)?;
                parts.text("]", 0);
            } else {
                parts.field(name, length)?;
            }
        }
        parts.finish()
    }

    /// Cuts a line, without its end, into fields.
    pub fn cut<'a>(&'a self, line: &'a [u8]) -> Result<Fields<'a>, LineError> {
        let mut at = expect(line, 0, &self.before)?;
        let mut values = Vec::with_capacity(self.fields.len());
        for field in &self.fields {
            let rest = &line[at..];
            let length = match field.then.first() {
                None => Some(rest.len()),
                Some(_) if field.quoted => quoted_length(rest, &field.then),
                Some(_) => memchr::memmem::find(rest, &field.then),
            };
            let Some(length) = length else {
                return Err(LineError {
                    column: line.len() + 1,
                    wants: Wanted::Byte(field.then[0]),
                });
            };
            values.push(&rest[..length]);
            at += length + field.then.len();
        }
        match at == line.len() {
            true => Ok(Fields {
                format: self,
                values,
            }),
            false => Err(LineError {
                column: at + 1,
                wants: Wanted::End,
            }),
        }
    }
}

/// Where `then`, which begins with a quote, ends a field in which quotes are escaped.
fn quoted_length(rest: &[u8], then: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(found) = memchr::memchr2(b'"', b'\\', &rest[from..]).map(|found| from + found) {
        match rest[found] {
            b'\\' => from = found + 2,
            _ if rest[found..].starts_with(then) => return Some(found),
            _ => from = found + 1,
        }
        if from >= rest.len() {
            break;
        }
    }
    None
}

fn expect(line: &[u8], at: usize, text: &[u8]) -> Result<usize, LineError> {
    let same = line[at..]
        .iter()
        .zip(text)
        .take_while(|(a, b)| a == b)
        .count();
    match text.get(same) {
        None => Ok(at + same),
        Some(&byte) => Err(LineError {
            column: at + same + 1,
            wants: Wanted::Byte(byte),
        }),
    }
}

/// A format on its way through compilation.
struct Parts<'a> {
    format: &'a str,
    at: usize,
    before: Vec<u8>,
    fields: Vec<Field>,
}

impl<'a> Parts<'a> {
    fn new(format: &'a str) -> Result<Parts<'a>, FormatError> {
        let parts = Parts {
            format,
            at: 0,
            before: Vec::new(),
            fields: Vec::new(),
        };
        if format.len() > FORMAT_LONGEST {
            return Err(parts.error("longer than 4,096 bytes"));
        }
        Ok(parts)
    }

    fn error(&self, problem: &str) -> FormatError {
        FormatError {
            column: self.at + 1,
            problem: problem.to_string(),
        }
    }

    fn rest(&self) -> Option<&'a str> {
        Some(&self.format[self.at..]).filter(|rest| !rest.is_empty())
    }

    fn text_until(&mut self, mark: char) {
        let rest = &self.format[self.at..];
        let end = rest.find(mark).unwrap_or(rest.len());
        self.text(&rest[..end], end);
    }

    /// Text of the line, and how many bytes of the format it stands for.
    fn text(&mut self, text: &str, length: usize) {
        let then = self
            .fields
            .last_mut()
            .map_or(&mut self.before, |field| &mut field.then);
        then.extend(text.as_bytes());
        self.at += length;
    }

    fn field(&mut self, name: Name, length: usize) -> Result<(), FormatError> {
        let before = self.fields.last().map_or(&self.before, |field| &field.then);
        if self
            .fields
            .last()
            .is_some_and(|field| field.then.is_empty())
        {
            return Err(
                self.error("two fields with nothing between them: where one ends can't be told")
            );
        }
        if self.fields.len() == FIELDS_MOST {
            return Err(self.error("more than 64 fields"));
        }
        let quoted = before.ends_with(b"\"");
        self.fields.push(Field {
            name,
            then: Vec::new(),
            quoted,
        });
        self.at += length;
        Ok(())
    }

    fn finish(mut self) -> Result<LogFormat, FormatError> {
        if self.fields.is_empty() {
            return Err(self.error("no field"));
        }
        self.fields
            .iter_mut()
            .for_each(|field| field.quoted &= field.then.starts_with(b"\""));
        Ok(LogFormat {
            before: self.before,
            fields: self.fields,
        })
    }
}

fn nginx_name(name: &str) -> Name {
    Name::Plain(match name {
        "remote_addr" => FieldName::Client,
        "time_local" => FieldName::TimeLocal,
        "time_iso8601" => FieldName::TimeIso,
        "msec" => FieldName::TimeSeconds,
        "request" => FieldName::Request,
        "request_method" => FieldName::Method,
        "request_uri" => FieldName::Target,
        "uri" | "document_uri" => FieldName::Path,
        "args" | "query_string" => FieldName::Query,
        "status" => FieldName::Status,
        "body_bytes_sent" => FieldName::Bytes,
        "request_time" => FieldName::TookSeconds,
        _ => {
            return match name.strip_prefix("http_") {
                Some(header) => Name::Header(header.replace('_', "-").to_ascii_lowercase()),
                None => Name::Other(name.to_string()),
            };
        }
    })
}

fn apache_name(letter: char, argument: Option<&str>) -> Option<Name> {
    Some(Name::Plain(match (letter, argument) {
        ('h' | 'a', _) => FieldName::Client,
        ('t', None) => FieldName::TimeLocal,
        ('t', Some("sec")) => FieldName::TimeSeconds,
        ('t', Some("msec")) => FieldName::TimeMillis,
        ('t', Some("usec")) => FieldName::TimeMicros,
        // A form of strftime's own: there are too many to guess at.
        ('t', Some(_)) => return None,
        ('r', _) => FieldName::Request,
        ('m', _) => FieldName::Method,
        ('U', _) => FieldName::Path,
        ('q', _) => FieldName::Query,
        ('s', _) => FieldName::Status,
        ('b' | 'B', _) => FieldName::Bytes,
        ('D', _) | ('T', Some("us")) => FieldName::TookMicros,
        ('T', Some("ms")) => FieldName::TookMillis,
        ('T', None | Some("s")) => FieldName::TookSeconds,
        ('i', Some(header)) => return Some(Name::Header(header.to_ascii_lowercase())),
        (letter, Some(argument)) if letter.is_ascii_alphabetic() => {
            return Some(Name::Other(format!("{{{argument}}}{letter}")));
        }
        (letter, None) if letter.is_ascii_alphabetic() && letter != 'i' => {
            return Some(Name::Other(letter.to_string()));
        }
        _ => return None,
    }))
}
