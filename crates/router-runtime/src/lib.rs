//! Runtime of the asterport router: client connections, request stages, dispatcher, upstream pools,
//! discovery and RESP2, generic over the environment that provides time and network.
//!
//! A request passes from its client connection through the stages and the dispatcher to an attempt
//! on a pooled upstream connection; its response takes the same way back. The runtime reports what
//! happens on sockets as events to the decision library and carries out the actions that the
//! library returns. All routing decisions are made by the library.

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
mod read_buffer;
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
