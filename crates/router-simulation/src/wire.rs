//! The RESP2 codec of the checker and the models. It shares no code with the router's own
//! codec.

use crate::executor::Time;
use thiserror::Error;

/// The longest line that is accepted, in bytes.
const MAX_LINE_BYTES: usize = 4_096;
/// The longest bulk string that is accepted, in bytes.
const MAX_BULK_BYTES: i64 = 1_048_576;
/// The length above which a value may be forwarded before it is complete, in bytes.
const LONG_VALUE_BYTES: i64 = 65_536;
/// The longest array that is accepted.
const MAX_ARRAY_LENGTH: i64 = 16;
/// How deep arrays can be nested.
const MAX_DEPTH: u32 = 2;
/// The number of low bits in a request id that hold the number of the client's attempt.
const ATTEMPT_BITS: u32 = 8;

/// A complete RESP2 frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A simple string, an error or an integer, including the type byte.
    Line(Vec<u8>),
    /// A bulk string; `None` for a null.
    Bulk(Option<Vec<u8>>),
    /// An array.
    Array(Vec<Frame>),
}

/// The bytes are not valid RESP2.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("invalid RESP2 frame")]
pub struct InvalidFrame;

/// A complete frame and the arrival time of its first byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// When the first byte arrived, in microseconds of virtual time.
    pub began_at: Time,
}

/// Decodes the bytes of one direction of a connection into frames.
#[derive(Clone, Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// When the first byte in the buffer arrived.
    first_at: Time,
}

impl FrameDecoder {
    /// Adds bytes that arrived at this time.
    pub fn feed(&mut self, now: Time, bytes: &[u8]) {
        if self.buffer.is_empty() {
            self.first_at = now;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next frame; `None` if it is incomplete.
    ///
    /// # Errors
    /// The bytes are not valid RESP2. No further frame can be decoded.
    pub fn next(&mut self, now: Time) -> Result<Option<DecodedFrame>, InvalidFrame> {
        match parse(&self.buffer, 0, 0)? {
            None => Ok(None),
            Some(ParsedFrame { frame, end }) => {
                self.buffer.drain(..end);
                let began_at = std::mem::replace(&mut self.first_at, now);
                Ok(Some(DecodedFrame { frame, began_at }))
            }
        }
    }

    /// Whether the incomplete frame is a reply with a long value, which may be forwarded before it
    /// is complete.
    pub fn has_begun_long_value(&self) -> bool {
        let mut lines = self.buffer.split(|&byte| byte == b'\n');
        let is_array = lines.next().is_some_and(|line| line.starts_with(b"*"));
        let length = lines
            .next()
            .and_then(|line| parse_number(line.strip_suffix(b"\r")?).ok());
        is_array && length.is_some_and(|length| length > LONG_VALUE_BYTES)
    }

    /// The number of buffered bytes, which belong to frames that have not been decoded.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// A complete frame and the index of its end.
struct ParsedFrame {
    frame: Frame,
    end: usize,
}

/// Parses the frame that starts at this index; `None` if it is incomplete.
fn parse(bytes: &[u8], start: usize, depth: u32) -> Result<Option<ParsedFrame>, InvalidFrame> {
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
            Ok(Some(ParsedFrame { frame, end }))
        }
        Some(b'$') => parse_bulk(bytes, end, parse_number(line)?),
        Some(b'*') if depth < MAX_DEPTH => parse_array(bytes, end, parse_number(line)?, depth),
        _ => Err(InvalidFrame),
    }
}

/// Parses the number after the type byte of a line.
fn parse_number(line: &[u8]) -> Result<i64, InvalidFrame> {
    let digits = line.get(1..).ok_or(InvalidFrame)?;
    let digits = std::str::from_utf8(digits).map_err(|_| InvalidFrame)?;
    digits.parse().map_err(|_| InvalidFrame)
}

/// Parses a bulk string of this length whose body starts at this index.
fn parse_bulk(
    bytes: &[u8],
    start: usize,
    length: i64,
) -> Result<Option<ParsedFrame>, InvalidFrame> {
    if length == -1 {
        let frame = Frame::Bulk(None);
        return Ok(Some(ParsedFrame { frame, end: start }));
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
    Ok(Some(ParsedFrame { frame, end }))
}

/// Parses an array of this length whose first item starts at this index.
fn parse_array(
    bytes: &[u8],
    start: usize,
    length: i64,
    depth: u32,
) -> Result<Option<ParsedFrame>, InvalidFrame> {
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
    Ok(Some(ParsedFrame { frame, end }))
}

/// A decoded `C.GET` or `C.SET`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRequest {
    /// Whether the command is `C.SET`.
    pub is_write: bool,
    /// The cache key.
    pub key: Vec<u8>,
    /// The request's id, which is written as 16 hexadecimal digits.
    pub id: u64,
    /// The name of the request's class.
    pub class: String,
    /// How long the sender waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// The idempotency key, if there is one.
    pub idempotency_key: Option<String>,
    /// The cost hint in microseconds, if there is one.
    pub work_estimate: Option<u64>,
}

/// The reply to `SELECT`.
pub const SELECTED: &[u8] = b"+OK\r\n";

/// A decoded command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A read or a write.
    CacheRequest(CacheRequest),
    /// `PING`.
    Ping,
    /// `SELECT`, which is answered with [`SELECTED`].
    Select,
    /// Any other or malformed command.
    Other,
}

impl Command {
    /// Decodes a frame as a command.
    pub fn parse(frame: &Frame) -> Command {
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
            Some(&b"SELECT") => return Command::Select,
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

/// A decoded response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request was served, with this value.
    Served(Vec<u8>),
    /// `-BUSY`, with the Retry-After in milliseconds if there is one.
    Rejected(Option<u64>),
    /// Any other response.
    Failed,
}

impl Response {
    /// Decodes a frame as a response.
    pub fn parse(frame: &Frame) -> Response {
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

/// The request id of a client's attempt. `attempt` is 0 for the first one.
pub fn request_id(number: u32, attempt: u64) -> u64 {
    u64::from(number) << ATTEMPT_BITS | attempt
}

/// The number of the request to which an id belongs.
pub fn request_number(id: u64) -> u32 {
    (id >> ATTEMPT_BITS) as u32
}

/// Encodes a key.
pub fn key_bytes(key: u64) -> Vec<u8> {
    format!("{key:016x}").into_bytes()
}

/// Encodes a read.
pub fn read_command(key: u64, id: u64, fields: &str) -> Vec<u8> {
    let id = format!("{id:016x}");
    command(&[b"C.GET", &key_bytes(key), id.as_bytes(), fields.as_bytes()])
}

/// Encodes a write.
pub fn write_command(key: u64, id: u64, fields: &str, value: &[u8]) -> Vec<u8> {
    let id = format!("{id:016x}");
    let key = key_bytes(key);
    command(&[b"C.SET", &key, id.as_bytes(), fields.as_bytes(), value])
}

/// Encodes the reply that serves a value with its source, `hit` or `miss`.
pub fn served_reply(value: &[u8], source: &str) -> Vec<u8> {
    let mut reply = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    reply.extend_from_slice(value);
    reply.extend_from_slice(format!("\r\n${}\r\n{source}\r\n$-1\r\n", source.len()).as_bytes());
    reply
}

/// Encodes a command.
pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The value that a cache server returns for a request: the request's id and the server's name,
/// padded to a size.
pub fn value_for(id: u64, server: &str, size: usize) -> Vec<u8> {
    let mut value = format!("{id:016x}@{server};").into_bytes();
    value.resize(size.max(value.len()), b'.');
    value
}

/// The id of the request for which a value was returned; `None` if the value is malformed.
pub fn request_id_of_value(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value.get(..16)?).ok()?;
    (value.get(16) == Some(&b'@')).then(|| u64::from_str_radix(text, 16).ok())?
}
