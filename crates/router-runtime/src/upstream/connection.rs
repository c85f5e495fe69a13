//! A connection to a cache server, and how it is opened.

use super::attempt::AttemptContext;
use super::pool::UpstreamPools;
use super::repeated_reply::ReplyHistory;
use crate::environment::{Environment, Stream};
use crate::read_buffer::ReadBuffer;
use crate::socket_error::{connect_with_retry, is_local_failure};
use bytes::BytesMut;
use load_balancer::{Outcome, ServerId, WallTime};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// The process that currently runs a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerProcess {
    /// Its address.
    pub addr: SocketAddr,
    /// Start time in the endpoint list. A different time means a different process.
    pub started: WallTime,
}

/// A connection to a cache server.
pub(super) struct Connection<E: Environment> {
    /// The socket.
    pub stream: E::Stream,
    /// Bytes that were read and are not parsed yet.
    pub received: BytesMut,
    /// The process that it leads to. The endpoint list may name a newer one by now.
    pub process: ServerProcess,
    /// Round-trip time, measured as the time to connect.
    pub round_trip: Duration,
    /// Whether a command was written to it, so that the rest of a response may still arrive.
    pub is_used: bool,
    /// The replies that have arrived on it.
    pub history: ReplyHistory,
    /// Whether it may be used again.
    pub is_reusable: bool,
    /// It is not used before this time, as a reply may still arrive.
    pub rests_until: Option<Instant>,
    read_buffer: ReadBuffer,
    /// Its connection slot, released on drop.
    _slot: OwnedSemaphorePermit,
}

impl<E: Environment> Connection<E> {
    /// Reads at most `limit` available bytes, or waits for some. Returns their number, 0 at the end of
    /// the stream.
    pub async fn read(&mut self, limit: usize) -> io::Result<usize> {
        self.read_up_to(|| limit).await
    }

    /// Reads like [`Connection::read`]. The limit is asked for whenever bytes may have arrived.
    pub async fn read_up_to(&mut self, limit: impl Fn() -> usize) -> io::Result<usize> {
        let read = poll_fn(|context| {
            let stream = &mut self.stream;
            self.read_buffer
                .poll_read(context, stream, &mut self.received, limit())
        });
        let count = read.await?;
        self.acknowledge(count);
        Ok(count)
    }

    /// Acknowledges received bytes at once: with Nagle's algorithm, a peer that writes in pieces
    /// may hold the next one back until the previous one is acknowledged.
    fn acknowledge(&self, count: usize) {
        if count > 0 {
            self.stream.acknowledge_immediately();
        }
    }
}

impl<E: Environment> UpstreamPools<E> {
    /// Opens a connection for an attempt. An error is the attempt's outcome.
    pub(super) async fn connect(
        &self,
        server: &ServerId,
        context: &AttemptContext,
    ) -> Result<Connection<E>, Outcome> {
        let process = self.process(server).ok_or(Outcome::NotSent)?;
        let connect_by = self.environment.now() + self.limits.connect_timeout;
        let dial = self.dial(process, context);
        tokio::pin!(dial);
        loop {
            let end = context.deadlines.deadline();
            tokio::select! {
                biased;
                connection = &mut dial => {
                    // The attempt is no longer wanted after its wait.
                    let Some(connection) = connection.transpose() else {
                        return Err(Outcome::NotSent);
                    };
                    self.metrics().connect_ended(connection.is_ok());
                    return connection.map_err(|error| match is_local_failure(&error) {
                        true => Outcome::NotSent,
                        false => Outcome::Unreachable,
                    });
                }
                () = self.environment.sleep_until(connect_by.min(end)) => {}
            }
            if connect_by <= end {
                self.metrics().connect_ended(false);
                return Err(Outcome::Unreachable);
            }
            let is_extended = context.deadlines.deadline() != end;
            if !is_extended {
                return Err(Outcome::TimedOut);
            }
        }
    }

    /// Waits for a connection slot and connects; `None` if the attempt is no longer wanted.
    async fn dial(
        &self,
        process: ServerProcess,
        context: &AttemptContext,
    ) -> io::Result<Option<Connection<E>>> {
        let slot = self.acquire_slot().await?;
        if !context.is_wanted() {
            return Ok(None);
        }
        let started = self.environment.now();
        let connected = connect_with_retry(&self.environment, process.addr, || context.is_wanted());
        let Some(stream) = connected.await? else {
            return Ok(None);
        };
        stream.set_nodelay()?;
        Ok(Some(Connection {
            stream,
            received: BytesMut::new(),
            process,
            round_trip: self.elapsed_since(started),
            is_used: false,
            history: ReplyHistory::default(),
            is_reusable: true,
            rests_until: None,
            read_buffer: self.read_buffer.clone(),
            _slot: slot,
        }))
    }
}
