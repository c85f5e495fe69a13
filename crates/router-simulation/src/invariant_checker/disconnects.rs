//! Nothing is sent for a client that has disconnected.

use super::request::RequestState;
use crate::executor::Time;

/// How long after a disconnect a request may still be sent: within the 0.3 s that operators allow.
const DISCONNECT_GRACE: Time = 100_000;
/// A request sent later than this after the disconnect counts as sent after departure.
const LATE_SEND_AFTER: Time = 300_000;

/// A request that is sent after its client has disconnected.
pub(super) struct SentAfterDisconnect {
    /// What is wrong.
    pub(super) text: String,
    /// It is the request's first attempt, and later than operators allow.
    pub(super) is_late_first_send: bool,
}

/// What is wrong with sending a request now. A flight goes out under the name of the read that came first, and others
/// may wait for it: `is_flight` requests are not judged.
pub(super) fn check_send(
    now: Time,
    request: &RequestState,
    is_flight: bool,
) -> Option<SentAfterDisconnect> {
    let disconnected_at = request.disconnected_at.filter(|_| !is_flight)?;
    (now > disconnected_at + DISCONNECT_GRACE).then(|| SentAfterDisconnect {
        text: format!(
            "sent {} us after its client had left",
            now - disconnected_at
        ),
        is_late_first_send: request.attempts.is_empty() && now > disconnected_at + LATE_SEND_AFTER,
    })
}
