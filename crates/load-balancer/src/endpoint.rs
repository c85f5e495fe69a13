//! Entries of the endpoint list and its updates.

use crate::ids::{CellId, KindId, ServerId, ZoneId};
use crate::time::Micros;

/// The state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub server: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: Option<KindId>,
    /// When its process started; zero for long ago.
    pub started: Micros,
    /// Its size relative to others; see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
}

/// Which part of the endpoint list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this router last held it; possibly stale.
    Restored,
    /// A poll failed or the watch broke; no entries.
    WatchLost,
    /// Discovery turned a poll away after it had waited for this long; no entries.
    PollRejected {
        /// From the poll to the rejection.
        waited: Micros,
    },
}

impl Endpoint {
    /// A ready server of usual size that started long ago.
    pub fn ready(server: ServerId) -> Self {
        Endpoint {
            server,
            state: EndpointState::Ready,
            zone: None,
            cell: CellId(0),
            kind: None,
            started: Micros(0),
            weight: 1.0,
        }
    }
}
