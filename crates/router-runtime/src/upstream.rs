//! Upstream side of the router: connection pools to the cache servers, and attempts on their
//! connections.
//!
//! All state belongs to one thread; no `RefCell` borrow is held across an await.

mod attempt;
mod connection;
mod long_response;
mod pool;
mod repeated_reply;
mod response;
mod slow_response;

pub use attempt::{
    AttemptContext, AttemptDeadlines, AttemptOwner, AttemptResult, BodyConsumer, BufferedBody,
};
pub use pool::{UpstreamLimits, UpstreamPools};
