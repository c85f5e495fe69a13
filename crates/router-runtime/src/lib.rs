//! The engine of the asterport router: requests, attempts, pools of connections, discovery and RESP2, on a seam of
//! time and network.
//!
//! Facts from the sockets become events of the decision library, its actions become commands on connections. The
//! engine decides nothing.

mod clients;
mod coalescing_stage;
mod discovery;
mod dispatcher;
mod endpoint_list;
pub mod environment;
mod metrics;
#[doc(hidden)]
pub mod mutation;
mod resp;
mod runtime;
mod servers;
pub mod tokio_environment;
mod write_memory_budget;

pub use clients::IdleConnection;
pub use endpoint_list::EndpointList;
pub use metrics::{AttemptCounts, ClassCounts, OUTCOMES};
pub use runtime::{Metrics, ResourceUsage, RouterConfig, RouterRuntime, ShutdownReport};
