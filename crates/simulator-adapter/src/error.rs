//! What can be wrong with the simulator's input.

use load_balancer::SettingsError;
use load_balancer::deployment::DeploymentError;

/// A line that cannot be read or does not belong where it stands.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Another line was expected.
    #[error("expected {expected}, found '{found}'")]
    UnexpectedLine {
        expected: &'static str,
        found: String,
    },
    /// The input ended too soon.
    #[error("input ended inside a {inside}")]
    UnexpectedEndOfInput { inside: &'static str },
    /// An event for a router that does not run.
    #[error("router {router} has not come up")]
    UnknownRouter { router: u64 },
    /// A setting without `=`.
    #[error("setting '{pair}' has no value")]
    SettingWithoutValue { pair: String },
    /// A line has too few values.
    #[error("{line}: {field} is missing")]
    MissingField { line: String, field: &'static str },
    /// A value that must be there is absent.
    #[error("{line}: {field} is absent")]
    AbsentField { line: String, field: &'static str },
    /// A value cannot be read.
    #[error("{line}: {field} '{value}' is not {expected}")]
    InvalidValue {
        line: String,
        field: &'static str,
        value: String,
        expected: &'static str,
    },
    /// A value is not a flag.
    #[error("{line}: {field} '{value}' is neither 1 nor 0")]
    InvalidFlag {
        line: String,
        field: &'static str,
        value: String,
    },
    /// The settings of a router cannot be read.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The settings of a router cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
