//! What is due when the deadline timer of a request fires?
//!
//! Inputs: when its client gives up (µs), whether its answer streams, the grace for attempts that never end (µs).
//! Answer: a [`DeadlineStep`]. Reason: each request gets its final answer in time, and the state of attempts that
//! never end is released.

use crate::pending::PendingRequest;
use crate::settings::Rules;
use crate::time::Micros;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeadlineStep {
    /// Nothing: the answer streams, and deadlines have stopped.
    Streaming,
    /// Nothing yet: the deadline was extended; look again after this time.
    Wait(Micros),
    /// The final answer; attempts have this much grace to end.
    AnswerWithGrace(Micros),
    /// The final answer, and the attempts are forgotten.
    AnswerAndForget,
}

/// What is due for a request now.
pub(crate) fn deadline_step(pending: &PendingRequest, rules: &Rules, now: Micros) -> DeadlineStep {
    let expires = pending.request.expires;
    if pending.is_streaming {
        return DeadlineStep::Streaming;
    }
    if now < expires {
        return DeadlineStep::Wait(expires.since(now));
    }
    // A timer of no length would fire at the same instant for ever.
    let grace = rules.answer_grace.max(Micros(1));
    if now < expires.plus(grace) {
        DeadlineStep::AnswerWithGrace(grace)
    } else {
        DeadlineStep::AnswerAndForget
    }
}
