//! Timer tokens: what a timer of the router is for, and for which request.

use crate::ids::RequestId;

/// Low bits of a token that hold the purpose; the request's id stands above them.
const PURPOSE_BITS: u32 = 2;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// The time of a request's client is up.
    Deadline,
    /// A request that found no server looks for one again.
    Placement,
    /// The endpoint list is subscribed to again.
    Subscription,
}

/// The token that is handed back when the timer is due.
pub(crate) fn token(id: RequestId, purpose: TimerPurpose) -> u64 {
    let code = match purpose {
        TimerPurpose::Deadline => 0,
        TimerPurpose::Placement => 1,
        TimerPurpose::Subscription => 2,
    };
    u64::from(id.0) << PURPOSE_BITS | code
}

/// What the timer of a token is for.
pub(crate) fn purpose(token: u64) -> TimerPurpose {
    match token & ((1 << PURPOSE_BITS) - 1) {
        2 => TimerPurpose::Subscription,
        1 => TimerPurpose::Placement,
        _ => TimerPurpose::Deadline,
    }
}

/// The request of a token.
pub(crate) fn request(token: u64) -> RequestId {
    RequestId((token >> PURPOSE_BITS) as u32)
}
