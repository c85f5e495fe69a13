//! Errors in the simulator's input.

use load_balancer::SettingsError;
use load_balancer::deployment::DeploymentError;

/// Input line that is malformed or not allowed at its position.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A line of another kind was expected.
    #[error("expected {expected}, found '{found}'")]
    UnexpectedLine {
        expected: &'static str,
        found: String,
    },
    /// The input ended inside a batch or list.
    #[error("unexpected end of input inside a {inside}")]
    UnexpectedEndOfInput { inside: &'static str },
    /// An event is addressed to a router that is not running.
    #[error("router {router} is not running")]
    UnknownRouter { router: u64 },
    /// A setting is not of the form `path=value`.
    #[error("setting '{pair}' is not of the form path=value")]
    SettingWithoutValue { pair: String },
    /// A line has fewer values than its kind requires.
    #[error("{line}: {field} is missing")]
    MissingField { line: String, field: &'static str },
    /// A required value is marked as absent.
    #[error("{line}: {field} is required but absent")]
    AbsentField { line: String, field: &'static str },
    /// A value cannot be parsed or is out of range.
    #[error("{line}: {field} '{value}' is not {expected}")]
    InvalidValue {
        line: String,
        field: &'static str,
        value: String,
        expected: &'static str,
    },
    /// The value of a flag is neither `1` nor `0`.
    #[error("{line}: {field} '{value}' is neither 1 nor 0")]
    InvalidFlag {
        line: String,
        field: &'static str,
        value: String,
    },
    /// The settings of a router cannot be parsed.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The settings of a router are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
