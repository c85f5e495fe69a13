//! How long a server may take within a response.
//!
//! A server that is slow has not failed: what it gives is waited for as long as the client waits. A
//! pause is taken for a failure before that only where the bytes that have arrived suggest one, and
//! then early enough for another attempt.

use super::attempt::AttemptDeadlines;
use super::response::LOAD_REPORT_TIMEOUT;
use crate::resp::{MissingPart, READ_BYTES, ends_like_reply};
use std::time::{Duration, Instant};

/// A pause within a short response may take this fraction of the time that is left. Servers write
/// those at once, and another attempt needs time.
const SHORT_RESPONSE_PAUSE_FRACTION: f64 = 0.5;
/// After this fraction of the request's time, a long value is passed on as soon as any of it has
/// arrived.
const FIRST_BYTES_FRACTION: f64 = 0.5;
/// How long to wait for more bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pause {
    /// Until the attempt's deadline.
    Unlimited,
    /// The server has failed if it takes longer.
    AtMost(Duration),
}

/// The times of a request whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseTimes {
    /// When the command was sent.
    pub sent_at: Instant,
    request_deadline: Instant,
}

impl ResponseTimes {
    /// The times of an attempt whose command has just been sent.
    pub fn new(sent_at: Instant, deadlines: &AttemptDeadlines) -> ResponseTimes {
        ResponseTimes {
            sent_at,
            request_deadline: deadlines.request_deadline,
        }
    }

    /// When a long value is passed on as soon as any of it has arrived.
    pub fn first_bytes_at(&self) -> Instant {
        let time = self
            .request_deadline
            .saturating_duration_since(self.sent_at);
        self.sent_at + time.mul_f64(FIRST_BYTES_FRACTION)
    }
}

/// How long a server may pause in the response of which `received` has arrived. Of a damaged one all
/// has arrived, so `short_pause` is enough for it; `time_left` is that of the attempt.
pub(super) fn pause_within(
    missing: MissingPart,
    received: &[u8],
    short_pause: Duration,
    time_left: Duration,
) -> Pause {
    match missing {
        MissingPart::Report => Pause::AtMost(LOAD_REPORT_TIMEOUT),
        _ if ends_like_reply(received) => Pause::AtMost(short_pause),
        MissingPart::Value(size) if size > READ_BYTES => Pause::Unlimited,
        MissingPart::Value(_) | MissingPart::Line => {
            let pause = time_left.mul_f64(SHORT_RESPONSE_PAUSE_FRACTION);
            Pause::AtMost(pause.max(short_pause))
        }
    }
}
