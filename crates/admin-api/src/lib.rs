//! The operators' side of a router: calls over HTTP/1.1 at an address of its own, and the figures.
//!
//! [`call`] reads a call and words its answer, [`metrics`] writes the figures, both without I/O; [`server`] carries
//! them. What a call does is the [`Operated`] router's.

pub mod call;
pub mod metrics;
pub mod server;

use router_runtime::Metrics;

/// A router as operators see it. Each of these has taken effect when it returns.
pub trait Operated {
    /// Whether this process can serve.
    fn is_ready(&self) -> bool;
    /// Its figures.
    fn metrics(&self) -> Metrics;
    /// Nothing more to this cache server; false if nobody has told of it.
    fn disable_server(&self, server: &str) -> bool;
    /// Puts it back; false if nobody has told of it.
    fn enable_server(&self, server: &str) -> bool;
    /// Empties the router.
    fn drain_router(&self);
    /// The end of that.
    fn resume_router(&self);
}
