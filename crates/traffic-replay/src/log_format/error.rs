//! Errors of compiling log formats and of matching lines.

use super::compiler::{MAX_FIELDS, MAX_FORMAT_BYTES};

/// Error of compiling a format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("log format, column {column}: {problem}")]
pub struct FormatError {
    /// Position in the format, in bytes from 1.
    pub column: usize,
    /// Problem at this position.
    pub problem: FormatProblem,
}

/// Problem that makes a format invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatProblem {
    /// The format exceeds 4,096 bytes.
    #[error("format exceeds the limit of {MAX_FORMAT_BYTES} bytes")]
    TooLong,
    /// The format has more than 64 fields.
    #[error("format has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// The format has no field.
    #[error("format has no field")]
    NoField,
    /// No literal text separates two fields, so their boundary in a line is ambiguous.
    #[error("no literal text separates two adjacent fields")]
    AdjacentFields,
    /// nginx: the brace of a variable is not closed.
    #[error("'${{' has no closing brace")]
    UnclosedVariable,
    /// nginx: a variable has no valid name.
    #[error("'$' is not followed by a valid variable name")]
    UnnamedVariable,
    /// Apache: the brace of a directive is not closed.
    #[error("'%{{' has no closing brace")]
    UnclosedDirective,
    /// Apache: the format ends inside a directive.
    #[error("'%' is not followed by a directive")]
    UnfinishedDirective,
    /// Apache: the directive is unknown.
    #[error("unknown directive, ending in '{letter}'")]
    UnknownDirective {
        /// Letter at the end of the directive.
        letter: char,
    },
}

/// Mismatch between a line and a format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {expected}")]
pub struct LineError {
    /// Position of the first difference in the line, in bytes from 1.
    pub column: usize,
    /// What the format requires at this position.
    pub expected: ExpectedPart,
}

/// Part of a format that a line does not match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpectedPart {
    /// First byte of the literal text that the format requires.
    #[error("expected {:?}", char::from(*.0))]
    Byte(u8),
    /// The end of the line.
    #[error("expected the end of the line")]
    EndOfLine,
}
