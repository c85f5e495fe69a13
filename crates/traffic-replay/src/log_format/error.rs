//! Why a log format cannot be compiled, and why a line does not match one.

use super::compiler::MAX_FIELDS;

/// Why a format cannot be compiled.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("log format, column {column}: {problem}")]
pub struct FormatError {
    /// Where in the format; counts bytes from 1.
    pub column: usize,
    /// What is wrong there.
    pub problem: FormatProblem,
}

/// What is wrong with a format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatProblem {
    /// It is longer than 4,096 bytes.
    #[error("longer than 4,096 bytes")]
    TooLong,
    /// It has more than 64 fields.
    #[error("more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// It has no field.
    #[error("no field")]
    NoField,
    /// A line cannot be cut between two fields.
    #[error("two fields with nothing between them: where one ends can't be told")]
    AdjacentFields,
    /// nginx: a variable's brace is not closed.
    #[error("'${{' is never closed")]
    UnclosedVariable,
    /// nginx: a variable without a name.
    #[error("a '$' that no name follows")]
    UnnamedVariable,
    /// Apache: a directive's brace is not closed.
    #[error("'%{{' is never closed")]
    UnclosedDirective,
    /// Apache: the format ends within a directive.
    #[error("a '%' that nothing follows")]
    UnfinishedDirective,
    /// Apache: a directive that this compiler does not know.
    #[error("the directive that ends with '{letter}' is not known")]
    UnknownDirective {
        /// The letter that ends it.
        letter: char,
    },
}

/// Why a line does not match a format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {expected}")]
pub struct LineError {
    /// Where the line departs from the format; counts bytes from 1.
    pub column: usize,
    /// What the format has there.
    pub expected: ExpectedPart,
}

/// What a line lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExpectedPart {
    /// This byte, the first of the literal text that the format has there.
    #[error("{:?} is missing", char::from(*.0))]
    Byte(u8),
    /// The end of the line.
    #[error("the line goes on where it should end")]
    EndOfLine,
}
