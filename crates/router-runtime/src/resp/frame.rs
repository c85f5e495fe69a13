//! Parsers for RESP2 lines, headers and bulk strings at the beginning of a buffer.
//!
//! Each function returns `None` while its input is incomplete.

use super::RespError;

/// The longest header without its line end, in bytes.
const MAX_HEADER_BYTES: usize = 24;

/// The terminator of lines and bulk strings.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// A header: a type byte, a number and a line end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Header {
    /// The number; `None` for -1, a null.
    pub number: Option<usize>,
    /// The length including the line end, in bytes.
    pub length: usize,
}

/// A complete bulk string.
#[derive(Clone, Copy, Debug)]
pub(super) struct BulkString<'a> {
    /// The bytes; `None` for a null.
    pub bytes: Option<&'a [u8]>,
    /// Where it ends in the buffer, its terminator included.
    pub end: usize,
}

/// The length of the first line without its end; an error if it is longer than `max` bytes.
pub(super) fn first_line_length(bytes: &[u8], max: usize) -> Result<Option<usize>, RespError> {
    let seen = &bytes[..bytes.len().min(max)];
    match seen.windows(2).position(|pair| pair == LINE_END) {
        Some(length) => Ok(Some(length)),
        None if bytes.len() >= max => Err(RespError::TooLarge),
        None => Ok(None),
    }
}

/// Parses a header with this type byte.
pub(super) fn parse_header(bytes: &[u8], kind: u8) -> Result<Option<Header>, RespError> {
    if bytes.first().is_some_and(|&first| first != kind) {
        return Err(RespError::Malformed);
    }
    let Some(length) = first_line_length(bytes, MAX_HEADER_BYTES)? else {
        return Ok(None);
    };
    let number = match bytes.get(1..length) {
        Some(b"-1") => None,
        Some(digits) => {
            let number = parse_number(digits).ok_or(RespError::Malformed)?;
            Some(usize::try_from(number).unwrap_or(usize::MAX))
        }
        None => return Err(RespError::Malformed),
    };
    Ok(Some(Header {
        number,
        length: length + LINE_END.len(),
    }))
}

/// Parses an unsigned decimal number, without sign or spaces. A number that does not fit becomes
/// the largest `u64`.
pub(super) fn parse_number(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let number = digits.iter().fold(0_u64, |number, digit| {
        number
            .saturating_mul(10)
            .saturating_add(u64::from(digit - b'0'))
    });
    Some(number)
}

/// Parses the bulk string at offset `at`, of at most `max` bytes.
pub(super) fn parse_bulk_string(
    bytes: &[u8],
    at: usize,
    max: usize,
) -> Result<Option<BulkString<'_>>, RespError> {
    let Some(header) = parse_header(&bytes[at..], b'$')? else {
        return Ok(None);
    };
    let start = at + header.length;
    let Some(size) = header.number else {
        return Ok(Some(BulkString {
            bytes: None,
            end: start,
        }));
    };
    if size > max {
        return Err(RespError::TooLarge);
    }
    let value_end = start + size;
    let end = value_end + LINE_END.len();
    match bytes.get(value_end..end) {
        Some(LINE_END) => Ok(Some(BulkString {
            bytes: Some(&bytes[start..value_end]),
            end,
        })),
        Some(_) => Err(RespError::Malformed),
        None => Ok(None),
    }
}

/// Whether a byte is printable ASCII, spaces included.
pub(super) fn is_printable(byte: &u8) -> bool {
    (b' '..=b'~').contains(byte)
}
