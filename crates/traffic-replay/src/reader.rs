//! Reads captures: bytes into items, whatever the bytes are.

use crate::block::{
    BLOCK_HEADER_BYTES, BlockHeader, BlockKind, MAGIC, MAGIC_PREFIX, MAX_MAGIC_BYTES,
    MAX_PAYLOAD_BYTES,
};
use crate::{CaptureError, Header, Item, Summary};
use serde::Deserialize;
use std::collections::VecDeque;

/// A part of a capture. They come in this order: one header, items, one end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapturePart {
    /// The header.
    Header(Header),
    /// An item.
    Item(Item),
    /// The end.
    Summary(Summary),
}

/// What the reader expects next.
#[derive(Debug, Default)]
enum ReadState {
    #[default]
    Magic,
    Header,
    Items(Header),
    Ended,
    Failed(CaptureError),
}

/// The items of one block.
struct ItemBlock {
    first: Item,
    rest: VecDeque<Item>,
}

/// A block whose length and checksum are right.
struct Block<'a> {
    kind: BlockKind,
    payload: &'a [u8],
    /// Where it begins in the capture.
    offset: u64,
}

impl<'a> Block<'a> {
    fn malformed(&self) -> CaptureError {
        CaptureError::MalformedBlock {
            offset: self.offset,
        }
    }

    /// The value at the beginning of `bytes`, which are a part of the payload, and the bytes behind it.
    fn decode<T: Deserialize<'a>>(&self, bytes: &'a [u8]) -> Result<(T, &'a [u8]), CaptureError> {
        postcard::take_from_bytes(bytes).map_err(|_| self.malformed())
    }

    /// The one value that the payload holds.
    fn decode_only<T: Deserialize<'a>>(&self) -> Result<T, CaptureError> {
        let (value, rest) = self.decode(self.payload)?;
        if rest.is_empty() {
            Ok(value)
        } else {
            Err(self.malformed())
        }
    }

    /// All items of the payload, the first of which is not earlier than `last_at_us`. A block without items is
    /// unreadable: no writer writes one.
    fn decode_items(
        &self,
        header: &Header,
        mut last_at_us: u64,
    ) -> Result<ItemBlock, CaptureError> {
        let mut items = VecDeque::new();
        let mut rest = self.payload;
        while !rest.is_empty() {
            let (item, remaining) = self.decode::<Item>(rest)?;
            item.validate(header, last_at_us)?;
            last_at_us = item.at_us;
            items.push_back(item);
            rest = remaining;
        }
        match items.pop_front() {
            Some(first) => Ok(ItemBlock { first, rest: items }),
            None => Err(self.malformed()),
        }
    }
}

/// Reads a capture from bytes that come in chunks of any size.
///
/// It buffers one block and its items beside what was fed and not read yet: feed it little at a time, and call
/// [`CaptureReader::next`] until it wants more.
#[derive(Debug, Default)]
pub struct CaptureReader {
    buffer: Vec<u8>,
    /// Bytes of `buffer` that are read.
    consumed: usize,
    /// Where `buffer` begins in the capture.
    buffer_offset: u64,
    state: ReadState,
    /// Items of the last block that [`CaptureReader::next`] has not returned yet.
    items: VecDeque<Item>,
    /// Items of all blocks so far.
    item_count: u64,
    /// The time of the last of them.
    last_at_us: u64,
}

impl CaptureReader {
    /// Takes the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer_offset += self.consumed as u64;
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next part; `None` if more bytes are needed, or behind the end.
    ///
    /// # Errors
    /// Bytes that are no capture or a damaged one. An error is final: later calls return it again.
    #[allow(clippy::should_implement_trait)] // An iterator cannot tell a need for more bytes from the end.
    pub fn next(&mut self) -> Result<Option<CapturePart>, CaptureError> {
        if let Some(item) = self.items.pop_front() {
            return Ok(Some(CapturePart::Item(item)));
        }
        if let ReadState::Failed(error) = &self.state {
            return Err(error.clone());
        }
        let part = self.read_part();
        if let Err(error) = &part {
            self.state = ReadState::Failed(error.clone());
        }
        part
    }

    /// Tells whether the capture was complete. To be called when all bytes were fed and all pieces taken.
    ///
    /// # Errors
    /// A capture that is cut, damaged or followed by other bytes, or bytes that are no capture.
    pub fn finish(self) -> Result<(), CaptureError> {
        match self.state {
            ReadState::Ended if self.has_unread_bytes() => Err(CaptureError::TrailingBytes {
                offset: self.offset(),
            }),
            ReadState::Ended => Ok(()),
            ReadState::Failed(error) => Err(error),
            ReadState::Magic if !MAGIC.starts_with(&self.buffer) || self.buffer.is_empty() => {
                Err(CaptureError::NotACapture)
            }
            _ => Err(CaptureError::Truncated {
                items: self.item_count,
            }),
        }
    }

    /// Where the first unread byte stands in the capture.
    fn offset(&self) -> u64 {
        self.buffer_offset + self.consumed as u64
    }

    fn has_unread_bytes(&self) -> bool {
        self.buffer.len() > self.consumed
    }

    fn read_part(&mut self) -> Result<Option<CapturePart>, CaptureError> {
        if matches!(self.state, ReadState::Magic) && !self.read_magic()? {
            return Ok(None);
        }
        if matches!(self.state, ReadState::Ended) {
            return if self.has_unread_bytes() {
                Err(CaptureError::TrailingBytes {
                    offset: self.offset(),
                })
            } else {
                Ok(None)
            };
        }
        let Some(block) = self.next_block()? else {
            return Ok(None);
        };
        let block_bytes = BLOCK_HEADER_BYTES + block.payload.len();
        let part = match (&self.state, block.kind) {
            (ReadState::Header, BlockKind::Header) => {
                let header = block.decode_only()?;
                self.accept_header(header)?
            }
            (ReadState::Items(header), BlockKind::Items) => {
                let items = block.decode_items(header, self.last_at_us)?;
                self.accept_items(items)
            }
            (ReadState::Items(_), BlockKind::Summary) => {
                let summary = block.decode_only()?;
                self.accept_summary(summary)?
            }
            _ => return Err(block.malformed()),
        };
        self.consumed += block_bytes;
        Ok(Some(part))
    }

    fn accept_header(&mut self, header: Header) -> Result<CapturePart, CaptureError> {
        header.validate()?;
        self.state = ReadState::Items(header.clone());
        Ok(CapturePart::Header(header))
    }

    /// Takes a block's items; returns the first of them.
    fn accept_items(&mut self, items: ItemBlock) -> CapturePart {
        let last = items.rest.back().unwrap_or(&items.first);
        self.last_at_us = last.at_us;
        self.item_count += 1 + items.rest.len() as u64;
        self.items = items.rest;
        CapturePart::Item(items.first)
    }

    fn accept_summary(&mut self, summary: Summary) -> Result<CapturePart, CaptureError> {
        summary.validate()?;
        if summary.items != self.item_count {
            return Err(CaptureError::CountMismatch {
                items: self.item_count,
                summary_items: summary.items,
            });
        }
        self.state = ReadState::Ended;
        Ok(CapturePart::Summary(summary))
    }

    /// Reads the first line; `false` if more bytes are needed. A line that is too long or another is an error at once.
    fn read_magic(&mut self) -> Result<bool, CaptureError> {
        let line = &self.buffer[..self.buffer.len().min(MAX_MAGIC_BYTES)];
        let common = line.len().min(MAGIC_PREFIX.len());
        if line[..common] != MAGIC_PREFIX[..common] {
            return Err(CaptureError::NotACapture);
        }
        match line.iter().position(|&byte| byte == b'\n') {
            Some(end) if line[..=end] == *MAGIC => {
                self.consumed = MAGIC.len();
                self.state = ReadState::Header;
                Ok(true)
            }
            Some(end) => {
                let text = String::from_utf8_lossy(&line[..end]);
                Err(CaptureError::UnsupportedVersion(
                    text.escape_debug().to_string(),
                ))
            }
            None if line.len() == MAX_MAGIC_BYTES => Err(CaptureError::NotACapture),
            None => Ok(false),
        }
    }

    /// The next block, once all of it is there.
    fn next_block(&self) -> Result<Option<Block<'_>>, CaptureError> {
        let offset = self.offset();
        let unread = &self.buffer[self.consumed..];
        let Some((header, rest)) = unread.split_first_chunk::<BLOCK_HEADER_BYTES>() else {
            return Ok(None);
        };
        let header = BlockHeader::decode(*header);
        if header.payload_bytes as usize > MAX_PAYLOAD_BYTES {
            return Err(CaptureError::BlockTooLong {
                offset,
                bytes: header.payload_bytes,
            });
        }
        let Some(payload) = rest.get(..header.payload_bytes as usize) else {
            return Ok(None);
        };
        if !header.matches(payload) {
            return Err(CaptureError::ChecksumMismatch { offset });
        }
        let kind = header
            .kind()
            .ok_or(CaptureError::MalformedBlock { offset })?;
        Ok(Some(Block {
            kind,
            payload,
            offset,
        }))
    }
}
