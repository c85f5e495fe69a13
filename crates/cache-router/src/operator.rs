//! The operator file: what is this project's own and not the platform's. Without one all of it is off.

use crate::summary::SummaryFile;
use request_coalescing::CoalescingFile;
use serde::Deserialize;
use std::fs::File;
use std::io::Read;

/// Names the file.
const VARIABLE: &str = "ASTERPORT_OPERATOR_FILE";
/// No operator file is nearly as long.
const MOST: u64 = 1 << 20;

/// All tables of the file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    /// Which reads are joined.
    pub joining: CoalescingFile,
    /// Whether a line a second tells what this router does.
    pub summary: SummaryFile,
}

impl OperatorFile {
    /// The file that the environment names, and its path for messages; all off where it names none.
    pub fn read() -> Result<(OperatorFile, String), String> {
        let Some(path) = std::env::var_os(VARIABLE) else {
            return Ok(Default::default());
        };
        let name = path.to_string_lossy().into_owned();
        let file = File::open(&path).map_err(|e| format!("{VARIABLE}: {name}: {e}"))?;
        let mut text = String::new();
        let length = file
            .take(MOST + 1)
            .read_to_string(&mut text)
            .map_err(|e| format!("{name}: {e}"))?;
        if length as u64 > MOST {
            return Err(format!("{name}: longer than {MOST} bytes"));
        }
        let tables = OperatorFile::parse(&text).map_err(|problem| format!("{name}: {problem}"))?;
        Ok((tables, name))
    }

    fn parse(text: &str) -> Result<OperatorFile, String> {
        toml::from_str(text).map_err(|error| {
            let before = text
                .get(..error.span().map_or(0, |span| span.start))
                .unwrap_or_default();
            let line = before.matches('\n').count() + 1;
            format!("line {line}: {}", error.message().replace('\n', " "))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_cannot_be_read_is_one_line_that_names_the_place() {
        let rows = [
            (
                "[joining]\nclasses = [\"a\"]\nspeed = 3\n",
                "line 3: unknown field `speed`",
            ),
            ("[joining]\nclasses = 3\n", "line 2: invalid type"),
            ("[joining]\n\nclasses = [\n", "line 3"),
            ("[quotas]\n", "line 1: unknown field `quotas`"),
            ("[joining.bounds]\nwaiters = -1\n", "line 2: "),
        ];
        for (text, expected) in rows {
            let problem = OperatorFile::parse(text).expect_err(text);
            assert!(
                problem.starts_with(expected) && !problem.contains('\n'),
                "{text}: {problem}"
            );
        }
    }

    #[test]
    fn the_shipped_file_is_read_and_joins_nothing() {
        let text = include_str!("../../../deploy/operator.toml");
        assert_eq!(
            OperatorFile::parse(text).expect("readable").joining,
            CoalescingFile::default()
        );
    }
}
