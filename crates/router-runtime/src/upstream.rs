//! Connections to the cache servers: pools of idle connections, and attempts on them.
//!
//! The pools and their attempts rely on one thread: no borrow crosses an await.

mod attempt;
mod connection;
mod pool;
mod response;

pub use attempt::{AttemptContext, AttemptDeadlines, AttemptOwner, AttemptResult, BodyConsumer};
pub use pool::{UpstreamLimits, UpstreamPools};
