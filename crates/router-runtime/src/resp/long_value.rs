//! Long values of replies, read without holding them whole.

use super::frame::LINE_END;
use super::reply::{Reply, ReplyReader};
use super::{CHUNK_BYTES, MAX_VALUE_BYTES, READ_BYTES, RespError, frame};
use bytes::{Bytes, BytesMut};

/// Values longer than this, in bytes, are passed on as they arrive; others once they are complete,
/// unless there is no memory for them.
pub const LONG_VALUE_THRESHOLD_BYTES: usize = 64 * 1024;

/// Whether a value of this many bytes is passed on as it arrives.
pub fn is_long_value(bytes: usize) -> bool {
    bytes > LONG_VALUE_THRESHOLD_BYTES
}

/// The beginning of a reply with a long value.
#[derive(Debug)]
pub struct LongValue {
    /// The bytes of the reply before the value.
    pub head: Bytes,
    /// Reads the rest of the reply.
    pub reader: LongValueReader,
}

/// The next part of a reply with a long value.
#[derive(Debug, PartialEq, Eq)]
pub enum ValuePart {
    /// Bytes of the value.
    Bytes(Bytes),
    /// The end of the reply, complete: everything after the value.
    Last(Reply),
}

/// Reads a long value after its header, and the rest of the reply.
#[derive(Debug)]
pub struct LongValueReader {
    /// Bytes of the value that have not arrived yet.
    remaining_bytes: usize,
    /// Parses what follows the value.
    tail: ReplyReader,
}

impl LongValue {
    /// Takes the beginning of a reply with a value longer than `threshold_bytes` off the buffer, once
    /// `value_bytes` of the value have arrived. Waiting for some detects a corrupted length before a
    /// short value: once a part of the reply is passed on, the request cannot be retried.
    pub fn begin(
        buffer: &mut BytesMut,
        threshold_bytes: usize,
        value_bytes: usize,
    ) -> Option<LongValue> {
        let array = frame::parse_header(buffer, b'*').ok()??;
        if array.number != Some(ReplyReader::ITEM_COUNT) {
            return None;
        }
        let value = frame::parse_header(&buffer[array.length..], b'$').ok()??;
        let size = value.number?;
        let is_long = size > threshold_bytes && size <= MAX_VALUE_BYTES;
        let value_at = array.length + value.length;
        if !is_long || buffer.len() < value_at + value_bytes {
            return None;
        }
        Some(LongValue {
            head: buffer.split_to(value_at).freeze(),
            reader: LongValueReader {
                remaining_bytes: size,
                tail: ReplyReader::after_value(),
            },
        })
    }
}

impl LongValueReader {
    /// Takes what has arrived off the buffer.
    ///
    /// # Errors
    /// If the rest cannot be parsed: the reply is broken off.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ValuePart>, RespError> {
        if self.remaining_bytes > 0 {
            let length = self.remaining_bytes.min(buffer.len());
            self.remaining_bytes -= length;
            let part = (length > 0).then(|| ValuePart::Bytes(buffer.split_to(length).freeze()));
            return Ok(part);
        }
        let line_end = &buffer[..buffer.len().min(LINE_END.len())];
        if !LINE_END.starts_with(line_end) {
            return Err(RespError::Malformed);
        }
        if line_end.len() < LINE_END.len() {
            return Ok(None);
        }
        Ok(self.tail.next(buffer)?.map(ValuePart::Last))
    }

    /// Like [`LongValueReader::next`], for a value that is held: chunks are taken once they are
    /// full, so that each fills its allocation.
    ///
    /// # Errors
    /// As for [`LongValueReader::next`].
    pub fn next_full_chunk(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ValuePart>, RespError> {
        let chunk = self.remaining_bytes.min(CHUNK_BYTES);
        if buffer.len() < chunk {
            return Ok(None);
        }
        if chunk > 0 {
            self.remaining_bytes -= chunk;
            return Ok(Some(ValuePart::Bytes(buffer.split_to(chunk).freeze())));
        }
        self.next(buffer)
    }

    /// How many bytes to read next of a value that is held.
    pub fn next_read_bytes(&self, buffer: &[u8]) -> usize {
        match self.remaining_bytes {
            0 => READ_BYTES,
            remaining_bytes => remaining_bytes
                .min(CHUNK_BYTES)
                .saturating_sub(buffer.len())
                .max(1),
        }
    }

    /// Whether all but the load report has arrived.
    pub fn has_value(&self) -> bool {
        self.remaining_bytes == 0 && self.tail.has_value()
    }

    /// The end of the reply, with a null for the load report that never arrived.
    pub fn without_report(&self, buffer: &BytesMut) -> Reply {
        self.tail.served_without_report(buffer)
    }
}
