//! Soak test of the real router binary. A seed determines the number of servers and clients, the
//! settings and the faults of a run. Fake clients, cache servers and discovery on loopback sockets
//! carry out the plan, and the simulation's invariant checker evaluates the traffic.
//!
//! A seed does not reproduce timing. All fakes of a run share one thread, and each records an event
//! before it acts on the event, so that the checker sees causes before effects.

mod client;
mod crowd;
mod discovery;
mod loopback;
mod plan;
mod recorder;
mod run;
mod server;

pub use plan::{Ending, FaultKind, PlannedFault, SoakPlan};
pub use run::{SoakReport, soak};
