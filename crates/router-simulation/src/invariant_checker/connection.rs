//! The state of each connection of a router: bytes in transit, decoded frames and expected answers.

use crate::executor::Time;
use crate::wire::FrameDecoder;
use std::collections::VecDeque;

/// The answer that a client expects next on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expected {
    Pong,
    /// The answer to the request of this id.
    Answer(u64),
    /// An error or the end of the connection, since the command is not valid.
    ErrorOrClose,
}

/// A command between the client and the router's machine.
struct CommandInTransit {
    /// The offset of its end in the bytes of the connection.
    end: usize,
    id: u64,
}

/// A client's connection to a router.
#[derive(Default)]
pub(super) struct ClientConnection {
    pub(super) router: usize,
    pub(super) commands: FrameDecoder,
    pub(super) answers: FrameDecoder,
    pub(super) expected: VecDeque<Expected>,
    in_transit: VecDeque<CommandInTransit>,
    bytes_written: usize,
    bytes_arrived: usize,
    answer_bytes_in_transit: usize,
    /// When the router last became able to write an answer. Time before that is not charged to the
    /// router.
    pub(super) writable_since: Time,
    /// Either end has begun to close it.
    pub(super) is_closing: bool,
    /// Its bytes could not be decoded, and it is not checked further.
    pub(super) is_malformed: bool,
}

impl ClientConnection {
    pub(super) fn new(router: usize) -> ClientConnection {
        ClientConnection {
            router,
            ..ClientConnection::default()
        }
    }

    /// Takes in bytes of a client. Returns false if they are no longer decoded.
    pub(super) fn client_wrote(&mut self, now: Time, bytes: &[u8]) -> bool {
        self.bytes_written += bytes.len();
        if !self.is_malformed {
            self.commands.feed(now, bytes);
        }
        !self.is_malformed
    }

    /// Records that the command of a request is complete and in transit.
    pub(super) fn command_written(&mut self, id: u64) {
        let end = self.bytes_written - self.commands.buffered_bytes();
        self.in_transit.push_back(CommandInTransit { end, id });
    }

    /// Records that bytes of the client arrive at the router's machine. Returns the requests that
    /// are complete there with them.
    pub(super) fn commands_arrived(&mut self, count: usize) -> Vec<u64> {
        self.bytes_arrived += count;
        let mut arrived = Vec::new();
        while let Some(command) = self.in_transit.front()
            && command.end <= self.bytes_arrived
        {
            arrived.push(command.id);
            self.in_transit.pop_front();
        }
        arrived
    }

    /// Takes in bytes of answers that the router writes.
    pub(super) fn router_wrote(&mut self, now: Time, bytes: &[u8]) {
        self.answer_bytes_in_transit += bytes.len();
        self.answers.feed(now, bytes);
    }

    /// Records that bytes of answers arrive at the client's machine.
    pub(super) fn answers_arrived(&mut self, now: Time, count: usize, window: usize) {
        if self.is_window_full(window) {
            self.writable_since = now;
        }
        self.answer_bytes_in_transit = self.answer_bytes_in_transit.saturating_sub(count);
    }

    fn is_window_full(&self, window: usize) -> bool {
        self.answer_bytes_in_transit >= window / 2
    }

    /// Tells whether an answer has to wait for earlier answers or for a client that reads slowly.
    pub(super) fn delays_answer(&self, id: u64, window: usize) -> bool {
        let waits_for_earlier = self
            .expected
            .front()
            .is_some_and(|&first| first != Expected::Answer(id));
        self.answers.buffered_bytes() > 0 || self.is_window_full(window) || waits_for_earlier
    }

    /// Returns the requests without a complete answer, in the order in which they are answered.
    pub(super) fn expected_answers(&self) -> Vec<u64> {
        let answers = self.expected.iter().filter_map(|expected| match expected {
            Expected::Answer(id) => Some(*id),
            Expected::Pong | Expected::ErrorOrClose => None,
        });
        answers.collect()
    }
}

/// A router's connection to a cache server.
#[derive(Default)]
pub(super) struct ServerConnection {
    pub(super) router: usize,
    pub(super) server: usize,
    pub(super) commands: FrameDecoder,
    pub(super) replies: FrameDecoder,
    /// Bytes that the server has written and that have not arrived at the router's machine.
    pub(super) in_transit: VecDeque<u8>,
    /// The request that waits for a reply.
    pub(super) current: Option<u64>,
    /// The server's bytes could not be decoded.
    pub(super) is_malformed: bool,
}

impl ServerConnection {
    pub(super) fn new(router: usize, server: usize) -> ServerConnection {
        ServerConnection {
            router,
            server,
            ..ServerConnection::default()
        }
    }
}

/// A router's watch at discovery.
#[derive(Default)]
pub(super) struct DiscoveryConnection {
    pub(super) router: usize,
    /// Bytes that discovery has written and that have not arrived at the router's machine.
    pub(super) in_transit: VecDeque<u8>,
    buffer: Vec<u8>,
}

impl DiscoveryConnection {
    pub(super) fn new(router: usize) -> DiscoveryConnection {
        DiscoveryConnection {
            router,
            ..DiscoveryConnection::default()
        }
    }

    /// Records that bytes arrive at the router's machine. Returns the lines of JSON that are
    /// complete there with them.
    pub(super) fn lines_arrived(&mut self, count: usize) -> Vec<String> {
        self.buffer
            .extend(take_arrived(&mut self.in_transit, count));
        let mut lines = Vec::new();
        while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if line.first() == Some(&b'{') {
                lines.extend(String::from_utf8(line));
            }
        }
        lines
    }
}

/// Removes the first bytes from those in transit.
pub(super) fn take_arrived(in_transit: &mut VecDeque<u8>, count: usize) -> Vec<u8> {
    in_transit.drain(..count.min(in_transit.len())).collect()
}

/// A connection, by the roles of its two ends.
pub(super) enum Connection {
    Client(ClientConnection),
    Server(ServerConnection),
    Discovery(DiscoveryConnection),
    Other,
}
