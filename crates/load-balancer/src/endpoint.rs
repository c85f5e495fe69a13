//! Entries of the endpoint list, and the kinds of updates to the list.

use crate::ids::{CellId, MachineKindId, ServerId, ZoneId};
use crate::time::{Micros, WallTime};
use std::net::SocketAddr;

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

/// What the endpoint list tells of the age of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessAge {
    /// It started long ago.
    Old,
    /// It had this age when the list was received, by this process's own clock.
    Known(Micros),
    /// Only the clock of another machine tells. A server that is listed so counts as just started.
    Unknown,
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
    /// Where the server listens, if the embedding program knows it. Processes that are listed at the
    /// same address exclude each other.
    pub address: Option<SocketAddr>,
    /// When the server's process started, on the clock of another machine. A different time means a
    /// different process; it tells neither an age nor an order.
    pub started: WallTime,
    /// The age of the process.
    pub age: ProcessAge,
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
    /// The whole list of another discovery server than before. Its order relative to what was told
    /// before is unknown.
    SnapshotOfOtherServer,
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

impl EndpointUpdate {
    /// Whether it carries the whole list.
    pub fn is_whole_list(self) -> bool {
        matches!(
            self,
            EndpointUpdate::Snapshot
                | EndpointUpdate::SnapshotOfOtherServer
                | EndpointUpdate::Restored
        )
    }
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
            address: None,
            started: WallTime::UNKNOWN,
            age: ProcessAge::Old,
            weight: 1.0,
        }
    }
}
