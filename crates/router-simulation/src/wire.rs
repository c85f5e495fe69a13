//! RESP2 as the invariant checker and the stand-ins read it: a reading of their own, with nothing of the router's.

use crate::executor::Time;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFrame;

/// Bytes in one direction, cut into frames.
#[derive(Clone, Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
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

    /// The next frame if it is whole, and when its first byte came.
    pub fn next(&mut self, now: Time) -> Result<Option<(Frame, Time)>, InvalidFrame> {
        match parse(&self.buffer, 0, 0)? {
            None => Ok(None),
            Some((frame, end)) => {
                self.buffer.drain(..end);
                let first_at = std::mem::replace(&mut self.first_at, now);
                Ok(Some((frame, first_at)))
            }
        }
    }

    /// Bytes of a frame that is not whole.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// A frame that begins at this place, and where it ends.
fn parse(bytes: &[u8], at: usize, depth: u32) -> Result<Option<(Frame, usize)>, InvalidFrame> {
    let Some(duration) = bytes[at..].iter().position(|&byte| byte == b'\n') else {
        return if bytes.len() - at > 4096 {
            Err(InvalidFrame)
        } else {
            Ok(None)
        };
    };
    let line = &bytes[at..at + duration + 1];
    let text = line.strip_suffix(b"\r\n").ok_or(InvalidFrame)?;
    let end = at + line.len();
    let number = || {
        std::str::from_utf8(&text[1..])
            .ok()
            .and_then(|digits| digits.parse::<i64>().ok())
    };
    match text.first() {
        Some(b'+' | b'-' | b':') => Ok(Some((Frame::Line(text.to_vec()), end))),
        Some(b'$') => match number().ok_or(InvalidFrame)? {
            -1 => Ok(Some((Frame::Bulk(None), end))),
            size @ 0..=1_048_576 => {
                let size = size as usize;
                match bytes.get(end..end + size + 2) {
                    None => Ok(None),
                    Some(body) if body.ends_with(b"\r\n") => Ok(Some((
                        Frame::Bulk(Some(body[..size].to_vec())),
                        end + size + 2,
                    ))),
                    Some(_) => Err(InvalidFrame),
                }
            }
            _ => Err(InvalidFrame),
        },
        Some(b'*') if depth < 2 => {
            let count = number()
                .filter(|count| (0..=16).contains(count))
                .ok_or(InvalidFrame)?;
            let (mut items, mut at) = (Vec::new(), end);
            for _ in 0..count {
                if at >= bytes.len() {
                    return Ok(None);
                }
                let Some((item, next)) = parse(bytes, at, depth + 1)? else {
                    return Ok(None);
                };
                items.push(item);
                at = next;
            }
            Ok(Some((Frame::Array(items), at)))
        }
        _ => Err(InvalidFrame),
    }
}

/// A read or a write as it stands on the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheRequest {
    /// Whether it is a `C.SET`.
    pub is_write: bool,
    /// The key.
    pub key: Vec<u8>,
    /// The request's id, 16 hex digits in this rig.
    pub id: u64,
    /// The class.
    pub class: String,
    /// How long its sender waits, in milliseconds.
    pub timeout_ms: u64,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The guess at the work, in microseconds.
    pub work_estimate: Option<u64>,
}

/// What a command is.
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
    /// What a frame says as a command.
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
                .and_then(|word| std::str::from_utf8(word).ok())
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

/// What an answer is to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Served, with the value.
    Served(Vec<u8>),
    /// `-BUSY`, with the advice in milliseconds.
    Rejected(Option<u64>),
    /// Anything else.
    Failed,
}

impl Response {
    /// What a frame says as an answer.
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

/// A command as bytes.
pub fn command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for word in arguments {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
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
