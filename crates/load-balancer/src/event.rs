//! What happens to a router: the input of [`Router::handle`](crate::Router::handle).

use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::ids::{AttemptNumber, RequestId, ServerId, TenantId};
use crate::request::{AttemptEnd, Request};
use crate::time::Micros;

/// What happens to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsChanged {
        /// Which part of the list the entries are.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// An operator disabled a server: nothing new is sent to it, whatever the list says. Repeats change nothing.
    ServerDisabled {
        /// The server; one that the list does not name yet is disabled as soon as it does.
        server: ServerId,
    },
    /// An operator enabled a server, however often it was disabled; it goes through slow start.
    ServerEnabled {
        /// The server.
        server: ServerId,
        /// When that was: before now where another process reports it.
        at: Micros,
    },
    /// A request arrived; it gets exactly one final answer.
    Request(Request),
    /// A streamed response has started; deadlines stop.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; the request needs no answer.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// One more client waits for the answer of this request: the embedding program coalesces reads of one key, and
    /// answers that client itself.
    Coalesced {
        /// The request.
        id: RequestId,
        /// The tenant of the client that joins: it counts as a requester, and the most entitled tenant of all decides
        /// the priority of the request.
        tenant: Option<TenantId>,
        /// The request expires no sooner than this.
        expires: Micros,
    },
    /// The client that was to wait longest for this request is gone.
    DeadlineShortened {
        /// The request.
        id: RequestId,
        /// When the last of the others gives up.
        expires: Micros,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) is due.
    Timer {
        /// As it was set.
        token: u64,
    },
}
