//! The input of one connection that is not handled yet: buffered bytes, the parser, and the memory of a
//! long write.

use super::arrival_log::ArrivalLog;
use super::memory_wait::MemoryWait;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::resp::{CommandFrame, CommandReader, READ_BYTES, RespError};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

/// The input read so far for the next command.
pub(super) struct CommandInput {
    /// The parser.
    pub reader: CommandReader,
    /// Bytes that have arrived and are not parsed yet.
    pub buffer: BytesMut,
    /// Bytes that another process has read, and that are not in the buffer yet.
    backlog: VecDeque<Bytes>,
    /// The memory of a long write.
    pub memory: Option<MemoryReservation>,
    /// The wait of a long write for memory.
    pub memory_wait: Option<MemoryWait>,
    /// How many chunks of the value are charged to its memory.
    held_chunk_count: usize,
    /// When bytes of a write's value last arrived.
    pub value_progress_at: Option<Instant>,
    /// What arrived while reading was paused.
    pub arrivals: ArrivalLog,
}

impl CommandInput {
    /// Input that begins with bytes read before, which count against `write_memory`.
    pub fn new(unread: Vec<Bytes>, write_memory: &Rc<MemoryBudget>) -> Self {
        let unread_bytes = unread.iter().map(Bytes::len).sum();
        CommandInput {
            reader: CommandReader::default(),
            buffer: BytesMut::new(),
            backlog: unread.into(),
            memory: (unread_bytes > READ_BYTES).then(|| write_memory.adopt(unread_bytes)),
            memory_wait: None,
            held_chunk_count: 0,
            value_progress_at: None,
            arrivals: ArrivalLog::default(),
        }
    }

    /// Takes the next command off the input if it is complete.
    ///
    /// # Errors
    /// If the input is not a command.
    pub fn next_command(&mut self) -> Result<Option<CommandFrame>, RespError> {
        loop {
            let frame = self.next_buffered_command()?;
            if frame.is_some() {
                return Ok(frame);
            }
            let Some(piece) = self.backlog.pop_front() else {
                return Ok(None);
            };
            self.buffer.extend_from_slice(&piece);
        }
    }

    fn next_buffered_command(&mut self) -> Result<Option<CommandFrame>, RespError> {
        let mut frame = self.reader.next(&mut self.buffer)?;
        let chunks = match &mut frame {
            Some(frame) => Some(&mut frame.long_value),
            None => self.reader.held_chunks_mut(),
        };
        if let (Some(memory), Some(chunks)) = (&mut self.memory, chunks) {
            for chunk in chunks.iter_mut().skip(self.held_chunk_count) {
                *chunk = memory.hold(chunk);
            }
            self.held_chunk_count = chunks.len();
        }
        if frame.is_some() {
            self.held_chunk_count = 0;
        }
        Ok(frame)
    }

    /// Takes all bytes read of the incomplete command, as they arrived. Those of a long write count
    /// as used until they are dropped.
    pub fn take_unread(&mut self) -> Vec<Bytes> {
        let reader = std::mem::take(&mut self.reader);
        let mut unread = reader.into_unread();
        let held_count = unread.len();
        unread.push(std::mem::take(&mut self.buffer).freeze());
        unread.extend(self.backlog.drain(..));
        if let Some(memory) = &mut self.memory {
            for piece in unread.iter_mut().skip(held_count) {
                *piece = memory.hold(piece);
            }
        }
        unread
    }

    /// Whether no byte of a further command has been read. Full chunks of a long value are not in
    /// the buffer, so the reader is asked as well.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.backlog.is_empty() && !self.reader.is_in_value()
    }
}
