//! RESP2 as clients and cache servers speak it: whole frames from a buffer, and a client's command.

use bytes::{Bytes, BytesMut};
use onyxpick::CacheNote;
use redis_protocol::resp2::decode::decode_bytes_mut;
pub use redis_protocol::resp2::types::BytesFrame;
use std::fmt;
use std::io::Write;

/// The largest value that the protocol allows.
pub const MAX_VALUE: usize = 64 * 1024;
/// Room for one read: the usual answer comes in one, and so does what a peer wrote behind it.
pub const READ_SIZE: usize = 4 * 1024;
/// The largest frame that is read at all: an oversized command is read whole and answered, within this bound.
const MAX_FRAME: usize = 256 * 1024;
/// The most items of an array; the longest command has five.
const MAX_ITEMS: usize = 64;

/// Bytes after which the rest of the connection cannot be understood.
#[derive(Debug, PartialEq, Eq)]
pub enum RespError {
    TooLarge,
    Malformed,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespError::TooLarge => "frame too large",
            RespError::Malformed => "not RESP2",
        })
    }
}

/// Takes the first frame off the buffer, with its bytes as they came; `None` while it is not whole.
pub fn next_frame(buffer: &mut BytesMut) -> Result<Option<(BytesFrame, Bytes)>, RespError> {
    if buffer.is_empty() || !is_whole(buffer)? {
        return Ok(None);
    }
    match decode_bytes_mut(buffer) {
        Ok(Some((frame, _, raw))) => Ok(Some((frame, raw))),
        Ok(None) => Ok(None),
        Err(_) => Err(RespError::Malformed),
    }
}

/// Guards the decoder, which goes down into arrays within arrays as deep as a peer likes and starts again from the
/// first byte at each call: one level, bounded items and sizes, and only when all bytes are there.
fn is_whole(buffer: &[u8]) -> Result<bool, RespError> {
    let mut at = 0;
    let mut left = 1;
    let mut in_array = false;
    while left > 0 {
        let Some(length) = buffer[at..].windows(2).position(|w| w == b"\r\n") else {
            return if buffer.len() > MAX_FRAME { Err(RespError::TooLarge) } else { Ok(false) };
        };
        let line = &buffer[at..at + length];
        at += length + 2;
        left -= 1;
        let count = || {
            let text = line.get(1..).and_then(|digits| std::str::from_utf8(digits).ok());
            text.and_then(|digits| digits.parse::<i64>().ok()).ok_or(RespError::Malformed)
        };
        match line.first() {
            Some(b'$') => match count()? {
                -1 => {}
                size => {
                    let size = usize::try_from(size).map_err(|_| RespError::Malformed)?;
                    if size > MAX_FRAME {
                        return Err(RespError::TooLarge);
                    }
                    at += size + 2;
                    if at > buffer.len() {
                        return Ok(false);
                    }
                    if &buffer[at - 2..at] != b"\r\n" {
                        return Err(RespError::Malformed);
                    }
                }
            },
            Some(b'*') if !in_array => {
                in_array = true;
                left = usize::try_from(count()?.max(0)).map_err(|_| RespError::Malformed)?;
                if left > MAX_ITEMS {
                    return Err(RespError::TooLarge);
                }
            }
            Some(b'+' | b'-' | b':') => {}
            _ => return Err(RespError::Malformed),
        }
        if at > MAX_FRAME {
            return Err(RespError::TooLarge);
        }
    }
    Ok(true)
}

/// What a cache server said: the rows of the table of outcomes, and nothing else.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value or receipt as bytes for the client, and how the read went.
    Served { bytes: Bytes, note: Option<CacheNote> },
    /// `-ERR`.
    Failed,
    /// `-BUSY`.
    Busy,
}

/// How long a line of a peer's may be: an error with a load report, a header, a load report.
const MAX_ERROR: usize = 512;
const MAX_HEADER: usize = 24;
const MAX_REPORT: usize = 256;
/// How a read went is one short word.
const MAX_NOTE: usize = 16;

/// Reads one answer, and each byte of it about once however it comes. A value that is too large or ends where it
/// should not is turned away as soon as that shows.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Where the items that have been read whole end.
    at: usize,
    items: usize,
    note: Option<CacheNote>,
}

impl ReplyReader {
    /// The value is whole, and how the read went: what is missing is the load report, which nobody reads.
    pub fn has_value(&self) -> bool {
        self.items == 3
    }

    /// The answer if it is whole, taken off the buffer. An error means that it can't be read and nor can what follows.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
        if self.items == 0 {
            match buffer.first() {
                None => return Ok(None),
                Some(b'-') => return error_reply(buffer),
                Some(_) => {}
            }
            let Some((count, end)) = header(buffer, b'*')? else { return Ok(None) };
            if count != Some(3) {
                return Err(RespError::Malformed);
            }
            (self.at, self.items) = (end, 1);
        }
        if self.items == 1 {
            let Some((value, end)) = bulk(buffer, self.at, MAX_VALUE)? else { return Ok(None) };
            value.ok_or(RespError::Malformed)?;
            (self.at, self.items) = (end, 2);
        }
        if self.items == 2 {
            let Some((word, end)) = bulk(buffer, self.at, MAX_NOTE)? else { return Ok(None) };
            self.note = match word {
                Some(b"hit") => Some(CacheNote::Hit),
                Some(b"miss") => Some(CacheNote::Miss),
                Some(b"pending") => Some(CacheNote::MissPending),
                Some(word) if !word.iter().all(u8::is_ascii_alphabetic) => return Err(RespError::Malformed),
                _ => None,
            };
            (self.at, self.items) = (end, 3);
        }
        match bulk(buffer, self.at, MAX_REPORT) {
            Ok(None) => Ok(None),
            Ok(Some((report, end))) if report.is_none_or(|text| text.iter().all(is_printable)) => {
                let bytes = buffer.split_to(end).freeze();
                Ok(Some(Reply::Served { bytes, note: self.note }))
            }
            // What is left in the buffer tells that the connection is of no further use.
            Ok(Some(_)) | Err(_) => Ok(Some(self.served_without_report(buffer))),
        }
    }

    /// The answer with a null for the load report that could not be read or never came.
    pub fn served_without_report(&self, buffer: &BytesMut) -> Reply {
        let bytes = Bytes::from([&buffer[..self.at], b"$-1\r\n"].concat());
        Reply::Served { bytes, note: self.note }
    }
}

fn is_printable(byte: &u8) -> bool {
    (b' '..=b'~').contains(byte)
}

fn error_reply(buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
    let Some(length) = line(buffer, MAX_ERROR)? else { return Ok(None) };
    let text = buffer.split_to(length + 2);
    let text = &text[1..length];
    if !text.iter().all(is_printable) {
        return Err(RespError::Malformed);
    }
    match text.split(|&byte| byte == b' ').next() {
        Some(b"ERR") => Ok(Some(Reply::Failed)),
        Some(b"BUSY") => Ok(Some(Reply::Busy)),
        _ => Err(RespError::Malformed),
    }
}

/// The length of the line that the bytes begin with; an error if it is longer than `most`.
fn line(bytes: &[u8], most: usize) -> Result<Option<usize>, RespError> {
    let seen = &bytes[..bytes.len().min(most)];
    match seen.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => Ok(Some(length)),
        None if bytes.len() >= most => Err(RespError::TooLarge),
        None => Ok(None),
    }
}

/// The number in the header that the bytes begin with, none for -1, and where the header ends.
fn header(bytes: &[u8], kind: u8) -> Result<Option<(Option<usize>, usize)>, RespError> {
    if bytes.first().is_some_and(|&first| first != kind) {
        return Err(RespError::Malformed);
    }
    let Some(length) = line(bytes, MAX_HEADER)? else { return Ok(None) };
    let number = match bytes.get(1..length) {
        Some(b"-1") => None,
        Some(digits) => Some(digits_of(digits).ok_or(RespError::Malformed)?),
        None => return Err(RespError::Malformed),
    };
    Ok(Some((number.map(|n| usize::try_from(n).unwrap_or(usize::MAX)), length + 2)))
}

/// A number of digits alone: no sign, no space. More than fits is the largest number.
fn digits_of(digits: &[u8]) -> Option<u64> {
    let fits = |number: u64, digit: u8| number.saturating_mul(10).saturating_add(u64::from(digit - b'0'));
    let all = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    all.then(|| digits.iter().fold(0, |number, &digit| fits(number, digit)))
}

/// A bulk string as far as it has come: none while it is not whole, its bytes (none for a null) and where it ends.
type Bulk<'a> = Option<(Option<&'a [u8]>, usize)>;

/// The bulk string at this place, of at most so many bytes.
fn bulk(bytes: &[u8], at: usize, most: usize) -> Result<Bulk<'_>, RespError> {
    let Some((size, length)) = header(&bytes[at..], b'$')? else { return Ok(None) };
    let start = at + length;
    let Some(size) = size else { return Ok(Some((None, start))) };
    if size > most {
        return Err(RespError::TooLarge);
    }
    match bytes.get(start + size..start + size + 2) {
        Some(b"\r\n") => Ok(Some((Some(&bytes[start..start + size]), start + size + 2))),
        Some(_) => Err(RespError::Malformed),
        None => Ok(None),
    }
}

/// A read or a write as the client sent it.
#[derive(Debug)]
pub struct Command {
    words: Vec<Bytes>,
}

impl Command {
    /// The words of a command: an array of bulk strings.
    pub fn words(frame: BytesFrame) -> Option<Vec<Bytes>> {
        let BytesFrame::Array(items) = frame else { return None };
        let word = |item| if let BytesFrame::BulkString(word) = item { Some(word) } else { None };
        let words: Option<Vec<Bytes>> = items.into_iter().map(word).collect();
        words.filter(|words| !words.is_empty())
    }

    /// A command that has its key, its id and its list of names and values, and its value if it is a write.
    pub fn new(words: Vec<Bytes>) -> Result<Command, &'static str> {
        let write = words[0].eq_ignore_ascii_case(b"C.SET");
        if words.len() != 4 + usize::from(write) {
            return Err("ERR wrong number of arguments");
        }
        if words.iter().any(|word| word.len() > MAX_VALUE) {
            return Err("ERR value too large");
        }
        if std::str::from_utf8(&words[3]).is_err() {
            return Err("ERR malformed fields");
        }
        Ok(Command { words })
    }

    pub fn is_write(&self) -> bool {
        self.words.len() == 5
    }

    pub fn key(&self) -> &[u8] {
        &self.words[1]
    }

    /// The value of a name in the list of names and values.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = std::str::from_utf8(&self.words[3]).ok()?;
        fields
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// The command for a cache server: unchanged but for `d`, how long the router will wait, in milliseconds.
    pub fn encode(&self, wait_ms: u64) -> Vec<u8> {
        let fields = std::str::from_utf8(&self.words[3]).unwrap_or("");
        let fields: Vec<String> = fields
            .split(',')
            .map(|pair| if pair.starts_with("d=") { format!("d={wait_ms}") } else { pair.to_string() })
            .collect();
        let fields = fields.join(",");
        let size = self.words.iter().map(|word| word.len() + 16).sum::<usize>() + 32;
        let mut out = Vec::with_capacity(size);
        // Writing to a vector does not fail.
        let _ = write!(out, "*{}\r\n", self.words.len());
        for (place, word) in self.words.iter().enumerate() {
            let word = if place == 3 { fields.as_bytes() } else { word };
            let _ = write!(out, "${}\r\n", word.len());
            out.extend_from_slice(word);
            out.extend_from_slice(b"\r\n");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_taken_only_when_whole_and_leaves_what_follows() {
        let text = b"*2\r\n$3\r\nabc\r\n$-1\r\n+PONG\r\n";
        for cut in 1..20 {
            let mut buffer = BytesMut::from(&text[..cut.min(17)]);
            assert!(next_frame(&mut buffer).unwrap().is_none(), "cut at {cut}");
        }
        let mut buffer = BytesMut::from(&text[..]);
        let (frame, raw) = next_frame(&mut buffer).unwrap().unwrap();
        assert_eq!(frame, BytesFrame::Array(vec![BytesFrame::BulkString("abc".into()), BytesFrame::Null]));
        assert_eq!(&raw[..], &text[..18]);
        assert_eq!(&buffer[..], b"+PONG\r\n");
    }

    #[test]
    fn nested_endless_and_broken_frames_are_errors() {
        let deep = b"*1\r\n".repeat(100_000);
        assert_eq!(next_frame(&mut BytesMut::from(&deep[..])), Err(RespError::Malformed));
        assert_eq!(next_frame(&mut BytesMut::from(&b"*999999999\r\n"[..])), Err(RespError::TooLarge));
        assert_eq!(next_frame(&mut BytesMut::from(&b"$999999999999\r\n"[..])), Err(RespError::TooLarge));
        assert_eq!(next_frame(&mut BytesMut::from(&b"$-7\r\n"[..])), Err(RespError::Malformed));
        assert_eq!(next_frame(&mut BytesMut::from(&b"$3\r\nabcde\r\n"[..])), Err(RespError::Malformed));
        assert_eq!(next_frame(&mut BytesMut::from(&b"GET x\r\n"[..])), Err(RespError::Malformed));
        assert_eq!(next_frame(&mut BytesMut::from(&vec![b'+'; MAX_FRAME + 1][..])), Err(RespError::TooLarge));
    }

    #[test]
    fn only_the_wait_changes_on_the_way_to_a_cache_server() {
        let words = ["C.SET", "k1", "id1", "c=put,t=acme,d=480,k=5c0f", "v"].map(Bytes::from).to_vec();
        let command = Command::new(words).unwrap();
        let sent = String::from_utf8(command.encode(31)).unwrap();
        assert_eq!(
            sent,
            "*5\r\n$5\r\nC.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$24\r\nc=put,t=acme,d=31,k=5c0f\r\n$1\r\nv\r\n"
        );
    }
}
