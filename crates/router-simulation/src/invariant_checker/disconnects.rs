//! Nothing is sent for a client that has disconnected.

use super::request::RequestState;
use crate::executor::Time;

/// How long after a disconnect a request may still be sent. It is below the 0.3 s that operators
/// allow.
const DISCONNECT_GRACE: Time = 100_000;
/// A request that is first sent later than this after the disconnect counts as sent after the
/// disconnect.
const LATE_SEND_AFTER: Time = 300_000;

/// A request that is sent after its client has disconnected.
pub(super) struct SentAfterDisconnect {
    /// The text of the violation.
    pub(super) text: String,
    /// This is the request's first attempt, and it is later than operators allow.
    pub(super) is_late_first_send: bool,
}

/// Returns the violation if a request is sent now although its client has disconnected. Flights are
/// not checked: they carry the id of their first read, and other reads may wait for them.
pub(super) fn check_send(
    now: Time,
    request: &RequestState,
    is_flight: bool,
) -> Option<SentAfterDisconnect> {
    let disconnected_at = request.disconnected_at.filter(|_| !is_flight)?;
    (now > disconnected_at + DISCONNECT_GRACE).then(|| SentAfterDisconnect {
        text: format!(
            "sent {} us after its client disconnected",
            now - disconnected_at
        ),
        is_late_first_send: request.attempts.is_empty() && now > disconnected_at + LATE_SEND_AFTER,
    })
}
