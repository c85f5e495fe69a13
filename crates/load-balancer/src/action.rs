//! Actions: the output of [`Router::handle`](crate::Router::handle).

use crate::ids::{AttemptNumber, RequestId, ServerId};
use crate::time::Micros;

/// An action that the embedding program carries out. The order of actions matters.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The target server.
        server: ServerId,
        /// The attempt times out after this time; `None` for the deadline of the client.
        timeout: Option<Micros>,
        /// The request must be completely written within this time, or not sent at all
        /// ([`Outcome::NotSent`](crate::Outcome::NotSent)): a retry that waits for its connection
        /// could otherwise arrive after the deduplication window. `None` for no limit.
        write_within: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Give the final answer that the request is rejected. A retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// The client should not retry earlier than this; `None` if it is not told.
        retry_after: Option<Micros>,
    },
    /// Give the final answer that the request failed. It may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver an [`Event::Timer`](crate::Event::Timer) later.
    SetTimer {
        /// The time from now.
        after: Micros,
        /// The token of the event.
        token: u64,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to updates of the endpoint list.
    Subscribe,
    /// Write a log line for operators.
    Log(String),
}
