//! One process of the router after another without a gap.
//!
//! [`form`] has the messages and the file, without I/O; [`link`] carries messages and descriptors over a Unix socket;
//! [`store`] keeps the operators' word on disk for a process that comes after a killed one; [`inherited_listener`] takes
//! the socket that the platform holds.

pub mod form;
mod inherit;
pub mod link;
pub mod store;

pub use inherit::{InheritError, inherited_listener};
