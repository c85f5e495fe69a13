//! Connections to the cache servers: pools, attempts, and what comes back as an [`Outcome`].

use crate::environment::{Environment, Stream};
use crate::metrics::RouterMetrics;
use crate::mutation::hooks;
use crate::request::BodyPiece;
use crate::resp::{Command, LongReader, Part, READ_SIZE, Reply, ReplyReader, Report};
use bytes::{Bytes, BytesMut};
use load_balancer::{
    AttemptNumber, CacheStatus, ConnectionUse, EndpointState, LoadReport, LoadReportFormat, Micros,
    Outcome, RequestId, ServerId,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Idle connections are retired after this share of the time at which a cache server closes them: one written to
/// just as it closes ends as a reset, which may have run.
const RETIRE_SHARE: f64 = 0.8;
/// A connection is not used again for this long and one round trip: what a cache server wrote behind its answer shows
/// by then, and is not taken for the answer to the next request. Second answers were seen to come up to 6 ms late. What
/// comes later still cannot be told from the next answer: nothing in it names its request. Hurts busy servers by as many
/// more connections as answer within that time.
const QUIET_TIME: Duration = Duration::from_millis(7);
/// A value is served without its load report if that is not there so much later.
const REPORT_WAIT: Duration = Duration::from_millis(20);

/// Of a value that is passed on, what is read at a time.
const PIECE_SIZE: usize = 16 * 1024;
/// A client that takes nothing of a value for so long holds it up: the server has done its work by then.
const HELD_UP: Duration = Duration::from_millis(50);
/// A server that gives nothing of a value that has begun for so long has broken it off: slow ones pause for seconds.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// What the settings and the descriptors allow.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub dial_timeout: Duration,
    pub conn_idle: Duration,
    /// Connections to all cache servers together.
    pub connections: usize,
}

/// How long an attempt may take.
#[derive(Clone, Debug)]
pub struct AttemptLimit {
    /// Its last byte is written by then, or none of it counts.
    pub start_by: Option<Instant>,
    /// It has ended by then ...
    pub until: Instant,
    /// ... or by then, if that is later: it may move while the attempt is out.
    pub extended_until: Option<Rc<Cell<Instant>>>,
}

impl AttemptLimit {
    fn until(&self) -> Instant {
        self.extended_until
            .as_ref()
            .map_or(self.until, |later| later.get().max(self.until))
    }

    fn start_by(&self) -> Instant {
        let until = self.until();
        self.start_by.map_or(until, |start_by| start_by.min(until))
    }
}

/// How an attempt ended, and the answer if it served the request.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub cache_status: Option<CacheStatus>,
    pub answer: Option<Bytes>,
    /// Something came back: the connection was alive, whatever became of the answer.
    pub response_started: bool,
    /// The connection that it went out on.
    pub connection_use: ConnectionUse,
    /// What the server said of itself.
    pub load: Option<LoadReport>,
    /// When a value began to come that was passed on from then on: how long its rest took is its client's matter.
    pub streaming_since: Option<Instant>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            cache_status: None,
            answer: None,
            response_started: false,
            connection_use: ConnectionUse::Unknown,
            load: None,
            streaming_since: None,
        }
    }
}

/// What becomes of a long value.
pub enum BodyConsumer {
    /// It is passed on piece by piece.
    Stream(mpsc::Sender<BodyPiece>),
    /// It is wanted whole: several wait for it.
    Buffer,
    /// Nobody waits for it.
    Nobody,
}

/// Whom attempts are made for: the decision module, behind its driver.
pub trait AttemptOwner {
    /// Whether something new may go to a server now.
    fn may_send(&self, server: &ServerId) -> bool;
    /// Whether this attempt is still wanted: its request waits for an answer, and the attempt was not called off.
    fn is_wanted(&self, id: RequestId, attempt: AttemptNumber) -> bool;
    /// A long value has begun to come: from here on the request has its answer.
    fn begin_streaming(self: Rc<Self>, id: RequestId, attempt: AttemptNumber) -> BodyConsumer;
    /// The client takes the value so slowly that the server's work has ended long since: it had begun to come after
    /// `took`. The attempt counts as ended; how its read went stays unknown.
    fn client_stalled(self: Rc<Self>, id: RequestId, attempt: AttemptNumber, took: Duration);
}

/// One attempt: whose it is, and what it may take.
#[derive(Clone)]
pub struct AttemptContext {
    pub owner: Rc<dyn AttemptOwner>,
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub limit: AttemptLimit,
    /// Its last byte has been written: from then on it may run.
    pub is_sent: Rc<Cell<bool>>,
}

impl AttemptContext {
    fn is_wanted(&self) -> bool {
        self.owner.is_wanted(self.id, self.attempt)
    }
}

/// Where the pieces of a long value go, and whom to tell that the client holds them up.
struct Passing<H> {
    pieces: mpsc::Sender<BodyPiece>,
    held_up: H,
}

/// The cache servers of the list, each with its idle connections.
pub struct UpstreamPools<E: Environment> {
    environment: E,
    /// In the order of their names, so that equal days go alike.
    pools: RefCell<BTreeMap<ServerId, Pool<E>>>,
    limits: Limits,
    /// What load reports hold.
    reports: LoadReportFormat,
    room: Arc<Semaphore>,
    /// Places that are left to another process.
    ceded: Cell<usize>,
    metrics: Rc<RouterMetrics>,
    broken: hooks::BrokenConnections<Connection<E>>,
}

struct Pool<E: Environment> {
    addr: SocketAddr,
    born_ms: u64,
    /// The most recently used last.
    idle: Vec<(Connection<E>, Instant)>,
}

struct Connection<E: Environment> {
    stream: E::Stream,
    received: BytesMut,
    /// Where it leads, and to which process there: both may change while it is out.
    addr: SocketAddr,
    born_ms: u64,
    /// A round trip, as long as the connection took to come up.
    round_trip: Duration,
    /// Something was written to it: an answer's tail may still come.
    is_used: bool,
    _room: OwnedSemaphorePermit,
}

impl<E: Environment> Pool<E> {
    /// Whether a connection leads to the process that the list names. An answer of the process before may come after the
    /// list has told of the new one: its connection ends with it.
    fn is_of(&self, connection: &Connection<E>) -> bool {
        let is_same_process = hooks::is_same_process(self.born_ms == connection.born_ms);
        self.addr == connection.addr && is_same_process
    }
}

impl<E: Environment> UpstreamPools<E> {
    pub fn new(
        limits: Limits,
        reports: LoadReportFormat,
        metrics: Rc<RouterMetrics>,
        environment: E,
    ) -> Rc<Self> {
        let room = Arc::new(Semaphore::new(limits.connections));
        Rc::new(UpstreamPools {
            environment,
            pools: RefCell::default(),
            limits,
            reports,
            room,
            ceded: Cell::new(0),
            metrics,
            broken: hooks::BrokenConnections::new(),
        })
    }

    /// What attempts came to.
    pub fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.pools
            .borrow()
            .values()
            .map(|pool| pool.idle.len())
            .sum()
    }

    /// BodyConsumer one entry of the list. A new address or a new process leaves the old connections behind.
    pub fn list(&self, server: &ServerId, addr: SocketAddr, state: EndpointState, born_ms: u64) {
        let mut pools = self.pools.borrow_mut();
        if state == EndpointState::Removed {
            pools.remove(server);
            return;
        }
        let fresh = || Pool {
            addr,
            born_ms,
            idle: Vec::new(),
        };
        let pool = pools.entry(server.clone()).or_insert_with(fresh);
        if pool.addr != addr || pool.born_ms != born_ms {
            *pool = fresh();
        }
    }

    /// How many servers the list has.
    pub fn listed(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Leaves half of the places for connections to another process of this router; what is idle beyond is closed.
    /// Places in use are left as they come free.
    pub fn cede_half(&self) {
        let most = self.limits.connections / 2;
        while self.ceded.get() < most {
            let ceded = self.room.forget_permits(most - self.ceded.get());
            self.ceded.set(self.ceded.get() + ceded);
            if ceded == 0 && !self.close_oldest() {
                break;
            }
        }
    }

    /// BodyConsumer all places back.
    pub fn take_back(&self) {
        self.room.add_permits(self.ceded.take());
    }

    /// Forgets the servers that a whole list leaves out.
    pub fn keep_only(&self, listed: impl Fn(&ServerId) -> bool) {
        self.pools.borrow_mut().retain(|server, _| listed(server));
    }

    pub fn close_idle(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(server) {
            pool.idle.clear();
        }
    }

    /// Closes what has been idle for long, or has rested for as long as the decision library has it (`hold`), for as long
    /// as the program runs. What is there still may be used.
    pub async fn retire_idle(self: Rc<Self>, hold: impl Fn() -> Duration) {
        loop {
            self.environment.sleep(Duration::from_millis(500)).await;
            let hold = hold();
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|(connection, since)| {
                    self.is_fresh(*since)
                        && self.age(*since) < hold
                        && connection.stream.has_no_pending_input()
                });
            }
        }
    }

    fn age(&self, since: Instant) -> Duration {
        self.environment.now().saturating_duration_since(since)
    }

    fn is_fresh(&self, since: Instant) -> bool {
        self.age(since) < self.limits.conn_idle.mul_f64(RETIRE_SHARE)
    }

    /// One attempt, from its connection to its outcome. Never longer than its limit.
    pub async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        command: Rc<Command>,
        context: AttemptContext,
    ) -> AttemptResult {
        let (connection, connection_use) = match self.idle_connection(&server) {
            Some((connection, idle)) => (
                connection,
                ConnectionUse::Reused(Micros(idle.as_micros() as u64)),
            ),
            None => match self.connect(&server, &context).await {
                Ok(connection) => (connection, ConnectionUse::New),
                // Nothing was dialled: that tells nothing of new connections.
                Err(Outcome::NotSent) => return Outcome::NotSent.into(),
                Err(outcome) => {
                    return AttemptResult {
                        connection_use: ConnectionUse::New,
                        ..outcome.into()
                    };
                }
            },
        };
        // Much may have happened while the connection came up.
        if !self.may_begin(&server, &connection, &context) {
            self.put_back(&server, connection);
            return Outcome::NotSent.into();
        }
        AttemptResult {
            connection_use,
            ..self.exchange(&server, connection, &command, &context).await
        }
    }

    /// The one question before an attempt's first byte: whether its request still wants it, its server still takes it
    /// where this connection leads, and there is time left. Guards clients that left or were answered meanwhile, the
    /// drain grace, and the memory of a keyed request. A connection that came up for nobody is kept for others.
    fn may_begin(
        &self,
        server: &ServerId,
        connection: &Connection<E>,
        context: &AttemptContext,
    ) -> bool {
        let leads_there = self
            .pools
            .borrow()
            .get(server)
            .is_some_and(|pool| pool.is_of(connection));
        leads_there
            && context.owner.may_send(server)
            && context.is_wanted()
            && self.environment.now() <= context.limit.start_by()
    }

    /// One command and its answer on a connection.
    async fn exchange(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        command: &Command,
        context: &AttemptContext,
    ) -> AttemptResult {
        let limit = &context.limit;
        connection.is_used = true;
        let wait = limit
            .until()
            .saturating_duration_since(self.environment.now())
            .as_millis()
            .max(1);
        let (bytes, value) = command.encode(wait as u64);
        let value = value
            .as_deref()
            .map_or([&[][..], &[]], |value| [value, b"\r\n"]);
        for bytes in [&bytes[..], value[0], value[1]] {
            let mut written = 0;
            while written < bytes.len() {
                // Asked each time that the connection takes more: a long value may wait for that.
                let write = poll_fn(|cx| match context.is_wanted() {
                    true => Pin::new(&mut connection.stream)
                        .poll_write(cx, &bytes[written..])
                        .map(Some),
                    false => Poll::Ready(None),
                });
                // Broken or given up before the last byte: a cache server begins nothing that is not whole.
                match self.environment.timeout_at(limit.start_by(), write).await {
                    Ok(Some(Ok(count))) if count > 0 => written += count,
                    Ok(None) => return Outcome::NotSent.into(),
                    _ => return Outcome::Unreachable.into(),
                }
            }
        }
        context.is_sent.set(true);
        self.metrics.attempt_written();
        self.read_answer(server, connection, context).await
    }

    /// The answer to the one command that is out on the connection. What is no answer may have run, and ends the
    /// connection: nothing on it can be told apart any more. So does anything behind a good answer.
    async fn read_answer(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        context: &AttemptContext,
    ) -> AttemptResult {
        let (whole, start) = (&context.limit, self.environment.now());
        let mut reader = ReplyReader::default();
        let (mut response_started, mut may_pass) = (false, true);
        let broken = |response_started| AttemptResult {
            response_started,
            ..Outcome::ConnectionLost.into()
        };
        loop {
            if may_pass && let Some((head, long)) = reader.long(&mut connection.received) {
                match context
                    .owner
                    .clone()
                    .begin_streaming(context.id, context.attempt)
                {
                    BodyConsumer::Stream(pieces) => {
                        let began = self.environment.now();
                        let held_up = || {
                            let took = began.saturating_duration_since(start);
                            context
                                .owner
                                .clone()
                                .client_stalled(context.id, context.attempt, took);
                        };
                        let passing = Passing { pieces, held_up };
                        let ended = self
                            .pass_on(server, connection, (head, long), passing)
                            .await;
                        return AttemptResult {
                            streaming_since: Some(began),
                            ..ended
                        };
                    }
                    BodyConsumer::Nobody => return Outcome::Cancelled.into(),
                    BodyConsumer::Buffer => {
                        may_pass = false;
                        let rest =
                            std::mem::replace(&mut connection.received, BytesMut::from(&head[..]));
                        connection.received.unsplit(rest);
                    }
                }
            }
            match reader.next(&mut connection.received) {
                Ok(Some(reply)) => {
                    if connection.received.is_empty() {
                        self.put_back(server, connection);
                    }
                    return self.ended(reply);
                }
                Ok(None) => {}
                Err(_) => return broken(true),
            }
            // Guards against short answers that never end: cache servers write one in a few pieces, one soon after the other.
            let pause = if reader.has_value() {
                REPORT_WAIT
            } else {
                self.limits.dial_timeout
            };
            let until = whole.until();
            let limit = if response_started {
                until.min(self.environment.now() + pause)
            } else {
                until
            };
            let Connection {
                stream, received, ..
            } = &mut connection;
            received.reserve(READ_SIZE);
            match self
                .environment
                .timeout_at(limit, stream.read_buf(received))
                .await
            {
                Ok(Ok(count)) if count > 0 => {
                    response_started = true;
                    // A peer that writes in pieces may hold the next one back until then: the rest of an answer, or
                    // what does not belong to it, which must not come with the next answer.
                    connection.stream.acknowledge_immediately();
                }
                Err(_) if limit == until && whole.until() > until => {}
                _ if reader.has_value() => {
                    return self.ended(reader.served_without_report(received));
                }
                Err(_) if limit == until => {
                    hooks::timed_out_connection(connection, |connection| {
                        self.put_back(server, connection);
                    });
                    return AttemptResult {
                        response_started,
                        ..Outcome::TimedOut.into()
                    };
                }
                _ => {
                    self.broken.close(connection);
                    return broken(response_started);
                }
            }
        }
    }

    /// Passes a long value on as it comes. The server waits where the client does: what is held of it is one read, and one
    /// piece that is on its way to the client.
    async fn pass_on(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        (head, mut long): (Bytes, LongReader),
        Passing { pieces, held_up }: Passing<impl Fn()>,
    ) -> AttemptResult {
        let mut is_held_up = false;
        let broken = || AttemptResult {
            response_started: true,
            ..Outcome::ConnectionLost.into()
        };
        let mut next = head;
        let reply = loop {
            if !next.is_empty() {
                let sending = pieces.reserve();
                tokio::pin!(sending);
                let mut room = self.environment.timeout(HELD_UP, &mut sending).await;
                if room.is_err() {
                    if !std::mem::replace(&mut is_held_up, true) {
                        held_up();
                    }
                    room = Ok(sending.await);
                }
                match room {
                    Ok(Ok(room)) => room.send(BodyPiece::More(std::mem::take(&mut next))),
                    // The client has left.
                    _ => return Outcome::Cancelled.into(),
                }
            }
            match long.next(&mut connection.received) {
                Ok(Some(Part::Bytes(bytes))) => next = bytes,
                Ok(Some(Part::Last(reply))) => break reply,
                Err(_) => return broken(),
                Ok(None) => {
                    let pause = if long.has_value() {
                        REPORT_WAIT
                    } else {
                        STALL_LIMIT
                    };
                    let Connection {
                        stream, received, ..
                    } = &mut connection;
                    received.reserve(PIECE_SIZE);
                    match self
                        .environment
                        .timeout(pause, stream.read_buf(received))
                        .await
                    {
                        Ok(Ok(count)) if count > 0 => connection.stream.acknowledge_immediately(),
                        _ if long.has_value() => break long.without_report(received),
                        _ => return broken(),
                    }
                }
            }
        };
        let ended = self.ended(reply);
        if let Some(last) = &ended.answer
            && pieces.send(BodyPiece::Last(last.clone())).await.is_err()
        {
            return Outcome::Cancelled.into();
        }
        if connection.received.is_empty() {
            self.put_back(server, connection);
        }
        AttemptResult {
            answer: None,
            ..ended
        }
    }

    fn ended(&self, reply: Reply) -> AttemptResult {
        let read = |report: Report| {
            let report = report.filter(|_| !self.reports.is_empty())?;
            std::str::from_utf8(&report)
                .ok()
                .and_then(|text| self.reports.read_pairs(text))
        };
        let (outcome, cache_status, answer, report) = match reply {
            Reply::Served {
                bytes,
                cache_status,
                report,
            } => (Outcome::Success, cache_status, Some(bytes), report),
            Reply::Failed(report) => (Outcome::Failure, None, None, report),
            Reply::Busy(report) => (Outcome::Overloaded, None, None, report),
        };
        AttemptResult {
            outcome,
            cache_status,
            answer,
            response_started: true,
            connection_use: ConnectionUse::Unknown,
            load: read(report),
            streaming_since: None,
        }
    }

    /// The idle connection used last but not just now, so that the others grow old and are retired; and how long it
    /// was idle.
    fn idle_connection(&self, server: &ServerId) -> Option<(Connection<E>, Duration)> {
        let mut pools = self.pools.borrow_mut();
        let idle = &mut pools.get_mut(server)?.idle;
        let is_settled = |(connection, since): &(Connection<E>, Instant)| {
            !connection.is_used || self.age(*since) >= QUIET_TIME + connection.round_trip
        };
        while let Some(place) = idle.iter().rposition(is_settled) {
            let (connection, since) = idle.remove(place);
            if self.is_fresh(since) && connection.stream.has_no_pending_input() {
                return Some((connection, self.age(since)));
            }
        }
        None
    }

    fn put_back(&self, server: &ServerId, mut connection: Connection<E>) {
        connection.received = BytesMut::new();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(server).filter(|pool| pool.is_of(&connection));
        if let Some(pool) = pool {
            pool.idle.push((connection, self.environment.now()));
        }
    }

    async fn connect(
        &self,
        server: &ServerId,
        context: &AttemptContext,
    ) -> Result<Connection<E>, Outcome> {
        let whole = &context.limit;
        let place = self
            .pools
            .borrow()
            .get(server)
            .map(|pool| (pool.addr, pool.born_ms));
        let (addr, born_ms) = place.ok_or(Outcome::NotSent)?;
        let limit = self.environment.now() + self.limits.dial_timeout;
        let dial = async {
            let room = match self.room.clone().try_acquire_owned() {
                Ok(room) => room,
                Err(_) => {
                    self.close_oldest();
                    self.room
                        .clone()
                        .acquire_owned()
                        .await
                        .map_err(io::Error::other)?
                }
            };
            if !context.is_wanted() {
                return Ok(None);
            }
            let start = self.environment.now();
            let stream = self.environment.connect(addr).await?;
            stream.set_nodelay()?;
            let round_trip = self.age(start);
            let received = BytesMut::new();
            let (is_used, _room) = (false, room);
            io::Result::Ok(Some(Connection {
                stream,
                received,
                addr,
                born_ms,
                round_trip,
                is_used,
                _room,
            }))
        };
        tokio::pin!(dial);
        loop {
            let until = whole.until();
            tokio::select! {
                biased;
                connection = &mut dial => {
                    // It waited for a place, and nobody wants it any more.
                    let Some(connection) = connection.transpose() else { return Err(Outcome::NotSent) };
                    self.metrics.connection_opened(connection.is_ok());
                    return connection.map_err(|_| Outcome::Unreachable);
                }
                () = self.environment.sleep_until(limit.min(until)) => {}
            }
            if limit <= until {
                self.metrics.connection_opened(false);
                return Err(Outcome::Unreachable);
            }
            if whole.until() == until {
                return Err(Outcome::TimedOut);
            }
        }
    }

    /// Makes room for a connection to another server when the descriptors are used up; false if none is idle.
    fn close_oldest(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools
            .values_mut()
            .filter(|p| !p.idle.is_empty())
            .min_by_key(|p| p.idle[0].1);
        oldest.map(|pool| pool.idle.remove(0)).is_some()
    }
}
