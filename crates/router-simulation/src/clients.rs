//! A model of the clients of one router. They reuse connections, give up after the timeout that
//! their requests state, and retry as the protocol allows.

use crate::executor::{Node, Time};
use crate::fault_plan::{CLASSES, MILLI, PlannedRequest, RunPlan};
use crate::network::SimulatedStream;
use crate::simulation::Simulation;
use crate::wire::{DecodedFrame, FrameDecoder, Response, read_command, request_id, write_command};
use router_runtime::environment::Environment;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The most attempts of a client at one request.
const MAX_ATTEMPTS: u64 = 3;
/// The delay before a retry if the response gives no Retry-After, in microseconds.
const DEFAULT_RETRY_DELAY: Time = 30 * MILLI;
/// How long after its timeout a client closes the connection, in microseconds. The delay leaves time
/// to read a late answer.
const LATE_RESPONSE_GRACE: Time = 120 * MILLI;
/// The least remaining time with which a client retries, in microseconds.
const MIN_RETRY_TIMEOUT: Time = 50 * MILLI;

/// The outcome of a client's attempt at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientAttemptOutcome {
    Served,
    /// Rejected, with the Retry-After in milliseconds if the response has one.
    Rejected(Option<u64>),
    Failed,
    /// Nothing was sent, because no connection could be opened.
    Unreachable,
    /// The client disconnected before it read the response.
    Disconnected,
}

impl ClientAttemptOutcome {
    /// How long a client waits before it retries, in microseconds; `None` if it does not retry.
    /// `is_repeatable` tells whether a failed request may be executed again.
    fn retry_delay(self, is_repeatable: bool) -> Option<Time> {
        match self {
            ClientAttemptOutcome::Served | ClientAttemptOutcome::Disconnected => None,
            ClientAttemptOutcome::Rejected(Some(millis)) => Some(millis * MILLI),
            ClientAttemptOutcome::Rejected(None) | ClientAttemptOutcome::Unreachable => {
                Some(DEFAULT_RETRY_DELAY)
            }
            ClientAttemptOutcome::Failed => is_repeatable.then_some(DEFAULT_RETRY_DELAY),
        }
    }
}

impl From<&Response> for ClientAttemptOutcome {
    fn from(response: &Response) -> ClientAttemptOutcome {
        match response {
            Response::Served(_) => ClientAttemptOutcome::Served,
            Response::Rejected(retry_after_ms) => ClientAttemptOutcome::Rejected(*retry_after_ms),
            Response::Failed => ClientAttemptOutcome::Failed,
        }
    }
}

/// How a client behaves on a connection. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// The client disconnects this long after it has sent its requests.
    pub disconnect_after: Option<Time>,
    /// The client starts to read this long after it has sent its requests.
    pub read_delay: Time,
}

/// An attempt at requests that are pipelined on one connection.
struct ClientAttempt<'a> {
    requests: &'a [PlannedRequest],
    /// The number of the attempt, 0 for the first.
    number: u64,
    behavior: ClientBehavior,
}

impl ClientAttempt<'_> {
    fn bytes(&self) -> Vec<u8> {
        let requests = self.requests.iter();
        requests
            .flat_map(|request| request_bytes(request, self.number))
            .collect()
    }

    fn longest_timeout(&self) -> Time {
        let timeouts = self.requests.iter().map(|request| request.timeout);
        timeouts.max().unwrap_or_default()
    }
}

/// The clients of one router, all on one machine. Their tasks end by themselves.
pub struct Clients {
    simulation: Simulation,
    node: Node,
    router: SocketAddr,
    plan: Rc<RunPlan>,
    idle_connections: RefCell<Vec<SimulatedStream>>,
}

impl Clients {
    /// Creates clients on a machine for the router at an address.
    pub fn new(
        simulation: Simulation,
        node: Node,
        router: SocketAddr,
        plan: Rc<RunPlan>,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            simulation,
            node,
            router,
            plan,
            idle_connections: RefCell::default(),
        })
    }

    fn now(&self) -> Time {
        self.simulation.executor.now()
    }

    /// Pipelines requests on one connection, and then retries each one separately.
    pub fn send(self: &Rc<Self>, requests: Vec<PlannedRequest>, behavior: ClientBehavior) {
        let clients = self.clone();
        self.simulation.executor.spawn(self.node, async move {
            let first = ClientAttempt {
                requests: &requests,
                number: 0,
                behavior,
            };
            let outcomes = clients.attempt(&first).await;
            for (request, outcome) in requests.into_iter().zip(outcomes) {
                let retrying = clients.clone();
                let executor = &clients.simulation.executor;
                executor.spawn(clients.node, async move {
                    retrying.retry(request, outcome).await;
                });
            }
        });
    }

    /// Pipelines requests on one connection, and retries the retryable ones together on one
    /// connection, so that a crowd keeps the number of its connections.
    pub fn send_as_crowd(
        self: &Rc<Self>,
        mut requests: Vec<PlannedRequest>,
        behavior: ClientBehavior,
    ) {
        let clients = self.clone();
        self.simulation.executor.spawn(self.node, async move {
            for number in 0..MAX_ATTEMPTS {
                let current = ClientAttempt {
                    requests: &requests,
                    number,
                    behavior,
                };
                let outcomes = clients.attempt(&current).await;
                let mut delay = 0;
                let mut retryable = Vec::new();
                for (request, outcome) in requests.into_iter().zip(outcomes) {
                    if let Some(after) = outcome.retry_delay(request.class == 0) {
                        delay = delay.max(after);
                        retryable.push(request);
                    }
                }
                clients.simulation.executor.sleep(delay).await;
                requests = clients.with_time_left(retryable);
                if requests.is_empty() {
                    return;
                }
            }
        });
    }

    /// Drops the requests that have too little time left, and limits the timeout of the others to
    /// the time that they have left.
    fn with_time_left(&self, mut requests: Vec<PlannedRequest>) -> Vec<PlannedRequest> {
        requests.retain_mut(|request| {
            request.timeout = request.timeout.min(self.time_left(request));
            request.timeout >= MIN_RETRY_TIMEOUT
        });
        requests
    }

    fn time_left(&self, request: &PlannedRequest) -> Time {
        let deadline = request.at + self.plan.longest_deadline();
        deadline.saturating_sub(self.now())
    }

    /// Retries a request after its first attempt.
    async fn retry(self: Rc<Self>, request: PlannedRequest, mut outcome: ClientAttemptOutcome) {
        for number in 1..MAX_ATTEMPTS {
            let Some(delay) = outcome.retry_delay(self.is_repeatable(&request)) else {
                return;
            };
            self.simulation.executor.sleep(delay).await;
            let time_left = self.time_left(&request);
            if time_left < MIN_RETRY_TIMEOUT {
                return;
            }
            let retry = PlannedRequest {
                timeout: request.timeout.min(time_left),
                ..request.clone()
            };
            let next = ClientAttempt {
                requests: &[retry],
                number,
                behavior: ClientBehavior::default(),
            };
            let outcomes = self.attempt(&next).await;
            outcome = outcomes
                .first()
                .copied()
                .unwrap_or(ClientAttemptOutcome::Failed);
        }
    }

    /// Whether a failed request may be executed again: a read, or a keyed write within its
    /// deduplication window.
    fn is_repeatable(&self, request: &PlannedRequest) -> bool {
        let window_end = request.at + self.plan.deduplication_window;
        match request.class {
            0 => true,
            1 => self.now() + request.timeout < window_end,
            _ => false,
        }
    }

    /// Makes an attempt on one connection and returns the outcome of each request.
    async fn attempt(&self, current: &ClientAttempt<'_>) -> Vec<ClientAttemptOutcome> {
        let count = current.requests.len();
        let Some(stream) = self.take_connection(current.longest_timeout()).await else {
            return vec![ClientAttemptOutcome::Unreachable; count];
        };
        let mut outcomes = vec![ClientAttemptOutcome::Failed; count];
        self.send_and_receive(stream, current, &mut outcomes).await;
        outcomes
    }

    /// Takes an idle connection or opens one; `None` if it is not established in time.
    async fn take_connection(&self, timeout: Time) -> Option<SimulatedStream> {
        let idle = self.idle_connections.borrow_mut().pop();
        if idle.is_some() {
            return idle;
        }
        let environment = self.simulation.network.environment(self.node);
        tokio::select! {
            biased;
            connected = environment.connect(self.router) => connected.ok(),
            () = self.simulation.executor.sleep(timeout) => None,
        }
    }

    /// Sends requests and sets the outcomes of those whose responses arrive in time.
    async fn send_and_receive(
        &self,
        mut stream: SimulatedStream,
        current: &ClientAttempt<'_>,
        outcomes: &mut [ClientAttemptOutcome],
    ) {
        let executor = &self.simulation.executor;
        let started_at = self.now();
        if stream.write_all(&current.bytes()).await.is_err() {
            return;
        }
        if let Some(delay) = current.behavior.disconnect_after {
            executor.sleep(delay).await;
            outcomes.fill(ClientAttemptOutcome::Disconnected);
            return;
        }
        let read_delay = current.behavior.read_delay;
        executor.sleep(read_delay).await;
        let until = started_at + current.longest_timeout() + read_delay + LATE_RESPONSE_GRACE;
        let mut frames = FrameDecoder::default();
        for outcome in outcomes.iter_mut() {
            let Some(response) = self.read_response(&mut stream, &mut frames, until).await else {
                return;
            };
            *outcome = ClientAttemptOutcome::from(&response);
        }
        if frames.buffered_bytes() == 0 {
            self.idle_connections.borrow_mut().push(stream);
        }
    }

    /// Reads the next response; `None` if the connection ends or the time passes before it is
    /// complete.
    async fn read_response(
        &self,
        stream: &mut SimulatedStream,
        frames: &mut FrameDecoder,
        until: Time,
    ) -> Option<Response> {
        let mut buffer = vec![0; 8_192];
        loop {
            match frames.next(self.now()) {
                Ok(Some(DecodedFrame { frame, .. })) => return Some(Response::parse(&frame)),
                Ok(None) => {}
                Err(_) => return None,
            }
            let count = tokio::select! {
                biased;
                read = stream.read(&mut buffer) => read.unwrap_or(0),
                () = self.simulation.executor.sleep_until(until) => 0,
            };
            if count == 0 {
                return None;
            }
            frames.feed(self.now(), &buffer[..count]);
        }
    }
}

/// Encodes the command of an attempt. The request's class determines whether it is a read, and
/// whether a write carries an idempotency key.
fn request_bytes(request: &PlannedRequest, attempt_number: u64) -> Vec<u8> {
    let id = request_id(request.number, attempt_number);
    let class = CLASSES[request.class];
    let tenant = request.number % 2;
    let timeout_ms = request.timeout / MILLI;
    let work_estimate = request.work as u64;
    let retry = if attempt_number > 0 { ",r=1" } else { "" };
    let fields = format!("c={class},t=t{tenant},d={timeout_ms},h={work_estimate}{retry}");
    match request.class {
        0 => read_command(request.key, id, &fields),
        3 => write_command(request.key, id, &fields, b"sheet"),
        _ => {
            let keyed = format!("{fields},k={:016x}", request.number);
            write_command(request.key, id, &keyed, b"sheet")
        }
    }
}
