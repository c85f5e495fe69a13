//! Decides whether and for how long a client connection is read, from the state of the connection
//! and of the process.

use super::client::{COMMAND_TIMEOUT, Client};
use super::close::OUTPUT_CHECK_INTERVAL;
use super::command_input::CommandInput;
use super::connections::ClientConnections;
use super::responses::WRITE_STALL_TIMEOUT;
use crate::clock::to_duration;
use crate::environment::{Environment, ReadStream};
use crate::memory_budget::PressureEvent;
use crate::mutation::hooks;
use bytes::{Bytes, BytesMut};
use process_lifecycle::{FIRST_COMMAND_GRACE, IdleConnectionPolicy};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

/// A client that sends no command for this long is closed, as many clients never close unused
/// connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a command, without a write's value, may take to arrive: clients are allowed 2 s, and
/// the network adds delays.
const COMMAND_HEAD_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The longest pause while a write's value arrives.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why reading from a client connection ends.
pub(super) enum ReadEnd {
    /// The client has disconnected.
    Disconnected,
    /// The connection is closed once its pending responses are written.
    Close,
    /// Like `Close`, but further input is discarded before the connection is closed, as the client
    /// may still be sending: after an error, or while the router is drained.
    CloseAfterDiscard,
    /// Like `Close`, as the process ends; further input stays unread.
    Shutdown,
    /// The connection is idle and is handed over to the successor, with the bytes read of an
    /// incomplete command.
    HandOver(Vec<Bytes>),
}

/// How the next bytes are read.
pub(super) struct ReadPlan {
    /// Whether the client's next command may be read.
    pub may_read: bool,
    /// Whether the write memory has room for more of the command.
    pub has_memory: bool,
    /// How reading ends unless bytes have already arrived.
    pub early_end: Option<ReadEnd>,
    /// When the connection is closed unless further bytes arrive.
    pub deadline: Option<Instant>,
    /// When to decide again, because the client has not taken all of its responses yet, or because
    /// the command waits for memory.
    pub recheck_at: Option<Instant>,
}

impl<E: Environment> ClientConnections<E> {
    /// Whether the client's next command may be read. While the router is drained, this holds for a
    /// command that has begun, and for one that arrives while no response is pending; a client that
    /// never becomes idle is refused after a while.
    pub(super) fn may_read_command(&self, client: &Client) -> bool {
        if self.is_shutting_down() {
            return false;
        }
        if client.is_discarding_value.get() {
            // The value cannot be handed over, and the command has to be answered.
            return true;
        }
        let lifecycle = self.lifecycle();
        if lifecycle.hands_over_connections() || !lifecycle.is_drained() {
            client.is_closing_for_drain.set(false);
            return !lifecycle.hands_over_connections();
        }
        let may_finish = !client.has_pending_responses() || client.has_begun_command();
        let must_close = !may_finish && !lifecycle.may_read_more(self.config.requests.now());
        client
            .is_closing_for_drain
            .set(client.is_closing_for_drain.get() || must_close);
        !client.is_closing_for_drain.get()
    }

    /// Whether there is memory for the client's next command. It waits while the client does not take
    /// the answers that it has, and while its earlier requests use its share of the memory.
    pub(super) fn may_begin_request(&self, input: &CommandInput, client: &Client) -> bool {
        if input.reader.is_in_value() || !client.has_pending_responses() {
            client.is_paused.set(false);
            return true;
        }
        let requests = &self.config.memory.requests;
        let may_begin =
            !client.is_output_blocked.get() && requests.may_begin(client.pending_responses.get());
        if !may_begin && !client.is_paused.get() {
            self.config
                .memory
                .pressure
                .record(PressureEvent::CommandPaused);
        }
        client.is_paused.set(!may_begin);
        may_begin
    }

    /// Decides how the next bytes are read, or that reading ends.
    pub(super) fn plan_read(
        &self,
        stream: &impl ReadStream,
        input: &mut CommandInput,
        client: &Client,
    ) -> ControlFlow<ReadEnd, ReadPlan> {
        client.has_unparsed_input.set(!input.is_empty());
        if input.buffer.is_empty() {
            // Releases the buffer, so that an idle client does not keep one of the size of its last
            // command.
            input.buffer = BytesMut::new();
        } else if !client.has_begun_command() {
            client.command_began_at.set(Some(self.environment.now()));
        }
        if self.is_shutting_down() {
            return ControlFlow::Break(ReadEnd::Shutdown);
        }
        let policy = self.lifecycle().idle_connection_policy();
        let has_pending = client.has_pending_responses();
        let may_begin = self.may_begin_request(input, client);
        if !may_begin || client.is_streaming.get() {
            let now = self.environment.now();
            let waiting_bytes = input.buffer.len() + stream.unread_bytes();
            input.arrivals.record_pause(now, waiting_bytes);
            if client.has_begun_command() {
                // Its time to arrive does not run while it is not read.
                client.command_began_at.set(Some(now));
            }
        }
        let may_read = self.may_read_command(client) && may_begin && !client.is_streaming.get();
        let can_hand_over = !has_pending && !input.reader.is_discarding_value();
        if policy == IdleConnectionPolicy::HandOver && can_hand_over {
            return ControlFlow::Break(ReadEnd::HandOver(input.take_unread()));
        }
        let early_end = early_end(input, policy, client);
        let is_refused = client.is_closing_for_drain.get() && !has_pending;
        let is_receiving = (is_refused || early_end.is_some()) && self.defers_close(stream, client);
        if is_refused && !is_receiving {
            // The client sends the rest of its pipeline again.
            return ControlFlow::Break(ReadEnd::CloseAfterDiscard);
        }
        let reserved = self.reserve(stream, input, client);
        let has_memory = reserved.is_ok();
        if input.reader.is_in_value() && input.value_progress_at.is_none() {
            input.value_progress_at = Some(self.environment.now());
        }
        let deadline = if may_read && has_memory {
            self.read_deadline(input, policy, client)
        } else {
            None
        };
        let recheck_at = is_receiving.then(|| self.environment.now() + OUTPUT_CHECK_INTERVAL);
        ControlFlow::Continue(ReadPlan {
            may_read,
            has_memory,
            early_end: early_end.filter(|_| !is_receiving),
            deadline,
            recheck_at: recheck_at.into_iter().chain(reserved.err()).min(),
        })
    }

    /// Whether a connection that is to be closed stays open until its client has taken all of its
    /// responses. A client that has been slow for too long is evicted nevertheless.
    fn defers_close(&self, stream: &impl ReadStream, client: &Client) -> bool {
        let has_unsent_output = stream.has_unsent_output();
        client.has_unsent_output.set(has_unsent_output);
        let last_used_at = client.last_used_at.get();
        let unused_for = self
            .environment
            .now()
            .saturating_duration_since(last_used_at);
        if !has_unsent_output || client.is_evicted.get() && unused_for >= WRITE_STALL_TIMEOUT {
            return false;
        }
        // Another client makes room.
        client.is_evicted.set(false);
        true
    }

    /// When a client that sends nothing more is closed; `None` while pending responses keep its
    /// connection open.
    fn read_deadline(
        &self,
        input: &CommandInput,
        policy: IdleConnectionPolicy,
        client: &Client,
    ) -> Option<Instant> {
        let last_used_at = client.last_used_at.get();
        if let Some(began_at) = client.command_began_at.get() {
            let value_deadline = input.value_progress_at.map(|at| at + VALUE_STALL_TIMEOUT);
            return Some(value_deadline.unwrap_or(began_at + COMMAND_HEAD_TIMEOUT));
        }
        if awaits_first_command(policy, client) {
            return Some(last_used_at + to_duration(FIRST_COMMAND_GRACE));
        }
        if !client.has_sent_command.get() {
            return Some(last_used_at + COMMAND_TIMEOUT);
        }
        (!client.has_pending_responses()).then(|| last_used_at + IDLE_TIMEOUT)
    }
}

/// How reading ends unless bytes of a command have already arrived.
fn early_end(
    input: &CommandInput,
    policy: IdleConnectionPolicy,
    client: &Client,
) -> Option<ReadEnd> {
    let is_kept = matches!(
        policy,
        IdleConnectionPolicy::Keep | IdleConnectionPolicy::HandOver
    );
    let is_closing = client.is_closing.get() || !is_kept;
    let may_close = is_closing
        && !awaits_first_command(policy, client)
        && !client.has_pending_responses()
        && input.is_empty();
    let must_close = may_close || client.is_evicted.get();
    hooks::read_end(
        must_close.then_some(ReadEnd::Close),
        is_closing,
        client.pending_responses.get(),
        ReadEnd::Disconnected,
    )
}

/// Whether the first command of a client is still waited for while connections are being closed.
fn awaits_first_command(policy: IdleConnectionPolicy, client: &Client) -> bool {
    !client.has_sent_command.get() && policy == IdleConnectionPolicy::Close
}
