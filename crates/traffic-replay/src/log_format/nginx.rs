//! Compiles nginx's `log_format` (ngx_http_log_module): `$name` and `${name}` variables and literal
//! text.

use super::LogFormat;
use super::compiler::FormatCompiler;
use super::error::{FormatError, FormatProblem};
use super::field::{FieldName, OwnedFieldName};

/// A parsed variable.
struct Variable<'a> {
    name: &'a str,
    /// Length of the variable in the format, including `$` and braces.
    format_bytes: usize,
}

pub(super) fn compile(format: &str) -> Result<LogFormat, FormatError> {
    let mut compiler = FormatCompiler::new(format)?;
    while let Some(rest) = compiler.rest() {
        match rest.strip_prefix('$') {
            Some(after_dollar) => {
                let variable =
                    parse_variable(after_dollar).map_err(|problem| compiler.error(problem))?;
                compiler.push_field(field_name(variable.name), variable.format_bytes)?;
            }
            None => compiler.literal_until('$'),
        }
    }
    compiler.finish()
}

fn parse_variable(after_dollar: &str) -> Result<Variable<'_>, FormatProblem> {
    let variable = match after_dollar.strip_prefix('{') {
        Some(inner) => {
            let end = inner.find('}').ok_or(FormatProblem::UnclosedVariable)?;
            Variable {
                name: &inner[..end],
                format_bytes: "${}".len() + end,
            }
        }
        None => {
            let end = after_dollar
                .find(|c| !is_name_character(c))
                .unwrap_or(after_dollar.len());
            Variable {
                name: &after_dollar[..end],
                format_bytes: "$".len() + end,
            }
        }
    };
    if variable.name.is_empty() || !variable.name.chars().all(is_name_character) {
        return Err(FormatProblem::UnnamedVariable);
    }
    Ok(variable)
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

fn field_name(variable: &str) -> OwnedFieldName {
    let name = match variable {
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
        "request_time" => FieldName::DurationSeconds,
        _ => {
            return match variable.strip_prefix("http_") {
                Some(header) => {
                    OwnedFieldName::Header(header.replace('_', "-").to_ascii_lowercase())
                }
                None => OwnedFieldName::Other(variable.to_string()),
            };
        }
    };
    OwnedFieldName::Plain(name)
}
