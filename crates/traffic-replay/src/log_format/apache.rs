//! Compiles Apache's `LogFormat` (mod_log_config): `%` directives and literal text.

use super::LogFormat;
use super::compiler::FormatCompiler;
use super::error::{FormatError, FormatProblem};
use super::field::{FieldName, OwnedFieldName};

/// A parsed `%` directive.
struct Directive<'a> {
    /// Text in braces before the letter.
    argument: Option<&'a str>,
    letter: char,
    /// Length of the directive in the format, including `%`.
    format_bytes: usize,
}

pub(super) fn compile(format: &str) -> Result<LogFormat, FormatError> {
    let unescaped = format.replace("\\\"", "\"").replace("\\t", "\t");
    let mut compiler = FormatCompiler::new(&unescaped)?;
    while let Some(rest) = compiler.rest() {
        match rest.strip_prefix('%') {
            Some(after_percent) if after_percent.starts_with('%') => {
                compiler.push_literal("%", "%%".len());
            }
            Some(after_percent) => compile_directive(&mut compiler, after_percent)?,
            None => compiler.literal_until('%'),
        }
    }
    compiler.finish()
}

fn compile_directive(
    compiler: &mut FormatCompiler<'_>,
    after_percent: &str,
) -> Result<(), FormatError> {
    let directive = parse_directive(after_percent).map_err(|problem| compiler.error(problem))?;
    let Some(name) = field_name(directive.letter, directive.argument) else {
        let letter = directive.letter;
        return Err(compiler.error(FormatProblem::UnknownDirective { letter }));
    };
    // Apache writes the value of a plain `%t` in square brackets.
    let has_brackets = directive.letter == 't' && directive.argument.is_none();
    if has_brackets {
        compiler.push_literal("[", 0);
    }
    compiler.push_field(name, directive.format_bytes)?;
    if has_brackets {
        compiler.push_literal("]", 0);
    }
    Ok(())
}

fn parse_directive(after_percent: &str) -> Result<Directive<'_>, FormatProblem> {
    let after_modifiers = after_percent.trim_start_matches(is_modifier);
    let (argument, after_argument) = match after_modifiers.strip_prefix('{') {
        Some(inner) => {
            let (argument, remaining) = inner
                .split_once('}')
                .ok_or(FormatProblem::UnclosedDirective)?;
            (Some(argument), remaining)
        }
        None => (None, after_modifiers),
    };
    let letter = after_argument
        .chars()
        .next()
        .ok_or(FormatProblem::UnfinishedDirective)?;
    let remaining = &after_argument[letter.len_utf8()..];
    Ok(Directive {
        argument,
        letter,
        format_bytes: "%".len() + after_percent.len() - remaining.len(),
    })
}

/// Whether the character belongs to a status condition or selects the original or final request.
/// Neither changes the form of the field.
fn is_modifier(c: char) -> bool {
    c.is_ascii_digit() || matches!(c, ',' | '!' | '<' | '>')
}

/// Field that a directive writes; `None` if the directive is unknown.
fn field_name(letter: char, argument: Option<&str>) -> Option<OwnedFieldName> {
    let name = match (letter, argument) {
        ('h' | 'a', _) => FieldName::Client,
        ('t', None) => FieldName::TimeLocal,
        ('t', Some("sec")) => FieldName::TimeSeconds,
        ('t', Some("msec")) => FieldName::TimeMillis,
        ('t', Some("usec")) => FieldName::TimeMicros,
        // Any other argument is a strftime format.
        ('t', Some(_)) => return None,
        ('r', _) => FieldName::Request,
        ('m', _) => FieldName::Method,
        ('U', _) => FieldName::Path,
        ('q', _) => FieldName::Query,
        ('s', _) => FieldName::Status,
        ('b' | 'B', _) => FieldName::Bytes,
        ('D', _) | ('T', Some("us")) => FieldName::DurationMicros,
        ('T', Some("ms")) => FieldName::DurationMillis,
        ('T', None | Some("s")) => FieldName::DurationSeconds,
        ('i', Some(header)) => return Some(OwnedFieldName::Header(header.to_ascii_lowercase())),
        ('i', None) => return None,
        (letter, argument) if letter.is_ascii_alphabetic() => {
            return Some(OwnedFieldName::Other(match argument {
                Some(argument) => format!("{{{argument}}}{letter}"),
                None => letter.to_string(),
            }));
        }
        _ => return None,
    };
    Some(OwnedFieldName::Plain(name))
}
