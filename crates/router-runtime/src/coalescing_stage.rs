//! The request stage that coalesces reads: identical reads share a flight.
//!
//! It holds the response channels of the waiters and executes the decisions of
//! [`request_coalescing`]. Without rules it only passes requests on. It is single-threaded: its
//! state is borrowed only within a call, never across an await.

use crate::dispatcher::Dispatcher;
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::request::{ClientRequest, Response, SubmittedRequest};
use crate::stage::{RequestStage, StageEvent};
use load_balancer::{Micros, RequestId};
use request_coalescing::{
    Action, Coalescer, CoalescingRules, Counters, Event, FlightId, FlightOutcome, Read,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, oneshot};

/// Protocol fields that do not change an answer: class (compared separately), tenant, deadline,
/// cost hint, retry and idempotency key.
const IGNORED_FIELDS: [&str; 6] = ["c", "t", "d", "h", "r", "k"];

/// The field that names the tenant.
const TENANT_FIELD: &str = "t";

/// A read that waits for a flight.
struct Waiter {
    response: oneshot::Sender<Response>,
    /// The client-chosen id, claimed until the response.
    client_id: Rc<[u8]>,
    request: hooks::WaiterRequest,
}

struct State {
    coalescer: Coalescer,
    waiters: FxHashMap<RequestId, Waiter>,
    /// Empty between events; kept to reuse its capacity.
    actions: Vec<Action>,
}

/// The state of the stage when coalescing is enabled.
struct Coalescing {
    rules: CoalescingRules,
    may_cancel: bool,
    state: RefCell<State>,
    /// Notified when the earliest deadline of all waiters becomes earlier.
    deadline_moved: Notify,
}

/// The data of an event that its actions need.
enum EventPayload {
    None,
    /// The read that has arrived.
    Request(ClientRequest),
    /// The response of the flight that has ended.
    Response(Response),
}

impl EventPayload {
    fn take_request(&mut self) -> Option<ClientRequest> {
        match std::mem::replace(self, EventPayload::None) {
            EventPayload::Request(request) => Some(request),
            payload => {
                *self = payload;
                None
            }
        }
    }

    fn response(&self) -> Option<&Response> {
        match self {
            EventPayload::Response(response) => Some(response),
            EventPayload::None | EventPayload::Request(_) => None,
        }
    }
}

/// Counters of coalescing, and how many reads and flights are pending.
pub struct CoalescingUsage {
    /// Counts since the start of the process.
    pub counters: Counters,
    /// Reads that currently wait.
    pub waiters: usize,
    /// Flights that reads currently wait for.
    pub flights: usize,
}

/// The coalescing stage; see the module documentation.
pub struct CoalescingStage<E: Environment> {
    environment: E,
    dispatcher: Rc<Dispatcher<E>>,
    /// `None` if coalescing is disabled.
    coalescing: Option<Coalescing>,
}

impl<E: Environment> CoalescingStage<E> {
    /// Creates a stage that coalesces by these rules, or passes all requests on if there are none.
    /// With `may_cancel`, attempts that no client waits for are cancelled.
    pub fn new(
        dispatcher: Rc<Dispatcher<E>>,
        rules: Option<CoalescingRules>,
        may_cancel: bool,
        environment: E,
    ) -> Rc<Self> {
        let stage = Rc::new(CoalescingStage {
            environment,
            dispatcher,
            coalescing: rules.map(|rules| Coalescing::new(rules, may_cancel)),
        });
        if stage.coalescing.is_some() {
            let listener = Rc::downgrade(&stage);
            stage.dispatcher.on_stage_events(move || {
                if let Some(stage) = listener.upgrade() {
                    stage.handle_stage_events();
                }
            });
        }
        stage
    }

    fn join(&self, coalescing: &Coalescing, request: ClientRequest) -> Option<SubmittedRequest> {
        let client_id = self.dispatcher.claim_client_id(request.command.id())?;
        let (sender, response) = oneshot::channel();
        let id = self.dispatcher.next_id();
        let key = request.command.key().clone();
        let variant = coalescing.variant(&request);
        let expires = self.dispatcher.now().plus(request.timeout);
        let waiter = Waiter {
            response: sender,
            client_id,
            request: hooks::WaiterRequest::new(&request, expires),
        };
        coalescing.state.borrow_mut().waiters.insert(id, waiter);
        let read = Read {
            id,
            class: request.class,
            tenant: request.tenant,
            key: &key,
            variant: &variant,
            expires,
        };
        self.handle(
            coalescing,
            Event::Read(read),
            EventPayload::Request(request),
        );
        Some(SubmittedRequest { id, response })
    }

    /// Answers waiters at their own deadlines, until the process ends.
    pub async fn run(self: Rc<Self>) {
        let Some(coalescing) = &self.coalescing else {
            return;
        };
        loop {
            let due = self.next_waiter_deadline(coalescing);
            tokio::select! {
                biased;
                () = coalescing.deadline_moved.notified() => {}
                () = self.environment.sleep_until(due.unwrap_or_else(|| self.environment.now())), if due.is_some() => {}
            }
            hooks::expire_waiters(|| {
                self.handle(coalescing, Event::DeadlineReached, EventPayload::None)
            });
        }
    }

    fn next_waiter_deadline(&self, coalescing: &Coalescing) -> Option<Instant> {
        let deadline = coalescing.state.borrow().coalescer.next_deadline();
        let deadline = hooks::next_waiter_deadline(deadline)?;
        Some(self.dispatcher.instant(deadline))
    }

    /// Handles the events that the dispatcher has queued for the stage.
    fn handle_stage_events(&self) {
        let Some(coalescing) = &self.coalescing else {
            return;
        };
        while let Some(event) = self.dispatcher.next_stage_event() {
            match event {
                StageEvent::WriteEnded(key) => self.separate_reads(coalescing, &key),
                StageEvent::Retried(id) => {
                    let flight = FlightId(id);
                    self.handle(coalescing, Event::Retried { flight }, EventPayload::None);
                }
                StageEvent::Responded(id, response) => {
                    let event = Event::FlightEnded {
                        flight: FlightId(id),
                        outcome: flight_outcome(&response),
                    };
                    self.handle(coalescing, event, EventPayload::Response(response));
                }
            }
        }
    }

    /// Called when a write begins or ends: later reads on its key do not join flights that began
    /// before.
    fn separate_reads(&self, coalescing: &Coalescing, key: &[u8]) {
        hooks::end_coalescing(|| self.handle(coalescing, Event::Write { key }, EventPayload::None));
    }

    /// Passes an event to the coalescer and executes the resulting actions.
    fn handle(&self, coalescing: &Coalescing, event: Event<'_>, mut payload: EventPayload) {
        let now = self.dispatcher.now();
        let mut actions = std::mem::take(&mut coalescing.state.borrow_mut().actions);
        let deadline_before = coalescing.state.borrow().coalescer.next_deadline();
        coalescing
            .state
            .borrow_mut()
            .coalescer
            .handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(coalescing, action, &mut payload);
        }
        coalescing.state.borrow_mut().actions = actions;
        coalescing.wake_if_earlier_than(deadline_before);
    }

    fn execute_action(&self, coalescing: &Coalescing, action: Action, payload: &mut EventPayload) {
        match action {
            Action::Open { flight } => {
                if let Some(request) = payload.take_request() {
                    self.dispatcher.open_shared(flight.0, request);
                }
            }
            Action::Join {
                flight,
                tenant,
                expires,
            } => self.dispatcher.join_shared(flight.0, tenant, expires),
            Action::Bypass { id } => {
                let waiter = coalescing.remove_waiter(id);
                if let (Some(waiter), Some(request)) = (waiter, payload.take_request()) {
                    self.dispatcher.submit_claimed(id, request, waiter.response);
                }
            }
            Action::Answer { id, outcome } => {
                self.answer_waiter(coalescing, id, outcome, payload.response());
            }
            Action::Shorten { flight, expires } => {
                self.dispatcher.shorten_shared(flight.0, expires);
            }
            Action::Withdraw { flight } => {
                self.dispatcher
                    .withdraw_shared(flight.0, coalescing.may_cancel);
            }
        }
    }

    /// The only function that sends a waiter the final response of its flight.
    fn answer_waiter(
        &self,
        coalescing: &Coalescing,
        id: RequestId,
        outcome: FlightOutcome,
        response: Option<&Response>,
    ) {
        let Some(waiter) = coalescing.remove_waiter(id) else {
            return;
        };
        // Always `None` without the feature `mutations`; see `mutation::hooks`.
        if response.is_some()
            && outcome != FlightOutcome::Served
            && let Some(request) = waiter.request.after_failed_flight(self.dispatcher.now())
        {
            let id = self.dispatcher.next_id();
            return self.dispatcher.submit_claimed(id, request, waiter.response);
        }
        self.dispatcher.release_client_id(&waiter.client_id);
        let response = match (outcome, response) {
            // All waiters share the same bytes.
            (FlightOutcome::Served, Some(Response::Served(answer))) => {
                Response::Served(answer.clone())
            }
            (FlightOutcome::Rejected(after), _) => Response::Rejected(after),
            _ => Response::Failed,
        };
        // If the client has just disconnected, its connection notices that.
        let _ = waiter.response.send(response);
    }

    /// The counters and the current usage; `None` if coalescing is disabled.
    pub fn usage(&self) -> Option<CoalescingUsage> {
        let state = self.coalescing.as_ref()?.state.borrow();
        let usage = state.coalescer.usage();
        Some(CoalescingUsage {
            counters: state.coalescer.counters(),
            waiters: usage.waiters,
            flights: usage.flights,
        })
    }

    /// The age of the oldest flight.
    pub fn oldest_flight_age(&self) -> Option<Micros> {
        let state = self.coalescing.as_ref()?.state.borrow();
        state.coalescer.oldest_flight_age(self.dispatcher.now())
    }
}

impl<E: Environment> RequestStage for CoalescingStage<E> {
    fn submit(&self, request: ClientRequest) -> Option<SubmittedRequest> {
        let Some(coalescing) = &self.coalescing else {
            return self.dispatcher.submit(request);
        };
        if hooks::is_write(request.command.is_write()) {
            self.separate_reads(coalescing, request.command.key());
            return self.dispatcher.submit_write(request);
        }
        if coalescing.is_coalesced(&request) {
            self.join(coalescing, request)
        } else {
            self.dispatcher.submit(request)
        }
    }

    fn client_disconnected(&self, id: RequestId) {
        let Some(coalescing) = &self.coalescing else {
            return self.dispatcher.client_disconnected(id);
        };
        let Some(waiter) = coalescing.remove_waiter(id) else {
            return self.dispatcher.client_disconnected(id);
        };
        self.dispatcher.release_client_id(&waiter.client_id);
        self.handle(
            coalescing,
            Event::ClientDisconnected { id },
            EventPayload::None,
        );
    }

    fn now(&self) -> Micros {
        self.dispatcher.now()
    }
}

impl Coalescing {
    fn new(rules: CoalescingRules, may_cancel: bool) -> Self {
        let coalescer = Coalescer::new(rules.bounds, &rules.classes)
            .with_max_retry_after(rules.max_retry_after);
        let state = State {
            coalescer,
            waiters: FxHashMap::default(),
            actions: Vec::new(),
        };
        Coalescing {
            rules,
            may_cancel,
            state: RefCell::new(state),
            deadline_moved: Notify::new(),
        }
    }

    /// Whether reads of this request's class are coalesced.
    fn is_coalesced(&self, request: &ClientRequest) -> bool {
        let is_coalesced = self.rules.is_coalesced.get(request.class.0).copied();
        hooks::is_coalesced(is_coalesced.unwrap_or(false))
    }

    /// What distinguishes a read from others of its class and key.
    fn variant(&self, request: &ClientRequest) -> Vec<u8> {
        request.command.variant(|field| {
            let by_tenant = field == TENANT_FIELD && self.rules.per_tenant;
            (IGNORED_FIELDS.contains(&field) && !by_tenant)
                || self
                    .rules
                    .ignored_fields
                    .iter()
                    .any(|ignored| ignored == field)
        })
    }

    fn remove_waiter(&self, id: RequestId) -> Option<Waiter> {
        self.state.borrow_mut().waiters.remove(&id)
    }

    /// Wakes the task that waits for the earliest deadline of all waiters, if that has become
    /// earlier.
    fn wake_if_earlier_than(&self, deadline_before: Option<Micros>) {
        let deadline = self.state.borrow().coalescer.next_deadline();
        if deadline.is_some_and(|deadline| deadline_before.is_none_or(|before| deadline < before)) {
            self.deadline_moved.notify_one();
        }
    }
}

fn flight_outcome(response: &Response) -> FlightOutcome {
    match response {
        Response::Served(_) | Response::Streamed(_) => FlightOutcome::Served,
        Response::Rejected(after) => FlightOutcome::Rejected(*after),
        Response::Failed => FlightOutcome::Failed,
    }
}
