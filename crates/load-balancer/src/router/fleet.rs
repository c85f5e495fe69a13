//! Changes of the fleet: endpoint list updates, admin overrides, and the subscription to the list.

use super::Router;
use crate::action::Action;
use crate::address_ownership::PreviousClaim;
use crate::admin_overrides::OverrideSource;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::ids::{RequestId, ServerId};
use crate::ring::{RingPoint, server_positions};
use crate::server_table::Server;
use crate::settings::{CacheMode, DiscoveryMode};
use crate::slow_start::estimate_process_start;
use crate::subscription::SubscriptionStep;
use crate::time::Micros;
use crate::timer::TimerPurpose;

impl Router {
    pub(super) fn on_endpoints_changed(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        let is_in_order = update != EndpointUpdate::SnapshotOfOtherServer;
        self.address_ownership.begin_update(is_in_order);
        let previous: Vec<_> = endpoints
            .iter()
            .map(|endpoint| self.previous_claim(endpoint))
            .collect();
        if update.is_whole_list() {
            self.servers.mark_all_removed();
        }
        // Known processes first, so that new ones do not take their places in the table.
        let mut new_processes = Vec::new();
        for (endpoint, previous) in endpoints.into_iter().zip(previous) {
            let name = endpoint.server.clone();
            match self.servers.update_known_process(endpoint) {
                Some(endpoint) => new_processes.push((endpoint, previous)),
                None => self.on_known_process(&name, previous),
            }
        }
        for (endpoint, previous) in new_processes {
            self.on_new_process(endpoint, previous);
        }
        self.has_discovery_list |= matches!(
            update,
            EndpointUpdate::Delta
                | EndpointUpdate::Snapshot
                | EndpointUpdate::SnapshotOfOtherServer
        );
        self.on_availability_changed();
        if let DiscoveryMode::Subscribe { poll_within } = self.settings.discovery {
            self.on_subscription_update(update, poll_within);
        }
    }

    /// What is listed under the name of an entry before an update.
    fn previous_claim(&self, endpoint: &Endpoint) -> Option<PreviousClaim> {
        let index = self.servers.index_of(&endpoint.server.0)?;
        Some(PreviousClaim::of(&self.servers[index]))
    }

    /// A process that had left the list and is named again claims its address anew.
    fn on_known_process(&mut self, name: &ServerId, previous: Option<PreviousClaim>) {
        let index = self.servers.index_of(&name.0);
        let returned = index.filter(|&index| {
            previous.is_some_and(|previous| !previous.was_listed())
                && !self.servers[index].is_removed()
        });
        if let Some(index) = returned {
            self.address_ownership
                .add_process(&mut self.servers, index, previous, self.now);
        }
    }

    fn on_new_process(&mut self, endpoint: Endpoint, previous: Option<PreviousClaim>) {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or_default();
        let name = &endpoint.server;
        let index = self.servers.choose_index(name, self.now, longest_deadline);
        self.install_process(index, endpoint);
        self.address_ownership
            .add_process(&mut self.servers, index, previous, self.now);
    }

    /// Installs a server process at an index without observations: it goes through slow start and
    /// has no keys.
    fn install_process(&mut self, index: usize, endpoint: Endpoint) {
        let name = endpoint.server.clone();
        let is_origin = matches!(
            self.settings.mode,
            CacheMode::Aside { origin } if endpoint.kind == Some(origin)
        );
        let ring_positions = if is_origin {
            Vec::new()
        } else {
            server_positions(&name)
        };
        let limit = ConcurrencyLimit::new(0, self.initial_limit);
        let mut server = Server::new(endpoint, ring_positions, limit);
        server.started_at =
            estimate_process_start(server.endpoint.age, self.now, self.has_discovery_list);
        server.known_since = self.now;
        server.is_origin = is_origin;
        // Random, so that routers that learn of the server at the same time do not all send at
        // once.
        server.slow_start_allowance_needed = self.random.next_fraction();
        server.last_sent_at = self.now;
        server.is_disabled = self.admin_overrides.is_disabled(&name);
        server.possible_restart_at = self.admin_overrides.enabled_at(&name);
        if index < self.servers.len() {
            self.key_locations.remove_server(index);
        }
        self.servers.replace(index, server);
    }

    /// Sends nothing new to the server until it is enabled. Attempts in flight continue. Idle
    /// connections are closed, since the process may be replaced in the meantime.
    pub(super) fn on_server_disabled(&mut self, server: ServerId) {
        self.admin_overrides.disable(server.clone());
        if let Some(index) = self.servers.index_of(&server.0) {
            self.servers[index].is_disabled = true;
            self.actions.push(Action::CloseIdle { server });
            self.on_availability_changed();
        }
    }

    /// Puts a server that was enabled at `at` back into service with slow start: its process may be
    /// new even if the endpoint list has an old start time.
    pub(super) fn on_server_enabled(
        &mut self,
        server: ServerId,
        at: Micros,
        source: OverrideSource,
    ) {
        let at = at.min(self.now);
        if !self.admin_overrides.enable(server.clone(), at, source) {
            return;
        }
        if let Some(index) = self.servers.index_of(&server.0) {
            let endpoint = self.servers[index].endpoint.clone();
            let claim = self.servers[index].claim;
            self.actions.push(Action::CloseIdle { server });
            self.install_process(index, endpoint);
            self.servers[index].claim = claim;
            self.on_availability_changed();
        }
    }

    /// Updates the mean weight and the ring after the availability of servers changed.
    pub(super) fn on_availability_changed(&mut self) {
        self.resolve_addresses();
        self.servers.update_mean_weight();
        let is_ring_current = self
            .servers
            .iter()
            .all(|server| server.is_accepting() == server.is_on_ring);
        if is_ring_current {
            return;
        }
        let had_no_servers = self.ring.is_empty();
        self.update_ring();
        if had_no_servers {
            let router_count = self.router_count();
            self.origin_fetches
                .initialize(self.ring.server_count(), router_count);
        }
    }

    /// Adds and removes the ring points of servers that became available or unavailable; all others
    /// stay.
    fn update_ring(&mut self) {
        let mut added = Vec::new();
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let is_accepting = server.is_accepting();
            let was_on_ring = std::mem::replace(&mut server.is_on_ring, is_accepting);
            if was_on_ring {
                self.close_idle_if_leaving(index);
            } else if is_accepting {
                let point = |&position: &u32| RingPoint {
                    position,
                    server: index,
                };
                added.extend(server.ring_positions.iter().map(point));
            }
        }
        let servers = &self.servers;
        self.ring.update(
            added,
            |index| servers[index].is_accepting(),
            |index| &servers[index].endpoint.server,
        );
    }

    /// Closes the idle connections of a server that no longer accepts requests, where the
    /// deployment demands it. Called when the server leaves and whenever one of its attempts ends.
    pub(super) fn close_idle_if_leaving(&mut self, index: usize) {
        let server = &self.servers[index];
        if server.must_close_idle(&self.settings.rules) {
            self.actions.push(Action::CloseIdle {
                server: server.endpoint.server.clone(),
            });
        }
    }

    fn on_subscription_update(&mut self, update: EndpointUpdate, poll_within: Micros) {
        let step = self
            .subscription
            .on_update(update, poll_within, &mut self.random);
        match step {
            SubscriptionStep::None => {}
            SubscriptionStep::Subscribe => self.subscribe(),
            SubscriptionStep::RetryAfter(after) => {
                self.set_timer(after, RequestId(0), TimerPurpose::Subscription);
            }
        }
    }

    pub(super) fn subscribe(&mut self) {
        if self.subscription.try_start_call() {
            self.actions.push(Action::Subscribe);
        }
    }
}
