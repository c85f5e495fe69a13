//! What to do when the deadline timer of a request fires, and when a request has too little time left
//! to be forwarded.
//!
//! The step depends on the deadline of the request, on whether its response is being streamed, and
//! on the grace period for attempts that have not ended. Each request gets its final answer in
//! time, and the state of attempts whose end is never reported is released.

use crate::pending::PendingRequest;
use crate::settings::Rules;
use crate::time::Micros;

/// A request is not forwarded with less time left than this ratio of the average latency that its
/// server reaches when nothing waits there.
const MIN_TIME_RATIO: f64 = 0.25;
/// How many requests may be forwarded in a row with less time left than that average, although none is
/// served.
const MAX_SHORT_TOKENS: f64 = 20.0;
/// Tokens earned by each served request that had enough time.
const SHORT_TOKENS_PER_SUCCESS: f64 = 0.1;

/// Whether a request has time to be answered by a server, judged by the average latency of its answers
/// when nothing waits there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeLeft {
    /// More than the average.
    Enough,
    /// Less than the average, so that the answer is likely to come too late.
    Short,
    /// So little that the server would work in vain.
    TooLittle,
}

impl TimeLeft {
    /// Judges the time left. `fastest_average` is 0 if it is not known.
    pub fn new(time_left: Micros, fastest_average: Micros) -> TimeLeft {
        if time_left < fastest_average.scaled(MIN_TIME_RATIO) {
            TimeLeft::TooLittle
        } else if time_left < fastest_average {
            TimeLeft::Short
        } else {
            TimeLeft::Enough
        }
    }
}

/// The budget of requests that are forwarded with little time left. An attempt that is given up costs
/// its server the work and a connection, so that clients with very short deadlines could occupy the
/// servers for nothing. Those that are served nevertheless cost nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShortDeadlineBudget {
    tokens: f64,
}

impl ShortDeadlineBudget {
    /// Creates a full budget.
    pub fn new() -> ShortDeadlineBudget {
        ShortDeadlineBudget {
            tokens: MAX_SHORT_TOKENS,
        }
    }

    /// Whether a request with this much time left may be forwarded.
    pub fn allows(&self, time_left: TimeLeft) -> bool {
        match time_left {
            TimeLeft::Enough => true,
            TimeLeft::Short => self.tokens >= 1.0,
            TimeLeft::TooLittle => false,
        }
    }

    /// Records that a request was forwarded.
    pub fn record_send(&mut self, time_left: TimeLeft) {
        if time_left == TimeLeft::Short {
            self.tokens -= 1.0;
        }
    }

    /// Records that a request was served that was forwarded with this much time left.
    pub fn record_success(&mut self, time_left: TimeLeft) {
        let earned = match time_left {
            TimeLeft::Enough => SHORT_TOKENS_PER_SUCCESS,
            TimeLeft::Short | TimeLeft::TooLittle => 1.0,
        };
        self.tokens = (self.tokens + earned).min(MAX_SHORT_TOKENS);
    }
}

/// What to do when a deadline timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeadlineStep {
    /// Nothing: the response is being streamed, and the deadline no longer applies.
    Streaming,
    /// Nothing yet: the deadline was extended. Check again after this time.
    Wait(Micros),
    /// Give the final answer, and wait this long for the attempts to end.
    AnswerWithGrace(Micros),
    /// Give the final answer and release the attempts.
    AnswerAndRelease,
}

/// The step for a request whose deadline timer fires at `now`.
pub(crate) fn deadline_step(pending: &PendingRequest, rules: &Rules, now: Micros) -> DeadlineStep {
    let expires = pending.request.expires;
    if pending.is_streaming {
        return DeadlineStep::Streaming;
    }
    if now < expires {
        return DeadlineStep::Wait(expires.since(now));
    }
    // A timer of zero length would fire forever at the same instant.
    let grace = rules.answer_grace.max(Micros(1));
    if now < expires.plus(grace) {
        DeadlineStep::AnswerWithGrace(grace)
    } else {
        DeadlineStep::AnswerAndRelease
    }
}
