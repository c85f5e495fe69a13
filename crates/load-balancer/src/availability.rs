//! The life of a server as a router knows it: listed, draining, called out by an operator, back and cold,
//! gone.
//!
//! Two say what a server may be used for: the list, and the operators, whose word holds whatever the list
//! says. [`Server::standing`] is the one answer that both come to; the ring, the way out for attempts and the
//! embedding program ask nothing else.

use crate::admin_overrides::AdminOverride;
use crate::api::*;
use crate::concurrency_limit::Gauge;
use crate::ring_points::{DIGESTS, digest_points};
use crate::state::{Router, Server};

/// What a server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Listed as ready: it takes new requests.
    Accepting,
    /// Listed as draining: it finishes the requests that it has.
    Draining,
    /// Disabled by an operator: it finishes what it has and takes nothing new until it is enabled again, whatever
    /// the endpoint list says.
    Disabled,
    /// Not on the endpoint list.
    Removed,
}

impl Server {
    /// What it may be used for.
    pub fn availability(&self) -> Availability {
        match self.member.state {
            EndpointState::Removed => Availability::Removed,
            _ if self.is_out => Availability::Disabled,
            EndpointState::Draining => Availability::Draining,
            EndpointState::Ready => Availability::Accepting,
        }
    }

    pub fn is_gone(&self) -> bool {
        self.availability() == Availability::Removed
    }

    pub fn is_ready(&self) -> bool {
        self.availability() == Availability::Accepting
    }

    /// How much of its warm-up it has behind it: 1 once `slow_start_duration` has passed since its start.
    pub fn warmth(&self, at: Micros, rules: &Rules) -> f64 {
        let since = self.member.started.max(self.down_at);
        let part = at.since(since).as_secs_f64() / rules.slow_start_duration.as_secs_f64();
        if since == Micros(0) || part.is_nan() {
            1.0
        } else {
            part.min(1.0)
        }
    }

    /// The part of its capacity that it has at least.
    pub fn capacity(&self, at: Micros, rules: &Rules) -> f64 {
        rules.initial_capacity_ratio + (1.0 - rules.initial_capacity_ratio) * self.warmth(at, rules)
    }
}

impl Router {
    /// What a server may be used for now; `None`: nobody has told this router of it.
    pub fn availability(&self, server: &ServerId) -> Option<Availability> {
        self.by_name
            .get(server)
            .map(|&place| self.servers[place].availability())
    }

    /// A process that is new has no record, is sent little at first, and holds no keys.
    pub(crate) fn on_member(&mut self, member: Endpoint) {
        let place = self.by_name.get(&member.server).copied();
        let same = |s: &&mut Server| s.member.started == member.started;
        if let Some(server) = place.map(|i| &mut self.servers[i]).filter(same) {
            server.member = member;
            return;
        }
        // The place of a server that went before any request now held was sent is used again.
        let longest = self
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or_default();
        let since = self.now.since(longest.scaled(2.0));
        let unused =
            |s: &Server| s.is_gone() && !s.listed && s.load.in_flight == 0 && s.last_sent < since;
        let place = place
            .or_else(|| self.servers.iter().position(unused))
            .unwrap_or(self.servers.len());
        self.renew(place, member);
    }

    /// Puts a process of which nothing is known yet in this place, which may have had another. What is out to
    /// that one still counts here until it ends.
    fn renew(&mut self, place: usize, member: Endpoint) {
        let old = self.servers.get(place);
        let in_flight = old.map_or(0, |s| s.load.in_flight);
        let listed = old.is_some_and(|s| s.listed && s.member.server == member.server);
        let name = member.server.clone();
        let origin = matches!(self.settings.mode, CacheMode::Aside { origin } if member.kind == Some(origin));
        let points = |i| digest_points(format!("{name}{i}").as_bytes());
        let points = (0..if origin { 0 } else { DIGESTS })
            .flat_map(points)
            .collect();
        let mut server = Server::new(
            member,
            points,
            origin,
            Gauge::new(in_flight, self.idle.first),
        );
        // Routers that hear of it together do not all send at once.
        server.due = self.random.next();
        server.last_sent = self.now;
        server.listed = listed;
        server.is_out = self.words.is_out(&name);
        server.down_at = self.words.back_at(&name);
        if place < self.servers.len() {
            self.known.forget(place);
        }
        let old = self
            .servers
            .splice(place..(place + 1).min(self.servers.len()), [server]);
        old.for_each(|s| _ = self.by_name.remove(&s.member.server));
        self.by_name.insert(name, place);
    }

    /// Nothing new to this server until it is called back. What is out ends as it would; what is idle is
    /// closed, since the process may be replaced meanwhile.
    pub(crate) fn on_server_disabled(&mut self, server: ServerId) {
        self.words.set(server.clone(), AdminOverride::Disabled);
        if let Some(&place) = self.by_name.get(&server) {
            self.servers[place].is_out = true;
            self.out.push(Action::CloseIdle { server });
            self.on_standing();
        }
    }

    /// The server was put back at `at`: whatever the list says of its start, it may be new and is met as
    /// cold. Of one that is not out nothing changes, but for what another process was told before.
    pub(crate) fn on_server_enabled(&mut self, server: ServerId, at: Micros) {
        let is_news = at < self.now && at > self.words.back_at(&server);
        if !self.words.is_out(&server) && !is_news {
            return;
        }
        self.words.set(server.clone(), AdminOverride::EnabledAt(at));
        if let Some(&place) = self.by_name.get(&server) {
            let member = self.servers[place].member.clone();
            self.out.push(Action::CloseIdle { server });
            self.renew(place, member);
            self.on_standing();
        }
    }
}
