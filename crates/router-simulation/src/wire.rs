//! RESP2 as the checker and the models read and write it; it shares nothing with the router's own.

use crate::executor::Time;
use thiserror::Error;

/// The longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// The longest bulk string that is read, in bytes.
const MAX_BULK_BYTES: i64 = 1_048_576;
/// A longer value may be passed on before it is whole, in bytes.
const LONG_VALUE_BYTES: i64 = 65_536;
/// The longest array that is read.
const MAX_ARRAY_LENGTH: i64 = 16;
/// How deep arrays may nest.
const MAX_DEPTH: u32 = 2;
/// The bits of a request id that hold the number of the client's try.
const ATTEMPT_BITS: u32 = 8;

/// One whole frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A simple string, an error or an integer, with its first byte.
    Line(Vec<u8>),
    /// A bulk string, none for a null.
    Bulk(Option<Vec<u8>>),
    /// An array.
    Array(Vec<Frame>),
}

/// The bytes cannot be read as RESP2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the bytes are no RESP2")]
pub struct InvalidFrame;

/// A whole frame, and when its first byte came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Microseconds of virtual time.
    pub began_at: Time,
}

/// Bytes in one direction, cut into frames.
#[derive(Clone, Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// When the first byte of the buffer came.
    first_at: Time,
}

impl FrameDecoder {
    /// Takes bytes that came at this time.
    pub fn feed(&mut self, now: Time, bytes: &[u8]) {
        if self.buffer.is_empty() {
            self.first_at = now;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next frame if it is whole.
    ///
    /// # Errors
    /// The bytes are no RESP2: nothing more can be read.
    pub fn next(&mut self, now: Time) -> Result<Option<DecodedFrame>, InvalidFrame> {
        match parse(&self.buffer, 0, 0)? {
            None => Ok(None),
            Some(Parsed { frame, end }) => {
                self.buffer.drain(..end);
                let began_at = std::mem::replace(&mut self.first_at, now);
                Ok(Some(DecodedFrame { frame, began_at }))
            }
        }
    }

    /// Whether the frame that is not whole is a reply with a long value: one that is passed on as it comes.
    pub fn has_begun_long_value(&self) -> bool {
        let mut lines = self.buffer.split(|&byte| byte == b'\n');
        let is_array = lines.next().is_some_and(|line| line.starts_with(b"*"));
        let length = lines
            .next()
            .and_then(|line| parse_number(line.strip_suffix(b"\r")?).ok());
        is_array && length.is_some_and(|length| length > LONG_VALUE_BYTES)
    }

    /// Bytes of a frame that is not whole.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// A whole frame and where it ends.
struct Parsed {
    frame: Frame,
    end: usize,
}

/// The frame that begins at this index; none if it is not whole.
fn parse(bytes: &[u8], start: usize, depth: u32) -> Result<Option<Parsed>, InvalidFrame> {
    let Some(length) = bytes[start..].iter().position(|&byte| byte == b'\n') else {
        let is_too_long = bytes.len() - start > MAX_LINE_BYTES;
        return if is_too_long {
            Err(InvalidFrame)
        } else {
            Ok(None)
        };
    };
    let end = start + length + 1;
    let line = bytes[start..end].strip_suffix(b"\r\n");
    let line = line.ok_or(InvalidFrame)?;
    match line.first() {
        Some(b'+' | b'-' | b':') => {
            let frame = Frame::Line(line.to_vec());
            Ok(Some(Parsed { frame, end }))
        }
        Some(b'$') => parse_bulk(bytes, end, parse_number(line)?),
        Some(b'*') if depth < MAX_DEPTH => parse_array(bytes, end, parse_number(line)?, depth),
        _ => Err(InvalidFrame),
    }
}

/// The number after the first byte of a line.
fn parse_number(line: &[u8]) -> Result<i64, InvalidFrame> {
    let digits = line.get(1..).ok_or(InvalidFrame)?;
    let digits = std::str::from_utf8(digits).map_err(|_| InvalidFrame)?;
    digits.parse().map_err(|_| InvalidFrame)
}

/// A bulk string of this length whose body begins at this index.
fn parse_bulk(bytes: &[u8], start: usize, length: i64) -> Result<Option<Parsed>, InvalidFrame> {
    if length == -1 {
        let frame = Frame::Bulk(None);
        return Ok(Some(Parsed { frame, end: start }));
    }
    if !(0..=MAX_BULK_BYTES).contains(&length) {
        return Err(InvalidFrame);
    }
    let end = start + length as usize + 2;
    let Some(body) = bytes.get(start..end) else {
        return Ok(None);
    };
    let body = body.strip_suffix(b"\r\n").ok_or(InvalidFrame)?;
    let frame = Frame::Bulk(Some(body.to_vec()));
    Ok(Some(Parsed { frame, end }))
}

/// An array of this length whose first item begins at this index.
fn parse_array(
    bytes: &[u8],
    start: usize,
    length: i64,
    depth: u32,
) -> Result<Option<Parsed>, InvalidFrame> {
    if !(0..=MAX_ARRAY_LENGTH).contains(&length) {
        return Err(InvalidFrame);
    }
    let mut items = Vec::new();
    let mut end = start;
    for _ in 0..length {
        if end >= bytes.len() {
            return Ok(None);
        }
        let Some(item) = parse(bytes, end, depth + 1)? else {
            return Ok(None);
        };
        items.push(item.frame);
        end = item.end;
    }
    let frame = Frame::Array(items);
    Ok(Some(Parsed { frame, end }))
}

/// A read or a write as it stands on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRequest {
    /// Whether it is a `C.SET`.
    pub is_write: bool,
    /// The key.
    pub key: Vec<u8>,
    /// The request's id, 16 hex digits on the wire.
    pub id: u64,
    /// The class.
    pub class: String,
    /// How long its sender waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The estimate of its work, in microseconds.
    pub work_estimate: Option<u64>,
}

/// A command, as far as the simulation tells them apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A read or a write.
    CacheRequest(CacheRequest),
    /// `PING`.
    Ping,
    /// Anything else.
    Other,
}

impl Command {
    /// Reads a frame as a command.
    pub fn of(frame: &Frame) -> Command {
        let Frame::Array(items) = frame else {
            return Command::Other;
        };
        let arguments: Vec<&[u8]> = items
            .iter()
            .map(|item| match item {
                Frame::Bulk(Some(bytes)) => bytes.as_slice(),
                _ => &[],
            })
            .collect();
        let text = |index: usize| {
            arguments
                .get(index)
                .and_then(|argument| std::str::from_utf8(argument).ok())
        };
        let is_write = match arguments.first() {
            Some(&b"PING") => return Command::Ping,
            Some(&b"C.GET") if arguments.len() == 4 => false,
            Some(&b"C.SET") if arguments.len() == 5 => true,
            _ => return Command::Other,
        };
        let fields = text(3).unwrap_or_default();
        let field = |name: &str| {
            fields
                .split(',')
                .filter_map(|pair| pair.split_once('='))
                .find(|pair| pair.0 == name)
                .map(|pair| pair.1)
        };
        let id = text(2).and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(id), Some(class)) = (id, field("c")) else {
            return Command::Other;
        };
        Command::CacheRequest(CacheRequest {
            is_write,
            key: arguments[1].to_vec(),
            id,
            class: class.to_string(),
            timeout_ms: field("d")
                .and_then(|digits| digits.parse().ok())
                .unwrap_or(0),
            idempotency_key: field("k").map(str::to_string),
            work_estimate: field("h").and_then(|digits| digits.parse().ok()),
        })
    }
}

/// What an answer says of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Served, with the value.
    Served(Vec<u8>),
    /// `-BUSY`, with the time after which to retry, in milliseconds.
    Rejected(Option<u64>),
    /// Anything else.
    Failed,
}

impl Response {
    /// Reads a frame as an answer.
    pub fn of(frame: &Frame) -> Response {
        match frame {
            Frame::Bulk(Some(value)) => Response::Served(value.clone()),
            Frame::Array(items) => match items.first() {
                Some(Frame::Bulk(Some(value))) => Response::Served(value.clone()),
                _ => Response::Failed,
            },
            Frame::Line(text) if text.starts_with(b"-BUSY") => {
                let retry_after_ms = std::str::from_utf8(&text[5..])
                    .ok()
                    .and_then(|text| text.trim().parse().ok());
                Response::Rejected(retry_after_ms)
            }
            _ => Response::Failed,
        }
    }
}

/// The id of a client's try of a request: 0 for the first.
pub fn request_id(number: u32, attempt: u64) -> u64 {
    u64::from(number) << ATTEMPT_BITS | attempt
}

/// The number of the request that an id belongs to.
pub fn request_number(id: u64) -> u32 {
    (id >> ATTEMPT_BITS) as u32
}

/// A key as it stands on the wire.
pub fn key_bytes(key: u64) -> Vec<u8> {
    format!("{key:016x}").into_bytes()
}

/// The bytes of a read.
pub fn read_command(key: u64, id: u64, fields: &str) -> Vec<u8> {
    let id = format!("{id:016x}");
    command(&[b"C.GET", &key_bytes(key), id.as_bytes(), fields.as_bytes()])
}

/// The bytes of a write.
pub fn write_command(key: u64, id: u64, fields: &str, value: &[u8]) -> Vec<u8> {
    let id = format!("{id:016x}");
    let key = key_bytes(key);
    command(&[b"C.SET", &key, id.as_bytes(), fields.as_bytes(), value])
}

/// The reply that serves a value from a source, `hit` or `miss`.
pub fn served_reply(value: &[u8], source: &str) -> Vec<u8> {
    let mut reply = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    reply.extend_from_slice(value);
    reply.extend_from_slice(format!("\r\n${}\r\n{source}\r\n$-1\r\n", source.len()).as_bytes());
    reply
}

/// A command as bytes.
pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The value that a cache server makes for a request: the request's id, the server's name, filled up to a size.
pub fn value_for(id: u64, server: &str, size: usize) -> Vec<u8> {
    let mut value = format!("{id:016x}@{server};").into_bytes();
    value.resize(size.max(value.len()), b'.');
    value
}

/// The request that a value was made for.
pub fn request_id_of_value(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.get(..16)?).ok()?;
    (value.get(16) == Some(&b'@')).then(|| u64::from_str_radix(text, 16).ok())?
}
