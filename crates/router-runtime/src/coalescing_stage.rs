//! Between the fronts and the driver: reads that ask for the same share a flight. It keeps the senders of those who
//! wait and carries out what [`request_coalescing`] decides.
//!
//! Where joining is off it passes requests on and nothing else.

use crate::dispatcher::{Answer, ClientRequest, CoalescingEvent, Dispatcher};
use crate::environment::Environment;
use crate::mutation::{self, Mutation};
use load_balancer::{Micros, RequestId};
use request_coalescing::{
    Action, Coalescer, CoalescingRules, Counters, Event, FlightOutcome, Read,
};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, oneshot};

/// Fields of the protocol that do not change an answer: the class, which is told apart already, who asks, how long it
/// waits, what it costs, whether it is a repeat, and the key of an effect that a read has not.
const LEFT_OUT: [&str; 6] = ["c", "t", "d", "h", "r", "k"];

/// The answer that each waiter of a flight is sent.
struct Waiting {
    reply: oneshot::Sender<Answer>,
    /// The client's id, claimed until then.
    name: Rc<[u8]>,
    #[cfg(feature = "mutations")]
    ask: (ClientRequest, Micros),
}

struct State {
    joining: Coalescer,
    waiting: FxHashMap<RequestId, Waiting>,
    /// Kept for its room.
    actions: Vec<Action>,
}

struct On {
    rules: CoalescingRules,
    may_cancel: bool,
    state: RefCell<State>,
    /// A waiter is due earlier than any before.
    due: Notify,
}

/// See the module.
pub struct CoalescingStage<W: Environment> {
    world: W,
    driver: Rc<Dispatcher<W>>,
    on: Option<On>,
}

impl<W: Environment> CoalescingStage<W> {
    /// With rules, joining is on.
    pub fn new(
        driver: Rc<Dispatcher<W>>,
        rules: Option<CoalescingRules>,
        may_cancel: bool,
        world: W,
    ) -> Rc<Self> {
        let on = rules.map(|rules| {
            let joining = Coalescer::new(rules.bounds, &rules.classes).advising(rules.advice);
            let state = State {
                joining,
                waiting: FxHashMap::default(),
                actions: Vec::new(),
            };
            On {
                rules,
                may_cancel,
                state: RefCell::new(state),
                due: Notify::new(),
            }
        });
        let joiner = Rc::new(CoalescingStage { world, driver, on });
        if joiner.on.is_some() {
            let listener = Rc::downgrade(&joiner);
            joiner.driver.listen(move || {
                let joiner = listener.upgrade();
                if let Some((joiner, on)) = joiner
                    .as_ref()
                    .and_then(|joiner| Some((joiner, joiner.on.as_ref()?)))
                {
                    joiner.settle(on);
                }
            });
        }
        joiner
    }

    /// Takes a request; its one final answer comes on the receiver. None if a request of that id waits already.
    pub fn request(&self, ask: ClientRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let Some(on) = &self.on else {
            return self.driver.request(ask);
        };
        let joins = on
            .rules
            .joined
            .get(ask.class.0)
            .is_some_and(|&joined| joined);
        if ask.command.is_write() && !mutation::is_active(Mutation::JoinsWrites) {
            if !mutation::is_active(Mutation::JoinsAcrossWrites) {
                self.handle(
                    on,
                    Event::Write {
                        key: ask.command.key(),
                    },
                    None,
                    None,
                );
            }
            return self.driver.write(ask);
        }
        if joins || mutation::is_active(Mutation::JoinsWrites) {
            self.join(on, ask)
        } else {
            self.driver.request(ask)
        }
    }

    fn join(&self, on: &On, ask: ClientRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let name = self.driver.claim(ask.command.id())?;
        let (reply, answer) = oneshot::channel();
        let id = self.driver.fresh_id();
        let (key, class, tenant) = (ask.command.key().clone(), ask.class, ask.tenant);
        let what = ask.command.variant(|field| {
            (LEFT_OUT.contains(&field) && !(field == "t" && on.rules.per_tenant))
                || on.rules.ignore.iter().any(|ignored| ignored == field)
        });
        let expires = self.driver.now().plus(ask.wait);
        #[cfg(feature = "mutations")]
        let waiting = Waiting {
            reply,
            name,
            ask: (ask.clone(), expires),
        };
        #[cfg(not(feature = "mutations"))]
        let waiting = Waiting { reply, name };
        on.state.borrow_mut().waiting.insert(id, waiting);
        let read = Read {
            id,
            class,
            tenant,
            key: &key,
            what: &what,
            expires,
        };
        self.handle(on, Event::Read(read), Some(ask), None);
        Some((id, answer))
    }

    /// Now, on the module's clock.
    pub fn now(&self) -> Micros {
        self.driver.now()
    }

    /// The client has left: nothing more is owed.
    pub fn gone(&self, id: RequestId) {
        let Some(on) = &self.on else {
            return self.driver.gone(id);
        };
        let waiting = on.state.borrow_mut().waiting.remove(&id);
        match waiting {
            Some(waiting) => {
                self.driver.release(&waiting.name);
                self.handle(on, Event::ClientDisconnected { id }, None, None);
            }
            None => self.driver.gone(id),
        }
    }

    /// Tells waiters when their own time is up, for as long as the program runs.
    pub async fn run(self: Rc<Self>) {
        let Some(on) = &self.on else { return };
        loop {
            let due = self.next_due(on);
            tokio::select! {
                biased;
                () = on.due.notified() => {}
                () = self.world.sleep_until(due.unwrap_or_else(|| self.world.now())), if due.is_some() => {}
            }
            if !mutation::is_active(Mutation::HoldsWaiters) {
                self.handle(on, Event::Due, None, None);
            }
        }
    }

    fn next_due(&self, on: &On) -> Option<Instant> {
        let due = on
            .state
            .borrow()
            .joining
            .next_due()
            .filter(|_| !mutation::is_active(Mutation::HoldsWaiters))?;
        Some(self.driver.instant(due))
    }

    /// Takes what has just happened to flights: one that has its answer takes no more.
    fn settle(&self, on: &On) {
        while let Some(news) = self.driver.news() {
            match news {
                CoalescingEvent::Wrote(_) if mutation::is_active(Mutation::JoinsAcrossWrites) => {}
                CoalescingEvent::Wrote(key) => {
                    self.handle(on, Event::Write { key: &key }, None, None)
                }
                CoalescingEvent::Retried(flight) => {
                    self.handle(on, Event::Retried { flight }, None, None)
                }
                CoalescingEvent::Ended(flight, answer) => {
                    let how = match answer {
                        Answer::Served(_) | Answer::Long(_) => FlightOutcome::Served,
                        Answer::Rejected(after) => FlightOutcome::Rejected(after),
                        Answer::Failed => FlightOutcome::Failed,
                    };
                    self.handle(on, Event::Ended { flight, how }, None, Some(answer));
                }
            }
        }
    }

    /// Feeds the module one event and carries out what it wants done. `ask` is the read that has just come, `answer` that
    /// of the flight that has just ended.
    fn handle(
        &self,
        on: &On,
        event: Event<'_>,
        mut ask: Option<ClientRequest>,
        answer: Option<Answer>,
    ) {
        let (mut actions, first) = {
            let mut state = on.state.borrow_mut();
            let mut actions = std::mem::take(&mut state.actions);
            let first = state.joining.next_due();
            state.joining.handle(self.driver.now(), event, &mut actions);
            (actions, first)
        };
        for action in actions.drain(..) {
            match action {
                Action::Open { flight } => {
                    if let Some(ask) = ask.take() {
                        self.driver.flight(flight, ask);
                    }
                }
                Action::Join {
                    flight,
                    tenant,
                    expires,
                } => self.driver.join(flight, tenant, expires),
                Action::Alone { id } => {
                    let waiting = on.state.borrow_mut().waiting.remove(&id);
                    if let (Some(waiting), Some(ask)) = (waiting, ask.take()) {
                        self.driver.alone(id, ask, waiting.reply);
                    }
                }
                Action::Answer { id, how } => self.answer(on, id, how, answer.as_ref()),
                Action::Shorten { flight, expires } => self.driver.shorten(flight, expires),
                Action::Withdraw { flight } => self.driver.withdraw(flight, on.may_cancel),
            }
        }
        let mut state = on.state.borrow_mut();
        state.actions = actions;
        if state
            .joining
            .next_due()
            .is_some_and(|due| first.is_none_or(|first| due < first))
        {
            on.due.notify_one();
        }
    }

    /// The one place where a waiter gets its final answer.
    fn answer(&self, on: &On, id: RequestId, how: FlightOutcome, answer: Option<&Answer>) {
        let Some(waiting) = on.state.borrow_mut().waiting.remove(&id) else {
            return;
        };
        #[cfg(feature = "mutations")]
        if mutation::is_active(Mutation::Stampedes)
            && answer.is_some()
            && how != FlightOutcome::Served
        {
            let (ask, expires) = waiting.ask;
            let (id, wait) = (self.driver.fresh_id(), expires.since(self.driver.now()));
            return self
                .driver
                .alone(id, ClientRequest { wait, ..ask }, waiting.reply);
        }
        self.driver.release(&waiting.name);
        let answer = match (how, answer) {
            // A handle on the same bytes, however many wait for them.
            (FlightOutcome::Served, Some(Answer::Served(bytes))) => Answer::Served(bytes.clone()),
            (FlightOutcome::Rejected(after), _) => Answer::Rejected(after),
            _ => Answer::Failed,
        };
        // The client may have left in this moment; its connection says so by itself.
        let _ = waiting.reply.send(answer);
    }

    /// What passed, and how many wait for how many flights; none where joining is off.
    pub fn counters(&self) -> Option<(Counters, usize, usize)> {
        let on = self.on.as_ref()?;
        let state = on.state.borrow();
        let (waiters, flights) = state.joining.held();
        Some((state.joining.counters(), waiters, flights))
    }

    /// The age of the oldest flight.
    pub fn oldest(&self) -> Option<Micros> {
        self.on
            .as_ref()?
            .state
            .borrow()
            .joining
            .oldest(self.driver.now())
    }
}
