//! Connections of clients: who gets one, commands in, and responses out in the order of the commands.
//!
//! The connections rely on one thread: no borrow crosses an await.

mod client;
mod close;
mod close_log;
mod commands;
mod connection;
mod connections;
mod read_plan;
mod responses;

use bytes::BytesMut;

pub use connections::{ClientConnections, DownstreamConfig};

/// A client's connection without pending responses, to be served by another process.
#[derive(Debug)]
pub struct IdleConnection<S> {
    /// The connection; what the client has sent since is still to be read.
    pub stream: S,
    /// What was read of a command that is not whole yet.
    pub unread: BytesMut,
    /// It has sent a whole command before.
    pub has_sent_command: bool,
}

impl<S> IdleConnection<S> {
    /// A connection that has just been accepted.
    fn accepted(stream: S) -> Self {
        IdleConnection {
            stream,
            unread: BytesMut::new(),
            has_sent_command: false,
        }
    }
}
