//! What is said on one client's connection: commands in, and answers out in the order of the commands.

use super::{COMMAND_LIMIT, Client, Clients};
use crate::clock::duration;
use crate::environment::{Environment, ReadStream, Stream};
use crate::metrics::{End as Fate, RouterMetrics};
use crate::mutation::hooks;
use crate::request::{BodyPiece, ClientRequest, Response, SubmittedRequest};
use crate::resp::{Command, CommandReader, READ_SIZE, RespError};
use crate::write_memory_budget::Large;
use bytes::{Bytes, BytesMut};
use load_balancer::*;
use md5::{Digest, Md5};
use process_lifecycle::{IdleConnectionPolicy, NEWCOMER};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};

/// How often a client that is not read on is looked at: whether it has left.
const DEPARTED_ROUND: Duration = Duration::from_millis(40);
/// Commands on one connection that wait for their answers; past this its next ones stay unread.
const PIPELINE: usize = 64;
/// One that asks nothing more for this long may come anew; many never do and keep their connection for good.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// After an error that ends a connection: how much is read on and for how long, so that the error is not lost with
/// what the client still sends.
const DRAIN_BYTES: usize = 256 * 1024;
const DRAIN_LIMIT: Duration = Duration::from_millis(500);
/// Commands that are not for a router, as libraries send them at the start, before a connection is closed for them.
const UNKNOWN_COMMANDS: u32 = 8;
/// A command's head, all but a write's value, may take this long: clients are allowed 2 s, and pieces come late.
const HEAD_LIMIT: Duration = Duration::from_millis(3_000);
/// A write's value may take as long as its client likes, but never so long without a byte.
const VALUE_PAUSE: Duration = Duration::from_secs(10);
/// Of a long value, what is read at a time: what one client sends in one go is not held past the budget.
const READ_MOST: usize = 64 * 1024;
/// A client that takes none of its answer for this long is given up: slow ones pause for seconds.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

enum Owed {
    Now(Bytes),
    /// After this one the connection ends: what follows can't be told apart, or is not worth reading.
    Last(Bytes),
    Later(Asked, oneshot::Receiver<Response>, Option<Large>),
}

/// A request that was taken. Dropped before it has ended, its client has gone.
struct Asked {
    id: RequestId,
    class: ClassId,
    metrics: Rc<RouterMetrics>,
    fate: Option<Fate>,
}

impl Drop for Asked {
    fn drop(&mut self) {
        self.metrics.ended(self.class.0, self.fate);
    }
}

/// Why no more is read from a client.
pub(super) enum End {
    /// It has left.
    Left,
    /// What is owed is to go out, and then the connection is closed.
    Done,
    /// The same, and the client may still be sending what will not be read.
    Error,
    /// The same, and the process ends.
    Finished,
    /// At rest, with what was read of a command that is not whole yet: for the successor.
    Rests(BytesMut),
}

impl<E: Environment> Clients<E> {
    pub(super) async fn serve_until_rest(
        &self,
        mut stream: E::Stream,
        unread: BytesMut,
        client: &Client,
    ) -> (E::Stream, End) {
        if stream.set_nodelay().is_err() {
            return (stream, End::Left);
        }
        let end = {
            let (mut reader, writer) = stream.split();
            let (owed, answers) = mpsc::channel(PIPELINE);
            let writing = self.write_answers(writer, answers, client);
            tokio::pin!(writing);
            let end = tokio::select! {
                biased;
                // What it waited for is not owed if it has left.
                end = self.read_commands(&mut reader, unread, owed, client) => end,
                // It takes no answers.
                () = &mut writing => End::Left,
            };
            if !matches!(end, End::Left) {
                tokio::select! {
                    biased;
                    () = &mut writing => {}
                    () = self.departed(&reader) => {
                        // It may still read what it did wrong, but waits for nothing.
                        client.waiting.take().into_iter().for_each(|id| self.requests.client_disconnected(id));
                        writing.await;
                    }
                }
            }
            end
        };
        (stream, end)
    }

    /// Reads commands until no more are to be read.
    async fn read_commands(
        &self,
        stream: &mut <E::Stream as Stream>::Reader<'_>,
        mut buffer: BytesMut,
        owed: mpsc::Sender<Owed>,
        client: &Client,
    ) -> End {
        let mut reader = CommandReader::default();
        let mut large: Option<Large> = None;
        // When the last byte of a write's value came.
        let mut progress: Option<Instant> = None;
        loop {
            // One that is to come to rest takes no further command, but the rest of one that has begun.
            while self.may_read_more(client) {
                let next = match reader.next(&mut buffer) {
                    Ok(Some(words)) => self.take(words, client, &mut large),
                    Ok(None) => break,
                    Err(RespError::TooLarge) => {
                        Owed::Last(Bytes::from_static(b"-ERR command too large\r\n"))
                    }
                    Err(RespError::Malformed) => {
                        Owed::Last(Bytes::from_static(b"-ERR protocol error\r\n"))
                    }
                };
                client.has_sent_command.set(true);
                client.begun.set(None);
                progress = None;
                client.owed.set(client.owed.get() + 1);
                let is_last = matches!(next, Owed::Last(_));
                tokio::select! {
                    biased;
                    sent = owed.send(next) => if sent.is_err() {
                        return End::Left;
                    },
                    () = self.departed(stream) => return End::Left,
                }
                if is_last {
                    client.closing.set(true);
                    return End::Error;
                }
            }
            if buffer.is_empty() {
                // An idle client holds no buffer of the size of its last command.
                buffer = BytesMut::new();
            } else if client.begun.get().is_none() {
                client.begun.set(Some(self.environment.now()));
            }
            if self.finishing.get() {
                return End::Finished;
            }
            let lifecycle = self.lifecycle.get();
            let (is_owed, may_read_more) = (client.owed.get() > 0, self.may_read_more(client));
            if lifecycle.idle_connection_policy() == IdleConnectionPolicy::HandOver && !is_owed {
                return End::Rests(buffer);
            }
            if client.stopped.get() && !is_owed {
                // Its client sends the rest of the pipeline anew.
                return End::Error;
            }
            let missing = reader.missing(&buffer);
            if missing > READ_SIZE && large.is_none() {
                large = Some(self.large.begin(buffer.len()));
            }
            buffer.reserve(READ_SIZE.max(missing));
            if reader.is_in_value() && progress.is_none() {
                progress = Some(self.environment.now());
            }
            let has_room = large.as_ref().is_none_or(Large::may_read);
            let is_new = !client.has_sent_command.get()
                && lifecycle.idle_connection_policy() == IdleConnectionPolicy::Close;
            let closes = client.closing.get()
                || !matches!(
                    lifecycle.idle_connection_policy(),
                    IdleConnectionPolicy::Keep | IdleConnectionPolicy::HandOver
                );
            let may_close = closes && !is_new && !is_owed && buffer.is_empty();
            let limit = match (client.begun.get(), client.has_sent_command.get()) {
                _ if !has_room || !may_read_more => None,
                (Some(begun), _) => {
                    Some(progress.map_or(begun + HEAD_LIMIT, |at| at + VALUE_PAUSE))
                }
                (None, false) if is_new => Some(client.used.get() + duration(NEWCOMER)),
                (None, false) => Some(client.used.get() + COMMAND_LIMIT),
                (None, true) => (client.owed.get() == 0).then(|| client.used.get() + IDLE_LIMIT),
            };
            let is_done = may_close || client.evicted.get();
            let early_end = hooks::early_end(
                is_done.then_some(End::Done),
                closes,
                client.owed.get(),
                End::Left,
            );
            let has_early_end = early_end.is_some();
            let reads = may_read_more && has_room;
            let look = async {
                if reads {
                    return (&mut *stream)
                        .take(READ_MOST as u64)
                        .read_buf(&mut buffer)
                        .await;
                }
                self.departed(stream).await;
                Ok(0)
            };
            tokio::select! {
                biased;
                // Reads first: a command that has arrived is served, also when the connection is to close.
                read = look => match read {
                    Ok(count) if count > 0 => {
                        large.iter_mut().for_each(|large| large.arrived(count));
                        progress = progress.map(|_| self.environment.now());
                        if client.has_sent_command.get() {
                            client.used.set(self.environment.now());
                        }
                    }
                    _ => return End::Left,
                },
                end = std::future::ready(early_end), if has_early_end => return end.unwrap_or(End::Done),
                () = self.environment.sleep_until(limit.unwrap_or_else(|| self.environment.now())), if limit.is_some() => return End::Done,
                () = client.changed.notified() => {}
                () = self.large.freed(), if !has_room => {}
            }
        }
    }

    /// Returns once the client has left, for where it is not read on. Guards against requests that are sent on for nobody,
    /// since the end stands behind commands that are not read yet.
    async fn departed(&self, stream: &impl ReadStream) {
        while !hooks::has_disconnected(stream.has_peer_closed()) {
            self.environment.sleep(DEPARTED_ROUND).await;
        }
    }

    /// Whether this client's next command is taken. While the router is drained a command that has begun is, and one
    /// that comes while nothing is owed; a client that is never at rest is stopped after a while.
    fn may_read_more(&self, client: &Client) -> bool {
        let lifecycle = self.lifecycle.get();
        if self.finishing.get() {
            return false;
        }
        if lifecycle.is_handed_over() || !lifecycle.is_drained() {
            client.stopped.set(false);
            return !lifecycle.is_handed_over();
        }
        let rests = client.owed.get() == 0 || client.begun.get().is_some();
        let stops = !rests && !lifecycle.may_read_more(self.requests.now());
        client.stopped.set(client.stopped.get() || stops);
        !client.stopped.get()
    }

    fn take(&self, words: Vec<Bytes>, client: &Client, large: &mut Option<Large>) -> Owed {
        let large = large.take();
        large.iter().for_each(Large::whole);
        let error = |text: &str| Bytes::from(format!("-{text}\r\n"));
        match &words[0].to_ascii_uppercase()[..] {
            b"C.GET" | b"C.SET" => {
                let ask = Command::new(words).and_then(|command| self.ask(command));
                match ask.map(|ask| (ask.class, self.requests.submit(ask))) {
                    Ok((class, Some(SubmittedRequest { id, response }))) => {
                        self.metrics.began();
                        let asked = Asked {
                            id,
                            class,
                            metrics: self.metrics.clone(),
                            fate: None,
                        };
                        client.waiting.borrow_mut().insert(id);
                        Owed::Later(asked, response, large)
                    }
                    Ok((_, None)) => Owed::Last(error("ERR a request of this id is open")),
                    Err(text) => Owed::Last(error(text)),
                }
            }
            b"PING" if self.lifecycle.get().reports_healthy() => {
                Owed::Now(Bytes::from_static(b"+PONG\r\n"))
            }
            b"PING" => Owed::Now(Bytes::from_static(b"-ERR drained\r\n")),
            b"CLIENT" | b"SELECT" => Owed::Now(Bytes::from_static(b"+OK\r\n")),
            _ => {
                client.unknown.set(client.unknown.get() + 1);
                let text = error("ERR unknown command");
                if !words[0].is_empty() && client.unknown.get() < UNKNOWN_COMMANDS {
                    Owed::Now(text)
                } else {
                    Owed::Last(text)
                }
            }
        }
    }

    fn ask(&self, command: Command) -> Result<ClientRequest, &'static str> {
        let among = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let class = command
            .field("c")
            .and_then(|name| among(&self.names.classes, name));
        let class = class.ok_or("ERR unknown class")?;
        // A client that says nothing, or more than its class allows, has the time of its class.
        let wait = match command.number("d").transpose()? {
            Some(0) => return Err("ERR no time left"),
            Some(millis) => Micros::from_millis(millis).min(self.classes[class].deadline),
            None => self.classes[class].deadline,
        };
        if matches!(self.classes[class].idempotency, Idempotency::Keyed { .. })
            && command.field("k").is_none()
        {
            return Err("ERR a keyed class wants k");
        }
        let cost_hint = command.number("h").transpose()?.map(Micros);
        Ok(ClientRequest {
            class: ClassId(class),
            tenant: command
                .field("t")
                .and_then(|name| among(&self.names.tenants, name))
                .map(TenantId),
            key: key_number(command.key()),
            wait,
            cost_hint,
            retry: command.field("r") == Some("1"),
            command,
        })
    }

    /// Writes answers in the order of the commands, each in one go.
    async fn write_answers(
        &self,
        mut writer: <E::Stream as Stream>::Writer<'_>,
        mut answers: mpsc::Receiver<Owed>,
        client: &Client,
    ) {
        while let Some(owed) = answers.recv().await {
            let bytes = match owed {
                Owed::Now(bytes) | Owed::Last(bytes) => bytes,
                Owed::Later(mut asked, answer, _large) => {
                    // The sender is never dropped without an answer; should it be, the client must not wait.
                    let answer = answer.await.unwrap_or(Response::Failed);
                    client.waiting.borrow_mut().remove(&asked.id);
                    let (fate, bytes) = match answer {
                        Response::Served(bytes) => (Fate::Passed, bytes),
                        Response::Rejected(Some(after)) => (
                            Fate::Dropped,
                            Bytes::from(format!("-BUSY {}\r\n", after.0.div_ceil(1_000))),
                        ),
                        Response::Rejected(None) => {
                            (Fate::Dropped, Bytes::from_static(b"-BUSY\r\n"))
                        }
                        Response::Failed => {
                            (Fate::BadGateway, Bytes::from_static(b"-ERR failed\r\n"))
                        }
                        Response::Streamed(mut pieces) => {
                            match self.write_long(&mut writer, &mut pieces).await {
                                Some(last) => (Fate::Passed, last),
                                // Its client tells by the connection's end that it is not whole.
                                None => return asked.fate = Some(Fate::BadGateway),
                            }
                        }
                    };
                    asked.fate = Some(fate);
                    bytes
                }
            };
            let bytes = hooks::response_bytes(bytes);
            if !self.write(&mut writer, &bytes).await {
                return;
            }
            client.owed.set(client.owed.get() - 1);
            client.used.set(self.environment.now());
            client.changed.notify_one();
        }
    }

    /// Writes all of it, at whatever pace the client takes it; false if it takes no more.
    async fn write(&self, writer: &mut <E::Stream as Stream>::Writer<'_>, bytes: &[u8]) -> bool {
        let mut written = 0;
        while written < bytes.len() {
            match self
                .environment
                .timeout(WRITE_LIMIT, writer.write(&bytes[written..]))
                .await
            {
                Ok(Ok(count)) if count > 0 => written += count,
                _ => return false,
            }
        }
        true
    }

    /// Writes a long value as it comes, but for its last piece, which is given back; none if it was broken off.
    async fn write_long(
        &self,
        writer: &mut <E::Stream as Stream>::Writer<'_>,
        pieces: &mut mpsc::Receiver<BodyPiece>,
    ) -> Option<Bytes> {
        loop {
            match pieces.recv().await? {
                BodyPiece::Last(bytes) => return Some(bytes),
                BodyPiece::More(bytes) if self.write(writer, &bytes).await => {}
                BodyPiece::More(_) => return None,
            }
        }
    }

    /// Ends sending, and leaves the client time to read that. What it still sends is not read, so that it may send it anew
    /// elsewhere.
    pub(super) async fn part(&self, mut stream: E::Stream) {
        if stream.shutdown().await.is_ok() {
            let _ = self
                .environment
                .timeout(DRAIN_LIMIT, self.departed(&stream.split().0))
                .await;
        }
    }

    /// Ends sending and reads on for a moment. Closed with bytes unread, a connection is reset, and what was last written
    /// to it may be lost with that.
    pub(super) async fn drain(&self, mut stream: E::Stream) {
        let all = async {
            let (mut left, mut bytes) = (DRAIN_BYTES, [0; READ_SIZE]);
            stream.shutdown().await?;
            while let count @ 1.. = stream.read(&mut bytes).await? {
                left = left.saturating_sub(count);
                if left == 0 {
                    break;
                }
            }
            io::Result::Ok(())
        };
        // However it ends, the connection is closed now.
        let _ = self.environment.timeout(DRAIN_LIMIT, all).await;
    }
}

/// A key as a number: its hex digits, or what its digest begins with; the same at every router.
fn key_number(key: &[u8]) -> u64 {
    let digits = std::str::from_utf8(key)
        .ok()
        .filter(|text| text.len() == 16);
    let number = digits.and_then(|text| u64::from_str_radix(text, 16).ok());
    number.unwrap_or_else(|| u128::from_be_bytes(Md5::digest(key).into()) as u64)
}
