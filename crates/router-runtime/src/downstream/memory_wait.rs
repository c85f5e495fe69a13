//! Writes that wait for memory: for how long they may, and what is given up for them.
//!
//! A write whose last byte its client has written is owed an answer within its client's time,
//! whether it has been read or not. While it waits for memory, first a write of which nothing
//! arrives gives its memory up, or one that is far longer than the waiting one; if that does not
//! help in time, the waiting write gives its value up itself. The value of such a write is read and discarded, and the write is rejected when its last
//! byte has come. It has never been sent.
//!
//! The end of a long write may lie behind more bytes than the receive buffer holds. Then it cannot
//! be seen before the write is read, so the time of its client may run from the last arrival on
//! ([`UnreadInput`]).

use super::client::Client;
use super::command_input::CommandInput;
use super::commands::{name_index, request_timeout};
use super::connections::ClientConnections;
use super::unread_input::UnreadInput;
use crate::clock::to_duration;
use crate::environment::{Environment, ReadStream};
use crate::memory_budget::{MemoryReservation, PressureEvent};
use crate::resp::{CommandReader, READ_BYTES, field, number};
use std::time::{Duration, Instant};

/// How often a write that waits for memory is checked.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A write waits for this fraction of its client's time before one that is far longer gives its memory
/// up. Those that come at once are complete by then.
const PREEMPT_AFTER_FRACTION: f64 = 1.0 / 32.0;
/// A write waits for this fraction of its client's time before a stalled one gives its memory up.
const REVOKE_AFTER_FRACTION: f64 = 0.125;
/// A write whose last byte may have arrived waits for this fraction of its client's time for the memory
/// of its budget before it borrows. Writes that come at once are so still served one after another.
const BORROW_AFTER_FRACTION: f64 = 0.25;
/// A write whose last byte may have arrived waits for this fraction of its client's time before its
/// value is discarded. The rest is left to read it and to answer.
const DISCARD_AFTER_FRACTION: f64 = 0.5;

/// A write that waits, or has waited, for memory.
pub(super) struct MemoryWait {
    /// When the wait began.
    since: Instant,
    /// The count of arrivals in the memory budget when the wait began.
    arrival_count: u64,
    /// How long the client waits for its answer.
    timeout: Duration,
    /// What has arrived of the command while it was not read.
    unread: UnreadInput,
}

impl MemoryWait {
    fn may_revoke(&self, now: Instant) -> bool {
        now >= self.since + self.timeout.mul_f64(REVOKE_AFTER_FRACTION)
    }

    fn may_preempt(&self, now: Instant) -> bool {
        now >= self.since + self.timeout.mul_f64(PREEMPT_AFTER_FRACTION)
    }

    /// When memory is to be borrowed, if the write may be complete.
    fn borrow_at(&self) -> Option<Instant> {
        self.unread
            .complete_since()
            .map(|since| since + self.timeout.mul_f64(BORROW_AFTER_FRACTION))
    }

    /// When the value is to be discarded, if its write may be complete.
    fn discard_at(&self) -> Option<Instant> {
        self.unread
            .complete_since()
            .map(|since| since + self.timeout.mul_f64(DISCARD_AFTER_FRACTION))
    }

    /// Records that bytes of the command were read, after waiting for them for this long.
    pub fn record_read(&mut self, waited_for: Duration) {
        self.unread.record_read(waited_for);
    }
}

/// What a complete command has waited for.
#[derive(Default)]
pub(super) struct CompletedWait {
    /// The memory of a long write.
    pub memory: Option<MemoryReservation>,
    /// How long the command may have been complete before it was read.
    pub waited_for: Duration,
}

impl CompletedWait {
    /// Whether the command is a long write, of which much may have been unread for long.
    pub fn is_long_write(&self) -> bool {
        self.memory.is_some()
    }
}

impl CommandInput {
    /// Ends the wait of a command that is complete now.
    pub fn complete_wait(&mut self, now: Instant) -> CompletedWait {
        let wait = self.memory_wait.take();
        let complete_since = wait.and_then(|wait| wait.unread.complete_since());
        CompletedWait {
            memory: self.memory.take(),
            waited_for: complete_since
                .map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
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
    /// Counts a long write against the write memory. Returns whether more may be read; if not, when
    /// to ask again.
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
            input.memory = Some(self.config.memory.writes.reserve(arrived));
        }
        let waiting = self.await_memory(stream, input, missing);
        client
            .is_discarding_value
            .set(input.reader.is_discarding_value());
        waiting
    }

    /// Whether the write memory has room for more of the command; if not, when to ask again.
    /// Decides what is given up if it has not; `missing` bytes of the command are not read yet.
    fn await_memory(
        &self,
        stream: &impl ReadStream,
        input: &mut CommandInput,
        missing: usize,
    ) -> Result<(), Instant> {
        let Some(memory) = &mut input.memory else {
            return Ok(());
        };
        if memory.is_revoked() {
            self.config
                .memory
                .pressure
                .record(PressureEvent::WriteDiscarded);
            input.discard_value();
            return Ok(());
        }
        if memory.may_read_more() {
            memory.set_missing(missing);
            memory.set_waiting(false);
            memory.set_unread_input(false);
            return Ok(());
        }
        memory.set_missing(missing);
        let now = self.environment.now();
        let unread_bytes = stream.unread_bytes();
        memory.set_unread_input(unread_bytes > 0);
        memory.set_waiting(unread_bytes > 0);
        self.config.memory.reclaim_for(memory);
        let mut wait = match input.memory_wait.take() {
            Some(wait) => wait,
            None => {
                self.config
                    .memory
                    .pressure
                    .record(PressureEvent::WritePaused);
                self.begin_wait(&input.reader, &input.buffer, now)
            }
        };
        wait.unread.observe(unread_bytes, missing, now);
        let borrow_at = wait.borrow_at();
        if borrow_at.is_some_and(|at| now >= at) {
            memory.borrow();
        }
        let discard_at = wait.discard_at();
        let may_revoke = wait.may_revoke(now);
        let may_preempt = wait.may_preempt(now) && unread_bytes > 0;
        let arrival_count = wait.arrival_count;
        input.memory_wait = Some(wait);
        if discard_at.is_some_and(|at| now >= at) {
            self.config
                .memory
                .pressure
                .record(PressureEvent::WriteDiscarded);
            input.discard_value();
        } else {
            let writes = &self.config.memory.writes;
            let has_revoked = may_revoke && writes.revoke_stalled(arrival_count);
            if !has_revoked && may_preempt {
                writes.revoke_longest(memory);
            }
        }
        if input.has_memory() {
            return Ok(());
        }
        let check_at = now + MEMORY_CHECK_INTERVAL;
        let changes_at = [borrow_at, discard_at].into_iter().flatten();
        let next_change = changes_at.filter(|at| *at > now).min();
        Err(next_change.map_or(check_at, |at| at.min(check_at)))
    }

    fn begin_wait(&self, reader: &CommandReader, buffer: &[u8], now: Instant) -> MemoryWait {
        let fields = reader.write_fields(buffer);
        MemoryWait {
            since: now,
            arrival_count: self.config.memory.writes.arrival_count(),
            timeout: fields.map_or(Duration::ZERO, |fields| self.timeout_of(fields)),
            unread: UnreadInput::default(),
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
