//! Derives what a server may be used for from its state on the endpoint list, from whether an
//! operator disabled it, and from whether it owns its address.
//!
//! An operator's override holds whatever the list says. The ring, the sending of attempts and the
//! embedding program depend on this result alone.

use crate::endpoint::EndpointState;

/// What a server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Listed as ready; takes new requests.
    Accepting,
    /// Listed as draining; finishes its requests in flight.
    Draining,
    /// Disabled by an operator; finishes its requests in flight and takes no new ones until it is
    /// enabled again, whatever the endpoint list says.
    Disabled,
    /// Listed as ready at an address that another process has, or that is not free of one that
    /// takes no new requests; takes none itself.
    AddressTaken,
    /// Not on the endpoint list.
    Removed,
}

impl Availability {
    /// The availability of a server in this state on the endpoint list. `owns_address` says that no
    /// other process keeps it from using its address.
    pub(crate) fn new(state: EndpointState, is_disabled: bool, owns_address: bool) -> Availability {
        match state {
            EndpointState::Removed => Availability::Removed,
            _ if is_disabled => Availability::Disabled,
            EndpointState::Draining => Availability::Draining,
            EndpointState::Ready if !owns_address => Availability::AddressTaken,
            EndpointState::Ready => Availability::Accepting,
        }
    }
}
