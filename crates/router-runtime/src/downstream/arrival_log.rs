//! Tells how long a command has waited unread while reading was paused.
//!
//! A client's time runs from when its command arrived. The system does not tell when that was, so what has
//! arrived is noted whenever a paused connection is looked at, and a command counts as arrived at the
//! last look at which it was not there yet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The most looks that are remembered. What arrives after the last one counts from then on.
const MAX_MARKS: usize = 32;

/// What had arrived at some time.
#[derive(Clone, Copy, Debug)]
struct ArrivalMark {
    at: Instant,
    /// How many bytes of the connection had arrived in all.
    arrived_bytes: u64,
}

/// The arrivals on one connection while reading was paused.
#[derive(Debug, Default)]
pub(super) struct ArrivalLog {
    /// The oldest first; empty unless input waits that has arrived in a pause.
    marks: VecDeque<ArrivalMark>,
    /// How many bytes have been handled in all.
    handled_bytes: u64,
}

impl ArrivalLog {
    /// Notes that reading is paused while this many bytes wait to be handled, read or not.
    pub fn record_pause(&mut self, now: Instant, waiting_bytes: usize) {
        let arrived_bytes = self.handled_bytes + waiting_bytes as u64;
        let has_new_input = self
            .marks
            .back()
            .is_none_or(|mark| mark.arrived_bytes < arrived_bytes);
        if has_new_input && self.marks.len() < MAX_MARKS {
            self.marks.push_back(ArrivalMark {
                at: now,
                arrived_bytes,
            });
        }
    }

    /// Notes that this many bytes, up to the end of a command, are handled, and returns how long they may
    /// have waited.
    pub fn record_handled(&mut self, now: Instant, bytes: usize) -> Duration {
        self.handled_bytes += bytes as u64;
        let mut arrived_after = self.marks.front().copied();
        for mark in &self.marks {
            if mark.arrived_bytes >= self.handled_bytes {
                break;
            }
            arrived_after = Some(*mark);
        }
        let handled_bytes = self.handled_bytes;
        // The last mark before the input that waits tells when that has arrived at the earliest.
        while self.marks.len() > 1 && self.marks[1].arrived_bytes < handled_bytes {
            self.marks.pop_front();
        }
        let is_all_handled = |mark: &ArrivalMark| mark.arrived_bytes <= handled_bytes;
        if self.marks.back().is_some_and(is_all_handled) {
            self.marks.clear();
        }
        arrived_after.map_or(Duration::ZERO, |mark| {
            now.saturating_duration_since(mark.at)
        })
    }
}
