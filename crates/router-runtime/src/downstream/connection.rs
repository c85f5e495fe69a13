//! Serves one client connection: reads and handles commands until it ends or is handed over.

use super::IdleConnection;
use super::client::Client;
use super::close_log::CloseReason;
use super::command_input::CommandInput;
use super::commands::error_line;
use super::connections::{CAPACITY_RETRY_INTERVAL, ClientConnections};
use super::read_plan::{ReadEnd, ReadPlan};
use super::responses::{PendingResponse, QueuedResponse};
use crate::environment::{Environment, ReadStream, Stream};
use crate::memory_budget::MemoryReservation;
use crate::resp::RespError;
use bytes::{Bytes, BytesMut};
use std::future::poll_fn;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;
use tokio::io::AsyncRead;
use tokio::sync::mpsc;

/// How many commands on one connection may wait for their responses; further ones stay unread.
const MAX_PIPELINED_COMMANDS: usize = 64;

/// A connection from which no more is read.
struct ServedConnection<S> {
    stream: S,
    end: ReadEnd,
}

impl<E: Environment> ClientConnections<E> {
    /// Serves a connection until it has ended or is handed over.
    pub(super) async fn serve(
        &self,
        mut idle_connection: IdleConnection<E::Stream>,
        client: &Rc<Client>,
    ) {
        loop {
            let IdleConnection { stream, unread, .. } = idle_connection;
            let ServedConnection { stream, end } =
                self.serve_until_idle(stream, unread, client).await;
            let unread = match end {
                ReadEnd::Disconnected => return,
                ReadEnd::Close => return self.close(stream, client).await,
                ReadEnd::CloseAfterDiscard => {
                    return self.close_after_discard(stream, client).await;
                }
                ReadEnd::Shutdown => return self.close_unread(stream).await,
                ReadEnd::HandOver(unread) => unread,
            };
            match self.hand_over(IdleConnection {
                stream,
                unread,
                has_sent_command: client.has_sent_command.get(),
            }) {
                Ok(()) => return,
                Err(back) => idle_connection = back,
            }
            // The successor has just ended, and the lifecycle of this process is about to reflect
            // it.
            self.environment.sleep(CAPACITY_RETRY_INTERVAL).await;
        }
    }

    /// Reads commands and writes responses concurrently, until reading ends and the pending
    /// responses are written.
    async fn serve_until_idle(
        &self,
        mut stream: E::Stream,
        unread: Vec<Bytes>,
        client: &Rc<Client>,
    ) -> ServedConnection<E::Stream> {
        if stream.set_nodelay().is_err() {
            let end = ReadEnd::Disconnected;
            return ServedConnection { stream, end };
        }
        let end = {
            let (mut reader, writer) = stream.split();
            let (pending, responses) = mpsc::channel(MAX_PIPELINED_COMMANDS);
            let writing = self.write_responses(writer, responses, client);
            tokio::pin!(writing);
            let end = tokio::select! {
                biased;
                // A client that has disconnected gets no responses.
                end = self.read_commands(&mut reader, unread, pending, client) => end,
                // The client has stopped reading, or an answer broke off.
                end = &mut writing => {
                    if let Err(reason) = end {
                        self.log_close(reason, client, 0);
                    }
                    ReadEnd::Disconnected
                }
            };
            if !matches!(end, ReadEnd::Disconnected) {
                tokio::select! {
                    biased;
                    _ = &mut writing => {}
                    () = self.disconnected(&reader) => {
                        // The client may still read an error reply, but waits for no requests.
                        self.abandon_requests(client);
                        let _ = writing.await;
                    }
                }
            }
            end
        };
        ServedConnection { stream, end }
    }

    /// Reads commands until reading ends.
    async fn read_commands(
        &self,
        stream: &mut <E::Stream as Stream>::Reader<'_>,
        unread: Vec<Bytes>,
        pending: mpsc::Sender<QueuedResponse>,
        client: &Rc<Client>,
    ) -> ReadEnd {
        let mut input = CommandInput::new(unread, &self.config.memory.writes);
        loop {
            let taken = self
                .handle_received_commands(stream, &mut input, &pending, client)
                .await;
            if let ControlFlow::Break(end) = taken {
                return end;
            }
            let plan = match self.plan_read(stream, &mut input, client) {
                ControlFlow::Continue(plan) => plan,
                ControlFlow::Break(end) => {
                    if matches!(end, ReadEnd::Shutdown | ReadEnd::CloseAfterDiscard) {
                        self.reject_received_commands(&mut input, &pending, client)
                            .await;
                    }
                    return end;
                }
            };
            let read = self.read_more(stream, &mut input, plan, client).await;
            if let ControlFlow::Break(end) = read {
                return end;
            }
        }
    }

    /// Handles the commands that have arrived completely, as long as the client's next one may be
    /// read.
    async fn handle_received_commands(
        &self,
        stream: &<E::Stream as Stream>::Reader<'_>,
        input: &mut CommandInput,
        pending: &mpsc::Sender<QueuedResponse>,
        client: &Rc<Client>,
    ) -> ControlFlow<ReadEnd> {
        while self.may_read_command(client) && self.may_begin_request(input, client) {
            let mut command_bytes = 0;
            let waiting_bytes = input.buffer.len();
            let frame = input.next_command();
            let handled_bytes = waiting_bytes.saturating_sub(input.buffer.len());
            let now = self.environment.now();
            let paused_for = input.arrivals.record_handled(now, handled_bytes);
            if let Ok(Some(frame)) = &frame {
                command_bytes = frame.head_bytes();
            }
            let charge = Rc::new(self.config.memory.requests.charge(command_bytes));
            let response = match frame {
                Ok(Some(arguments)) => {
                    let mut wait = input.complete_wait(now);
                    wait.waited_for = wait.waited_for.max(paused_for);
                    // The end of the stream comes after the command, and may only be seen now.
                    if wait.is_long_write() && stream.has_peer_closed() {
                        return ControlFlow::Break(ReadEnd::Disconnected);
                    }
                    self.handle_command(arguments, client, wait, &charge)
                }
                Ok(None) => break,
                Err(error) => PendingResponse::Last(protocol_error(&error)),
            };
            client.has_sent_command.set(true);
            client.is_discarding_value.set(false);
            client.command_began_at.set(None);
            client.has_unparsed_input.set(!input.is_empty());
            input.value_progress_at = None;
            client
                .pending_responses
                .set(client.pending_responses.get() + 1);
            let is_last = matches!(response, PendingResponse::Last(_));
            let response = QueuedResponse { response, charge };
            tokio::select! {
                biased;
                sent = pending.send(response) => if sent.is_err() {
                    return ControlFlow::Break(ReadEnd::Disconnected);
                },
                () = self.disconnected(stream) => return ControlFlow::Break(ReadEnd::Disconnected),
            }
            if is_last {
                self.log_close(CloseReason::MalformedCommand, client, input.buffer.len());
                client.is_closing.set(true);
                return ControlFlow::Break(ReadEnd::CloseAfterDiscard);
            }
        }
        ControlFlow::Continue(())
    }

    /// Rejects the commands that have been read and not begun, as no more are: a client sends again what
    /// was not read, but waits for the answers to what was.
    async fn reject_received_commands(
        &self,
        input: &mut CommandInput,
        pending: &mpsc::Sender<QueuedResponse>,
        client: &Client,
    ) {
        while let Ok(Some(frame)) = input.next_command() {
            let charge = Rc::new(self.config.memory.requests.charge(frame.head_bytes()));
            let response = PendingResponse::Ready(Bytes::from_static(b"-BUSY\r\n"));
            client
                .pending_responses
                .set(client.pending_responses.get() + 1);
            if pending
                .send(QueuedResponse { response, charge })
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Reads more of the next command, or waits for an event that ends or changes the plan. Reading
    /// takes precedence: a command that has arrived is served even if the connection is about to be
    /// closed.
    async fn read_more(
        &self,
        stream: &mut <E::Stream as Stream>::Reader<'_>,
        input: &mut CommandInput,
        plan: ReadPlan,
        client: &Client,
    ) -> ControlFlow<ReadEnd> {
        let has_memory = plan.has_memory;
        let holds_memory = input.memory.is_some();
        let has_early_end = plan.early_end.is_some();
        let has_deadline = plan.deadline.is_some();
        let deadline = plan.deadline.unwrap_or_else(|| self.environment.now());
        let must_recheck = plan.recheck_at.is_some();
        let recheck_at = plan.recheck_at.unwrap_or(deadline);
        let began_at = self.environment.now();
        let memory = input.memory.as_ref();
        let read = async {
            if plan.may_read && has_memory {
                let limit = input.reader.next_read_bytes(&input.buffer);
                let buffer = &mut input.buffer;
                return self
                    .read_permitted(stream, buffer, limit, client, memory)
                    .await;
            }
            self.disconnected(stream).await;
            ReadResult::Ended
        };
        tokio::select! {
            biased;
            read = read => match read {
                ReadResult::Received(count) => self.record_read(input, count, began_at, client),
                ReadResult::OutOfMemory => {}
                ReadResult::Ended => return ControlFlow::Break(ReadEnd::Disconnected),
            },
            end = std::future::ready(plan.early_end), if has_early_end => {
                return ControlFlow::Break(end.unwrap_or(ReadEnd::Close));
            }
            () = self.environment.sleep_until(deadline), if has_deadline => {
                return ControlFlow::Break(ReadEnd::Close);
            }
            () = self.environment.sleep_until(recheck_at), if must_recheck => {}
            () = client.changed.notified() => {}
            () = self.config.memory.writes.freed(), if !has_memory => {}
            () = self.config.memory.writes.revoked(), if holds_memory => {}
        }
        ControlFlow::Continue(())
    }

    /// Reads at most `limit` bytes of what has arrived, but nothing while an answer is streamed: the
    /// connection may end with the answer, and the client resends what was not read. `memory` is that
    /// of a long write.
    async fn read_permitted(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
        limit: usize,
        client: &Client,
        memory: Option<&MemoryReservation>,
    ) -> ReadResult {
        poll_fn(|cx| {
            if client.is_streaming.get() {
                // Polled again after the stream, as its end notifies `Client::changed`.
                return Poll::Pending;
            }
            // Many clients may have waited since there was room for each of them.
            if memory.is_some_and(|memory| !memory.may_read_more()) {
                return Poll::Ready(ReadResult::OutOfMemory);
            }
            let read = self.read_buffer.poll_read(cx, stream, buffer, limit);
            read.map(|read| match read {
                Ok(count) if count > 0 => ReadResult::Received(count),
                _ => ReadResult::Ended,
            })
        })
        .await
    }

    fn record_read(
        &self,
        input: &mut CommandInput,
        count: usize,
        began_at: Instant,
        client: &Client,
    ) {
        let now = self.environment.now();
        if let Some(wait) = &mut input.memory_wait {
            wait.record_read(now.saturating_duration_since(began_at));
        }
        if let Some(memory) = &mut input.memory {
            memory.add(count);
        }
        if input.value_progress_at.is_some() {
            input.value_progress_at = Some(now);
        }
        if client.has_sent_command.get() {
            client.last_used_at.set(now);
        }
    }
}

/// Result of a wait for input.
enum ReadResult {
    /// This many bytes were read.
    Received(usize),
    /// Bytes have arrived, but other values have used up the memory during the wait.
    OutOfMemory,
    /// The stream has ended or failed.
    Ended,
}

/// The last response on a connection whose input is not a valid command.
fn protocol_error(error: &RespError) -> Bytes {
    error_line(match error {
        RespError::TooLarge => "ERR command too large",
        RespError::Malformed => "ERR protocol error",
    })
}
