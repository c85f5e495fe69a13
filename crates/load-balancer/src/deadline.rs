//! What to do when the deadline timer of a request fires.
//!
//! The step depends on the deadline of the request, on whether its response is being streamed, and
//! on the grace period for attempts that have not ended. Each request gets its final answer in
//! time, and the state of attempts whose end is never reported is released.

use crate::pending::PendingRequest;
use crate::settings::Rules;
use crate::time::Micros;

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
