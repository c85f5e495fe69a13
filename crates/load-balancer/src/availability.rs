//! What may a server be used for?
//!
//! Inputs: its state on the endpoint list, and whether an operator disabled it. Answer: an [`Availability`].
//! Reason: the operators' word holds whatever the list says. The ring, the sending of attempts and the embedding
//! program ask nothing else.

use crate::endpoint::EndpointState;

/// What a server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Listed as ready: it takes new requests.
    Accepting,
    /// Listed as draining: it finishes the requests that it has.
    Draining,
    /// Disabled by an operator: it finishes what it has and takes nothing new until it is enabled again, whatever
    /// the endpoint list says.
    Disabled,
    /// Not on the endpoint list.
    Removed,
}

impl Availability {
    /// Of a server in this state on the list.
    pub(crate) fn new(state: EndpointState, is_disabled: bool) -> Availability {
        match state {
            EndpointState::Removed => Availability::Removed,
            _ if is_disabled => Availability::Disabled,
            EndpointState::Draining => Availability::Draining,
            EndpointState::Ready => Availability::Accepting,
        }
    }
}
