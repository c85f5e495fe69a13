//! Encoder of captures, one block at a time.

use crate::block::{BlockKind, MAGIC, TARGET_PAYLOAD_BYTES, append_block};
use crate::{CaptureError, Header, Item, Summary};
use serde::Serialize;

/// Encoding into memory cannot fail, as all lengths are known beforehand.
const ENCODING_IS_INFALLIBLE: &str = "encoding plain data into memory is infallible";

/// Encodes a capture. Buffers at most one block besides the bytes that [`CaptureWriter::take`] has
/// not taken yet.
#[derive(Debug)]
pub struct CaptureWriter {
    header: Header,
    summary: Summary,
    /// Time of the last item.
    last_at_us: u64,
    /// Encoded items of the block in progress.
    payload: Vec<u8>,
    /// Finished bytes that are not taken yet: the magic line and whole blocks.
    finished_blocks: Vec<u8>,
}

impl CaptureWriter {
    /// Starts a capture with this header.
    ///
    /// # Errors
    /// The header has more than 256 sources, or a source name exceeds 1,024 bytes.
    pub fn new(header: Header) -> Result<CaptureWriter, CaptureError> {
        header.validate()?;
        let mut finished_blocks = MAGIC.to_vec();
        append_block(BlockKind::Header, &encode(&header), &mut finished_blocks);
        Ok(CaptureWriter {
            header,
            summary: Summary::default(),
            last_at_us: 0,
            payload: Vec::new(),
            finished_blocks,
        })
    }

    /// Adds an item.
    ///
    /// # Errors
    /// The item is earlier than the last one, its source is unknown, or one of its texts exceeds
    /// 1,024 bytes. The item is skipped, and the writer stays usable.
    pub fn push(&mut self, item: &Item) -> Result<(), CaptureError> {
        item.validate(&self.header, self.last_at_us)?;
        let payload = std::mem::take(&mut self.payload);
        self.payload = postcard::to_extend(item, payload).expect(ENCODING_IS_INFALLIBLE);
        self.summary.items += 1;
        self.last_at_us = item.at_us;
        if self.payload.len() >= TARGET_PAYLOAD_BYTES {
            self.finish_block();
        }
        Ok(())
    }

    /// Counts a malformed item in the summary of the capture.
    pub fn count_malformed(&mut self, kind: &str) {
        self.summary.count_malformed(kind);
    }

    /// Takes the finished bytes; append them to those taken before.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.finished_blocks)
    }

    /// Ends the capture and returns the bytes that are not taken yet.
    pub fn finish(mut self) -> Vec<u8> {
        self.finish_block();
        append_block(
            BlockKind::Summary,
            &encode(&self.summary),
            &mut self.finished_blocks,
        );
        self.finished_blocks
    }

    fn finish_block(&mut self) {
        if self.payload.is_empty() {
            return;
        }
        let payload = std::mem::take(&mut self.payload);
        append_block(BlockKind::Items, &payload, &mut self.finished_blocks);
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect(ENCODING_IS_INFALLIBLE)
}
