//! Tells the reply to a command from an earlier reply that its server sends a second time.
//!
//! Replies carry no request id, and a second copy of a reply may come at any time: it would be taken
//! for the reply to the next command on the connection. So a connection remembers the digests of its
//! replies. A reply that repeats an earlier one is held while a guard, `SELECT 0`, is sent after it.
//! Servers answer the guard with `+OK`, which no other reply looks like, behind all replies to
//! commands before it. If the guard's reply comes next, the server has given the same reply twice
//! on purpose. If another reply comes before it, that one belongs to the command. The key tells
//! nothing: a server may give each read of a key a value of its own.
//!
//! An error is not held: the command may have run, whichever reply it is. Its connection rests until
//! the time is over that the server was told, by which its own reply would have come.

use super::attempt::AttemptContext;
use super::connection::Connection;
use super::pool::UpstreamPools;
use super::response::ReadResult;
use super::slow_response::Pause;
use crate::environment::Environment;
use crate::resp::{Digest, READ_BYTES, Reply, ReplyReader};
use bytes::Buf;
use load_balancer::ServerId;
use std::time::Instant;
use tokio::io::AsyncWriteExt;

const GUARD_COMMAND: &[u8] = b"*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n";
const GUARD_REPLY: &[u8] = b"+OK\r\n";
/// How many replies a connection carries before it is closed, which bounds its history.
const MAX_REPLIES: usize = 256;
/// The most replies that are read before the guard's reply.
const MAX_HELD_REPLIES: usize = 4;
/// The most bytes of one reply that are read before the guard's reply: more than a short value.
const MAX_HELD_BYTES: usize = 128 * 1024;

/// The digests of the replies on a connection.
#[derive(Debug, Default)]
pub(super) struct ReplyHistory {
    digests: Vec<Digest>,
}

impl ReplyHistory {
    fn contains(&self, digest: Digest) -> bool {
        self.digests.contains(&digest)
    }

    /// Records a reply; returns whether it repeats an earlier one.
    fn is_repeated(&mut self, digest: Digest) -> bool {
        let is_repeated = self.contains(digest);
        if !is_repeated {
            self.digests.push(digest);
        }
        is_repeated
    }

    /// Whether no more replies can be recorded, so that the connection cannot be used again.
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_REPLIES
    }
}

/// Why the reply to a command is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownReply {
    /// It did not come by the attempt's deadline.
    TimedOut,
    /// The connection ended, or several replies may be the one.
    Ambiguous,
}

impl<E: Environment> UpstreamPools<E> {
    /// Returns the reply to the command in flight, given the first reply that has arrived.
    pub(super) async fn own_reply(
        &self,
        server: &ServerId,
        connection: &mut Connection<E>,
        first: Reply,
        context: &AttemptContext,
    ) -> Result<Reply, UnknownReply> {
        if !connection.history.is_repeated(first.digest()) {
            return Ok(first);
        }
        let write_by = context.deadlines.deadline();
        if matches!(first, Reply::Failed(_)) {
            connection.rests_until = Some(write_by);
            return Ok(first);
        }
        self.send_guard(server, connection, context, write_by)
            .await?;
        let later = self.read_to_guard(connection, context).await?;
        if later.is_empty() {
            return Ok(first);
        }
        // Its server sends replies twice.
        connection.is_reusable = false;
        choose_reply(&connection.history, first, later)
    }

    /// Whether a long value, of which all has arrived, belongs to the command in flight. Waits for
    /// the guard's reply until `read_by`.
    pub(super) async fn is_own_long_reply(
        &self,
        server: &ServerId,
        connection: &mut Connection<E>,
        context: &AttemptContext,
        digest: Digest,
        read_by: Instant,
    ) -> bool {
        if !connection.history.is_repeated(digest) {
            return true;
        }
        let guard = self.send_guard(server, connection, context, read_by);
        if guard.await.is_err() {
            return false;
        }
        while GUARD_REPLY.starts_with(&connection.received) {
            if connection.received.len() == GUARD_REPLY.len() {
                connection.received.clear();
                return true;
            }
            let read = connection.read(READ_BYTES);
            let read = self.environment.timeout_at(read_by, read).await;
            if !matches!(read, Ok(Ok(1..))) {
                return false;
            }
        }
        false
    }

    /// Sends the guard. Nothing is sent to a server that is draining, disabled or removed.
    async fn send_guard(
        &self,
        server: &ServerId,
        connection: &mut Connection<E>,
        context: &AttemptContext,
        write_by: Instant,
    ) -> Result<(), UnknownReply> {
        if !context.owner.is_accepting(server) {
            return Err(UnknownReply::Ambiguous);
        }
        let write = connection.stream.write_all(GUARD_COMMAND);
        match self.environment.timeout_at(write_by, write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(UnknownReply::Ambiguous),
            Err(_) => Err(UnknownReply::TimedOut),
        }
    }

    /// Reads the replies before the guard's reply, and the guard's reply.
    async fn read_to_guard(
        &self,
        connection: &mut Connection<E>,
        context: &AttemptContext,
    ) -> Result<Vec<Reply>, UnknownReply> {
        let mut replies = Vec::new();
        let mut reader = ReplyReader::default();
        loop {
            if connection.received.starts_with(GUARD_REPLY) {
                connection.received.advance(GUARD_REPLY.len());
                return Ok(replies);
            }
            if !GUARD_REPLY.starts_with(&connection.received) {
                let reply = reader.next(&mut connection.received);
                if let Some(reply) = reply.map_err(|_| UnknownReply::Ambiguous)? {
                    replies.push(reply);
                    reader = ReplyReader::default();
                    continue;
                }
            }
            let is_too_much =
                replies.len() >= MAX_HELD_REPLIES || connection.received.len() > MAX_HELD_BYTES;
            if is_too_much {
                return Err(UnknownReply::Ambiguous);
            }
            let read = connection.read(READ_BYTES);
            match self.read_more(read, context, Pause::Unlimited, None).await {
                ReadResult::Received | ReadResult::Recheck => {}
                ReadResult::TimedOut => return Err(UnknownReply::TimedOut),
                ReadResult::ConnectionLost => return Err(UnknownReply::Ambiguous),
            }
        }
    }
}

/// The reply to a command, where a repeated reply and others arrived before the guard's reply: the
/// only one that is new on the connection, or the repeated one if all are the same.
fn choose_reply(
    history: &ReplyHistory,
    repeated: Reply,
    later: Vec<Reply>,
) -> Result<Reply, UnknownReply> {
    let repeated_digest = repeated.digest();
    let are_same = later.iter().all(|reply| reply.digest() == repeated_digest);
    if are_same {
        return Ok(repeated);
    }
    let mut new = later
        .into_iter()
        .filter(|reply| !history.contains(reply.digest()));
    match (new.next(), new.next()) {
        (Some(reply), None) => Ok(reply),
        _ => Err(UnknownReply::Ambiguous),
    }
}
