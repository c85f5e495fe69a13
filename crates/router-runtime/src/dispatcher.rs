//! Drives the decision module: events in, actions out. The only place that calls [`Router::handle`].
//!
//! It owns the timers, the open requests and their attempts, and sees to it that each attempt ends once and each
//! request has one final answer. It decides nothing.

use crate::environment::Environment;
use crate::mutation::{self, Mutation};
use crate::resp::Command;
use crate::runtime::ResourceUsage;
use crate::servers::{Ended, Errand, Limit, Owner, Piece, Servers, Takes};
use bytes::Bytes;
use load_balancer::*;
use request_coalescing::FlightId;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot};

/// One monotonic clock, set to Unix time at the start so that a cache server's start compares with it.
struct Clock<W> {
    world: W,
    start: Instant,
    unix: Micros,
}

impl<W: Environment> Clock<W> {
    fn new(world: W) -> Self {
        let unix = Micros(world.unix_now().as_micros() as u64);
        Clock {
            start: world.now(),
            unix,
            world,
        }
    }

    fn now(&self) -> Micros {
        self.at(self.world.now())
    }

    fn at(&self, instant: Instant) -> Micros {
        self.unix.plus(Micros(
            instant.saturating_duration_since(self.start).as_micros() as u64,
        ))
    }

    /// The instant of a point in time.
    fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at.since(self.unix))
    }
}

pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    /// Served with a long value, which is passed on as it comes. Never where several wait for it.
    Long(mpsc::Receiver<Piece>),
    Rejected(Option<Micros>),
    Failed,
}

/// What a client asks, without the id that the driver gives it.
#[derive(Clone)]
pub struct ClientRequest {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: u64,
    pub wait: Micros,
    pub cost_hint: Option<Micros>,
    pub retry: bool,
    pub command: Command,
}

/// Who is told the final answer.
enum Reply {
    /// A client.
    Client(oneshot::Sender<Answer>),
    /// A client, and whoever looks after joined reads: a write on its key has ended.
    Write(oneshot::Sender<Answer>),
    /// Those who wait for a flight.
    Flight,
}

/// News for whoever looks after joined reads, in the order in which they happened.
pub enum CoalescingEvent {
    /// A write on this key has ended.
    Wrote(Bytes),
    /// A further attempt of this flight has gone out.
    Retried(FlightId),
    /// This flight has its final answer.
    Ended(FlightId, Answer),
}

/// A request until it has its answer and its last attempt has ended.
struct Open {
    command: Rc<Command>,
    expires: Micros,
    /// When its attempts end that the module has set no other end; later ones who join a flight move it.
    until: Option<Rc<Cell<Instant>>>,
    /// Taken by the final answer.
    reply: Option<Reply>,
    /// One for each attempt so far, dropped when it ends; sending on it cancels the attempt.
    attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl Open {
    fn is_over(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct State {
    router: Router,
    /// By names that no client chooses, so that a quick hash will do.
    open: FxHashMap<RequestId, Open>,
    /// The clients' ids of the requests that wait for their answer.
    named: HashSet<Rc<[u8]>>,
    last_id: u32,
    events: VecDeque<Event>,
    /// An event is being handled: actions may bring further ones, which wait their turn.
    handling: bool,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    news: VecDeque<CoalescingEvent>,
}

pub struct Dispatcher<W: Environment> {
    state: RefCell<State>,
    servers: Rc<Servers<W>>,
    clock: Clock<W>,
    timer_set: Notify,
    /// The module asks for the list.
    pub subscribe: Notify,
    /// Called when there is news of flights, with nothing of the driver in use.
    listener: RefCell<Option<Rc<dyn Fn()>>>,
}

impl<W: Environment> Dispatcher<W> {
    pub fn new(router: Router, servers: Rc<Servers<W>>, world: W) -> Rc<Self> {
        let state = State {
            router,
            open: FxHashMap::default(),
            named: HashSet::new(),
            last_id: 0,
            events: VecDeque::new(),
            handling: false,
            timers: BinaryHeap::new(),
            news: VecDeque::new(),
        };
        Rc::new(Dispatcher {
            state: RefCell::new(state),
            servers,
            clock: Clock::new(world),
            timer_set: Notify::new(),
            subscribe: Notify::new(),
            listener: RefCell::default(),
        })
    }

    /// Now, on the module's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The instant of a point in time of that clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant(at)
    }

    /// Takes a request; its one final answer comes on the receiver. None if a request of that id waits already.
    pub fn request(
        self: &Rc<Self>,
        ask: ClientRequest,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.ask(ask, Reply::Client)
    }

    /// The same for a write whose end is news.
    pub fn write(
        self: &Rc<Self>,
        ask: ClientRequest,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.ask(ask, Reply::Write)
    }

    fn ask(
        self: &Rc<Self>,
        ask: ClientRequest,
        reply: fn(oneshot::Sender<Answer>) -> Reply,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.claim(ask.command.id())?;
        let (sender, answer) = oneshot::channel();
        let id = self.fresh_id();
        self.open(id, ask, reply(sender));
        Some((id, answer))
    }

    /// A name for a request or for one that waits for another's answer.
    pub fn fresh_id(&self) -> RequestId {
        let mut state = self.state.borrow_mut();
        state.last_id = state.last_id.wrapping_add(1);
        RequestId(state.last_id)
    }

    /// A client's id is in use until its answer, and kept by itself: a part of the command would keep all that was read
    /// with it. None if it is in use already.
    pub fn claim(&self, id: &[u8]) -> Option<Rc<[u8]>> {
        let mut state = self.state.borrow_mut();
        if state.named.contains(id) {
            return None;
        }
        let name: Rc<[u8]> = id.into();
        state.named.insert(name.clone());
        Some(name)
    }

    /// A client's id that was claimed apart from a request is free again.
    pub fn release(&self, id: &[u8]) {
        self.state.borrow_mut().named.remove(id);
    }

    /// Takes a request whose answer is news for those who wait for it.
    pub fn flight(self: &Rc<Self>, flight: FlightId, ask: ClientRequest) {
        self.open(flight.0, ask, Reply::Flight);
    }

    /// Takes a request under a name and a client's id that were claimed for it before.
    pub fn alone(
        self: &Rc<Self>,
        id: RequestId,
        ask: ClientRequest,
        reply: oneshot::Sender<Answer>,
    ) {
        self.open(id, ask, Reply::Client(reply));
    }

    /// One more waits for a flight.
    pub fn join(self: &Rc<Self>, flight: FlightId, tenant: Option<TenantId>, expires: Micros) {
        let id = flight.0;
        if let Some(open) = self.state.borrow_mut().open.get_mut(&id) {
            open.expires = open.expires.max(expires);
            if let Some(until) = &open.until {
                // An attempt that is out is not cut short when the one with the most time leaves.
                until.set(until.get().max(self.clock.instant(open.expires)));
            }
        }
        self.handle(Event::Coalesced {
            id,
            tenant,
            expires,
        });
    }

    /// The one with the most time waits for a flight no more.
    pub fn shorten(self: &Rc<Self>, flight: FlightId, expires: Micros) {
        if let Some(open) = self.state.borrow_mut().open.get_mut(&flight.0) {
            open.expires = expires;
        }
        self.handle(Event::DeadlineShortened {
            id: flight.0,
            expires,
        });
    }

    /// Nobody waits for a flight. Its attempts end too, where attempts may be cancelled.
    pub fn withdraw(self: &Rc<Self>, flight: FlightId, may_cancel: bool) {
        self.gone(flight.0);
        let mut state = self.state.borrow_mut();
        let attempts = state
            .open
            .get_mut(&flight.0)
            .filter(|_| may_cancel)
            .map(|open| &mut open.attempts);
        for cancel in attempts.into_iter().flatten().filter_map(Option::take) {
            let _ = cancel.send(());
        }
    }

    /// Who takes the news of flights.
    pub fn listen(&self, listener: impl Fn() + 'static) {
        *self.listener.borrow_mut() = Some(Rc::new(listener));
    }

    /// What has happened to flights since it was last asked, one at a time.
    pub fn news(&self) -> Option<CoalescingEvent> {
        self.state.borrow_mut().news.pop_front()
    }

    fn open(self: &Rc<Self>, id: RequestId, ask: ClientRequest, reply: Reply) {
        let late = Micros::from_millis(if mutation::is_active(Mutation::DeadlinesLate) {
            100
        } else {
            0
        });
        let expires = self.clock.now().plus(ask.wait).plus(late);
        let write = ask.command.is_write();
        let until =
            matches!(reply, Reply::Flight).then(|| Rc::new(Cell::new(self.clock.instant(expires))));
        let (command, attempts) = (Rc::new(ask.command), Vec::new());
        let open = Open {
            command,
            expires,
            until,
            reply: Some(reply),
            attempts,
        };
        self.state.borrow_mut().open.insert(id, open);
        self.handle(Event::Request(Request {
            id,
            class: ask.class,
            tenant: ask.tenant,
            key: Some(ask.key),
            expires,
            cost_hint: ask.cost_hint,
            retry: ask.retry,
            write,
        }));
    }

    /// The client has left: nothing more is owed. Attempts that are out run on to their end.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        let owed = take_reply(&mut self.state.borrow_mut(), id).is_some();
        if owed {
            self.handle(Event::ClientDisconnected { id });
            self.forget(id);
        }
    }

    /// The process ends: what still waits is answered as failed, now.
    pub fn fail_all(self: &Rc<Self>) {
        let mut waiting: Vec<RequestId> = {
            let state = self.state.borrow();
            state
                .open
                .iter()
                .filter(|(_, open)| open.reply.is_some())
                .map(|(&id, _)| id)
                .collect()
        };
        waiting.sort_unstable();
        for id in waiting {
            answer(&mut self.state.borrow_mut(), id, Answer::Failed);
            self.handle(Event::ClientDisconnected { id });
            self.forget(id);
        }
    }

    /// What a server may be used for; `None`: nobody has told of it.
    pub fn availability(&self, server: &ServerId) -> Option<Availability> {
        self.state.borrow().router.availability(server)
    }

    /// An operator's word on a server.
    pub fn apply_admin_override(self: &Rc<Self>, server: ServerId, word: AdminOverride) {
        self.handle(match word {
            AdminOverride::Disabled => Event::ServerDisabled { server },
            AdminOverride::EnabledAt(at) => Event::ServerEnabled { server, at },
        });
    }

    /// All that operators said.
    pub fn admin_overrides(&self) -> Vec<(ServerId, AdminOverride)> {
        self.state
            .borrow()
            .router
            .admin_overrides()
            .map(|(server, word)| (server.clone(), word))
            .collect()
    }

    /// What the module learnt so far.
    pub fn warm_state(&self) -> WarmState {
        self.state.borrow().router.warm_state()
    }

    /// What another process of this router learnt.
    pub fn restore_warm_state(&self, learnt: WarmState) {
        self.state
            .borrow_mut()
            .router
            .restore_warm_state(self.clock.now(), learnt);
    }

    /// How long a connection to a server may rest.
    pub fn idle_connection_lifetime(&self) -> Duration {
        duration(self.state.borrow().router.idle_connection_lifetime())
    }

    /// What the module believes now.
    pub fn diagnostics(&self) -> Diagnostics {
        self.state.borrow().router.diagnostics()
    }

    /// Listed servers that are avoided now.
    pub fn avoided_endpoints(&self) -> usize {
        self.state.borrow().router.avoided_endpoints()
    }

    pub fn endpoints_changed(self: &Rc<Self>, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointsChanged { update, endpoints });
    }

    /// Fires the timers, for as long as the program runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.peek().map(|timer| timer.0.0);
            let world = &self.clock.world;
            tokio::select! {
                biased;
                () = world.sleep_until(next.unwrap_or_else(|| world.now())), if next.is_some() => {}
                () = self.timer_set.notified() => continue,
            }
            loop {
                let mut state = self.state.borrow_mut();
                match state.timers.peek() {
                    Some(Reverse((at, _))) if *at <= world.now() => {}
                    _ => break,
                }
                let Some(Reverse((_, token))) = state.timers.pop() else {
                    break;
                };
                if mutation::is_active(Mutation::LeaksTimers) {
                    state
                        .timers
                        .push(Reverse((world.now() + Duration::from_secs(3_600), token)));
                }
                drop(state);
                self.handle(Event::Timer { token });
            }
        }
    }

    /// Feeds the module one event and carries out what it wants done, and so on with the events that come of it.
    fn handle(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        if std::mem::replace(&mut state.handling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            state.router.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
        }
        state.handling = false;
        let is_told = !state.news.is_empty();
        drop(state);
        if is_told {
            let listener = self.listener.borrow().clone();
            listener.iter().for_each(|listen| listen());
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                start_within,
            } => {
                self.send(state, id, server, (timeout, start_within));
            }
            Action::Cancel { id, attempt } => {
                let open = state.open.get_mut(&id);
                if let Some(cancel) =
                    open.and_then(|o| o.attempts.get_mut(attempt.0 as usize)?.take())
                {
                    let _ = cancel.send(());
                }
            }
            Action::Reject { id, retry_after } => answer(state, id, Answer::Rejected(retry_after)),
            Action::Fail { id } if mutation::is_active(Mutation::RefusesWhatRan) => {
                answer(state, id, Answer::Rejected(None));
            }
            Action::Fail { id } => answer(state, id, Answer::Failed),
            Action::SetTimer { after, token } => {
                let at = self.clock.world.now() + duration(after);
                state.timers.push(Reverse((at, token)));
                self.timer_set.notify_one();
            }
            Action::CloseIdle { server } => self.servers.close_idle(&server),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::Log(text) => self.clock.world.log(format_args!("{text}")),
        }
    }

    fn send(
        self: &Rc<Self>,
        state: &mut State,
        id: RequestId,
        server: ServerId,
        (timeout, start_within): (Option<Micros>, Option<Micros>),
    ) {
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        let attempt = AttemptNumber(open.attempts.len() as u32);
        let now = self.clock.now();
        let until = timeout.map_or(open.expires, |timeout| now.plus(timeout).min(open.expires));
        if open.reply.is_none() || until <= now {
            // Guards the rule that nothing goes out for a request that has its answer or no time left.
            open.attempts.push(None);
            let complete = open.reply.is_none();
            let end = AttemptEnd {
                complete,
                ..AttemptEnd::new(id, attempt, Outcome::NotSent, Micros(0))
            };
            state.events.push_back(Event::AttemptEnded(end));
            return;
        }
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Some(cancel));
        let limit = Limit {
            start_by: start_within.map(|within| self.clock.instant(now.plus(within))),
            until: self.clock.instant(until),
            lengthened: open.until.clone().filter(|_| timeout.is_none()),
        };
        if attempt.0 > 0 && matches!(open.reply, Some(Reply::Flight)) {
            state.news.push_back(CoalescingEvent::Retried(FlightId(id)));
        }
        let is_out = Rc::new(Cell::new(false));
        let errand = Errand {
            owner: self.clone(),
            id,
            attempt,
            limit,
            is_out: is_out.clone(),
        };
        if mutation::is_active(Mutation::SendsAfterAnswer) {
            let world = self.clock.world.clone();
            let (server, command, errand) = (server.clone(), open.command.clone(), errand.clone());
            let copy = self.servers.clone().attempt(server, command, errand);
            self.clock.world.spawn(async move {
                world.sleep(Duration::from_millis(200)).await;
                copy.await;
            });
        }
        let work = self
            .servers
            .clone()
            .attempt(server, open.command.clone(), errand);
        let driver = self.clone();
        self.clock.world.spawn(async move {
            let ended = tokio::select! {
                biased;
                ended = work => ended,
                // An attempt that its client holds up has ended before, and goes on.
                Ok(()) = cancelled => match is_out.get() {
                    true => Outcome::Cancelled.into(),
                    false => Outcome::NotSent.into(),
                },
            };
            let end = ended
                .began
                .map_or_else(|| driver.clock.now(), |began| driver.clock.at(began));
            driver.ended(id, attempt, ended, end.since(now));
        });
    }

    /// The one place where an attempt ends. The first that serves is the request's final answer.
    fn ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: AttemptNumber,
        ended: Ended,
        elapsed: Micros,
    ) {
        let complete = {
            let mut state = self.state.borrow_mut();
            if let Some(bytes) = ended.answer {
                answer(&mut state, id, Answer::Served(bytes));
            }
            match state.open.get_mut(&id) {
                Some(open) => {
                    open.attempts[attempt.0 as usize] = None;
                    open.reply.is_none()
                }
                None => true,
            }
        };
        let Ended {
            mut outcome,
            cache_status,
            response_started,
            connection_use,
            load,
            ..
        } = ended;
        if mutation::is_active(Mutation::RepeatsUnsafe) && outcome == Outcome::ConnectionLost {
            outcome = Outcome::Unreachable;
        }
        self.servers
            .tally()
            .attempt_ended(outcome, connection_use, cache_status);
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            complete,
            elapsed,
            cache_status,
            response_started,
            connection_use,
            load,
        }));
        self.forget(id);
    }

    fn forget(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.open.get(&id).is_some_and(Open::is_over)
            && !mutation::is_active(Mutation::LeaksRequests)
        {
            state.open.remove(&id);
        }
    }

    /// What is remembered of requests.
    pub fn resource_usage(&self) -> ResourceUsage {
        let state = self.state.borrow();
        let tracked = state.router.tracked_counts();
        ResourceUsage {
            unanswered_requests: state.named.len(),
            open_requests: state.open.len(),
            timers: state.timers.len(),
            tracked_requests: tracked.requests,
            tracked_servers: tracked.servers,
            ..ResourceUsage::default()
        }
    }
}

impl<W: Environment> Owner for Dispatcher<W> {
    fn may_send(&self, server: &ServerId) -> bool {
        self.availability(server) == Some(Availability::Accepting)
    }

    fn wants(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let state = self.state.borrow();
        let is_out = |open: &Open| {
            open.attempts
                .get(attempt.0 as usize)
                .is_some_and(Option::is_some)
        };
        mutation::is_active(Mutation::SendsAfterAnswer)
            || mutation::is_active(Mutation::SendsAfterDeparture)
            || state
                .open
                .get(&id)
                .is_some_and(|open| open.reply.is_some() && is_out(open))
    }

    fn begins(self: Rc<Self>, id: RequestId, attempt: AttemptNumber) -> Takes {
        let pieces = {
            let mut state = self.state.borrow_mut();
            match state.open.get(&id).map(|open| &open.reply) {
                Some(Some(Reply::Flight)) => return Takes::Whole,
                Some(Some(_)) => {}
                _ => return Takes::Nobody,
            }
            // One on its way beside the one that is read: the client's pace is the server's.
            let (pieces, answer_pieces) = mpsc::channel(1);
            answer(&mut state, id, Answer::Long(answer_pieces));
            pieces
        };
        self.handle(Event::StreamStarted { id, attempt });
        Takes::Pieces(pieces)
    }

    fn held_up(self: Rc<Self>, id: RequestId, attempt: AttemptNumber, took: Duration) {
        let ended = Ended {
            response_started: true,
            ..Outcome::Success.into()
        };
        self.ended(id, attempt, ended, Micros(took.as_micros() as u64));
    }
}

/// From here on the request waits for nothing more.
fn take_reply(state: &mut State, id: RequestId) -> Option<Reply> {
    let open = state.open.get_mut(&id)?;
    let reply = open.reply.take()?;
    if !matches!(reply, Reply::Flight) {
        state.named.remove(&open.command.id()[..]);
    }
    if matches!(reply, Reply::Write(_)) {
        state
            .news
            .push_back(CoalescingEvent::Wrote(open.command.key().clone()));
    }
    Some(reply)
}

/// The one place where a request gets its final answer: the sender is gone after the first.
fn answer(state: &mut State, id: RequestId, answer: Answer) {
    match take_reply(state, id) {
        // The client may have left in this moment; its connection says so by itself.
        Some(Reply::Client(reply) | Reply::Write(reply)) => _ = reply.send(answer),
        Some(Reply::Flight) => {
            state
                .news
                .push_back(CoalescingEvent::Ended(FlightId(id), answer));
        }
        None => {}
    }
    if state.open.get(&id).is_some_and(Open::is_over) {
        state.open.remove(&id);
    }
}
