//! Fake cache server on a loopback socket, with the faults of a plan. Its process is simulated by a
//! set of tasks, which a plan may abort and start again on the same address.

use crate::loopback::listen;
use crate::recorder::{Recorder, server_name};
use router_simulation::network::{CloseKind, Side};
use router_simulation::rng::SeededRng;
use router_simulation::wire::{
    CacheRequest, Command, DecodedFrame, FrameDecoder, SELECTED, served_reply, value_for,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Ratio of requests that a reset or malformed-reply fault affects.
const FAULT_RATIO: f64 = 0.3;
/// Ratio of reads that get a long value while `has_long_values` is set.
const LONG_VALUE_RATIO: f64 = 0.3;
/// Ratio of long values that are truncated.
const TRUNCATED_VALUE_RATIO: f64 = 0.3;
/// Replies above this size are long.
const LONG_REPLY_BYTES: usize = 65_536;
/// Longest value.
const MAX_VALUE_BYTES: u64 = 600_000;
/// Longest pause inside a long value, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// Longest delay of the first answer on a connection while `delays_first_answer` is set, in
/// milliseconds.
const MAX_FIRST_ANSWER_DELAY_MS: u64 = 900;

/// Current faults of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerFaults {
    /// Rejects all requests with `-BUSY`.
    pub is_draining: bool,
    /// Reads commands and does not answer them.
    pub hangs: bool,
    /// Answers some requests with malformed replies.
    pub sends_malformed_replies: bool,
    /// Resets connections on some requests.
    pub resets_connections: bool,
    /// Delays the first answer on each connection.
    pub delays_first_answer: bool,
    /// Answers some reads with long values, some of them truncated.
    pub has_long_values: bool,
    /// Pauses in the middle of long values.
    pub pauses_long_values: bool,
    /// Neither reads nor answers, and does not close connections.
    pub is_unresponsive: bool,
}

/// Fake cache server; see the module documentation.
pub(crate) struct Server {
    number: usize,
    pub address: Cell<SocketAddr>,
    /// Whether another server has its address.
    pub is_replaced: Cell<bool>,
    pub faults: Cell<ServerFaults>,
    max_service_ms: u64,
    recorder: Rc<Recorder>,
    rng: RefCell<SeededRng>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Server {
    /// Starts a server on a free port.
    pub async fn start(
        number: usize,
        seed: u64,
        max_service_ms: u64,
        recorder: Rc<Recorder>,
    ) -> Rc<Server> {
        let (listener, address) = listen().await;
        let server = Server::new(number, seed, max_service_ms, recorder, address);
        server.clone().accept_on(listener);
        server
    }

    /// Creates a server whose process does not run yet.
    pub fn new(
        number: usize,
        seed: u64,
        max_service_ms: u64,
        recorder: Rc<Recorder>,
        address: SocketAddr,
    ) -> Rc<Server> {
        Rc::new(Server {
            number,
            address: Cell::new(address),
            is_replaced: Cell::new(false),
            faults: Cell::default(),
            max_service_ms,
            recorder,
            rng: RefCell::new(SeededRng::new(seed, 100 + number as u64)),
            tasks: RefCell::default(),
        })
    }

    /// Changes the current faults.
    pub fn change(&self, change: impl FnOnce(&mut ServerFaults)) {
        let mut faults = self.faults.get();
        change(&mut faults);
        self.faults.set(faults);
    }

    /// Kills the process: its connections end, and new ones are refused.
    pub fn kill(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Starts the process again, without faults, in place of one that may run.
    ///
    /// # Panics
    /// If its address cannot be bound. The run is then not played as planned.
    pub async fn restart(self: &Rc<Self>) {
        self.kill();
        self.change(|faults| *faults = ServerFaults::default());
        // The old listener is dropped only after its aborted task has been polled.
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address.get()).await {
                return self.clone().accept_on(listener);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("cannot bind the address of server {} again", self.number);
    }

    fn accept_on(self: Rc<Self>, listener: TcpListener) {
        let server = self.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = server.recorder.server_accepted(server.number);
                let guard = ConnectionGuard {
                    recorder: server.recorder.clone(),
                    connection,
                };
                let serving = server.clone();
                let task = spawn_local(async move { serving.serve(stream, guard).await });
                server.tasks.borrow_mut().push(task);
            }
        });
        self.tasks.borrow_mut().push(task);
    }

    async fn serve(&self, mut stream: TcpStream, guard: ConnectionGuard) {
        let _ = stream.set_nodelay(true);
        let mut frames = FrameDecoder::default();
        let mut buffer = vec![0; 64 * 1024];
        let mut is_new = true;
        loop {
            while let Ok(Some(DecodedFrame { frame, .. })) = frames.next(0) {
                let command = Command::parse(&frame);
                if command == Command::Select {
                    if stream.write_all(SELECTED).await.is_err() {
                        return;
                    }
                    continue;
                }
                let Command::CacheRequest(request) = command else {
                    return;
                };
                self.recorder.record_attempt(request.id);
                let is_first = std::mem::take(&mut is_new);
                if !self.execute(&mut stream, &guard, &request, is_first).await {
                    return;
                }
            }
            let read = stream.read(&mut buffer).await;
            if self.faults.get().is_unresponsive {
                std::future::pending::<()>().await;
            }
            match read {
                Ok(count @ 1..) => {
                    let bytes = &buffer[..count];
                    self.recorder
                        .record_bytes(guard.connection, Side::Initiator, bytes);
                    frames.feed(0, bytes);
                }
                _ => return,
            }
        }
    }

    /// Executes a request; false if the connection is to be closed.
    async fn execute(
        &self,
        stream: &mut TcpStream,
        guard: &ConnectionGuard,
        request: &CacheRequest,
        is_first: bool,
    ) -> bool {
        let faults = self.faults.get();
        if faults.hangs || faults.is_unresponsive {
            std::future::pending::<()>().await;
        }
        if is_first && faults.delays_first_answer {
            self.sleep_up_to(MAX_FIRST_ANSWER_DELAY_MS).await;
        }
        self.sleep_up_to(self.max_service_ms).await;
        if faults.resets_connections && self.chance(FAULT_RATIO) {
            // With a linger time of zero the close sends a reset.
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            return false;
        }
        let reply = self.reply(request, faults);
        let keeps_connection = reply.keeps_connection;
        self.recorder
            .record_bytes(guard.connection, Side::Acceptor, &reply.bytes);
        let is_long = reply.bytes.len() > LONG_REPLY_BYTES;
        let written = if faults.pauses_long_values && is_long {
            self.write_with_pause(stream, &reply.bytes).await
        } else {
            stream.write_all(&reply.bytes).await
        };
        written.is_ok() && keeps_connection
    }

    /// Writes a reply in two parts with a pause between them.
    async fn write_with_pause(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        stream.write_all(first).await?;
        self.sleep_up_to(MAX_PAUSE_MS).await;
        stream.write_all(second).await
    }

    fn reply(&self, request: &CacheRequest, faults: ServerFaults) -> Reply {
        if faults.is_draining {
            return Reply::complete(b"-BUSY\r\n".to_vec());
        }
        if faults.sends_malformed_replies && self.chance(FAULT_RATIO) {
            return Reply::then_close(b"%what\r\n".to_vec());
        }
        let is_long = faults.has_long_values && !request.is_write && self.chance(LONG_VALUE_RATIO);
        let size = if is_long {
            self.rng.borrow_mut().range(70_000, MAX_VALUE_BYTES) as usize
        } else {
            self.rng.borrow_mut().range(40, 900) as usize
        };
        let value = value_for(request.id, &server_name(self.number), size);
        let reply = served_reply(&value, "hit");
        if is_long && self.chance(TRUNCATED_VALUE_RATIO) {
            let length = self.rng.borrow_mut().index(reply.len() - 30);
            return Reply::then_close(reply[..length].to_vec());
        }
        Reply::complete(reply)
    }

    fn chance(&self, ratio: f64) -> bool {
        self.rng.borrow_mut().chance(ratio)
    }

    async fn sleep_up_to(&self, millis: u64) {
        let drawn = self.rng.borrow_mut().range(0, millis * 1_000);
        tokio::time::sleep(Duration::from_micros(drawn)).await;
    }
}

/// Bytes of a reply, and what happens to the connection after it.
struct Reply {
    bytes: Vec<u8>,
    /// Whether the connection stays open after the reply.
    keeps_connection: bool,
}

impl Reply {
    fn complete(bytes: Vec<u8>) -> Reply {
        Reply {
            bytes,
            keeps_connection: true,
        }
    }

    fn then_close(bytes: Vec<u8>) -> Reply {
        Reply {
            bytes,
            keeps_connection: false,
        }
    }
}

/// Records the end of a connection on drop, so also if its task is aborted.
struct ConnectionGuard {
    recorder: Rc<Recorder>,
    connection: u32,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.recorder
            .record_close(self.connection, Side::Acceptor, CloseKind::Fin);
    }
}
