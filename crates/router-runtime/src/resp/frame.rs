//! The frames of RESP2: lines, headers and bulk strings at the beginning of a buffer.
//!
//! Each function gives `None` while what it reads is not whole.

use super::RespError;

/// The longest header, its end left out, in bytes.
const MAX_HEADER_BYTES: usize = 24;

/// Bytes at the end of each line and each bulk string.
pub(super) const LINE_END: &[u8] = b"\r\n";

/// A header: the kind, a number and the end of the line.
#[derive(Clone, Copy, Debug)]
pub(super) struct Header {
    /// Its number; `None` for -1, a null.
    pub number: Option<usize>,
    /// Its length with the end of the line, in bytes.
    pub length: usize,
}

/// A bulk string that is whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct BulkString<'a> {
    /// Its bytes; `None` for a null.
    pub bytes: Option<&'a [u8]>,
    /// Where it ends in the buffer.
    pub end: usize,
}

/// The length of the first line, its end left out; an error if it is longer than `max`.
pub(super) fn first_line_length(bytes: &[u8], max: usize) -> Result<Option<usize>, RespError> {
    let seen = &bytes[..bytes.len().min(max)];
    match seen.windows(2).position(|pair| pair == LINE_END) {
        Some(length) => Ok(Some(length)),
        None if bytes.len() >= max => Err(RespError::TooLarge),
        None => Ok(None),
    }
}

/// The first header, of this kind.
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

/// A number of digits alone: no sign, no space. More than fits is the largest number.
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

/// The bulk string at this place, of at most `max` bytes.
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

/// Whether a byte is printable ASCII, a space included.
pub(super) fn is_printable(byte: &u8) -> bool {
    (b' '..=b'~').contains(byte)
}
