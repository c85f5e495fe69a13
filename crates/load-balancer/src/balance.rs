//! Every decision of the router. Its interface (settings, events, actions) is in `src/api.rs`.
//!
//! The path of a request: admit -> candidates (ring owner, then distinct successors clockwise) -> first
//! candidate allowed -> attempt -> outcome -> answer or next attempt -> timer. The ring decides where.
//! Departures skip a candidate, refuse or time an attempt. Attempts leave by `send`, answers by `answer`.

use crate::api::*;
use crate::concurrency_limit::{CUT, Gauge};
use crate::origin_fetch_limit::{Claim, FAMILIAR, Origin};
use crate::ring_points::{DIGESTS, digest_points};
use crate::state::*;

/// All routers together send a cold server of one core at most this share of what would push it over.
const COLD_WORK: f64 = 0.75;
/// Each request earns this part of a further attempt, so that attempts never multiply the load by more.
const RETRY_EARN: f64 = 0.15;
/// Earned attempts all routers together keep for later: enough for a server's end or a batch of a deploy.
const RETRY_KEEP: f64 = 60.0;
/// What each router may keep at the least: several attempts for one request, however little it sees.
const RETRY_LEAST: f64 = 3.0;
/// An answer later than this share of the aim shows a queue: what waits longer is served in vain under a jam.
const SLOW_SHARE: f64 = 0.5;
/// What fails or is full is left alone but for a trickle that finds out when it recovers.
const LEAST_LIMIT: f64 = 0.05;
/// All routers together start with this many requests at work for a server: many routers crowd one otherwise.
const FIRST_TOTAL: f64 = 16.0;
/// A jammed server is still sent this many at a time by all routers together, and by one router at most one.
const LEAST_TOTAL: f64 = 4.0;
/// All routers without a past may have this many likely fetches at work for each server, each at least one.
const FIRST_FETCHES: f64 = 8.0;
/// Requests worth at least twice the mean may use a limit stretched by this.
const WORTHY_STRETCH: f64 = 1.5;
/// A tenant that sends this many times its share, against the others, is over its quota or close to it.
const FLOOD: f64 = 2.0;
/// Answers over which the share of misses is averaged.
const MISS_SPAN: f64 = 16.0;
/// The share of late failures above which the origin fails: servers' own are seldom late.
const ORIGIN_SHARE: f64 = 0.2;
/// The part of the time left to the aim that an attempt may take while another can follow.
const PATIENCE: f64 = 0.6;
/// What has not come after this many usual times of a hit is overdue; until then it most likely still comes.
const OVERDUE: f64 = 4.0;
/// A key moves, where that takes a fetch, only to a server that uses less than this part of its limit: else
/// the fetch, and the keys that it drives out, cost more than the move saves. What comes too late to be worth
/// anything uses no more of a limit either: it does not take the place of what is in time.
const MOVE_ROOM: f64 = 0.3;
/// Keys move while the other servers use less than this part of their limits together.
const FLEET_ROOM: f64 = 0.5;
/// A server whose limit is below this part of the mean is itself in trouble, and its keys may move even while
/// the fleet as a whole is in use: then most that is full elsewhere is full because all is.
const IN_TROUBLE: f64 = 0.6;
/// Attempts in a row without a word from a server after which it counts as silent: one may be lost anywhere.
const SILENT: u32 = 2;
/// A silent server gets one request in this many of the shortest aims, to find out when it recovers.
const TRIAL_GAP: f64 = 4.0;
/// A further attempt needs this share of the aim to be of use; a held request looks for servers as often.
const LEAST_TIME: f64 = 0.2;
/// A hot key is spread over this many times the capacity it asks for: its homes have their usual work too.
const HOT_ROOM: f64 = 1.5;
/// Further attempts of all routers together are spread over this many mean servers for each one before.
const SPREAD: f64 = 3.0;
/// Timer tokens: the request's id above two bits that say what for.
const TIMER_DEADLINE: u64 = 0;
const TIMER_ADVANCE: u64 = 1;
pub(crate) const TIMER_ASK: u64 = 2;

impl Class {
    /// A further attempt that has less time than this is of no use.
    pub fn minimum_retry_time(&self) -> Micros {
        self.latency_objective.scaled(LEAST_TIME)
    }
}

impl Router {
    /// A router with nothing known yet; `seed` drives what little chance its decisions hold.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.validate()?;
        let shortest_aim = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or_default();
        let routers = f64::from(settings.routers);
        // However many routers there are, one alone is no crowd: the first request always goes.
        let first = (FIRST_TOTAL / routers).max(1.0);
        let idle = Gauge::new(0, first);
        let mut router = Router::blank(settings, Random(seed), idle);
        router.corner = router.random.next();
        router.retry_tokens = router.retry_keep();
        router.usual = shortest_aim.scaled(SLOW_SHARE);
        let of_use = |c: &Class| {
            c.latency_objective
                .plus(c.deadline.since(c.latency_objective).scaled(c.late_weight))
        };
        let longest = router
            .settings
            .classes
            .iter()
            .map(of_use)
            .min()
            .unwrap_or_default();
        router.fetches = Origin::new(first, longest.scaled(SLOW_SHARE));
        router.shortest_aim = shortest_aim;
        Ok(router)
    }

    /// Further attempts that this router may save up.
    fn retry_keep(&self) -> f64 {
        (RETRY_KEEP / f64::from(self.settings.routers)).max(RETRY_LEAST)
    }

    /// Takes one event that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointsChanged { update, endpoints } => {
                self.on_endpoints_changed(update, endpoints)
            }
            Event::ServerDisabled { server } => self.on_server_disabled(server),
            Event::ServerEnabled { server, at } => self.on_server_enabled(server, at),
            Event::Request(ask) => self.on_request(ask),
            Event::StreamStarted { id, .. } => {
                _ = self.held.get_mut(&id).map(|h| h.streaming = true)
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::Coalesced {
                id,
                tenant,
                expires,
            } => self.on_coalesced(id, tenant, expires),
            Event::DeadlineShortened { id, expires } => {
                _ = self.held.get_mut(&id).map(|h| h.ask.expires = expires)
            }
            Event::ClientDisconnected { id } => self.on_client_disconnected(id),
            Event::Timer { token } => match (token & 3, RequestId((token >> 2) as u32)) {
                (TIMER_ASK, _) => self.ask(),
                (TIMER_ADVANCE, id) => self.advance(id),
                (_, id) => self.on_deadline(id),
            },
        }
        out.append(&mut self.out);
    }

    fn on_endpoints_changed(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Restored) {
            // What a full list leaves out is gone.
            self.servers
                .iter_mut()
                .for_each(|s| s.member.state = EndpointState::Removed);
        }
        endpoints
            .into_iter()
            .for_each(|member| self.on_member(member));
        self.on_standing();
        if let Discovery::Subscribe { poll_within } = self.settings.discovery {
            self.on_list_answer(update, poll_within);
        }
    }

    /// What servers may be used for has changed, by the list or by the operators.
    pub(crate) fn on_standing(&mut self) {
        let weights = self
            .servers
            .iter()
            .filter(|s| s.is_ready() && !s.is_origin)
            .map(|s| s.member.weight);
        let (count, sum) = weights.fold((0_u32, 0.0), |(count, sum), weight| {
            (count + 1, sum + weight)
        });
        self.mean_weight = sum / f64::from(count.max(1));
        if self.servers.iter().any(|s| s.is_ready() != s.listed) {
            let (first_list, routers) = (self.ring.is_empty(), f64::from(self.settings.routers));
            self.update_ring();
            if first_list {
                self.fetches.limit = self
                    .idle
                    .first
                    .max(FIRST_FETCHES * self.ready as f64 / routers);
            }
        }
    }

    /// Only the points of servers that come or go move: a fleet that grows tells every router at once. Equal
    /// points go to the server whose name sorts first, whatever the order of the list.
    fn update_ring(&mut self) {
        let mut come = Vec::new();
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let ready = server.is_ready();
            if std::mem::replace(&mut server.listed, ready) {
                self.close_drained(index);
            } else if ready {
                come.extend(server.points.iter().map(|&point| (point, index)));
            }
        }
        let servers = &self.servers;
        let name = |index: usize| &servers[index].member.server;
        let order = |a: &(u32, usize), b: &(u32, usize)| {
            a.0.cmp(&b.0).then_with(|| name(a.1).cmp(name(b.1)))
        };
        come.sort_unstable_by(order);
        self.ring.retain(|&(_, index)| servers[index].is_ready());
        self.ring.append(&mut come);
        self.ring.sort_by(order);
        self.ready = self.ring.len() / (4 * DIGESTS as usize);
    }

    /// A server that hangs or vanished says nothing at all, not even to those that need no fetch; a slow
    /// origin or a queue lets some answers through. Its successors have its arc but for a trial now and then.
    pub(crate) fn is_silent(&self, server: &Server) -> bool {
        let waits =
            |since: Micros| server.load.in_flight > 0 && self.now.since(since) > self.shortest_aim;
        server.unheard >= SILENT || server.waiting_since.is_some_and(waits)
    }

    /// The ring owner of a place, then the distinct successors clockwise; the first that is allowed.
    fn first_candidate<T>(
        &self,
        place: u32,
        mut allowed: impl FnMut(usize) -> Option<T>,
    ) -> Option<T> {
        let start = self.ring.partition_point(|&(point, _)| point < place);
        let (mut seen, mut left) = (vec![false; self.servers.len()], self.ready);
        for &(_, index) in self.ring[start..].iter().chain(&self.ring[..start]) {
            if !std::mem::replace(&mut seen[index], true) {
                left -= 1;
                let found = allowed(index);
                if found.is_some() || left == 0 {
                    return found;
                }
            }
        }
        None
    }

    fn on_request(&mut self, ask: Request) {
        if self.held.contains_key(&ask.id) || ask.class.0 >= self.settings.classes.len() {
            return;
        }
        let id = ask.id;
        let text = ask
            .key
            .map_or_else(|| format!("request {}", id.0), |key| key.to_string());
        let points = digest_points(text.as_bytes());
        let worth = self.settings.classes[ask.class.0].priority_weight;
        self.demand.came_of(ask.tenant);
        let count = self.demand.came(self.now, (ask.class.0, worth), points[0]);
        let familiar = if ask.write {
            0
        } else {
            [1.5, 2.5, 4.5]
                .iter()
                .filter(|&&least| count > least)
                .count()
        };
        self.set_timer(ask.expires.since(self.now), id, TIMER_DEADLINE);
        let slice = f64::from(points[1]) / f64::from(u32::MAX);
        let deadline = self.settings.classes[ask.class.0].deadline;
        let came = if ask.retry {
            self.turned_away
                .first_came(self.now, deadline, &ask, points[0])
        } else {
            self.now
        };
        self.held
            .insert(id, Held::new(ask, came, points[0], slice, familiar));
        self.advance(id);
    }

    /// The client has left: what it asked for may come again.
    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        if !held.answered {
            held.answered = true;
            self.turned_away.remember(held.place, &held.ask, held.came);
        }
        self.keep(held);
    }

    /// Counts the one that joins for its own tenant; the request goes on as that of whoever floods least.
    fn on_coalesced(&mut self, id: RequestId, tenant: Option<TenantId>, expires: Micros) {
        self.demand.came_of(tenant);
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        let (old, before) = (held.ask.tenant, self.stretch(&held));
        held.ask.expires = held.ask.expires.max(expires);
        held.ask.tenant = tenant;
        if self.stretch(&held) < before {
            held.ask.tenant = old;
        }
        self.held.insert(id, held);
    }

    /// Over how many mean servers a hot key is spread, none if its owner can serve it alone. Only whole
    /// doublings count: a home that follows each count of a small sample moves, and each move is a fetch.
    fn homes(&self, place: u32) -> f64 {
        let heat = HOT_ROOM * self.demand.share(place) * self.ready as f64;
        if heat < 1.0 {
            0.0
        } else {
            heat.log2().floor().exp2()
        }
    }

    fn advance(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        if !held.answered && !held.is_out() {
            self.attempt(&mut held);
        }
        self.keep(held);
    }

    fn attempt(&mut self, held: &mut Held) {
        match self.choose(held) {
            Some(server) if self.send(held, server) => {}
            None if self.ready == 0 && held.ask.expires > self.now => {
                let after = self.class(held).latency_objective.scaled(LEAST_TIME);
                self.set_timer(after, held.ask.id, TIMER_ADVANCE);
            }
            _ => self.answer(held),
        }
    }

    fn keep(&mut self, held: Held) {
        if !held.answered || held.is_out() {
            self.held.insert(held.ask.id, held);
        }
    }

    pub(crate) fn set_timer(&mut self, after: Micros, id: RequestId, what_for: u64) {
        self.out.push(Action::SetTimer {
            after,
            token: u64::from(id.0) << 2 | what_for,
        });
    }

    fn class(&self, held: &Held) -> &Class {
        &self.settings.classes[held.ask.class.0]
    }

    fn choose(&mut self, held: &Held) -> Option<usize> {
        let (stretch, chance) = (self.stretch(held), self.random.next());
        let aside = self.settings.mode != CacheMode::Through;
        if aside && (held.ask.write || held.missed) {
            return self.origin(stretch, chance);
        }
        // A move drives out another key besides, which is fetched again too: it is served last.
        let fetch = aside || self.may_fetch(held.familiar, stretch);
        let room = if self.fetches.has_queue() {
            MOVE_ROOM
        } else {
            1.0
        };
        let move_off = aside || (fetch && self.may_fetch(held.familiar, stretch * room));
        // One pass over the fleet: the largest part, what is in use, and all limits together.
        let (mut most, mut used, mut limits) = (0.0_f64, 0.0, 0.0);
        for server in self.servers.iter().filter(|s| s.is_ready() && !s.is_origin) {
            most = most.max(self.part(server));
            used += f64::from(server.load.in_flight);
            limits += server.load.limit;
        }
        // A key hotter than its server has further homes clockwise; each router keeps to one of them.
        // A further attempt goes to one of a few, or all routers would crowd the next as they did the owner.
        let spread = self.homes(held.place).max(SPREAD * held.met() as f64);
        let others = (self.ready - held.met().min(self.ready)) as f64;
        let mut walk = Walk {
            stretch,
            // What can run anywhere need not press into a server that has no room.
            rank: if held.ask.write { 0.5 } else { self.rank(held) },
            fetch,
            // A write needs the origin wherever it runs, so that going elsewhere costs nothing.
            move_off: move_off && (held.ask.write || self.retry_tokens >= 1.0),
            most,
            used,
            limits,
            passed_on: if held.ask.write {
                0.0
            } else {
                self.corner * spread.min(others)
            },
            owner: true,
            near: true,
            may_move: false,
            earlier: None,
        };
        let mut seen = std::mem::take(&mut self.verdicts);
        let mut reason = CandidateVerdict::AlreadyAttempted;
        let found = self.first_candidate(held.place, |index| {
            let verdict = self.verdict(held, index, &mut walk);
            seen[verdict as usize] += 1;
            // The first that was fit but for room or a fetch, else what the last was left out for.
            let fit = matches!(
                reason,
                CandidateVerdict::AtCapacity | CandidateVerdict::FetchLimited
            );
            reason = if fit { reason } else { verdict };
            verdict
                .is_taken()
                .then_some((index, verdict == CandidateVerdict::DivertedWithRetryToken))
        });
        self.verdicts = seen;
        self.unplaced[reason as usize] += u64::from(found.is_none() && walk.earlier.is_none());
        self.retry_tokens -= if found.is_some_and(|(_, paid)| paid) {
            1.0
        } else {
            0.0
        };
        // Of a hot key's further homes none may be fit: then an earlier one is better than none.
        found.map(|(index, _)| index).or(walk.earlier)
    }

    /// What one candidate is to a request, in the order of the ring; the first that is fit takes it.
    fn verdict(&self, held: &Held, index: usize, walk: &mut Walk) -> CandidateVerdict {
        let (server, now, rules) = (&self.servers[index], self.now, &self.settings.rules);
        let owner = std::mem::take(&mut walk.owner);
        let size = self.size(server);
        let trial_gap = self.shortest_aim.scaled(TRIAL_GAP);
        // A server slower or colder than the best takes its arcs in part, a cold one within its budget.
        let left_out = if held.attempts.iter().any(|a| a.server == index && !a.unmet) {
            Some(CandidateVerdict::AlreadyAttempted)
        } else if held.slice * walk.most > self.part(server) {
            Some(CandidateVerdict::OutsidePartialArc)
        } else if server.warmth(now, rules) < 1.0 && !self.has_budget(server, held.ask.cost_hint) {
            Some(CandidateVerdict::SlowStartLimited)
        } else if self.is_silent(server) && now.since(server.last_sent) < trial_gap {
            Some(CandidateVerdict::Unresponsive)
        } else {
            None
        };
        if let Some(verdict) = left_out {
            walk.may_move |= walk.near;
            return verdict;
        }
        let free = !held.ask.write && self.known.is_at(held.place, index);
        if walk.near && walk.passed_on >= size {
            walk.passed_on -= size;
            let fit = self.has_place(server, 1.0, walk) && (free || walk.fetch);
            walk.earlier = walk.earlier.or(Some(index).filter(|_| fit));
            return CandidateVerdict::HotKeyReplicaElsewhere;
        }
        // The first that is fit keeps the key; past it a fetch is paid for, unless known there.
        let near = std::mem::take(&mut walk.near);
        if near {
            walk.may_move |= self.may_leave(server, walk, held.ask.write);
        }
        let paid = !near && !free && !held.ask.write;
        if !self.has_place(server, if paid { MOVE_ROOM } else { 1.0 }, walk) {
            return CandidateVerdict::AtCapacity;
        }
        match near {
            _ if free || (near && walk.fetch) => {
                if owner {
                    CandidateVerdict::Owner
                } else {
                    CandidateVerdict::Diverted
                }
            }
            true => CandidateVerdict::FetchLimited,
            false if !walk.may_move => CandidateVerdict::RetainedByOwner,
            false if !walk.move_off => CandidateVerdict::FetchLimited,
            false if paid => CandidateVerdict::DivertedWithRetryToken,
            false => CandidateVerdict::Diverted,
        }
    }

    /// Whether keys may leave a full server. Moves cost least while the rest of the fleet has room; where it
    /// is full as a whole they feed a jam, but for those off a server that is itself in trouble. A hunch of
    /// one router moves nothing: routers that each see little would scatter the keys, each move a fetch; a
    /// write is one anywhere.
    fn may_leave(&self, server: &Server, walk: &Walk, write: bool) -> bool {
        let (limit, here) = (server.load.limit, f64::from(server.load.in_flight));
        let trouble = IN_TROUBLE * walk.limits / (self.ready as f64).max(1.0);
        (write || server.load.is_well_seen(self.now))
            && (limit < trouble || walk.used - here < FLEET_ROOM * (walk.limits - limit))
    }

    /// A server's size against the mean, where the list tells.
    fn size(&self, server: &Server) -> f64 {
        let known = self.settings.weights != Weights::Unknown && self.mean_weight > 0.0;
        if known {
            server.member.weight / self.mean_weight
        } else {
            1.0
        }
    }

    /// The part of its arcs that a server has, before it is held against the largest.
    fn part(&self, server: &Server) -> f64 {
        server.warmth(self.now, &self.settings.rules) * self.size(server).min(1.0)
    }

    /// What is not known to be kept is a fetch as often as such requests missed lately: one router of many
    /// has asked for few of the keys that are kept. What takes longer than hits do is one surely.
    fn may_fetch(&mut self, familiar: usize, stretch: f64) -> bool {
        let out = self
            .held
            .values()
            .flat_map(|h| &h.attempts)
            .filter(|a| a.fetch && a.fate == Fate::Out);
        let mut young = [0; FAMILIAR];
        let since = self.now.since(self.usual.scaled(2.0));
        out.filter(|a| a.sent >= since)
            .for_each(|a| young[a.familiar] += 1);
        let round = self
            .usual
            .scaled(f64::from(self.settings.routers) / self.ready.max(1) as f64);
        self.fetches.has_room(
            self.now,
            &young,
            &Claim {
                familiar,
                stretch,
                round,
            },
        )
    }

    /// Whether a server's limit has a place, of which `room` may be used. Under one it is a rate, so that
    /// many routers together do not crowd the server; what is worth more may draw ahead.
    fn has_place(&self, server: &Server, room: f64, walk: &Walk) -> bool {
        let believed = self.believed(server);
        let limit = believed * room * server.capacity(self.now, &self.settings.rules);
        let here = f64::from(server.load.in_flight);
        here < limit * walk.stretch
            && (limit >= 1.0
                || server
                    .load
                    .is_due(self.now, self.gap(server, believed, limit), walk.rank))
    }

    /// The limit of a server by all that is known now.
    fn believed(&self, server: &Server) -> f64 {
        let limit = server.load.believed(self.now);
        // One at a time, where the server says that it waits for work: a limit under one is of before.
        if server.queue.is_at_ease(self.now) {
            limit.max(1.0)
        } else {
            limit
        }
    }

    /// The time between requests where `limit`, what may be used of what is `believed`, is under one: a share
    /// of what this router would send there, if that is for want of room at the server, and else of one at a
    /// time.
    fn gap(&self, server: &Server, believed: f64, limit: f64) -> Micros {
        let round = if believed < 1.0 {
            self.demand.pace.scaled(self.ready as f64)
        } else {
            Micros(0)
        };
        server.usual.max(round).scaled(1.0 / limit)
    }

    /// How a request ranks by worth among those asked for lately: the share that is worth less, and half of
    /// what is worth the same. The order of refusals is the same at any size of fleet.
    fn rank(&self, held: &Held) -> f64 {
        let worth = self.class(held).priority_weight * self.stretch(held).min(1.0);
        let classes = self.settings.classes.iter().zip(&self.demand.asked);
        let under = |(class, share): (&Class, &f64)| match class.priority_weight.total_cmp(&worth) {
            std::cmp::Ordering::Less => *share,
            std::cmp::Ordering::Equal => share / 2.0,
            std::cmp::Ordering::Greater => 0.0,
        };
        classes.map(under).sum()
    }

    /// How much of a limit a request may use: more if it is worth much, less if its tenant floods.
    fn stretch(&self, held: &Held) -> f64 {
        let class = self.class(held);
        let worthy = if class.priority_weight >= 2.0 * self.demand.mean_worth {
            WORTHY_STRETCH
        } else {
            1.0
        };
        let late = held.came.plus(class.latency_objective) < self.now.plus(self.usual);
        let worthy = if late {
            worthy * class.late_weight.max(MOVE_ROOM)
        } else {
            worthy
        };
        let Some(tenant) = held.ask.tenant.filter(|t| t.0 < self.demand.mix.len()) else {
            return worthy;
        };
        let odds = |share: f64| share / (1.0 - share).max(1e-3);
        let flood =
            odds(self.demand.mix[tenant.0]) / odds(self.settings.tenants[tenant.0].share).max(1e-3);
        worthy * (FLOOD / flood.max(1e-3)).min(1.0)
    }

    fn origin(&self, stretch: f64, chance: f64) -> Option<usize> {
        let free = |s: &Server| s.is_origin && s.is_ready() && s.load.has_room(stretch, chance);
        self.servers.iter().position(free)
    }

    /// Whether a cold server's budget since this router last sent to it covers one more request. Many routers
    /// would push it over before any hears that it is slow; where they are few, their limits see to it, but
    /// where a request costs so much that what these let through at once is more than it can stand.
    fn has_budget(&self, server: &Server, cost: Option<Micros>) -> bool {
        let (rules, middle) = (
            &self.settings.rules,
            server.last_sent.plus(self.now).scaled(0.5),
        );
        let stands = COLD_WORK * rules.overload_multiple * server.capacity(middle, rules);
        let budget = stands / f64::from(self.settings.routers);
        let at_once = cost.unwrap_or_default().scaled(FIRST_TOTAL);
        f64::from(self.settings.routers) <= FIRST_TOTAL
            && at_once <= rules.overload_duration.scaled(stands)
            || self.now.since(server.last_sent).scaled(budget) >= self.usual.scaled(server.due)
    }

    /// The one way out for an attempt: deadline, effect, drain and attempt limit hold for whatever chose it.
    fn send(&mut self, held: &mut Held, index: usize) -> bool {
        let limits = &self.settings.limits;
        let allowed = !held.answered
            && !held.streaming
            && self.now < held.ask.expires
            && held.attempts.len() < limits.max_attempts as usize
            && self.servers[index].is_ready()
            && (!held.is_out() || limits.hedging)
            && self.effect_allows(held, index);
        if !allowed {
            return false;
        }
        let fetch = self.settings.mode == CacheMode::Through
            && (held.ask.write || !self.known.is_at(held.place, index));
        let idle = self.idle_connection(index);
        let start_within = self.memory_left(held);
        held.attempts.push(Attempt {
            server: index,
            sent: self.now,
            fate: Fate::Out,
            fetch,
            familiar: held.familiar,
            idle,
            unmet: false,
        });
        self.fetches.out += u32::from(fetch);
        let (server, now) = (&self.servers[index], self.now);
        let believed = self.believed(server);
        let limit = believed * server.capacity(now, &self.settings.rules);
        let gap = if limit < 1.0 {
            self.gap(server, believed, limit)
        } else {
            Micros(0)
        };
        let server = &mut self.servers[index];
        server.load.draw(now, gap);
        server.load.in_flight += 1;
        (server.last_used, server.last_sent, server.due) = (now, now, 1.0);
        if !fetch {
            server.waiting_since.get_or_insert(now);
        }
        let (id, server) = (held.ask.id, server.member.server.clone());
        let timeout = self.patience(held, index);
        self.out.push(Action::Send {
            id,
            server,
            timeout,
            start_within,
        });
        true
    }

    /// Guards against silence of any cause (a hang, a lost answer, a long queue): while a further attempt is
    /// allowed and earned, this one may take a part of the time left to the aim, and the next has the rest.
    /// Where late answers are worth something, they are waited for: giving up feeds a jam or a slow origin.
    /// So does giving up what is not overdue yet: the work goes on, and the next attempt costs as much again.
    fn patience(&self, held: &Held, index: usize) -> Option<Micros> {
        let (class, tried) = (self.class(held), held.attempts.len() as u32);
        let left = held.came.plus(class.latency_objective).since(self.now);
        let part = left.scaled(PATIENCE);
        let overdue = part >= self.usual.max(self.servers[index].usual).scaled(OVERDUE);
        let further = ((class.late_weight == 0.0 && overdue)
            || self.is_silent(&self.servers[index]))
            && class.idempotency != Idempotency::NotIdempotent
            && tried < self.settings.limits.max_attempts
            && self.retry_tokens >= 1.0
            && !self.servers[index].is_origin;
        let useful = left > class.latency_objective.scaled(LEAST_TIME)
            && self.now.plus(left) <= held.ask.expires;
        (further && useful).then_some(part)
    }

    /// How long a repeat of a keyed request that may have run is still dropped.
    fn memory_left(&self, held: &Held) -> Option<Micros> {
        let Idempotency::Keyed {
            deduplication_window,
            ..
        } = self.class(held).idempotency
        else {
            return None;
        };
        held.first_run()
            .map(|first| first.sent.plus(deduplication_window).since(self.now))
    }

    fn effect_allows(&self, held: &Held, index: usize) -> bool {
        let Some(first) = held.first_run() else {
            return true;
        };
        match self.class(held).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Keyed {
                scope,
                deduplication_window,
            } => {
                let (a, b) = (
                    &self.servers[first.server].member,
                    &self.servers[index].member,
                );
                let close = scope == DeduplicationScope::Zone || a.cell == b.cell;
                (scope == DeduplicationScope::All || (a.zone == b.zone && close))
                    && self.now.since(first.sent) < deduplication_window
            }
        }
    }

    /// The one way out for a final answer: declined where that promise is true, else failed.
    fn answer(&mut self, held: &mut Held) {
        if held.answered || held.streaming {
            return;
        }
        held.answered = true;
        self.turned_away.remember(held.place, &held.ask, held.came);
        let safe = matches!(
            self.class(held).idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let harmless = safe || held.first_run().is_none();
        let (id, retry_after) = (held.ask.id, self.advice());
        self.out.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
    }

    /// When to come back: what is at work now has mostly been served after one to two usual times; clients
    /// declined together do not return together. Guards against retries at once, into the same jam.
    fn advice(&mut self) -> Option<Micros> {
        let (limits, spread) = (&self.settings.limits, self.random.next());
        limits
            .retry_after
            .then(|| self.usual.scaled(1.0 + spread).min(limits.max_retry_after))
    }

    fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let Some(mut held) = self.held.remove(&end.id) else {
            return;
        };
        let aim = self.class(&held).latency_objective;
        let tried = held
            .attempts
            .get_mut(end.attempt.0 as usize)
            .filter(|a| a.fate == Fate::Out);
        if let Some(tried) = tried {
            tried.unmet = self.servers[tried.server].is_unmet(&end);
            tried.fate = if end.outcome.never_ran() {
                Fate::NeverRan
            } else {
                Fate::MayHaveRan
            };
            let (index, fetch, idle, familiar) =
                (tried.server, tried.fetch, tried.idle, tried.familiar);
            let end = self.with_note(end);
            self.servers[index].last_used = self.now;
            end.load
                .iter()
                .for_each(|&load| self.servers[index].queue.said(self.now, load));
            self.kept.learn(self.now, idle, &end);
            self.links.learn(&end);
            // Where an answer was lost or late, the key is likelier to be hot than its share here tells.
            let slow =
                end.elapsed > aim.scaled(SLOW_SHARE) && end.connection_use != ConnectionUse::New;
            if slow {
                self.demand.seems_hot(held.place);
            }
            self.is_over(index, fetch);
            self.learn_silence(index, &end);
            self.learn_load(index, fetch, familiar, &end, aim);
            // What an origin answers is kept where the request missed.
            let home = held
                .attempts
                .iter()
                .rev()
                .map(|a| a.server)
                .find(|&i| !self.servers[i].is_origin);
            let home = home.unwrap_or(index);
            let failed = end.cache_status.is_some() || end.outcome == Outcome::TimedOut;
            if end.outcome == Outcome::Success {
                self.retry_tokens = (self.retry_tokens + RETRY_EARN).min(self.retry_keep());
                self.known.learn(held.place, home);
            } else if failed {
                self.known.unlearn(held.place, home);
            }
            held.answered |= end.complete;
            held.missed |= end.outcome == Outcome::Miss;
            if !held.answered && !held.is_out() {
                if self.try_again(&held, &end) {
                    self.attempt(&mut held);
                } else {
                    self.answer(&mut held);
                }
            }
        }
        self.keep(held);
    }

    /// An attempt is at work no more, or is forgotten.
    fn is_over(&mut self, index: usize, fetch: bool) {
        self.servers[index].load.in_flight -= 1;
        self.fetches.out -= u32::from(fetch);
        self.close_drained(index);
    }

    /// Guards a failing origin where errors do not tell how the read went: what a server fails by itself, it
    /// fails sooner than it serves hits. What failed later than that was a fetch (a key thought to be kept is
    /// so no more), and while many are, so were the quick ones: a full origin turns fetches away at once.
    fn with_note(&mut self, end: AttemptEnd) -> AttemptEnd {
        let untold = end.outcome == Outcome::Failure && end.cache_status.is_none();
        if !untold || self.settings.mode != CacheMode::Through {
            return end;
        }
        let late = end.elapsed > self.usual;
        self.late_failures += (f64::from(u8::from(late)) - self.late_failures) / MISS_SPAN;
        let cache_status = (late || self.late_failures > ORIGIN_SHARE).then_some(CacheStatus::Miss);
        AttemptEnd {
            cache_status,
            ..end
        }
    }

    /// Any word shows that a server is there. No word shows nothing where no attempt was written.
    fn learn_silence(&mut self, index: usize, end: &AttemptEnd) {
        let server = &mut self.servers[index];
        match end.outcome {
            Outcome::Cancelled | Outcome::NotSent => {}
            // What had hardly any time tells nothing.
            Outcome::TimedOut
                if !end.response_started && end.elapsed < self.shortest_aim.scaled(SLOW_SHARE) => {}
            Outcome::TimedOut if !end.response_started => {
                server.unheard = server.unheard.saturating_add(1)
            }
            Outcome::Unreachable => server.unheard = server.unheard.saturating_add(1),
            _ => (server.unheard, server.waiting_since) = (0, None),
        }
    }

    /// How long hits take tells of the server; what fetches take beyond that, or a failure, of the origin.
    fn learn_load(
        &mut self,
        index: usize,
        fetch: bool,
        familiar: usize,
        end: &AttemptEnd,
        latency_objective: Micros,
    ) {
        // Where routers are many, each sees too little of a server to learn in time.
        let little = f64::from(self.settings.routers) > FIRST_TOTAL;
        let least = (LEAST_TOTAL / f64::from(self.settings.routers)).min(1.0);
        let now = self.now;
        let server = &mut self.servers[index];
        let missed = matches!(
            end.cache_status,
            Some(CacheStatus::Miss | CacheStatus::MissPending)
        );
        let (half, beyond) = (
            latency_objective.scaled(SLOW_SHARE),
            end.elapsed.since(server.usual),
        );
        // What hangs on a fetch is no server's fault; where little is seen, fetches must have failed first.
        let trusted = if little {
            1.0 - CUT
        } else {
            self.fetches.first
        };
        let silent = server.unheard >= SILENT;
        let hung = !silent
            && (self.fetches.limit < trusted || (fetch && (!little || self.fetches.is_slow())));
        let (served, late) = (
            end.outcome == Outcome::Success,
            end.outcome == Outcome::TimedOut,
        );
        let hit = served && !missed && !server.is_origin;
        // A quick miss frees a throttled server too: most answers may be misses.
        let quick = end.elapsed <= half && (served || end.outcome == Outcome::Miss);
        // Guards against taking a handshake for the server's slowness: what is late on a new connection tells
        // nothing (TLS, a long way, a busy listener). A server that ends each connection after one answer is
        // judged by time-outs and full answers alone.
        let handshake = end.connection_use == ConnectionUse::New && served;
        let freed = quick && server.load.limit < server.load.first;
        match end.outcome {
            Outcome::Cancelled | Outcome::NotSent => return,
            // Places for connections are short: that says nothing of the work that the server has.
            Outcome::Overloaded
                if end.connection_use == ConnectionUse::New && self.links.are_scarce() => {}
            // An origin's queue must not outlast the tightest latency_objective among those that wait in it.
            _ if server.is_origin => {
                let late = end.elapsed > self.shortest_aim || !served;
                server.load.learn(now, late, LEAST_LIMIT);
            }
            _ if handshake && !quick => {}
            _ if hit || freed || (late && !hung) => {
                server.queue.took(if late {
                    end.elapsed.scaled(2.0)
                } else {
                    end.elapsed
                });
                // What comes after the latency_objective counts whatever is said: a server may be slow for itself.
                let waits = end.elapsed > latency_objective
                    || server.queue.is_there(now, latency_objective);
                let slow = end.elapsed > half && waits;
                server.load.learn(now, late || slow, least);
                let part = if little { 1 } else { 8 };
                if !handshake {
                    server.usual = server.usual.toward(end.elapsed, part);
                }
            }
            // One connection may be reset anywhere; the next tells whether the server is down.
            Outcome::Unreachable if server.unheard < SILENT => {}
            // A server that turns all away or cannot be reached is left alone like a failing origin.
            Outcome::Overloaded | Outcome::Unreachable => {
                server.load.turned_away(now, LEAST_LIMIT * least);
                server.usual = server.usual.max(self.usual);
                server.down_at = if end.outcome == Outcome::Unreachable {
                    self.now
                } else {
                    server.down_at
                };
            }
            _ => {}
        }
        if hit && !handshake {
            self.usual = self.usual.toward(end.elapsed, 8);
        }
        if fetch && served && end.cache_status.is_some() {
            self.fetches.told(familiar, missed);
        }
        let sent = Micros(self.now.0.saturating_sub(end.elapsed.0));
        match end.outcome {
            Outcome::Success
                if fetch
                    && end.cache_status != Some(CacheStatus::Hit)
                    && !(handshake && beyond > latency_objective) =>
            {
                self.fetches
                    .fetched(sent, beyond, beyond <= latency_objective)
            }
            Outcome::TimedOut if fetch && hung => {
                self.fetches
                    .gave_up(self.now, end.elapsed, beyond, beyond <= half)
            }
            Outcome::TimedOut if fetch && !silent => self.fetches.late(),
            // A quick error cost the origin nothing, unless too much of them stops it.
            Outcome::Failure
                if fetch
                    && missed
                    && (beyond > half || self.settings.origin_collapses_under_overload) =>
            {
                self.fetches.failed(sent)
            }
            _ => {}
        }
    }

    /// Whether a further attempt may help: in time, and within what requests have earned.
    fn try_again(&mut self, held: &Held, end: &AttemptEnd) -> bool {
        let in_time = held.ask.expires.since(self.now) >= self.class(held).minimum_retry_time();
        // Where a fetch failed, a further one elsewhere only feeds a failing origin.
        let in_vain = end.outcome == Outcome::Failure && end.cache_status.is_some();
        let unmet = held
            .attempts
            .get(end.attempt.0 as usize)
            .is_some_and(|a| a.unmet);
        let price = if end.outcome == Outcome::Miss || unmet {
            0.0
        } else {
            1.0
        };
        let again = in_time && !in_vain && self.retry_tokens >= price;
        self.retry_tokens -= if again { price } else { 0.0 };
        again
    }

    /// The client's time is up: answer, and some grace later forget what never ended.
    fn on_deadline(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else {
            return;
        };
        let grace = self.settings.rules.answer_grace.max(Micros(1));
        if held.streaming || self.now < held.ask.expires {
            if !held.streaming {
                // Others have joined since the timer was set, and wait longer.
                self.set_timer(held.ask.expires.since(self.now), id, TIMER_DEADLINE);
            }
            return self.keep(held);
        }
        self.answer(&mut held);
        if self.now < held.ask.expires.plus(grace) {
            self.set_timer(grace, id, TIMER_DEADLINE);
            self.keep(held);
        } else {
            held.attempts
                .iter()
                .filter(|a| a.fate == Fate::Out)
                .for_each(|a| self.is_over(a.server, a.fetch));
        }
    }
}
