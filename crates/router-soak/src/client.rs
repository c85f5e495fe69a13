//! Clients: each keeps a connection and uses it again and again, until the router ends it or is killed.

use crate::plan::SoakPlan;
use crate::recorder::{PendingRequest, Recorder, RouterEnd};
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

/// Keys that clients ask for.
const KEY_COUNT: u64 = 200;
/// Most commands of a pipeline, and how often a client pipelines, sends in two pieces, and leaves while clients leave.
const MAX_PIPELINE: u64 = 24;
const PIPELINE_RATIO: f64 = 0.3;
const PIECES_RATIO: f64 = 0.15;
const LEAVE_RATIO: f64 = 0.3;
/// How often a request of a pipeline has no time left.
const NO_TIME_RATIO: f64 = 0.05;
/// A client waits for an answer this much longer than its time.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(700);
/// How often a client reads late while clients read slowly, for how many milliseconds at most, and its receive buffer.
const SLOW_RATIO: f64 = 0.3;
const MAX_READ_DELAY_MS: u64 = 300;
const SMALL_RECEIVE_BUFFER: usize = 4_096;
/// How often a write is long while clients write long values, and the longest one, in bytes.
const LONG_WRITE_RATIO: f64 = 0.3;
const MAX_WRITE_BYTES: u64 = 600_000;
/// The longest pause between two pipelines, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;

/// What all clients of a run share.
pub(crate) struct Clients {
    plan: SoakPlan,
    router: SocketAddr,
    recorder: Rc<Recorder>,
    rng: RefCell<SeededRng>,
    last_request: Cell<u32>,
    /// Clients leave before their answers.
    pub are_leaving: Cell<bool>,
    /// Clients write long values.
    pub write_long_values: Cell<bool>,
    /// Clients read late, with small receive buffers where they connect meanwhile.
    pub read_slowly: Cell<bool>,
    /// From then on no new connection is opened.
    pub connect_until: Cell<Option<Instant>>,
    /// Requests sent, and answers received.
    pub requests: Cell<u64>,
    pub answers: Cell<u64>,
    pub served: Cell<u64>,
}

/// One connection of a client.
struct Connection {
    number: u32,
    stream: TcpStream,
    frames: FrameDecoder,
    pending: VecDeque<PendingRequest>,
}

/// A pipeline as it is sent.
struct Pipeline {
    bytes: Vec<u8>,
    ids: Vec<u64>,
    longest: Duration,
}

/// A connection is over.
struct Over;

impl Clients {
    pub fn new(plan: &SoakPlan, router: SocketAddr, recorder: Rc<Recorder>) -> Rc<Clients> {
        Rc::new(Clients {
            plan: plan.clone(),
            router,
            recorder,
            rng: RefCell::new(SeededRng::new(plan.seed, 3)),
            last_request: Cell::new(0),
            are_leaving: Cell::new(false),
            write_long_values: Cell::new(false),
            read_slowly: Cell::new(false),
            connect_until: Cell::new(None),
            requests: Cell::new(0),
            answers: Cell::new(0),
            served: Cell::new(0),
        })
    }

    /// One client, for as long as it finds a connection.
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
            let is_over = self
                .connect_until
                .get()
                .is_some_and(|until| Instant::now() >= until);
            if is_over {
                return None;
            }
            if let Ok(stream) = TcpStream::connect(self.router).await {
                let _ = stream.set_nodelay(true);
                if self.read_slowly.get() {
                    let _ = SockRef::from(&stream).set_recv_buffer_size(SMALL_RECEIVE_BUFFER);
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

    /// Sends a pipeline and reads its answers.
    async fn exchange(&self, connection: &mut Connection) -> Result<(), Over> {
        if is_closed(&connection.stream) {
            self.router_ended(connection, RouterEnd::Closed);
            return Err(Over);
        }
        let pipeline = self.draw_pipeline();
        self.send(connection, &pipeline).await?;
        let leaves = self.are_leaving.get() && self.chance(LEAVE_RATIO);
        if leaves {
            let stay = self.rng.borrow_mut().range(0, 100);
            tokio::time::sleep(Duration::from_millis(stay)).await;
            self.leave(connection);
            return Err(Over);
        }
        let until = Instant::now() + pipeline.longest + LATE_ANSWER_TIME;
        if self.read_slowly.get() && self.chance(SLOW_RATIO) {
            let delay = self.rng.borrow_mut().range(0, MAX_READ_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while !connection.pending.is_empty() {
            self.read_answers(connection, until).await?;
        }
        Ok(())
    }

    async fn send(&self, connection: &mut Connection, pipeline: &Pipeline) -> Result<(), Over> {
        let is_in_pieces = self.chance(PIECES_RATIO);
        let first = if is_in_pieces {
            self.rng.borrow_mut().index(pipeline.bytes.len())
        } else {
            pipeline.bytes.len()
        };
        let (first, second) = pipeline.bytes.split_at(first);
        if is_in_pieces {
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
        self.write(connection, if is_in_pieces { second } else { first })
            .await
    }

    async fn write(&self, connection: &mut Connection, bytes: &[u8]) -> Result<(), Over> {
        self.recorder
            .passed(connection.number, Side::Initiator, bytes);
        if connection.stream.write_all(bytes).await.is_err() {
            self.router_ended(connection, RouterEnd::Reset);
            return Err(Over);
        }
        Ok(())
    }

    /// Reads what comes; a client whose time is over leaves.
    async fn read_answers(&self, connection: &mut Connection, until: Instant) -> Result<(), Over> {
        let mut buffer = vec![0; 64 * 1024];
        let read = connection.stream.read(&mut buffer);
        let read = tokio::time::timeout_at(until.into(), read).await;
        let count = match read {
            Ok(Ok(0)) => {
                self.router_ended(connection, RouterEnd::Closed);
                return Err(Over);
            }
            Ok(Ok(count)) => count,
            Ok(Err(_)) => {
                self.router_ended(connection, RouterEnd::Reset);
                return Err(Over);
            }
            Err(_) => {
                self.leave(connection);
                return Err(Over);
            }
        };
        let bytes = &buffer[..count];
        self.recorder
            .passed(connection.number, Side::Acceptor, bytes);
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

    fn leave(&self, connection: &mut Connection) {
        self.recorder
            .ended(connection.number, Side::Initiator, CloseKind::Fin);
    }

    fn router_ended(&self, connection: &mut Connection, end: RouterEnd) {
        // A long answer that is broken off has failed: its client sees that it is not whole.
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
            longest: Duration::ZERO,
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
        let wait_ms = if rng.chance(NO_TIME_RATIO) {
            0
        } else {
            rng.range(deadline_ms / 3, deadline_ms)
        };
        let key = rng.range(1, KEY_COUNT);
        let fields = format!("c={},t=acme,d={wait_ms},k={id:016x}", CLASSES[class]);
        pipeline.bytes.extend(match class {
            0 => read_command(key, id, &fields),
            _ if self.write_long_values.get() && rng.chance(LONG_WRITE_RATIO) => {
                let size = rng.range(70_000, MAX_WRITE_BYTES) as usize;
                write_command(key, id, &fields, &vec![b'w'; size])
            }
            _ => write_command(key, id, &fields, b"sheet"),
        });
        pipeline.ids.push(id);
        pipeline.longest = pipeline.longest.max(Duration::from_millis(wait_ms));
    }

    fn chance(&self, ratio: f64) -> bool {
        self.rng.borrow_mut().chance(ratio)
    }
}

/// Whether the router has ended a connection without unread bytes.
fn is_closed(stream: &TcpStream) -> bool {
    match stream.try_read(&mut [0]) {
        Ok(0) => true,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

/// Idle clients, every third with half a command. The connections end with what is returned.
pub(crate) async fn open_crowd(router: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for number in 0..count {
        let Ok(mut stream) = TcpStream::connect(router).await else {
            continue;
        };
        if number % 3 == 0 {
            let _ = stream.write_all(b"*4\r\n$5\r\nC.GET\r\n$16\r\n0000").await;
        }
        crowd.push(stream);
    }
    crowd
}
