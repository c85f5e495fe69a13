//! The reply of a cache server to one command: a value or receipt, or an error, with its load
//! report.

use super::digest::Digest;
use super::frame::{LINE_END, first_line_length, is_printable, parse_bulk_string, parse_header};
use super::{MAX_VALUE_BYTES, RespError};
use bytes::{Bytes, BytesMut};
use load_balancer::CacheStatus;

/// The longest error line, in bytes, a load report included.
const MAX_ERROR_LINE_BYTES: usize = 512;
/// The longest load report, in bytes.
const MAX_REPORT_BYTES: usize = 256;
/// The longest cache status, in bytes.
const MAX_CACHE_STATUS_BYTES: usize = 16;
/// The longest end of a reply after its value, in bytes: two bulk strings with their headers.
const MAX_TAIL_BYTES: usize = MAX_CACHE_STATUS_BYTES + MAX_REPORT_BYTES + 32;

/// The text of a load report, if one was sent: printable, and no longer than an error line.
pub type LoadReportText = Option<Bytes>;

/// The reply of a cache server.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value or a receipt.
    Served {
        /// The reply as it is forwarded to the client.
        bytes: Bytes,
        /// The cache status, if the server sent one.
        cache_status: Option<CacheStatus>,
        /// The load report.
        report: LoadReportText,
    },
    /// `-ERR`: the server failed.
    Failed(LoadReportText),
    /// `-BUSY`: the server is overloaded.
    Busy(LoadReportText),
}

impl Reply {
    /// The digest of this reply.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        self.add_to(&mut digest);
        digest
    }

    /// Adds this reply, or the end of a long one, to a digest. Of an error that is its kind and its
    /// load report.
    pub fn add_to(&self, digest: &mut Digest) {
        let (kind, report) = match self {
            Reply::Served { bytes, .. } => return digest.add(bytes),
            Reply::Failed(report) => (&b"-ERR "[..], report),
            Reply::Busy(report) => (&b"-BUSY "[..], report),
        };
        digest.add(kind);
        digest.add(report.as_deref().unwrap_or_default());
    }
}

/// The part of a reply that has not arrived completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingPart {
    /// An error line, a header, or the cache status.
    Line,
    /// The value, of this many bytes.
    Value(usize),
    /// The load report; all else has arrived.
    Report,
}

/// Parses one reply.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Where the parsed parts end in the buffer.
    position: usize,
    part: ReplyPart,
    cache_status: Option<CacheStatus>,
}

/// The part of a reply that is parsed next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ReplyPart {
    /// An error line, or the header of an array.
    #[default]
    Header,
    /// The value or receipt.
    Value,
    /// The cache status.
    CacheStatus,
    /// The load report.
    Report,
}

impl ReplyReader {
    /// Items in the array of a reply: value, cache status, load report.
    pub(super) const ITEM_COUNT: usize = 3;

    /// A reader for what follows a long value: the line end, the cache status and the load report.
    pub(super) fn after_value() -> Self {
        ReplyReader {
            position: LINE_END.len(),
            part: ReplyPart::CacheStatus,
            cache_status: None,
        }
    }

    /// Whether the value and the cache status are complete, and only the load report is missing.
    pub fn has_value(&self) -> bool {
        self.part == ReplyPart::Report
    }

    /// The part that is missing after [`ReplyReader::next`] has found the reply incomplete.
    pub fn missing_part(&self, buffer: &[u8]) -> MissingPart {
        match self.part {
            ReplyPart::Report => MissingPart::Report,
            ReplyPart::Header | ReplyPart::CacheStatus => MissingPart::Line,
            ReplyPart::Value => {
                let header = parse_header(&buffer[self.position..], b'$');
                let size = header.ok().flatten().and_then(|header| header.number);
                size.map_or(MissingPart::Line, MissingPart::Value)
            }
        }
    }

    /// Takes the reply off the buffer if it is complete. A value that is too large or not
    /// terminated correctly is an error as soon as that is known.
    ///
    /// # Errors
    /// If the bytes are not a reply; what follows them cannot be parsed.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
        if self.part == ReplyPart::Header {
            match buffer.first() {
                None => return Ok(None),
                Some(b'-') => return error_reply(buffer),
                Some(_) => {}
            }
            if !self.read_header(buffer)? {
                return Ok(None);
            }
        }
        if self.part == ReplyPart::Value && !self.read_value(buffer)? {
            return Ok(None);
        }
        if self.part == ReplyPart::CacheStatus && !self.read_cache_status(buffer)? {
            return Ok(None);
        }
        Ok(self.read_report(buffer))
    }

    fn read_header(&mut self, buffer: &[u8]) -> Result<bool, RespError> {
        let Some(header) = parse_header(buffer, b'*')? else {
            return Ok(false);
        };
        if header.number != Some(Self::ITEM_COUNT) {
            return Err(RespError::Malformed);
        }
        self.position = header.length;
        self.part = ReplyPart::Value;
        Ok(true)
    }

    fn read_value(&mut self, buffer: &[u8]) -> Result<bool, RespError> {
        let Some(value) = parse_bulk_string(buffer, self.position, MAX_VALUE_BYTES)? else {
            return Ok(false);
        };
        if value.bytes.is_none() {
            return Err(RespError::Malformed);
        }
        self.position = value.end;
        self.part = ReplyPart::CacheStatus;
        Ok(true)
    }

    fn read_cache_status(&mut self, buffer: &[u8]) -> Result<bool, RespError> {
        let Some(word) = parse_bulk_string(buffer, self.position, MAX_CACHE_STATUS_BYTES)? else {
            return Ok(false);
        };
        self.cache_status = match word.bytes {
            Some(b"hit") => Some(CacheStatus::Hit),
            Some(b"miss") => Some(CacheStatus::Miss),
            Some(b"pending") => Some(CacheStatus::MissPending),
            Some(word) if !word.iter().all(u8::is_ascii_alphabetic) => {
                return Err(RespError::Malformed);
            }
            _ => None,
        };
        self.position = word.end;
        self.part = ReplyPart::Report;
        Ok(true)
    }

    /// Parses the load report and returns the complete reply. A malformed report counts as none;
    /// what is left in the buffer then shows that the connection cannot be reused.
    fn read_report(&self, buffer: &mut BytesMut) -> Option<Reply> {
        let (end, length) = match parse_bulk_string(buffer, self.position, MAX_REPORT_BYTES) {
            Ok(None) => return None,
            Ok(Some(report)) => match report.bytes {
                None => (report.end, None),
                Some(text) if text.iter().all(is_printable) => (report.end, Some(text.len())),
                Some(_) => return Some(self.served_without_report(buffer)),
            },
            Err(_) => return Some(self.served_without_report(buffer)),
        };
        let bytes = buffer.split_to(end).freeze();
        let text_end = end - LINE_END.len();
        let report = length.map(|length| bytes.slice(text_end - length..text_end));
        Some(Reply::Served {
            bytes,
            cache_status: self.cache_status,
            report,
        })
    }

    /// The reply, with a null for a load report that is malformed or never arrived.
    pub fn served_without_report(&self, buffer: &BytesMut) -> Reply {
        let bytes = Bytes::from([&buffer[..self.position], b"$-1\r\n"].concat());
        Reply::Served {
            bytes,
            cache_status: self.cache_status,
            report: None,
        }
    }
}

/// Whether the buffer ends like a complete reply, with a cache status and a load report. If the
/// announced value is longer, its length is corrupted: a server that is slow stops anywhere.
pub fn ends_like_reply(buffer: &[u8]) -> bool {
    let tail = &buffer[buffer.len().saturating_sub(MAX_TAIL_BYTES)..];
    let mut line_ends = tail.windows(LINE_END.len()).enumerate();
    line_ends.any(|(at, bytes)| bytes == LINE_END && is_reply_end(tail, at + LINE_END.len()))
}

/// Whether a cache status and a load report begin at offset `at`, and nothing follows them.
fn is_reply_end(bytes: &[u8], at: usize) -> bool {
    let status = parse_bulk_string(bytes, at, MAX_CACHE_STATUS_BYTES);
    let Ok(Some(status)) = status else {
        return false;
    };
    let report = parse_bulk_string(bytes, status.end, MAX_REPORT_BYTES);
    matches!(report, Ok(Some(report)) if report.end == bytes.len())
}

/// Takes an error line off the buffer if it is complete. Its last word may be a load report.
fn error_reply(buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
    let Some(length) = first_line_length(buffer, MAX_ERROR_LINE_BYTES)? else {
        return Ok(None);
    };
    let text = buffer
        .split_to(length + LINE_END.len())
        .freeze()
        .slice(1..length);
    if !text.iter().all(is_printable) {
        return Err(RespError::Malformed);
    }
    // If the last word belongs to the error's text, it is not parsed as a report later.
    let report = text
        .iter()
        .rposition(|&byte| byte == b' ')
        .map(|space| text.slice(space + 1..));
    match text.split(|&byte| byte == b' ').next() {
        Some(b"ERR") => Ok(Some(Reply::Failed(report))),
        Some(b"BUSY") => Ok(Some(Reply::Busy(report))),
        _ => Err(RespError::Malformed),
    }
}
