//! One process of the router after another without a gap.
//!
//! [`message`] has the messages and the file, without I/O; [`channel`] carries messages and descriptors over a Unix socket;
//! [`store`] keeps the operators' word on disk for a process that comes after a killed one; [`inherited_listener`] takes
//! the socket that the platform holds.

pub mod channel;
mod inherited_listener;
pub mod message;
pub mod store;

pub use inherited_listener::{InheritError, inherited_listener};
