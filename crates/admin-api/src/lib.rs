//! The operators' side of a router: calls over HTTP/1.1 at an address of its own, and the figures.
//!
//! [`call`] reads a call and words its answer, [`figures`] writes the figures, both without I/O; [`server`] carries
//! them. What a call does is the [`Operated`] router's.

pub mod call;
pub mod figures;
pub mod server;

use router_runtime::Figures;

/// A router as operators see it. Each of these has taken effect when it returns.
pub trait Operated {
    /// Whether this process can serve.
    fn is_ready(&self) -> bool;
    /// Its figures.
    fn figures(&self) -> Figures;
    /// Nothing more to this cache server; false if nobody has told of it.
    fn exclude(&self, server: &str) -> bool;
    /// Puts it back; false if nobody has told of it.
    fn include(&self, server: &str) -> bool;
    /// Empties the router.
    fn evacuate(&self);
    /// The end of that.
    fn rejoin(&self);
}
