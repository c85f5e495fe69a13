//! Admin API of a router: operators' commands over HTTP/1.1 at an address of its own, and metrics in the text form of
//! OpenMetrics.
//!
//! [`command`] parses and executes commands, and [`metrics`] encodes metrics, both without I/O; [`server`] serves
//! connections. What a command does is the business of the router behind [`RouterControl`].
//!
//! Paths, JSON and metric names are a protocol; they are mapped to the code's names in these modules.

pub mod command;
pub mod metrics;
pub mod server;

use router_runtime::Metrics;

/// A router that operators control. Each method has taken effect when it returns.
pub trait RouterControl {
    /// Whether this process can serve.
    fn is_ready(&self) -> bool;
    /// Current metrics.
    fn metrics(&self) -> Metrics;
    /// Takes a cache server out of service: it gets no new requests. False if no list has named it.
    fn disable_server(&self, server: &str) -> bool;
    /// Puts a cache server back into service. False if no list has named it.
    fn enable_server(&self, server: &str) -> bool;
    /// Drains the router of its clients. A second drain changes nothing.
    fn drain_router(&self);
    /// Ends a drain. Without one it changes nothing.
    fn resume_router(&self);
}
