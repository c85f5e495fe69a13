//! Items into bytes, a block at a time.

use crate::{BLOCK_AIM, CaptureError, Header, Item, Kind, MAGIC, Summary, checksum};
use serde::Serialize;

/// Why encoding cannot fail: nothing that a capture holds has a length that is not known.
const ALWAYS_A_FORM: &str = "plain data always has a form";

/// Writes a capture. Holds one block at the most beside what [`CaptureWriter::take`] has not taken yet.
#[derive(Debug)]
pub struct CaptureWriter {
    header: Header,
    summary: Summary,
    last_at_us: u64,
    block: Vec<u8>,
    out: Vec<u8>,
}

impl CaptureWriter {
    /// A capture with this header; one with more than 256 sources or a name of over 1,024 bytes is an error.
    pub fn new(header: Header) -> Result<CaptureWriter, CaptureError> {
        header.check()?;
        let mut out = MAGIC.to_vec();
        close_block(Kind::Header, &encode(&header), &mut out);
        Ok(CaptureWriter {
            header,
            summary: Summary::default(),
            last_at_us: 0,
            block: Vec::new(),
            out,
        })
    }

    /// Adds an item. One that is earlier than the last, names no source or has a text of over 1,024 bytes is an error
    /// and leaves the capture as it was.
    pub fn push(&mut self, item: &Item) -> Result<(), CaptureError> {
        item.check(&self.header, self.last_at_us)?;
        self.block =
            postcard::to_extend(item, std::mem::take(&mut self.block)).expect(ALWAYS_A_FORM);
        self.summary.items += 1;
        self.last_at_us = item.at_us;
        if self.block.len() >= BLOCK_AIM {
            self.close_items();
        }
        Ok(())
    }

    /// Counts what could not be used; the counts stand at the capture's end.
    pub fn count_malformed(&mut self, kind: &str) {
        self.summary.count_malformed(kind);
    }

    /// The bytes that are ready, to be written out behind those taken before.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// Ends the capture: the bytes not taken yet.
    pub fn finish(mut self) -> Vec<u8> {
        self.close_items();
        close_block(Kind::End, &encode(&self.summary), &mut self.out);
        self.out
    }

    fn close_items(&mut self) {
        if !self.block.is_empty() {
            close_block(Kind::Items, &std::mem::take(&mut self.block), &mut self.out);
        }
    }
}

fn encode(what: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(what).expect(ALWAYS_A_FORM)
}

fn close_block(kind: Kind, payload: &[u8], out: &mut Vec<u8>) {
    let kind = kind as u8;
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(checksum(kind, payload).to_le_bytes());
    out.push(kind);
    out.extend(payload);
}
