//! The runtime of the asterport router: connections, stages, dispatcher, upstream pools, discovery and RESP2, generic
//! over the environment's time and network.
//!
//! A request goes one way, and its response the same way back: a client's connection, the stages, the dispatcher, an
//! attempt on a pooled upstream connection. Facts from the sockets become events of the decision library; its actions
//! become commands on connections. The runtime decides nothing.

mod clock;
mod coalescing_stage;
mod discovery;
mod dispatcher;
mod downstream;
pub mod endpoint_list;
pub mod environment;
pub mod memory_budget;
mod metrics;
#[doc(hidden)]
pub mod mutation;
mod request;
pub mod resp;
mod runtime;
mod socket_error;
mod stage;
pub mod tokio_environment;
mod upstream;

pub use downstream::IdleConnection;
pub use endpoint_list::EndpointList;
pub use metrics::{AttemptCounts, ClassCounts, Metrics, OUTCOMES, ResourceUsage};
pub use runtime::{
    AttemptReport, CoalescingReport, ConfigError, RouterConfig, RouterRuntime, ShutdownReport,
    WatchedEndpoints,
};
