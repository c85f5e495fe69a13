//! The router: passes each event to the modules that hold the decision rules and returns the
//! resulting actions. The rules themselves live in those modules.
//!
//! A request passes through these steps: priority, fetch permission, candidates in ring order,
//! attempt, outcome, and then a final answer or the next attempt. Only `send` sends attempts, and
//! only `answer_unserved` rejects or fails requests.

mod addresses;
mod attempts;
mod fleet;

use crate::action::Action;
use crate::address_ownership::AddressOwnership;
use crate::admin_overrides::AdminOverrides;
use crate::admission::{PriorityContext, ServerLimits};
use crate::concurrency_limit::{INITIAL_TOTAL_IN_FLIGHT, SLOW_RATIO};
use crate::deadline::{DeadlineStep, ShortDeadlineBudget, deadline_step};
use crate::event::Event;
use crate::failure_attribution::FailureAttribution;
use crate::idle_connection_lifetime::IdleConnectionLifetime;
use crate::ids::{RequestId, TenantId};
use crate::key_locations::KeyLocations;
use crate::origin_fetch_limit::{OriginFetchLimit, popularity_level};
use crate::pending::{AttemptState, PendingRequest, PendingRequests};
use crate::placement::VerdictCounts;
use crate::random::Random;
use crate::rejected_requests::RejectedRequests;
use crate::rejection::{is_repeat_harmless, retry_after};
use crate::request::Request;
use crate::retry::RetryBudget;
use crate::ring::{Ring, digest_positions};
use crate::server_table::ServerTable;
use crate::settings::{Class, Settings, SettingsError};
use crate::stale_connections::StaleConnections;
use crate::subscription::Subscription;
use crate::time::Micros;
use crate::timer::{self, TimerPurpose};
use crate::traffic_estimate::TrafficEstimate;

/// The decision state of one router.
pub struct Router {
    pub(crate) settings: Settings,
    random: Random,
    /// The time of the latest event.
    pub(crate) now: Micros,
    /// Actions caused by the current event so far.
    actions: Vec<Action>,
    pub(crate) servers: ServerTable,
    pub(crate) admin_overrides: AdminOverrides,
    address_ownership: AddressOwnership,
    /// When the timer for addresses is due; `None` if none is set.
    address_release_at: Option<Micros>,
    pub(crate) ring: Ring,
    pub(crate) pending: PendingRequests,
    rejected_requests: RejectedRequests,
    pub(crate) retry_budget: RetryBudget,
    short_deadlines: ShortDeadlineBudget,
    pub(crate) origin_fetches: OriginFetchLimit,
    pub(crate) failure_attribution: FailureAttribution,
    /// The initial concurrency limit of a server.
    initial_limit: f64,
    pub(crate) verdict_counts: VerdictCounts,
    pub(crate) key_locations: KeyLocations,
    pub(crate) traffic: TrafficEstimate,
    /// Selects the replica of a hot key that this router prefers, in [0, 1).
    replica_offset: f64,
    /// Latency of hits over all servers, as a moving average.
    pub(crate) typical_latency: Micros,
    stale_connections: StaleConnections,
    pub(crate) idle_connections: IdleConnectionLifetime,
    /// The shortest latency objective of all classes.
    pub(crate) shortest_objective: Micros,
    subscription: Subscription,
    /// Whether discovery has delivered an endpoint list. Servers that are listed later are new.
    has_discovery_list: bool,
}

impl Router {
    /// Creates a router without observations. `seed` initializes the generator for its random
    /// decisions.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.validate()?;
        let mut random = Random::new(seed);
        let replica_offset = random.next_fraction();
        // At least 1, so that the first request is sent however many routers share the fleet.
        let initial_limit = (INITIAL_TOTAL_IN_FLIGHT / f64::from(settings.routers)).max(1.0);
        let shortest_objective = min_time(&settings.classes, |class| class.latency_objective);
        let shortest_useful = min_time(&settings.classes, Class::longest_useful_latency);
        Ok(Router {
            random,
            now: Micros(0),
            actions: Vec::new(),
            servers: ServerTable::default(),
            admin_overrides: AdminOverrides::default(),
            address_ownership: AddressOwnership::default(),
            address_release_at: None,
            ring: Ring::default(),
            pending: PendingRequests::default(),
            rejected_requests: RejectedRequests::new(),
            retry_budget: RetryBudget::new(settings.routers),
            short_deadlines: ShortDeadlineBudget::new(),
            origin_fetches: OriginFetchLimit::new(
                initial_limit,
                shortest_useful.scaled(SLOW_RATIO),
            ),
            failure_attribution: FailureAttribution::new(),
            initial_limit,
            verdict_counts: VerdictCounts::default(),
            key_locations: KeyLocations::new(),
            traffic: TrafficEstimate::new(&settings),
            replica_offset,
            typical_latency: shortest_objective.scaled(SLOW_RATIO),
            stale_connections: StaleConnections::new(),
            idle_connections: IdleConnectionLifetime::new(),
            shortest_objective,
            subscription: Subscription::new(settings.stagger_fraction, settings.routers),
            has_discovery_list: false,
            settings,
        })
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`, in
    /// order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsChanged { update, endpoints } => {
                self.on_endpoints_changed(update, endpoints);
            }
            Event::ServerDisabled { server } => self.on_server_disabled(server),
            Event::ServerEnabled { server, at, source } => {
                self.on_server_enabled(server, at, source);
            }
            Event::Request(request) => self.on_request(request),
            Event::StreamStarted { id, .. } => self.on_stream_started(id),
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::Coalesced {
                id,
                tenant,
                expires,
            } => self.on_coalesced(id, tenant, expires),
            Event::DeadlineShortened { id, expires } => self.on_deadline_shortened(id, expires),
            Event::ClientDisconnected { id } => self.on_client_disconnected(id),
            Event::Timer { token } => self.on_timer(token),
        }
        actions.append(&mut self.actions);
    }

    fn on_timer(&mut self, token: u64) {
        match timer::purpose(token) {
            TimerPurpose::Subscription => self.subscribe(),
            TimerPurpose::Address => self.on_availability_changed(),
            TimerPurpose::Placement => self.on_placement_timer(timer::request(token)),
            TimerPurpose::Deadline => self.on_deadline(timer::request(token)),
        }
    }

    fn set_timer(&mut self, after: Micros, id: RequestId, purpose: TimerPurpose) {
        let token = timer::token(id, purpose);
        self.actions.push(Action::SetTimer { after, token });
    }

    fn on_request(&mut self, request: Request) {
        let is_known_class = request.class.0 < self.settings.classes.len();
        if self.pending.contains(request.id) || !is_known_class {
            return;
        }
        self.traffic.record_tenant(request.tenant);
        let mut pending = self.new_pending_request(request);
        let time_left = pending.request.expires.since(self.now);
        self.set_timer(time_left, pending.request.id, TimerPurpose::Deadline);
        self.place_or_answer(&mut pending);
        self.pending.reinsert_unless_done(pending);
    }

    fn new_pending_request(&mut self, request: Request) -> PendingRequest {
        let text = match request.key {
            Some(key) => key.to_string(),
            None => format!("request {}", request.id.0),
        };
        let [ring_position, arc_position, ..] = digest_positions(text.as_bytes());
        let class = &self.settings.classes[request.class.0];
        let recent_requests = self.traffic.record_request(
            self.now,
            request.class,
            class.priority_weight,
            ring_position,
        );
        let popularity = if request.write {
            0
        } else {
            popularity_level(recent_requests)
        };
        let first_arrived_at = if request.retry {
            self.rejected_requests.take_first_arrival(
                self.now,
                class.deadline,
                &request,
                ring_position,
            )
        } else {
            self.now
        };
        PendingRequest {
            request,
            first_arrived_at,
            ring_position,
            arc_fraction: f64::from(arc_position) / f64::from(u32::MAX),
            attempts: Vec::new(),
            is_answered: false,
            is_streaming: false,
            popularity,
            has_missed: false,
        }
    }

    fn on_stream_started(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.is_streaming = true;
        }
    }

    fn on_deadline_shortened(&mut self, id: RequestId, expires: Micros) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.request.expires = expires;
        }
    }

    /// Counts the joining client for its own tenant. The request then has the tenant with the
    /// higher limit multiplier.
    fn on_coalesced(&mut self, id: RequestId, tenant: Option<TenantId>, expires: Micros) {
        self.traffic.record_tenant(tenant);
        let Some(mut pending) = self.pending.remove(id) else {
            return;
        };
        let old_tenant = pending.request.tenant;
        let old_multiplier = self.priority_context().limit_multiplier(&pending);
        pending.request.expires = pending.request.expires.max(expires);
        pending.request.tenant = tenant;
        if self.priority_context().limit_multiplier(&pending) < old_multiplier {
            pending.request.tenant = old_tenant;
        }
        self.pending.insert(pending);
    }

    /// Remembers an unanswered request of a client that disconnected, since the client may retry
    /// it.
    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(mut pending) = self.pending.remove(id) else {
            return;
        };
        if !pending.is_answered {
            self.mark_answered_unserved(&mut pending);
        }
        self.pending.reinsert_unless_done(pending);
    }

    /// Tries again to place a request for which no server was found.
    fn on_placement_timer(&mut self, id: RequestId) {
        let Some(mut pending) = self.pending.remove(id) else {
            return;
        };
        if !pending.is_answered && !pending.has_attempt_in_flight() {
            self.place_or_answer(&mut pending);
        }
        self.pending.reinsert_unless_done(pending);
    }

    fn on_deadline(&mut self, id: RequestId) {
        let Some(mut pending) = self.pending.remove(id) else {
            return;
        };
        match deadline_step(&pending, &self.settings.rules, self.now) {
            DeadlineStep::Streaming => self.pending.reinsert_unless_done(pending),
            DeadlineStep::Wait(time_left) => {
                self.set_timer(time_left, id, TimerPurpose::Deadline);
                self.pending.reinsert_unless_done(pending);
            }
            DeadlineStep::AnswerWithGrace(grace) => {
                self.answer_unserved(&mut pending);
                self.set_timer(grace, id, TimerPurpose::Deadline);
                self.pending.reinsert_unless_done(pending);
            }
            DeadlineStep::AnswerAndRelease => {
                self.answer_unserved(&mut pending);
                self.release_attempts(&pending);
            }
        }
    }

    fn release_attempts(&mut self, pending: &PendingRequest) {
        for attempt in &pending.attempts {
            if attempt.state == AttemptState::InFlight {
                self.release(attempt.server, attempt.is_fetch);
            }
        }
    }

    /// Sends an attempt if a server is found. Without any server on the ring the request waits for
    /// one; otherwise it is rejected or failed.
    fn place_or_answer(&mut self, pending: &mut PendingRequest) {
        match self.choose_server(pending) {
            Some(server) if self.send(pending, server) => {}
            None if self.ring.is_empty() && pending.request.expires > self.now => {
                // A shorter interval gains nothing: an attempt needs at least this time to be
                // useful.
                let after = self.class(pending).minimum_retry_time();
                self.set_timer(after, pending.request.id, TimerPurpose::Placement);
            }
            _ => self.answer_unserved(pending),
        }
    }

    /// Rejects or fails a request that no server serves. Nothing else produces these two actions.
    fn answer_unserved(&mut self, pending: &mut PendingRequest) {
        if pending.is_answered || pending.is_streaming {
            return;
        }
        self.mark_answered_unserved(pending);
        let id = pending.request.id;
        let jitter = self.random.next_fraction();
        let action = if is_repeat_harmless(pending, self.class(pending).idempotency) {
            let retry_after = retry_after(&self.settings.limits, self.typical_latency, jitter);
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        };
        self.actions.push(action);
    }

    fn mark_answered_unserved(&mut self, pending: &mut PendingRequest) {
        pending.is_answered = true;
        self.rejected_requests.insert(
            pending.ring_position,
            &pending.request,
            pending.first_arrived_at,
        );
    }

    fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class.0]
    }

    fn router_count(&self) -> f64 {
        f64::from(self.settings.routers)
    }

    fn priority_context(&self) -> PriorityContext<'_> {
        PriorityContext {
            settings: &self.settings,
            traffic: &self.traffic,
            now: self.now,
            typical_latency: self.typical_latency,
        }
    }

    fn server_limits(&self) -> ServerLimits<'_> {
        let ready_servers = self.ring.server_count() as f64;
        ServerLimits {
            now: self.now,
            rules: &self.settings.rules,
            interarrival_per_server: self.traffic.mean_interarrival().scaled(ready_servers),
        }
    }
}

/// The minimum of a time over all classes; 0 without classes.
fn min_time(classes: &[Class], time: impl Fn(&Class) -> Micros) -> Micros {
    classes.iter().map(time).min().unwrap_or_default()
}
