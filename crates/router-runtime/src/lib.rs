//! The runtime of the asterport router: connections, stages, dispatcher, upstream pools, discovery and RESP2, generic
//! over the environment's time and network.
//!
//! A request goes one way, and its response the same way back: a client's connection, the stages (reads are coalesced), the
//! dispatcher, an attempt on a pooled upstream connection. Facts from the sockets become events of the decision
//! library; its actions become commands on connections. The runtime decides nothing.

mod clients;
mod clock;
mod coalescing_stage;
mod discovery;
mod dispatcher;
mod endpoint_list;
pub mod environment;
mod metrics;
#[doc(hidden)]
pub mod mutation;
mod request;
mod resp;
mod runtime;
mod servers;
mod stage;
pub mod tokio_environment;
mod write_memory_budget;

pub use clients::IdleConnection;
pub use endpoint_list::EndpointList;
pub use metrics::{AttemptCounts, ClassCounts, Metrics, OUTCOMES, ResourceUsage};
pub use runtime::{RouterConfig, RouterRuntime, ShutdownReport};
