//! The operator file: TOML with the settings that are this project's own and not the platform's. Without a file all
//! of them are off.

use crate::summary::SummarySettings;
use request_coalescing::CoalescingFile;
use serde::Deserialize;
use std::fs::File;
use std::io::{self, Read};
use thiserror::Error;

/// Environment variable with the path of the file.
const PATH_VARIABLE: &str = "ASTERPORT_OPERATOR_FILE";
/// Bytes of the longest file; guards against a path to something endless.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Why an operator file is not used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be opened.
    #[error("{PATH_VARIABLE}: {path}: {source}")]
    Open {
        /// Path of the file.
        path: String,
        /// Why it cannot be opened.
        source: io::Error,
    },
    /// The file cannot be read, or is not UTF-8.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The file is too long.
    #[error("{path}: longer than {MAX_FILE_BYTES} bytes")]
    TooLong {
        /// Path of the file.
        path: String,
    },
    /// The file is not TOML of the expected form.
    #[error("{path}: line {line}: {}", .source.message().replace('\n', " "))]
    Toml {
        /// Path of the file.
        path: String,
        /// Line of the first problem, from 1.
        line: usize,
        /// The problem.
        source: toml::de::Error,
    },
}

/// All tables of the file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Tables {
    joining: CoalescingFile,
    summary: SummarySettings,
}

/// The settings in an operator file.
#[derive(Debug, Default)]
pub struct OperatorFile {
    /// Path of the file, for error messages; empty without a file.
    pub path: String,
    /// Which reads are coalesced.
    pub coalescing: CoalescingFile,
    /// Whether summary lines are written.
    pub summary: SummarySettings,
}

impl OperatorFile {
    /// Reads the file that the environment names; the default where it names none.
    ///
    /// # Errors
    /// When the file cannot be read, or is not of the expected form.
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

/// Number of the line, from 1, that holds the byte at `offset`.
fn line_number(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or_default();
    before.matches('\n').count() + 1
}
