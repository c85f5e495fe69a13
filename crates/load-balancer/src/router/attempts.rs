//! Attempts: choosing a server, sending, and recording how the attempt ended.

use super::Router;
use crate::action::Action;
use crate::attempt_feedback::{
    AttemptFeedback, EndedAttempt, FeedbackContext, had_too_little_time, suggests_hot_key,
};
use crate::deadline::TimeLeft;
use crate::origin_fetch_limit::{FetchPermission, FetchRequest};
use crate::pending::{Attempt, AttemptState, PendingRequest};
use crate::placement::{
    CandidateWalk, FleetUsage, Placement, PlacementInputs, choose_origin, hot_key_replica_count,
    replica_weight_to_skip,
};
use crate::request::{AttemptEnd, Outcome};
use crate::retry::{self, AttemptTarget, AttemptTimeout, PossibleRun};
use crate::settings::CacheMode;
use crate::slow_start::SlowStart;
use crate::stale_connections::had_stale_connection;
use crate::time::Micros;

impl Router {
    /// Chooses the server for the next attempt of a request and returns its index. If the placement
    /// costs a retry token, the token is spent here, even when [`Router::send`] then refuses to
    /// send.
    pub(super) fn choose_server(&mut self, pending: &PendingRequest) -> Option<usize> {
        let limit_multiplier = self.priority_context().limit_multiplier(pending);
        let random_fraction = self.random.next_fraction();
        let is_through = self.settings.mode == CacheMode::Through;
        if !is_through && (pending.request.write || pending.has_missed) {
            return choose_origin(&self.servers, limit_multiplier, random_fraction);
        }
        let fetch = self.fetch_permission(pending, limit_multiplier);
        let placement = self.place(pending, limit_multiplier, fetch)?;
        if placement.costs_retry_token {
            self.retry_budget.spend_token();
        }
        Some(placement.server)
    }

    /// The permission to send a request that may cause an origin fetch. In cache-aside mode cache
    /// servers do not fetch, so there is no limit.
    fn fetch_permission(
        &mut self,
        pending: &PendingRequest,
        limit_multiplier: f64,
    ) -> FetchPermission {
        if self.settings.mode != CacheMode::Through {
            return FetchPermission::UNLIMITED;
        }
        let undecided = self
            .pending
            .undecided_fetches(self.now, self.typical_latency);
        let ready_servers = self.ring.server_count().max(1) as f64;
        let hit_time_per_router = self
            .typical_latency
            .scaled(self.router_count() / ready_servers);
        let request = FetchRequest {
            popularity: pending.popularity,
            limit_multiplier,
            hit_time_per_router,
        };
        self.origin_fetches
            .permission(self.now, &undecided, &request)
    }

    /// Walks over the candidates on the ring and returns the first one that accepts the request.
    fn place(
        &mut self,
        pending: &PendingRequest,
        limit_multiplier: f64,
        fetch: FetchPermission,
    ) -> Option<Placement> {
        let ready_servers = self.ring.server_count();
        let key_share = self.traffic.key_share(pending.ring_position);
        let replicas = hot_key_replica_count(key_share, ready_servers);
        let weight_to_skip =
            replica_weight_to_skip(pending, replicas, self.replica_offset, ready_servers);
        let mut counts = std::mem::take(&mut self.verdict_counts);
        let inputs = self.placement_inputs(pending, limit_multiplier, fetch);
        let placement = CandidateWalk::new(inputs, weight_to_skip).run(&self.ring, &mut counts);
        self.verdict_counts = counts;
        placement
    }

    fn placement_inputs<'a>(
        &'a self,
        pending: &'a PendingRequest,
        limit_multiplier: f64,
        fetch: FetchPermission,
    ) -> PlacementInputs<'a> {
        let rules = &self.settings.rules;
        let weight_kind = self.settings.weight_kind;
        PlacementInputs {
            pending,
            servers: &self.servers,
            key_locations: &self.key_locations,
            now: self.now,
            weight_kind,
            shortest_objective: self.shortest_objective,
            slow_start: SlowStart {
                now: self.now,
                rules,
                router_count: self.router_count(),
                typical_latency: self.typical_latency,
            },
            limits: self.server_limits(),
            priority: self.priority_context().priority(pending, limit_multiplier),
            fetch,
            has_retry_token: self.retry_budget.has_token(),
            fleet: FleetUsage::measure(&self.servers, self.now, rules, weight_kind),
            ready_servers: self.ring.server_count(),
        }
    }

    /// Sends an attempt unless [`Router::may_send`] forbids it, and returns whether it was sent.
    /// All attempts go through this function, so that the conditions hold however the server was
    /// chosen.
    pub(super) fn send(&mut self, pending: &mut PendingRequest, index: usize) -> bool {
        if !self.may_send(pending, index) {
            return false;
        }
        let time_left = self.time_left(pending, index);
        self.short_deadlines.record_send(time_left);
        let is_fetch = self.is_likely_fetch(pending, index);
        let idle = self.take_idle_connection(index);
        let class = self.class(pending);
        let write_within = retry::deduplication_window_left(pending, class, self.now);
        pending.attempts.push(Attempt {
            server: index,
            sent_at: self.now,
            state: AttemptState::InFlight,
            is_fetch,
            time_left,
            popularity: pending.popularity,
            idle,
            had_stale_connection: false,
        });
        self.record_send(index, is_fetch);
        let timeout = self.attempt_timeout(pending, index);
        self.actions.push(Action::Send {
            id: pending.request.id,
            server: self.servers[index].endpoint.server.clone(),
            timeout,
            write_within,
        });
        true
    }

    fn may_send(&self, pending: &PendingRequest, index: usize) -> bool {
        let server = &self.servers[index];
        retry::may_send_attempt(pending, &self.settings.limits, self.now)
            && server.is_accepting()
            && self.short_deadlines.allows(self.time_left(pending, index))
            && self.idempotency_allows(pending, index)
    }

    fn time_left(&self, pending: &PendingRequest, index: usize) -> TimeLeft {
        let time_left = pending.request.expires.since(self.now);
        TimeLeft::new(time_left, self.servers[index].queue.fastest_average())
    }

    fn idempotency_allows(&self, pending: &PendingRequest, index: usize) -> bool {
        let Some(first) = pending.first_possible_run() else {
            return true;
        };
        retry::idempotency_allows(
            self.class(pending).idempotency,
            PossibleRun {
                endpoint: &self.servers[first.server].endpoint,
                sent_at: first.sent_at,
            },
            self.now,
            &self.servers[index],
        )
    }

    fn is_likely_fetch(&self, pending: &PendingRequest, index: usize) -> bool {
        let is_cached = self.key_locations.contains(pending.ring_position, index);
        self.settings.mode == CacheMode::Through && (pending.request.write || !is_cached)
    }

    /// The idle time of the connection that the next attempt reuses; `None` for a new connection.
    /// Closes idle connections that are probably stale.
    fn take_idle_connection(&mut self, index: usize) -> Option<Micros> {
        let server = &self.servers[index];
        let idle = server.idle_time(self.now, self.settings.connection_idle_timeout)?;
        if self.stale_connections.is_stale(self.now, idle) {
            let server = server.endpoint.server.clone();
            self.actions.push(Action::CloseIdle { server });
            return None;
        }
        Some(idle)
    }

    fn record_send(&mut self, index: usize, is_fetch: bool) {
        let interval = self.server_limits().paced_interval(&self.servers[index]);
        self.servers[index].record_send(self.now, interval, is_fetch);
        if is_fetch {
            self.origin_fetches.in_flight += 1;
        }
    }

    fn attempt_timeout(&self, pending: &PendingRequest, index: usize) -> Option<Micros> {
        let server = &self.servers[index];
        let timeout = AttemptTimeout {
            pending,
            class: self.class(pending),
            limits: &self.settings.limits,
            budget: &self.retry_budget,
            now: self.now,
        };
        timeout.for_target(AttemptTarget {
            typical_latency: self.typical_latency.max(server.typical_latency),
            is_unresponsive: server.is_unresponsive(self.now, self.shortest_objective),
            is_origin: server.is_origin,
        })
    }

    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let Some(mut pending) = self.pending.remove(end.id) else {
            return;
        };
        if let Some(attempt) = self.end_attempt(&mut pending, &end) {
            let end =
                self.failure_attribution
                    .attribute(end, self.settings.mode, self.typical_latency);
            let ended = EndedAttempt { attempt, end };
            if had_too_little_time(&end, self.class(&pending)) {
                self.record_early_timeout(&ended);
            } else {
                self.record_attempt_end(&pending, &ended);
            }
            pending.is_answered |= end.is_answered;
            pending.has_missed |= end.outcome == Outcome::Miss;
            if !pending.is_answered && !pending.has_attempt_in_flight() {
                self.retry_or_answer(&mut pending, &ended);
            }
        }
        self.pending.reinsert_unless_done(pending);
    }

    /// Marks an attempt as ended and returns it; `None` if it was not in flight.
    fn end_attempt(&self, pending: &mut PendingRequest, end: &AttemptEnd) -> Option<Attempt> {
        let attempt = pending.attempt_in_flight(end.attempt)?;
        let typical_latency = self.servers[attempt.server].typical_latency;
        attempt.had_stale_connection = had_stale_connection(end, typical_latency);
        attempt.state = if end.outcome.never_ran() {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        Some(*attempt)
    }

    fn retry_or_answer(&mut self, pending: &mut PendingRequest, ended: &EndedAttempt) {
        let has_time = retry::has_time_for_retry(pending, self.class(pending), self.now);
        let had_stale_connection = ended.attempt.had_stale_connection;
        let budget = &mut self.retry_budget;
        if has_time && retry::admit_retry(&ended.end, had_stale_connection, budget) {
            self.place_or_answer(pending);
        } else {
            self.answer_unserved(pending);
        }
    }

    /// Records a timeout that shows nothing. The origin may still work on a fetch.
    fn record_early_timeout(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { attempt, end } = ended;
        self.release(attempt.server, attempt.is_fetch);
        if attempt.is_fetch {
            self.origin_fetches.record_unfinished(self.now, end.elapsed);
        }
    }

    /// Updates all estimates and limits that depend on how an attempt ended.
    fn record_attempt_end(&mut self, pending: &PendingRequest, ended: &EndedAttempt) {
        let now = self.now;
        let shortest_objective = self.shortest_objective;
        let EndedAttempt { attempt, end } = ended;
        self.stale_connections.record_end(now, attempt.idle, end);
        self.idle_connections.record_end(end);
        if suggests_hot_key(end, self.class(pending).latency_objective) {
            self.traffic.record_hot_key(pending.ring_position);
        }
        self.release(attempt.server, attempt.is_fetch);
        self.servers[attempt.server].record_end(end, now, shortest_objective);
        self.update_limits(pending, ended);
        if end.outcome == Outcome::Success {
            self.retry_budget.record_success();
            self.short_deadlines.record_success(attempt.time_left);
        }
        // A response of the origin is stored at the cache server where the request missed.
        let cache_server = pending.last_cache_server(&self.servers);
        let cache_server = cache_server.unwrap_or(attempt.server);
        self.key_locations
            .record_end(pending.ring_position, cache_server, end);
    }

    /// Releases the state of an attempt that ended or is no longer tracked.
    pub(super) fn release(&mut self, index: usize, is_fetch: bool) {
        self.servers[index].limit.record_end();
        if is_fetch {
            self.origin_fetches.in_flight -= 1;
        }
        self.close_idle_if_leaving(index);
    }

    fn update_limits(&mut self, pending: &PendingRequest, ended: &EndedAttempt) {
        let context = FeedbackContext {
            now: self.now,
            router_count: self.router_count(),
            shortest_objective: self.shortest_objective,
            latency_objective: self.class(pending).latency_objective,
            typical_latency: self.typical_latency,
            are_slots_scarce: self.idle_connections.are_slots_scarce(),
            origin_collapses_under_overload: self.settings.origin_collapses_under_overload,
        };
        let server = &mut self.servers[ended.attempt.server];
        let feedback = AttemptFeedback::new(ended, server, &self.origin_fetches, context);
        feedback.apply_to_server(server);
        feedback.apply_to_origin(&mut self.origin_fetches);
        self.typical_latency = feedback.updated_typical_latency();
    }
}
