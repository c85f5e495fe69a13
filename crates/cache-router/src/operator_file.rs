//! The operator file: a TOML file with the settings that belong to this project rather than to the
//! platform. Without a file the features that it configures are off.

use crate::summary::SummarySettings;
use request_coalescing::CoalescingFile;
use serde::Deserialize;
use std::fs::File;
use std::io::{self, Read};
use thiserror::Error;

/// Environment variable with the path of the file.
const PATH_VARIABLE: &str = "ASTERPORT_OPERATOR_FILE";
/// Maximum size of the file; guards against a path to an endless stream such as a device.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why an operator file is rejected.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be opened.
    #[error("{PATH_VARIABLE}: cannot open {path}: {source}")]
    Open {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file cannot be read, or is not UTF-8.
    #[error("{path}: cannot read the operator file: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error, also for text that is not UTF-8.
        source: io::Error,
    },
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("{path}: longer than {MAX_FILE_BYTES} bytes")]
    TooLong {
        /// Path of the file.
        path: String,
    },
    /// The file is not TOML of the expected structure.
    #[error("{path}: line {line}: {}", .source.message().replace('\n', " "))]
    Toml {
        /// Path of the file.
        path: String,
        /// Line of the first error, counted from 1.
        line: usize,
        /// The error.
        source: toml::de::Error,
    },
}

/// The tables of the file, by their names in it.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Tables {
    joining: CoalescingFile,
    summary: SummarySettings,
}

/// The settings in an operator file.
#[derive(Debug, Default)]
pub struct OperatorFile {
    /// Path of the file, for error messages; empty if there is none.
    pub path: String,
    /// Which reads are coalesced, and the limits of coalescing.
    pub coalescing: CoalescingFile,
    /// Settings of the summary lines.
    pub summary: SummarySettings,
}

impl OperatorFile {
    /// Reads the file that the environment variable names; returns the default if it is not set.
    ///
    /// # Errors
    /// If the file cannot be read, or does not have the expected structure.
    pub fn read() -> Result<OperatorFile, OperatorFileError> {
        let Some(os_path) = std::env::var_os(PATH_VARIABLE) else {
            return Ok(OperatorFile::default());
        };
        let path = os_path.to_string_lossy().into_owned();
        let file = match File::open(&os_path) {
            Ok(file) => file,
            Err(source) => return Err(OperatorFileError::Open { path, source }),
        };
        let mut text = String::new();
        let length = match file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text) {
            Ok(length) => length as u64,
            Err(source) => return Err(OperatorFileError::Read { path, source }),
        };
        if length > MAX_FILE_BYTES {
            return Err(OperatorFileError::TooLong { path });
        }
        OperatorFile::parse(path, &text)
    }

    fn parse(path: String, text: &str) -> Result<OperatorFile, OperatorFileError> {
        let tables: Tables = match toml::from_str(text) {
            Ok(tables) => tables,
            Err(source) => {
                let line = line_number(text, source.span().map_or(0, |span| span.start));
                return Err(OperatorFileError::Toml { path, line, source });
            }
        };
        Ok(OperatorFile {
            path,
            coalescing: tables.joining,
            summary: tables.summary,
        })
    }
}

/// Returns the number, counted from 1, of the line that contains the byte at `offset`.
fn line_number(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or_default();
    before.matches('\n').count() + 1
}
