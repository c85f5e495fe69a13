//! Client connections: accepting them, reading commands, and writing the responses in command
//! order.
//!
//! The connections are single-threaded: no borrow is held across an await.

mod arrival_log;
mod client;
mod close;
mod close_log;
mod command_input;
mod commands;
mod connection;
mod connections;
mod memory_wait;
mod read_plan;
mod responses;
mod unread_input;

use bytes::Bytes;

pub use connections::{ClientConnections, DownstreamConfig};

/// A client connection without pending responses, either just accepted or handed over between
/// processes.
#[derive(Debug)]
pub struct IdleConnection<S> {
    /// The connection. What the client has sent since is still to be read from it.
    pub stream: S,
    /// Bytes read of an incomplete command, in pieces.
    pub unread: Vec<Bytes>,
    /// Whether the client has sent a complete command on it.
    pub has_sent_command: bool,
}

impl<S> IdleConnection<S> {
    /// A connection that was just accepted.
    fn accepted(stream: S) -> Self {
        IdleConnection {
            stream,
            unread: Vec::new(),
            has_sent_command: false,
        }
    }
}
