//! The only caller of the load balancer: turns what happens into its events and executes its
//! actions.
//!
//! The dispatcher owns the timers, the open requests and their attempts. It guarantees that each
//! attempt ends exactly once and that each request gets exactly one final response. All decisions
//! are made by the load balancer. The dispatcher is single-threaded: its state is borrowed only
//! within a call, never across an await.

mod attempts;
mod forwarded_ids;
mod open_requests;
mod stage_requests;
mod timers;

use crate::clock::{Clock, LogTime, to_duration};
use crate::environment::Environment;
use crate::metrics::ResourceUsage;
use crate::mutation::hooks;
use crate::request::{ClientRequest, Response, SubmittedRequest};
use crate::stage::RequestStage;
use crate::upstream::UpstreamPools;
use attempts::AttemptParams;
use load_balancer::{
    Action, AddressClaims, AdminOverride, AttemptNumber, Availability, Diagnostics, Endpoint,
    EndpointUpdate, Event, Micros, OverrideSource, Request, RequestId, Router, ServerId, WarmState,
};
use open_requests::{OpenRequest, OpenRequests, ResponseSink};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use timers::TimerQueue;
use tokio::sync::{Notify, oneshot};

struct State {
    router: Router,
    requests: OpenRequests,
    /// Events that the load balancer has not handled yet.
    events: VecDeque<Event>,
    /// Set while an event is being handled: events caused by its actions are queued.
    is_handling: bool,
    timers: TimerQueue,
}

/// Feeds events to the load balancer and executes its actions; see the module documentation.
pub struct Dispatcher<E: Environment> {
    environment: E,
    state: RefCell<State>,
    upstream: Rc<UpstreamPools<E>>,
    clock: Clock<E>,
    timer_set: Notify,
    subscription_wanted: Notify,
    /// Called when there are events for the stage, while no part of the dispatcher is borrowed.
    stage_listener: RefCell<Option<Rc<dyn Fn()>>>,
}

impl<E: Environment> Dispatcher<E> {
    /// Creates a dispatcher without requests.
    pub fn new(router: Router, upstream: Rc<UpstreamPools<E>>, environment: E) -> Rc<Self> {
        let state = State {
            router,
            requests: OpenRequests::default(),
            events: VecDeque::new(),
            is_handling: false,
            timers: TimerQueue::default(),
        };
        Rc::new(Dispatcher {
            state: RefCell::new(state),
            upstream,
            clock: Clock::new(environment.clone()),
            timer_set: Notify::new(),
            subscription_wanted: Notify::new(),
            stage_listener: RefCell::default(),
            environment,
        })
    }

    /// The current time on the load balancer's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The current time for the log.
    pub fn log_time(&self) -> LogTime {
        self.clock.log_time()
    }

    /// Converts a time on the load balancer's clock to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.to_instant(at)
    }

    fn open_for_client(
        self: &Rc<Self>,
        request: ClientRequest,
        sink: fn(oneshot::Sender<Response>) -> ResponseSink,
    ) -> Option<SubmittedRequest> {
        let (sender, response) = oneshot::channel();
        let id = self.next_id();
        if self.may_have_run(&request) {
            // The receiver is returned below.
            let _ = sender.send(Response::Failed);
            return Some(SubmittedRequest { id, response });
        }
        self.claim_client_id(request.command.id())?;
        self.open(id, request, sink(sender));
        Some(SubmittedRequest { id, response })
    }

    /// Whether a request that must not run twice may have run before, for a client that has left.
    fn may_have_run(&self, request: &ClientRequest) -> bool {
        let state = self.state.borrow();
        let id = request.command.id();
        request.must_run_once && state.requests.may_have_run(self.environment.now(), id)
    }

    fn open(self: &Rc<Self>, id: RequestId, request: ClientRequest, sink: ResponseSink) {
        let expires = hooks::deadline(self.clock.now().plus(request.timeout));
        let write = request.command.is_write();
        let is_shared = matches!(sink, ResponseSink::Stage);
        let shared_attempt_deadline =
            is_shared.then(|| Rc::new(Cell::new(self.clock.to_instant(expires))));
        let open_request = OpenRequest {
            command: Rc::new(request.command),
            expires,
            shared_attempt_deadline,
            sink: Some(sink),
            connection: request.connection,
            charge: request.charge,
            must_run_once: request.must_run_once,
            may_have_run: false,
            abandoned: Rc::default(),
            attempts: Vec::new(),
        };
        self.state.borrow_mut().requests.insert(id, open_request);
        self.handle(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            key: Some(request.key),
            expires,
            cost_hint: request.cost_hint,
            retry: request.retry,
            write,
        }));
    }

    /// Abandons a request that no client waits for. Its attempts in flight continue, except those
    /// that buffer a long value.
    fn abandon(self: &Rc<Self>, id: RequestId) {
        let is_pending = self.state.borrow_mut().requests.abandon(id);
        if is_pending {
            self.handle(Event::ClientDisconnected { id });
            self.remove_if_finished(id);
        }
    }

    /// Answers all pending requests as failed when the process ends.
    pub fn fail_all(self: &Rc<Self>) {
        let unanswered = self.state.borrow().requests.unanswered();
        for id in unanswered {
            let mut state = self.state.borrow_mut();
            state.requests.respond(id, Response::Failed);
            drop(state);
            self.handle(Event::ClientDisconnected { id });
            self.remove_if_finished(id);
        }
    }

    /// The availability of a server; `None` if the server is unknown.
    pub fn availability(&self, server: &ServerId) -> Option<Availability> {
        self.state.borrow().router.availability(server)
    }

    /// Applies an admin override to a server.
    pub fn apply_admin_override(
        self: &Rc<Self>,
        server: ServerId,
        admin_override: AdminOverride,
        source: OverrideSource,
    ) {
        let change = match admin_override {
            AdminOverride::Disabled => "disabled",
            AdminOverride::EnabledAt(_) => "enabled",
        };
        let time = self.clock.log_time();
        self.environment.log(format_args!(
            "override: {server} {change} by {source}, {time}"
        ));
        self.handle(match admin_override {
            AdminOverride::Disabled => Event::ServerDisabled { server },
            AdminOverride::EnabledAt(at) => Event::ServerEnabled { server, at, source },
        });
    }

    /// All admin overrides.
    pub fn admin_overrides(&self) -> Vec<(ServerId, AdminOverride)> {
        self.state
            .borrow()
            .router
            .admin_overrides()
            .map(|(server, admin_override)| (server.clone(), admin_override))
            .collect()
    }

    /// What the load balancer has learned so far.
    pub fn warm_state(&self) -> WarmState {
        self.state.borrow().router.warm_state()
    }

    /// Restores what another process of this router has learned.
    pub fn restore_warm_state(&self, warm_state: WarmState) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.router.restore_warm_state(now, warm_state);
    }

    /// The claims to addresses that a successor has to know.
    pub fn address_claims(&self) -> AddressClaims {
        self.state.borrow().router.address_claims()
    }

    /// Restores the claims to addresses of another process of this router.
    pub fn restore_address_claims(self: &Rc<Self>, claims: AddressClaims) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut actions = Vec::new();
        state
            .router
            .restore_address_claims(now, claims, &mut actions);
        for action in actions {
            self.execute_action(&mut state, action);
        }
    }

    /// How long a connection to a server may stay idle.
    pub fn idle_connection_lifetime(&self) -> Duration {
        to_duration(self.state.borrow().router.idle_connection_lifetime())
    }

    /// The load balancer's current estimates.
    pub fn diagnostics(&self) -> Diagnostics {
        self.state.borrow().router.diagnostics()
    }

    /// The number of listed servers that have their address.
    pub fn listed_endpoints(&self) -> usize {
        self.state.borrow().router.listed_endpoints()
    }

    /// The number of servers that are listed as ready at an address that another process has.
    pub fn endpoints_without_address(&self) -> usize {
        self.state.borrow().router.endpoints_without_address()
    }

    /// The number of listed servers that are currently avoided.
    pub fn avoided_endpoints(&self) -> usize {
        self.state.borrow().router.avoided_endpoints()
    }

    /// Reports a change of the endpoint list or of the watch on it.
    pub fn endpoints_changed(self: &Rc<Self>, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointsChanged { update, endpoints });
    }

    /// Completes when the load balancer subscribes to the endpoint list.
    pub fn subscription_wanted(&self) -> impl Future<Output = ()> {
        self.subscription_wanted.notified()
    }

    /// Fires timers when they are due, until the process ends.
    pub async fn run_timers(self: Rc<Self>) {
        let environment = &self.environment;
        loop {
            let next = self.state.borrow().timers.next();
            tokio::select! {
                biased;
                () = environment.sleep_until(next.unwrap_or_else(|| environment.now())), if next.is_some() => {}
                () = self.timer_set.notified() => continue,
            }
            while let Some(token) = self.pop_due_timer() {
                self.handle(Event::Timer { token });
            }
        }
    }

    fn pop_due_timer(&self) -> Option<u64> {
        let now = self.environment.now();
        self.state.borrow_mut().timers.pop_due(now)
    }

    /// Passes an event to the load balancer and executes the resulting actions, then does the same
    /// for the events that these actions cause.
    fn handle(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        if std::mem::replace(&mut state.is_handling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            let now = self.clock.now();
            state.router.handle(now, hooks::event(event), &mut actions);
            for action in actions.drain(..) {
                self.execute_action(&mut state, hooks::action(action));
            }
        }
        state.is_handling = false;
        let has_stage_events = state.requests.has_stage_events();
        drop(state);
        if has_stage_events {
            let listener = self.stage_listener.borrow().clone();
            if let Some(listener) = listener {
                listener();
            }
        }
    }

    fn execute_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                write_within,
            } => {
                let params = AttemptParams {
                    id,
                    server,
                    timeout,
                    write_within,
                };
                self.send(state, params);
            }
            Action::Cancel { id, attempt } => cancel(state, id, attempt),
            Action::Reject { id, retry_after } => {
                state.requests.respond(id, Response::Rejected(retry_after));
            }
            Action::Fail { id } => state.requests.respond(id, Response::Failed),
            Action::SetTimer { after, token } => {
                let at = self.environment.now() + to_duration(after);
                state.timers.set(at, token);
                self.timer_set.notify_one();
            }
            Action::CloseIdle { server } => self.upstream.close_idle(&server),
            Action::Subscribe => self.subscription_wanted.notify_one(),
            Action::Log(text) => {
                let time = self.clock.log_time();
                self.environment.log(format_args!("{text}, {time}"));
            }
        }
    }

    fn remove_if_finished(&self, id: RequestId) {
        self.state.borrow_mut().requests.remove_if_finished(id);
    }

    /// Counts of the state that the dispatcher and the load balancer keep.
    pub fn resource_usage(&self) -> ResourceUsage {
        let state = self.state.borrow();
        let tracked = state.router.tracked_counts();
        ResourceUsage {
            unanswered_requests: state.requests.unanswered_count(),
            open_requests: state.requests.len(),
            timers: state.timers.len(),
            tracked_requests: tracked.requests,
            tracked_servers: tracked.servers,
            ..ResourceUsage::default()
        }
    }
}

impl<E: Environment> RequestStage for Rc<Dispatcher<E>> {
    fn submit(&self, request: ClientRequest) -> Option<SubmittedRequest> {
        self.open_for_client(request, ResponseSink::Client)
    }

    fn client_disconnected(&self, id: RequestId) {
        self.abandon(id);
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }
}

/// Cancels an attempt unless it has ended.
fn cancel(state: &mut State, id: RequestId, attempt: AttemptNumber) {
    let Some(request) = state.requests.get_mut(id) else {
        return;
    };
    let cancel = request.attempts.get_mut(attempt.0 as usize);
    if let Some(cancel) = cancel.and_then(Option::take) {
        let _ = cancel.send(());
    }
}
