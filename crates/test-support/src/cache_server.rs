//! A fake cache server that records the commands it receives and replies as the test configures it.

use crate::discovery::endpoint_entry;
use crate::resp::{arguments, read_frame, value_reply};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What a cache server does with a command.
#[derive(Clone)]
pub enum Behavior {
    /// Replies with the server's name as the value.
    Serve,
    /// Replies with these bytes.
    Reply(Vec<u8>),
    /// Replies with these bytes after this many milliseconds.
    ReplyAfter(u64, Vec<u8>),
    /// Replies with these bytes and closes the connection.
    ReplyAndClose(Vec<u8>),
    /// Replies with the first bytes and, this many milliseconds later, with the second ones.
    ReplyInTwoParts(Vec<u8>, u64, Vec<u8>),
    /// Replies with the first bytes at once, and then with pieces of the rest.
    ReplyInPieces(PacedReply),
    /// Replies with the first bytes, and repeats the second ones until the connection is closed.
    ReplyEndlessly(Vec<u8>, Vec<u8>),
    /// Serves, and delays the reply to the first command of each connection by this many
    /// milliseconds to simulate a slow handshake.
    ServeSlowlyOnNewConnection(u64),
    /// Serves the first command of each connection, and closes the connection at the second command
    /// without a reply.
    CloseOnReuse,
    /// Replies with the request's id as the value. The next command on the connection first gets the
    /// same reply once more, as if that had been late, and its own reply after this many
    /// milliseconds.
    RepeatBeforeNextReply(u64, RepeatedReply),
    /// Never replies.
    StaySilent,
    /// Serves after [`CacheServer::open_gate`] is called.
    ServeOnceGateOpens,
}

/// A reply that a slow server writes.
#[derive(Clone, Debug)]
pub struct PacedReply {
    /// The whole reply.
    pub bytes: Vec<u8>,
    /// How many bytes are written at once.
    pub first_bytes: usize,
    /// How long the server pauses after them.
    pub first_pause: Duration,
    /// The size of the further pieces, in bytes.
    pub piece_bytes: usize,
    /// How long the server pauses after each of them.
    pub interval: Duration,
}

impl PacedReply {
    /// Writes the reply; returns whether all of it was written.
    fn write(&self, writer: &mut TcpStream) -> bool {
        let (first, rest) = self.bytes.split_at(self.first_bytes);
        if writer.write_all(first).is_err() {
            return false;
        }
        thread::sleep(self.first_pause);
        rest.chunks(self.piece_bytes).all(|piece| {
            let written = writer.write_all(piece);
            thread::sleep(self.interval);
            written.is_ok()
        })
    }
}

/// The reply that [`Behavior::RepeatBeforeNextReply`] repeats, and what it gives the next command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedReply {
    /// A value is repeated, and the next command is turned away.
    ValueBeforeBusy,
    /// A long value is repeated, and the next command is turned away.
    LongValueBeforeBusy,
    /// `-BUSY` is repeated, and the next command runs.
    BusyBeforeValue,
    /// `-ERR failed` is repeated, and the next command runs.
    ErrorBeforeValue,
}

/// A received command and its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedCommand {
    /// Number of the connection, counted from 1.
    pub connection: usize,
    /// Arguments of the command; the first one is its name.
    pub arguments: Vec<String>,
}

/// Numbers of connections at a cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that were accepted.
    pub accepted: usize,
    /// Accepted connections that have been closed.
    pub closed: usize,
}

#[derive(Default)]
struct State {
    commands: Vec<RecordedCommand>,
    accepted: usize,
    closed: usize,
    behaviors_by_key: HashMap<String, Behavior>,
    default_behavior: Option<Behavior>,
    two_part_reply_durations: Vec<Duration>,
    is_gate_open: bool,
    streams: Vec<TcpStream>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    gate_opened: Condvar,
}

/// A fake cache server. Clones share the same server.
#[derive(Clone)]
pub struct CacheServer {
    /// The server's id in the endpoint list.
    pub name: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl CacheServer {
    /// Starts a cache server on an ephemeral port.
    pub fn start(name: &str) -> CacheServer {
        CacheServer::start_on(
            name,
            TcpListener::bind("127.0.0.1:0").expect("failed to bind an ephemeral port"),
        )
    }

    /// Starts a cache server on an existing listener.
    pub fn start_on(name: &str, listener: TcpListener) -> CacheServer {
        let addr = listener
            .local_addr()
            .expect("failed to read the local address");
        let server = CacheServer {
            name: name.to_string(),
            addr,
            shared: Arc::default(),
        };
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let server = acceptor.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream) {
        let connection = self.record_connection(&stream);
        let mut reader = BufReader::new(stream.try_clone().expect("failed to clone the socket"));
        let mut writer = stream;
        let mut is_first_command = true;
        let mut repeated = Vec::new();
        while let Some(frame) = read_frame(&mut reader) {
            let arguments = arguments(&frame);
            if arguments[0] == "SELECT" {
                if writer.write_all(b"+OK\r\n").is_err() {
                    break;
                }
                continue;
            }
            let id = arguments.get(2).cloned().unwrap_or_default();
            let behavior = self.record_command(connection, arguments);
            if matches!(behavior, Behavior::StaySilent) {
                continue;
            }
            if let Behavior::RepeatBeforeNextReply(millis, reply) = behavior {
                reply_with_repeat(&mut writer, &id, millis, reply, &mut repeated);
                continue;
            }
            let stays_open = self.reply(&mut writer, behavior, is_first_command);
            is_first_command = false;
            if !stays_open {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.state().closed += 1;
    }

    fn record_connection(&self, stream: &TcpStream) -> usize {
        let mut state = self.state();
        state.accepted += 1;
        state
            .streams
            .push(stream.try_clone().expect("failed to clone the socket"));
        state.accepted
    }

    fn record_command(&self, connection: usize, arguments: Vec<String>) -> Behavior {
        let mut state = self.state();
        let behavior = state
            .behaviors_by_key
            .get(&arguments[1])
            .cloned()
            .or_else(|| state.default_behavior.clone());
        state.commands.push(RecordedCommand {
            connection,
            arguments,
        });
        behavior.unwrap_or(Behavior::Serve)
    }

    /// Replies to a command and returns whether the connection stays open.
    fn reply(&self, writer: &mut TcpStream, behavior: Behavior, is_first_command: bool) -> bool {
        let own_reply = value_reply(&self.name);
        match behavior {
            Behavior::Serve => writer.write_all(&own_reply).is_ok(),
            Behavior::Reply(bytes) => writer.write_all(&bytes).is_ok(),
            Behavior::ReplyInPieces(reply) => reply.write(writer),
            Behavior::ReplyAfter(millis, bytes) => {
                thread::sleep(Duration::from_millis(millis));
                writer.write_all(&bytes).is_ok()
            }
            Behavior::ReplyAndClose(bytes) => {
                let _ = writer.write_all(&bytes);
                false
            }
            Behavior::ReplyInTwoParts(first, millis, second) => {
                self.reply_in_two_parts(writer, &first, millis, &second)
            }
            Behavior::ReplyEndlessly(first, repeated) => {
                let mut written = writer.write_all(&first);
                while written.is_ok() {
                    written = writer.write_all(&repeated);
                }
                false
            }
            Behavior::ServeSlowlyOnNewConnection(millis) => {
                thread::sleep(Duration::from_millis(if is_first_command {
                    millis
                } else {
                    0
                }));
                writer.write_all(&own_reply).is_ok()
            }
            Behavior::RepeatBeforeNextReply(..) => unreachable!("handled by the caller"),
            Behavior::CloseOnReuse => is_first_command && writer.write_all(&own_reply).is_ok(),
            Behavior::StaySilent => true,
            Behavior::ServeOnceGateOpens => {
                self.wait_for_gate();
                writer.write_all(&own_reply).is_ok()
            }
        }
    }

    fn reply_in_two_parts(
        &self,
        writer: &mut TcpStream,
        first: &[u8],
        millis: u64,
        second: &[u8],
    ) -> bool {
        let start = Instant::now();
        let mut written = writer.write_all(first);
        thread::sleep(Duration::from_millis(millis));
        written = written.and_then(|()| writer.write_all(second));
        self.state().two_part_reply_durations.push(start.elapsed());
        written.is_ok()
    }

    fn wait_for_gate(&self) {
        let state = self.state();
        let is_closed = |state: &mut State| !state.is_gate_open;
        drop(
            self.shared
                .gate_opened
                .wait_while(state, is_closed)
                .unwrap(),
        );
    }

    /// Sets the behavior for commands with a key that has no behavior of its own.
    pub fn set_default_behavior(&self, behavior: Behavior) {
        self.state().default_behavior = Some(behavior);
    }

    /// Sets the behavior for commands with this key.
    pub fn set_behavior(&self, key: &str, behavior: Behavior) {
        self.state()
            .behaviors_by_key
            .insert(key.to_string(), behavior);
    }

    /// Returns, for each [`Behavior::ReplyInTwoParts`] reply, the time from before the first write
    /// until after the second.
    pub fn two_part_reply_durations(&self) -> Vec<Duration> {
        self.state().two_part_reply_durations.clone()
    }

    /// Releases all current and future commands with [`Behavior::ServeOnceGateOpens`].
    pub fn open_gate(&self) {
        self.state().is_gate_open = true;
        self.shared.gate_opened.notify_all();
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in self.state().streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the arguments of all received commands, in order.
    pub fn commands(&self) -> Vec<Vec<String>> {
        self.state()
            .commands
            .iter()
            .map(|command| command.arguments.clone())
            .collect()
    }

    /// Returns all received commands with their connections, in order.
    pub fn recorded_commands(&self) -> Vec<RecordedCommand> {
        self.state().commands.clone()
    }

    /// Returns how many connections were accepted and closed so far.
    pub fn connections(&self) -> ConnectionCounts {
        let state = self.state();
        ConnectionCounts {
            accepted: state.accepted,
            closed: state.closed,
        }
    }

    /// Returns the server's entry in an endpoint list.
    pub fn entry(&self, health: &str) -> String {
        endpoint_entry(&self.name, self.addr, health)
    }
}

/// Replies to a command on a connection on which `repeated` was replied last.
fn reply_with_repeat(
    writer: &mut TcpStream,
    id: &str,
    millis: u64,
    reply: RepeatedReply,
    repeated: &mut Vec<u8>,
) {
    const LONG_VALUE_LENGTH: usize = 100_000;
    const BUSY: &[u8] = b"-BUSY\r\n";
    let value = match reply {
        RepeatedReply::LongValueBeforeBusy => value_reply(&id.repeat(LONG_VALUE_LENGTH / id.len())),
        _ => value_reply(id),
    };
    let (first, second) = match reply {
        RepeatedReply::ErrorBeforeValue => (b"-ERR failed\r\n".to_vec(), value),
        RepeatedReply::BusyBeforeValue => (BUSY.to_vec(), value),
        _ => (value, BUSY.to_vec()),
    };
    // The router may close the connection.
    if repeated.is_empty() {
        let _ = writer.write_all(&first);
        *repeated = first;
        return;
    }
    let _ = writer.write_all(repeated);
    thread::sleep(Duration::from_millis(millis));
    let _ = writer.write_all(&second);
    repeated.clear();
}
