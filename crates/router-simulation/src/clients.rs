//! Stand-ins for clients: they keep connections, wait as long as they said, and try again as the protocol lets them.

use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{CLASSES, MILLI, PlannedRequest, RunPlan};
use crate::network::{Network, SimulatedStream};
use crate::wire::{FrameDecoder, Response, command};
use router_runtime::environment::Environment;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Tries of one ask.
const MAX_TRY_COUNT: u64 = 3;
/// A client that was told nothing on when to come back waits so long.
const BACK_OFF: Time = 30 * MILLI;
/// A client gives a connection up so long after its time was up: late enough to see a late answer.
const ANSWER_GRACE: Time = 120 * MILLI;

/// What became of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Served,
    Rejected(Option<u64>),
    Failed,
    /// Nothing was sent: no connection came up.
    Unreachable,
    /// The client left by itself.
    Left,
}

/// How a client behaves with one ask.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// It leaves so long after it has asked.
    pub leaves: Option<Time>,
    /// It reads its answer so much later.
    pub reads_late: Time,
}

/// The clients of one router.
pub struct Clients {
    executor: Executor,
    network: Network,
    node: Node,
    router: SocketAddr,
    plan: Rc<RunPlan>,
    idle: RefCell<Vec<SimulatedStream>>,
}

impl Clients {
    /// On this machine, for the router at this address.
    pub fn new(
        executor: Executor,
        network: Network,
        node: Node,
        router: SocketAddr,
        plan: Rc<RunPlan>,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            executor,
            network,
            node,
            router,
            plan,
            idle: RefCell::default(),
        })
    }

    /// Asks all of these at once, on one connection, and tries again what may be tried again.
    pub fn send(self: &Rc<Self>, requests: Vec<PlannedRequest>, behavior: ClientBehavior) {
        let clients = self.clone();
        self.executor.spawn(self.node, async move {
            let outcomes = clients.try_all(&requests, 0, behavior).await;
            for (request, outcome) in requests.into_iter().zip(outcomes) {
                let again = clients.clone();
                clients.executor.spawn(
                    clients.node,
                    async move { again.retry(request, outcome).await },
                );
            }
        });
    }

    /// Asks all of these at once, on one connection, and again what was declined, still on one: a crowd keeps the
    /// connections that it has.
    pub fn send_as_crowd(
        self: &Rc<Self>,
        mut requests: Vec<PlannedRequest>,
        behavior: ClientBehavior,
    ) {
        let clients = self.clone();
        self.executor.spawn(self.node, async move {
            for number in 0..MAX_TRY_COUNT {
                let outcomes = clients.try_all(&requests, number, behavior).await;
                let mut pause = 0;
                let declined =
                    requests
                        .into_iter()
                        .zip(outcomes)
                        .filter_map(|(request, outcome)| {
                            let after = match outcome {
                                RequestOutcome::Rejected(after) => {
                                    after.map_or(BACK_OFF, |millis| millis * MILLI)
                                }
                                RequestOutcome::Unreachable => BACK_OFF,
                                RequestOutcome::Failed if request.class == 0 => BACK_OFF,
                                RequestOutcome::Failed
                                | RequestOutcome::Served
                                | RequestOutcome::Left => return None,
                            };
                            pause = pause.max(after);
                            Some(request)
                        });
                requests = declined.collect();
                clients.executor.sleep(pause).await;
                requests.retain_mut(|request| {
                    let deadline = request.at + clients.plan.longest_deadline();
                    request.timeout = request
                        .timeout
                        .min(deadline.saturating_sub(clients.executor.now()));
                    request.timeout >= 50 * MILLI
                });
                if requests.is_empty() {
                    return;
                }
            }
        });
    }

    async fn retry(self: Rc<Self>, request: PlannedRequest, mut outcome: RequestOutcome) {
        let deadline = request.at + self.plan.longest_deadline();
        for number in 1..MAX_TRY_COUNT {
            let pause = match outcome {
                RequestOutcome::Served | RequestOutcome::Left => return,
                RequestOutcome::Rejected(after) => after.map_or(BACK_OFF, |millis| millis * MILLI),
                RequestOutcome::Unreachable => BACK_OFF,
                RequestOutcome::Failed if request.class == 0 => BACK_OFF,
                // Within the time for which its key is remembered, and a margin for the way.
                RequestOutcome::Failed
                    if request.class == 1
                        && self.executor.now() + request.timeout
                            < request.at + self.plan.deduplication_window =>
                {
                    BACK_OFF
                }
                RequestOutcome::Failed => return,
            };
            self.executor.sleep(pause).await;
            let left = deadline.saturating_sub(self.executor.now());
            if left < 50 * MILLI {
                return;
            }
            let retry = PlannedRequest {
                timeout: request.timeout.min(left),
                ..request.clone()
            };
            let tried = self
                .try_all(&[retry], number, ClientBehavior::default())
                .await;
            outcome = tried.first().copied().unwrap_or(RequestOutcome::Failed);
        }
    }

    /// One try of these, on one connection: what became of each.
    async fn try_all(
        &self,
        requests: &[PlannedRequest],
        number: u64,
        behavior: ClientBehavior,
    ) -> Vec<RequestOutcome> {
        let mut outcomes = vec![RequestOutcome::Unreachable; requests.len()];
        let idle_stream = self.idle.borrow_mut().pop();
        let stream = match idle_stream {
            Some(stream) => stream,
            None => {
                let environment = self.network.environment(self.node);
                let longest = requests
                    .iter()
                    .map(|request| request.timeout)
                    .max()
                    .unwrap_or_default();
                tokio::select! {
                    biased;
                    dialled = environment.connect(self.router) => match dialled {
                        Ok(stream) => stream,
                        Err(_) => return outcomes,
                    },
                    () = self.executor.sleep(longest) => return outcomes,
                }
            }
        };
        outcomes.fill(RequestOutcome::Failed);
        self.exchange(stream, requests, number, behavior, &mut outcomes)
            .await;
        outcomes
    }

    async fn exchange(
        &self,
        mut stream: SimulatedStream,
        requests: &[PlannedRequest],
        number: u64,
        behavior: ClientBehavior,
        outcomes: &mut [RequestOutcome],
    ) {
        let now = self.executor.now();
        let bytes: Vec<u8> = requests
            .iter()
            .flat_map(|request| request_bytes(request, number))
            .collect();
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        if let Some(time) = behavior.leaves {
            self.executor.sleep(time).await;
            outcomes.fill(RequestOutcome::Left);
            return;
        }
        self.executor.sleep(behavior.reads_late).await;
        let longest = requests
            .iter()
            .map(|request| request.timeout)
            .max()
            .unwrap_or_default();
        let until = now + longest + behavior.reads_late + ANSWER_GRACE;
        let (mut frames, mut buffer) = (FrameDecoder::default(), vec![0; 8_192]);
        for outcome in outcomes.iter_mut() {
            *outcome = loop {
                match frames.next(self.executor.now()) {
                    Ok(Some((frame, _))) => match Response::of(&frame) {
                        Response::Served(_) => break RequestOutcome::Served,
                        Response::Rejected(after) => break RequestOutcome::Rejected(after),
                        Response::Failed => break RequestOutcome::Failed,
                    },
                    Ok(None) => {}
                    Err(_) => return,
                }
                let read = tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => read.unwrap_or(0),
                    () = self.executor.sleep_until(until) => 0,
                };
                if read == 0 {
                    return;
                }
                frames.feed(self.executor.now(), &buffer[..read]);
            };
        }
        if frames.buffered_bytes() == 0 {
            self.idle.borrow_mut().push(stream);
        }
    }
}

fn request_bytes(request: &PlannedRequest, number: u64) -> Vec<u8> {
    let id = format!("{:016x}", u64::from(request.number) << 8 | number);
    let key = format!("{:016x}", request.key);
    let work_estimate = request.work as u64;
    let again = if number > 0 { ",r=1" } else { "" };
    let fields = format!(
        "c={},t=t{},d={},h={work_estimate}{again}",
        CLASSES[request.class],
        request.number % 2,
        request.timeout / MILLI
    );
    let keyed = format!("{fields},k={:016x}", request.number);
    match request.class {
        0 => command(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields.as_bytes()]),
        3 => command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            fields.as_bytes(),
            b"sheet",
        ]),
        _ => command(&[
            b"C.SET",
            key.as_bytes(),
            id.as_bytes(),
            keyed.as_bytes(),
            b"sheet",
        ]),
    }
}
