//! The fields of a log line, by meaning.

/// What a field holds. Units are the server's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FieldName<'a> {
    /// The client's address.
    Client,
    /// The end of the request as `day/Mon/year:hour:minute:second zone`.
    TimeLocal,
    /// The end of the request in ISO 8601 with its zone.
    TimeIso,
    /// Unix time in seconds with a fraction.
    TimeSeconds,
    /// Unix time in milliseconds.
    TimeMillis,
    /// Unix time in microseconds.
    TimeMicros,
    /// The request line: method, target and protocol, as received.
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
    /// The request's duration in seconds, with or without a fraction.
    DurationSeconds,
    /// The request's duration in milliseconds.
    DurationMillis,
    /// The request's duration in microseconds.
    DurationMicros,
    /// A request header, by its name in lower case with `-`.
    Header(&'a str),
    /// Any other field, by its name in the format.
    Other(&'a str),
}

/// An owned [`FieldName`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum OwnedFieldName {
    /// A field without a name of its own.
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

/// A field of a compiled format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Field {
    pub name: OwnedFieldName,
    /// The literal text behind it; empty for the last field of a line.
    pub following_literal: Vec<u8>,
    /// Whether it stands in quotes: servers escape quotes inside with a backslash.
    pub is_quoted: bool,
}
