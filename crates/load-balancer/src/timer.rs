//! Timer tokens, which encode the purpose of a timer and the request that it belongs to.

use crate::ids::RequestId;

/// Number of low bits of a token that hold the purpose; the bits above hold the request id.
const PURPOSE_BITS: u32 = 2;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// The deadline of a request is reached.
    Deadline,
    /// A request for which no server was found is placed again.
    Placement,
    /// The router subscribes to the endpoint list again.
    Subscription,
    /// An address may be used again after the process there has left the endpoint list.
    Address,
}

/// The token of a timer, which its event carries.
pub(crate) fn token(id: RequestId, purpose: TimerPurpose) -> u64 {
    let code = match purpose {
        TimerPurpose::Deadline => 0,
        TimerPurpose::Placement => 1,
        TimerPurpose::Subscription => 2,
        TimerPurpose::Address => 3,
    };
    u64::from(id.0) << PURPOSE_BITS | code
}

/// The purpose in a token.
pub(crate) fn purpose(token: u64) -> TimerPurpose {
    match token & ((1 << PURPOSE_BITS) - 1) {
        3 => TimerPurpose::Address,
        2 => TimerPurpose::Subscription,
        1 => TimerPurpose::Placement,
        _ => TimerPurpose::Deadline,
    }
}

/// The request id in a token.
pub(crate) fn request(token: u64) -> RequestId {
    RequestId((token >> PURPOSE_BITS) as u32)
}
