//! Tells since when a command may be complete that is not read for lack of memory.
//!
//! Only what fits the receive buffer is seen. The client may have written the rest as well, to its
//! own machine's send buffer, whenever nothing more arrives. So the command counts as possibly
//! complete from the last arrival on, unless the receive buffer certainly has room, in which case
//! everything that the client has written is seen.

use crate::resp::READ_BYTES;
use std::time::{Duration, Instant};

/// A receive buffer has room for at least this many bytes, so that fewer unread ones mean that the
/// client has written no more.
const MIN_RECEIVE_BUFFER_BYTES: usize = READ_BYTES;
/// Once the receive buffer has had room for this long in all, the client has written more than it
/// had when reading was paused: what lay in its send buffer comes within a few round trips.
const SEND_BUFFER_DRAIN_TIME: Duration = Duration::from_millis(100);

/// The unread input of one command.
#[derive(Debug, Default)]
pub(super) struct UnreadInput {
    /// The current pause of reading.
    pause: Option<ReadPause>,
    /// Since when the command may be complete; the earliest instant that is possible.
    complete_since: Option<Instant>,
    /// How long the receive buffer has had room since it may have been full.
    open_time: Duration,
}

/// A time in which the command is not read.
#[derive(Clone, Copy, Debug)]
struct ReadPause {
    began_at: Instant,
    observed_at: Instant,
    unread_bytes: usize,
}

impl UnreadInput {
    /// Records how many bytes are unread now, of `missing` that the command lacks.
    pub fn observe(&mut self, unread_bytes: usize, missing: usize, now: Instant) {
        let earlier = self.pause.replace(ReadPause {
            began_at: self.pause.map_or(now, |pause| pause.began_at),
            observed_at: now,
            unread_bytes,
        });
        if unread_bytes < missing.min(MIN_RECEIVE_BUFFER_BYTES) {
            let observed_at = earlier.map_or(now, |pause| pause.observed_at);
            self.record_open_time(now.saturating_duration_since(observed_at));
            return;
        }
        self.open_time = Duration::ZERO;
        // At first the rest of the send buffer may still arrive.
        let has_new_input = earlier.is_some_and(|pause| {
            unread_bytes > pause.unread_bytes
                && pause.unread_bytes < missing
                && now >= pause.began_at + SEND_BUFFER_DRAIN_TIME
        });
        if has_new_input {
            self.complete_since = Some(now);
        }
        self.complete_since.get_or_insert(now);
    }

    /// Records that bytes were read, after waiting for them for this long.
    pub fn record_read(&mut self, waited_for: Duration) {
        self.pause = None;
        self.record_open_time(waited_for);
    }

    fn record_open_time(&mut self, time: Duration) {
        self.open_time += time;
        if self.open_time >= SEND_BUFFER_DRAIN_TIME {
            self.complete_since = None;
        }
    }

    /// Since when the command may be complete; `None` if it is not, or is read as it arrives.
    pub fn complete_since(&self) -> Option<Instant> {
        self.complete_since
    }
}
