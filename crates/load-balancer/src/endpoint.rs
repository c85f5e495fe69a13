//! Entries of the endpoint list, and the kinds of updates to the list.

use crate::ids::{CellId, MachineKindId, ServerId, ZoneId};
use crate::time::Micros;

/// The state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Finishes the requests that it has and takes no new ones.
    Draining,
    /// No longer on the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server's name.
    pub server: ServerId,
    /// The server's state on the list.
    pub state: EndpointState,
    /// The server's zone, if it is known.
    pub zone: Option<ZoneId>,
    /// The server's cell.
    pub cell: CellId,
    /// The machine kind, if it is known.
    pub kind: Option<MachineKindId>,
    /// When the server's process started; zero for long ago.
    pub started: Micros,
    /// The server's size relative to others; see [`WeightKind`](crate::WeightKind).
    pub weight: f64,
}

/// What an update of the endpoint list carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this router last stored it, which may be stale.
    Restored,
    /// A poll failed or the watch was lost; no entries.
    WatchLost,
    /// Discovery rejected a poll after it had waited for some time; no entries.
    PollRejected {
        /// The time from the poll to its rejection.
        waited: Micros,
    },
}

impl Endpoint {
    /// A ready server of weight 1 that started long ago.
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
