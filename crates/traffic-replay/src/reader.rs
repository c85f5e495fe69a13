//! Incremental decoder of captures. Arbitrary input yields errors, never panics.

use crate::block::{
    BLOCK_HEADER_BYTES, BlockHeader, BlockKind, MAGIC, MAGIC_PREFIX, MAX_MAGIC_BYTES,
    MAX_PAYLOAD_BYTES,
};
use crate::{CaptureError, Header, Item, Summary};
use serde::Deserialize;
use std::collections::VecDeque;

/// Decoded part of a capture. A capture yields one header, then the items, then one summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapturePart {
    /// First part.
    Header(Header),
    /// One recorded request.
    Item(Item),
    /// Last part.
    Summary(Summary),
}

/// Decoder state: what the reader expects next, or how it ended.
#[derive(Debug, Default)]
enum ReadState {
    #[default]
    Magic,
    Header,
    Items(Header),
    Ended,
    Failed(CaptureError),
}

/// Items of one block, of which there is at least one.
struct ItemBlock {
    first: Item,
    rest: VecDeque<Item>,
}

/// Block with a valid length and checksum.
struct Block<'a> {
    kind: BlockKind,
    payload: &'a [u8],
    /// Offset of the block in the capture.
    offset: u64,
}

impl<'a> Block<'a> {
    fn malformed(&self) -> CaptureError {
        CaptureError::MalformedBlock {
            offset: self.offset,
        }
    }

    /// Decodes a value from the start of `bytes`, a part of the payload; returns it with the
    /// remaining bytes.
    fn decode<T: Deserialize<'a>>(&self, bytes: &'a [u8]) -> Result<(T, &'a [u8]), CaptureError> {
        postcard::take_from_bytes(bytes).map_err(|_| self.malformed())
    }

    /// Decodes the payload as exactly one value.
    fn decode_only<T: Deserialize<'a>>(&self) -> Result<T, CaptureError> {
        let (value, rest) = self.decode(self.payload)?;
        if rest.is_empty() {
            Ok(value)
        } else {
            Err(self.malformed())
        }
    }

    /// Decodes all items of the payload, none of which may be earlier than `last_at_us`. A block
    /// without items is malformed, as the writer never produces one.
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

/// Decodes a capture from chunks of any size.
///
/// Buffers the unread input and the items of one block. To bound memory, feed small chunks and call
/// [`CaptureReader::next`] after each until it returns `None`.
#[derive(Debug, Default)]
pub struct CaptureReader {
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` that are decoded already.
    consumed: usize,
    /// Offset of the start of `buffer` in the capture.
    buffer_offset: u64,
    state: ReadState,
    /// Items of the last block that [`CaptureReader::next`] has not returned yet.
    items: VecDeque<Item>,
    /// Number of items in all blocks so far.
    item_count: u64,
    /// Time of the last item of those blocks.
    last_at_us: u64,
}

impl CaptureReader {
    /// Appends the next bytes of the capture.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer_offset += self.consumed as u64;
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next part; `None` if more bytes are needed or the capture has ended.
    ///
    /// # Errors
    /// The input is not a capture, or is damaged. An error is final: later calls return it again.
    // Not an `Iterator`: that could not tell a need for more bytes from the end.
    #[allow(clippy::should_implement_trait)]
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

    /// Checks that the capture was complete. Call it after feeding all bytes and taking all parts.
    ///
    /// # Errors
    /// The capture is truncated, damaged or followed by other bytes, or the input is not a capture.
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

    /// Offset of the first unread byte in the capture.
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

    /// Stores the items of a block and returns the first.
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

    /// Reads the magic line; `false` if more bytes are needed. Fails as soon as the input cannot be
    /// a magic line.
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

    /// Returns the next block, or `None` until all of it is buffered.
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
