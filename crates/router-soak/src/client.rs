//! Fake clients. Each sends pipelines over one connection until the connection ends, and then
//! reconnects.

use crate::plan::SoakPlan;
use crate::recorder::{ConnectionEnd, PendingRequest, Recorder};
use router_simulation::fault_plan::CLASSES;
use router_simulation::network::{CloseKind, Side};
use router_simulation::rng::SeededRng;
use router_simulation::wire::{
    DecodedFrame, FrameDecoder, Response, read_command, request_id, write_command,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of distinct keys.
const KEY_COUNT: u64 = 200;
/// Maximum number of commands in a pipeline.
const MAX_PIPELINE: u64 = 24;
/// Ratio of exchanges that send more than one command.
const PIPELINE_RATIO: f64 = 0.3;
/// Ratio of pipelines that are written in two parts.
const SPLIT_WRITE_RATIO: f64 = 0.15;
/// Ratio of exchanges that end in an early disconnect while `disconnect_early` is set.
const DISCONNECT_RATIO: f64 = 0.3;
/// Ratio of requests with a deadline of zero.
const ZERO_DEADLINE_RATIO: f64 = 0.05;
/// Time past the deadline for which a client still waits for an answer.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(700);
/// Ratio of exchanges that are read late while `read_slowly` is set.
const SLOW_READ_RATIO: f64 = 0.3;
/// Longest delay of a late read, in milliseconds.
const MAX_READ_DELAY_MS: u64 = 300;
/// Receive buffer of connections that are opened while `read_slowly` is set.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4_096;
/// Ratio of writes with a long value while `write_long_values` is set.
const LONG_WRITE_RATIO: f64 = 0.3;
/// Longest value that a client writes.
const MAX_WRITE_BYTES: u64 = 600_000;
/// Longest pause between two exchanges of a client, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// State that all clients of a run share.
pub(crate) struct ClientPool {
    plan: SoakPlan,
    router: SocketAddr,
    recorder: Rc<Recorder>,
    rng: RefCell<SeededRng>,
    last_request: Cell<u32>,
    /// Whether clients disconnect before they have their answers.
    pub disconnect_early: Cell<bool>,
    /// Whether clients write long values.
    pub write_long_values: Cell<bool>,
    /// Whether clients read late, and connect with small receive buffers.
    pub read_slowly: Cell<bool>,
    /// Time from which clients open no new connections.
    pub connect_until: Cell<Option<Instant>>,
    /// Number of requests sent.
    pub requests: Cell<u64>,
    /// Number of answers received.
    pub answers: Cell<u64>,
    /// Number of those answers that are neither errors nor rejections.
    pub served: Cell<u64>,
}

/// Connection of a client.
struct Connection {
    number: u32,
    stream: TcpStream,
    frames: FrameDecoder,
    pending: VecDeque<PendingRequest>,
}

/// Commands that are sent together.
struct Pipeline {
    bytes: Vec<u8>,
    ids: Vec<u64>,
    max_deadline: Duration,
}

/// The connection has ended, on either side.
struct ConnectionEnded;

impl ClientPool {
    pub fn new(plan: &SoakPlan, router: SocketAddr, recorder: Rc<Recorder>) -> Rc<ClientPool> {
        Rc::new(ClientPool {
            plan: plan.clone(),
            router,
            recorder,
            rng: RefCell::new(SeededRng::new(plan.seed, 3)),
            last_request: Cell::new(0),
            disconnect_early: Cell::new(false),
            write_long_values: Cell::new(false),
            read_slowly: Cell::new(false),
            connect_until: Cell::new(None),
            requests: Cell::new(0),
            answers: Cell::new(0),
            served: Cell::new(0),
        })
    }

    /// Runs one client until no new connections are opened.
    pub async fn run(self: Rc<Self>) {
        while let Some(mut connection) = self.connect().await {
            while let Ok(()) = self.exchange(&mut connection).await {
                let pause = self.rng.borrow_mut().range(0, MAX_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    async fn connect(&self) -> Option<Connection> {
        loop {
            let is_stopped = self
                .connect_until
                .get()
                .is_some_and(|until| Instant::now() >= until);
            if is_stopped {
                return None;
            }
            if let Ok(stream) = TcpStream::connect(self.router).await {
                let _ = stream.set_nodelay(true);
                if self.read_slowly.get() {
                    let _ = SockRef::from(&stream).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES);
                }
                return Some(Connection {
                    number: self.recorder.client_connected(),
                    stream,
                    frames: FrameDecoder::default(),
                    pending: VecDeque::new(),
                });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a pipeline and reads the answers to it.
    async fn exchange(&self, connection: &mut Connection) -> Result<(), ConnectionEnded> {
        if is_closed(&connection.stream) {
            self.router_ended(connection, ConnectionEnd::Closed);
            return Err(ConnectionEnded);
        }
        let pipeline = self.draw_pipeline();
        self.send(connection, &pipeline).await?;
        let disconnects = self.disconnect_early.get() && self.chance(DISCONNECT_RATIO);
        if disconnects {
            let delay = self.rng.borrow_mut().range(0, 100);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            self.disconnect(connection);
            return Err(ConnectionEnded);
        }
        let until = Instant::now() + pipeline.max_deadline + LATE_ANSWER_GRACE;
        if self.read_slowly.get() && self.chance(SLOW_READ_RATIO) {
            let delay = self.rng.borrow_mut().range(0, MAX_READ_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while !connection.pending.is_empty() {
            self.read_answers(connection, until).await?;
        }
        Ok(())
    }

    async fn send(
        &self,
        connection: &mut Connection,
        pipeline: &Pipeline,
    ) -> Result<(), ConnectionEnded> {
        let is_split = self.chance(SPLIT_WRITE_RATIO);
        let first = if is_split {
            self.rng.borrow_mut().index(pipeline.bytes.len())
        } else {
            pipeline.bytes.len()
        };
        let (first, second) = pipeline.bytes.split_at(first);
        if is_split {
            self.write(connection, first).await?;
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        let written_at = Instant::now();
        let pending = pipeline
            .ids
            .iter()
            .map(|&id| PendingRequest { id, written_at });
        connection.pending.extend(pending);
        self.requests
            .set(self.requests.get() + pipeline.ids.len() as u64);
        self.write(connection, if is_split { second } else { first })
            .await
    }

    async fn write(
        &self,
        connection: &mut Connection,
        bytes: &[u8],
    ) -> Result<(), ConnectionEnded> {
        self.recorder
            .record_bytes(connection.number, Side::Initiator, bytes);
        if connection.stream.write_all(bytes).await.is_err() {
            self.router_ended(connection, ConnectionEnd::Reset);
            return Err(ConnectionEnded);
        }
        Ok(())
    }

    /// Reads the available answers; disconnects if none arrives before `until`.
    async fn read_answers(
        &self,
        connection: &mut Connection,
        until: Instant,
    ) -> Result<(), ConnectionEnded> {
        let mut buffer = vec![0; 64 * 1024];
        let read = connection.stream.read(&mut buffer);
        let read = tokio::time::timeout_at(until.into(), read).await;
        let count = match read {
            Ok(Ok(0)) => {
                self.router_ended(connection, ConnectionEnd::Closed);
                return Err(ConnectionEnded);
            }
            Ok(Ok(count)) => count,
            Ok(Err(_)) => {
                self.router_ended(connection, ConnectionEnd::Reset);
                return Err(ConnectionEnded);
            }
            Err(_) => {
                self.disconnect(connection);
                return Err(ConnectionEnded);
            }
        };
        let bytes = &buffer[..count];
        self.recorder
            .record_bytes(connection.number, Side::Acceptor, bytes);
        connection.frames.feed(0, bytes);
        while let Ok(Some(DecodedFrame { frame, .. })) = connection.frames.next(0) {
            connection.pending.pop_front();
            self.answers.set(self.answers.get() + 1);
            if matches!(Response::parse(&frame), Response::Served(_)) {
                self.served.set(self.served.get() + 1);
            }
        }
        Ok(())
    }

    fn disconnect(&self, connection: &mut Connection) {
        self.recorder
            .record_close(connection.number, Side::Initiator, CloseKind::Fin);
    }

    fn router_ended(&self, connection: &mut Connection, end: ConnectionEnd) {
        // A truncated long answer is failed, not lost: the client sees that it is incomplete.
        if connection.frames.has_begun_long_value() {
            connection.pending.pop_front();
        }
        let pending: Vec<PendingRequest> = connection.pending.drain(..).collect();
        self.recorder.router_ended(connection.number, end, &pending);
    }

    fn draw_pipeline(&self) -> Pipeline {
        let length = if self.chance(PIPELINE_RATIO) {
            self.rng.borrow_mut().range(2, MAX_PIPELINE)
        } else {
            1
        };
        let mut pipeline = Pipeline {
            bytes: Vec::new(),
            ids: Vec::new(),
            max_deadline: Duration::ZERO,
        };
        for _ in 0..length {
            self.add_request(&mut pipeline);
        }
        pipeline
    }

    fn add_request(&self, pipeline: &mut Pipeline) {
        let rng = &mut *self.rng.borrow_mut();
        let number = self.last_request.get() + 1;
        self.last_request.set(number);
        let id = request_id(number, 0);
        let class = match rng.unit() {
            sample if sample < 0.7 => 0,
            sample if sample < 0.8 => 1,
            sample if sample < 0.9 => 2,
            _ => 3,
        };
        let deadline_ms = self.plan.deadlines_ms[class.min(1)];
        let remaining_ms = if rng.chance(ZERO_DEADLINE_RATIO) {
            0
        } else {
            rng.range(deadline_ms / 3, deadline_ms)
        };
        let key = rng.range(1, KEY_COUNT);
        let fields = format!("c={},t=acme,d={remaining_ms},k={id:016x}", CLASSES[class]);
        pipeline.bytes.extend(match class {
            0 => read_command(key, id, &fields),
            _ if self.write_long_values.get() && rng.chance(LONG_WRITE_RATIO) => {
                let size = rng.range(70_000, MAX_WRITE_BYTES) as usize;
                write_command(key, id, &fields, &vec![b'w'; size])
            }
            _ => write_command(key, id, &fields, b"sheet"),
        });
        pipeline.ids.push(id);
        pipeline.max_deadline = pipeline
            .max_deadline
            .max(Duration::from_millis(remaining_ms));
    }

    fn chance(&self, ratio: f64) -> bool {
        self.rng.borrow_mut().chance(ratio)
    }
}

/// Whether the router has ended a connection and no bytes are unread.
fn is_closed(stream: &TcpStream) -> bool {
    match stream.try_read(&mut [0]) {
        Ok(0) => true,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Opens connections of idle clients and sends an incomplete command on every third. Dropping the
/// returned streams closes the connections.
pub(crate) async fn open_idle_connections(router: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut idle_clients = Vec::new();
    for number in 0..count {
        let Ok(mut stream) = TcpStream::connect(router).await else {
            continue;
        };
        if number % 3 == 0 {
            let _ = stream.write_all(b"*4\r\n$5\r\nC.GET\r\n$16\r\n0000").await;
        }
        idle_clients.push(stream);
    }
    idle_clients
}
