//! Events: the input of [`Router::handle`](crate::Router::handle).

use crate::admin_overrides::OverrideSource;
use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::ids::{AttemptNumber, RequestId, ServerId, TenantId};
use crate::request::{AttemptEnd, Request};
use crate::time::Micros;

/// An input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsChanged {
        /// How the entries relate to the list: a whole list, a change, or none at all.
        update: EndpointUpdate,
        /// The updated entries.
        endpoints: Vec<Endpoint>,
    },
    /// An operator disabled a server: nothing new is sent to it, regardless of the endpoint list.
    /// Repeated events change nothing.
    ServerDisabled {
        /// The server. If it is not listed yet, it is disabled as soon as it is.
        server: ServerId,
    },
    /// An operator enabled a server, which goes through slow start. One event is enough however
    /// often the server was disabled.
    ServerEnabled {
        /// The server.
        server: ServerId,
        /// When it was enabled; in the past if another process reports it.
        at: Micros,
        /// Who reports it.
        source: OverrideSource,
    },
    /// A request arrived; it gets exactly one final answer.
    Request(Request),
    /// A streamed response has started. Its deadline no longer applies.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected. The request needs no answer.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// Another client waits for the answer of this request. The embedding program coalesces reads
    /// of the same key and answers that client itself.
    Coalesced {
        /// The request.
        id: RequestId,
        /// The tenant of the joining client. The request counts for it too, and has the priority of
        /// the tenant with the highest limit multiplier.
        tenant: Option<TenantId>,
        /// The earliest time at which the request may expire.
        expires: Micros,
    },
    /// The client with the latest deadline no longer waits for this request.
    DeadlineShortened {
        /// The request.
        id: RequestId,
        /// The latest deadline of the remaining clients.
        expires: Micros,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) is due.
    Timer {
        /// The token with which the timer was set.
        token: u64,
    },
}
