//! What a router wants done: the output of [`Router::handle`](crate::Router::handle).

use crate::ids::{AttemptNumber, RequestId, ServerId};
use crate::time::Micros;

/// What the router wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Give up on the attempt after this time; `None` for the client's own limit.
        timeout: Option<Micros>,
        /// The last byte must be written within this time, else nothing may be sent
        /// ([`Outcome::NotSent`](crate::Outcome::NotSent)): a repeat that waits for its connection may outlast the
        /// deduplication window. `None` for no limit.
        write_within: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// Final answer: rejected; a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should retry at the earliest.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Send an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// From now.
        after: Micros,
        /// Given back unchanged.
        token: u64,
    },
    /// Close the connections to a server that carry nothing.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to updates of the endpoint list.
    Subscribe,
    /// A log line for the operators.
    Log(String),
}
