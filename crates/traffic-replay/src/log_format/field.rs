//! Fields of a log line and what they hold.

/// Contents of a field, with the unit that the server writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FieldName<'a> {
    /// Client address.
    Client,
    /// Local time at the end of the request, as `day/Mon/year:hour:minute:second zone`.
    TimeLocal,
    /// Time at the end of the request, in ISO 8601 with a time zone.
    TimeIso,
    /// Unix time in seconds, with or without a fraction.
    TimeSeconds,
    /// Unix time in milliseconds.
    TimeMillis,
    /// Unix time in microseconds.
    TimeMicros,
    /// Request line as received: method, target and protocol.
    Request,
    /// Request method.
    Method,
    /// Request target: path and query.
    Target,
    /// Path without query.
    Path,
    /// Query without path.
    Query,
    /// Response status.
    Status,
    /// Size of the response in bytes; `-` if empty.
    Bytes,
    /// Duration of the request in seconds, with or without a fraction.
    DurationSeconds,
    /// Duration of the request in milliseconds.
    DurationMillis,
    /// Duration of the request in microseconds.
    DurationMicros,
    /// Request header, by its lower-case name with `-`.
    Header(&'a str),
    /// Any other field, by its name in the format string.
    Other(&'a str),
}

/// An owned [`FieldName`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OwnedFieldName {
    /// Any variant that carries no name.
    Plain(FieldName<'static>),
    Header(String),
    Other(String),
}

impl OwnedFieldName {
    pub fn is(&self, name: FieldName<'_>) -> bool {
        match self {
            OwnedFieldName::Plain(own) => *own == name,
            OwnedFieldName::Header(own) => name == FieldName::Header(own),
            OwnedFieldName::Other(own) => name == FieldName::Other(own),
        }
    }
}

/// Field of a compiled format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Field {
    pub name: OwnedFieldName,
    /// Literal text after the field; empty only after the last field of a line.
    pub following_literal: Vec<u8>,
    /// Whether the field is enclosed in quotes. Servers escape quotes inside with a backslash.
    pub is_quoted: bool,
}
