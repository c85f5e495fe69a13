//! Writes that wait for memory: for how long they may, and what is given up for them.
//!
//! A write whose last byte has arrived at this machine is owed an answer within its client's time,
//! whether it has been read or not. While it waits for memory, first a write of which nothing
//! arrives gives its memory up; if that does not help in time, the waiting write gives its value up
//! itself. The value of such a write is read and discarded, and the write is rejected when its last
//! byte has come. It has never been sent.

use super::client::Client;
use super::commands::{name_index, request_timeout};
use super::connections::ClientConnections;
use super::read_plan::CommandInput;
use crate::clock::to_duration;
use crate::environment::{Environment, ReadStream};
use crate::memory_budget::MemoryReservation;
use crate::resp::{READ_BYTES, field, number};
use std::time::{Duration, Instant};

/// How often a write that waits for memory is checked.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A write waits for this fraction of its client's time before a stalled one gives its memory up.
const REVOKE_AFTER_FRACTION: f64 = 0.125;
/// A write whose last byte has arrived waits for this fraction of its client's time before its
/// value is discarded. The rest is left to read it and to answer.
const DISCARD_AFTER_FRACTION: f64 = 0.5;

/// A write that waits, or has waited, for memory.
#[derive(Clone, Copy)]
pub(super) struct MemoryWait {
    /// When the wait began.
    since: Instant,
    /// The count of arrivals in the memory budget when the wait began.
    arrival_count: u64,
    /// How long the client waits for its answer.
    timeout: Duration,
    /// When the last byte of the command was found to have arrived.
    received_at: Option<Instant>,
}

impl MemoryWait {
    fn may_revoke(&self, now: Instant) -> bool {
        now >= self.since + self.timeout.mul_f64(REVOKE_AFTER_FRACTION)
    }

    fn must_discard(&self, now: Instant) -> bool {
        let wait = self.timeout.mul_f64(DISCARD_AFTER_FRACTION);
        self.received_at.is_some_and(|at| now >= at + wait)
    }
}

/// What a complete command has waited for.
#[derive(Default)]
pub(super) struct CompletedWait {
    /// The memory of a long write.
    pub memory: Option<MemoryReservation>,
    /// How long the complete command was left unread.
    pub waited_for: Duration,
}

impl CommandInput {
    /// Ends the wait of a command that is complete now.
    pub fn complete_wait(&mut self, now: Instant) -> CompletedWait {
        let wait = self.memory_wait.take();
        let received_at = wait.and_then(|wait| wait.received_at);
        CompletedWait {
            memory: self.memory.take(),
            waited_for: received_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        }
    }

    /// Gives up the value and its memory.
    fn discard_value(&mut self) {
        self.reader.discard_value();
        self.memory = None;
    }

    /// Whether the write memory has room for more of the command.
    fn has_memory(&self) -> bool {
        self.memory
            .as_ref()
            .is_none_or(MemoryReservation::may_read_more)
    }
}

impl<E: Environment> ClientConnections<E> {
    /// Reserves buffer capacity for the rest of the command, and counts a long write against the
    /// write memory. Returns whether more may be read; if not, when to ask again.
    pub(super) fn reserve(
        &self,
        stream: &impl ReadStream,
        input: &mut CommandInput,
        client: &Client,
    ) -> Result<(), Instant> {
        let missing = input.reader.missing_bytes(&input.buffer);
        let is_discarding = input.reader.is_discarding_value();
        if missing > READ_BYTES && input.memory.is_none() && !is_discarding {
            let arrived = input.reader.held_bytes() + input.buffer.len();
            input.memory = Some(self.config.write_memory.reserve(arrived));
        }
        let has_memory = self.await_memory(stream, input, missing);
        client
            .is_discarding_value
            .set(input.reader.is_discarding_value());
        input
            .buffer
            .reserve(input.reader.wanted_capacity(&input.buffer));
        if has_memory {
            Ok(())
        } else {
            Err(self.environment.now() + MEMORY_CHECK_INTERVAL)
        }
    }

    /// Whether the write memory has room for more of the command. Decides what is given up if it
    /// has not; `missing` bytes of the command are not read yet.
    fn await_memory(
        &self,
        stream: &impl ReadStream,
        input: &mut CommandInput,
        missing: usize,
    ) -> bool {
        let Some(memory) = &input.memory else {
            return true;
        };
        if memory.is_revoked() {
            input.discard_value();
            return true;
        }
        if memory.may_read_more() {
            memory.set_unread_input(false);
            return true;
        }
        let now = self.environment.now();
        let unread_bytes = stream.unread_bytes();
        memory.set_unread_input(unread_bytes > 0);
        let mut wait = input
            .memory_wait
            .unwrap_or_else(|| self.begin_wait(input, now));
        if unread_bytes >= missing {
            wait.received_at.get_or_insert(now);
        }
        input.memory_wait = Some(wait);
        if wait.must_discard(now) {
            input.discard_value();
        } else if wait.may_revoke(now) {
            self.config.write_memory.revoke_stalled(wait.arrival_count);
        }
        input.has_memory()
    }

    fn begin_wait(&self, input: &CommandInput, now: Instant) -> MemoryWait {
        let fields = input.reader.write_fields(&input.buffer);
        MemoryWait {
            since: now,
            arrival_count: self.config.write_memory.arrival_count(),
            timeout: fields.map_or(Duration::ZERO, |fields| self.timeout_of(fields)),
            received_at: None,
        }
    }

    /// How long the client of a write with these fields waits for its answer. A write that will be
    /// answered with an error has no time to wait for memory.
    fn timeout_of(&self, fields: &str) -> Duration {
        let class =
            field(fields, "c").and_then(|name| name_index(&self.config.names.classes, name));
        let millis = number(fields, "d").transpose();
        match (class, millis) {
            (Some(class), Ok(millis)) => {
                to_duration(request_timeout(&self.config.classes[class], millis))
            }
            _ => Duration::ZERO,
        }
    }
}
