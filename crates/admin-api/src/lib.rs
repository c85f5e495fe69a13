//! Admin API of a router: operators' commands over HTTP/1.1 on a separate address, and metrics in
//! the OpenMetrics text format.
//!
//! [`command`] parses and executes commands and [`metrics`] encodes metrics, both without I/O;
//! [`server`] serves connections. The router implements the effect of each command behind
//! [`RouterControl`].
//!
//! Paths, JSON and metric names are part of the external protocol. These modules map them to the
//! names of this code.

pub mod command;
pub mod metrics;
pub mod server;

use router_runtime::Metrics;

/// A router that operators control. A method has taken effect by the time it returns.
pub trait RouterControl {
    /// Returns whether this process can serve.
    fn is_ready(&self) -> bool;
    /// Returns the current metrics.
    fn metrics(&self) -> Metrics;
    /// Takes a cache server out of service: it receives no new requests. Returns false if the
    /// server is unknown.
    fn disable_server(&self, server: &str) -> bool;
    /// Puts a cache server back into service. Returns false if the server is unknown.
    fn enable_server(&self, server: &str) -> bool;
    /// Drains the router: clients are disconnected once their requests are answered. Has no effect
    /// while it is drained already.
    fn drain_router(&self);
    /// Ends a drain. Has no effect if the router is not drained.
    fn resume_router(&self);
}
