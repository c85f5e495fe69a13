//! One router from its start to its end: what runs beside what, and what SIGTERM means.

use crate::clients::{Clients, Resting};
use crate::discovery::Discovery;
use crate::driver::{Driver, duration};
use crate::joiner::Joiner;
use crate::large::LargeCommands;
use crate::listing::List;
use crate::planted::{self, Bug};
use crate::seam::World;
use crate::servers::{self, Servers};
use crate::tally::{Attempts, Ends, Tally};
use load_balancer::params::Deployment;
use load_balancer::{
    Discovery as Listing, Effect, Group, Learnt, Micros, Router, ServerId, Standing, View, Word,
};
use process_lifecycle::{Event as LifeEvent, Life};
use request_coalescing::{Counters, Rules};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Descriptors that are neither clients' nor cache servers': standard streams, the runtime's, the listener's,
/// discovery's, and some to spare.
const RESERVED: usize = 48;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM ...
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// ... where a longer deadline than this counts as this.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// So long before, what is still owed is answered as failed. Guards against a request that is lost since the process ends or
/// is killed under it. Hurts those that would have been served in this time.
const LAST_CALL: Duration = Duration::from_millis(120);
/// The program ends this long before.
const EXIT_EARLY: Duration = Duration::from_millis(30);

/// What a router is told at its start.
pub struct Start {
    /// Its settings, and the names behind their numbers.
    pub deployment: Deployment,
    /// For its random numbers; new with each start.
    pub seed: u64,
    /// Where the list of servers is watched.
    pub discovery: SocketAddr,
    /// The list as this router last had it.
    pub known: List,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Which reads are joined; `None`: none are.
    pub joining: Option<Rules>,
}

/// What a router holds at this moment; for tests and for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Requests that wait for their final answer.
    pub owed: usize,
    /// Requests and attempts that the engine remembers.
    pub open: usize,
    /// Timers that are not due yet.
    pub timers: usize,
    /// Requests that the decision library remembers.
    pub held: usize,
    /// Servers that the decision library remembers.
    pub servers: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Idle connections to cache servers.
    pub idle: usize,
    /// Reads that wait for a flight.
    pub waiters: usize,
    /// Flights that reads wait for.
    pub flights: usize,
}

/// How a router ended.
#[derive(Clone, Copy, Debug)]
pub struct Stopped {
    /// Requests that were answered as failed since the time before SIGKILL was over.
    pub failed: usize,
    /// Requests that were left without an answer all the same.
    pub unanswered: usize,
    /// By when the process is to have ended.
    pub until: Instant,
}

/// One router.
pub struct Engine<W: World> {
    world: W,
    driver: Rc<Driver<W>>,
    servers: Rc<Servers<W>>,
    discovery: Rc<Discovery<W>>,
    joiner: Rc<Joiner<W>>,
    clients: Rc<Clients<W>>,
    classes: Vec<String>,
    life: Rc<Cell<Life>>,
    life_changed: Notify,
    longest: Duration,
}

/// What a router shows operators. Counts begin at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By class, under its name.
    pub ends: Vec<(String, Ends)>,
    /// Attempts that were written whole to cache servers.
    pub tries: u64,
    /// Requests taken and not ended.
    pub in_progress: usize,
    /// Cache servers in the list.
    pub listed: usize,
    /// Those of them that this router avoids now, by hand or since they say nothing.
    pub avoided: usize,
}

impl<W: World> Engine<W> {
    /// A router that has read its settings and its last list, and listens to nobody yet.
    ///
    /// # Errors
    /// One plain sentence on the setting that cannot be used.
    pub fn new(world: W, start: Start) -> Result<Engine<W>, String> {
        let Deployment {
            mut settings,
            names,
            dial_timeout,
            reports,
        } = start.deployment;
        for class in &mut settings.classes {
            if let Effect::Keyed { group, memory } = &mut class.effect {
                if planted::has(Bug::RepeatsPastMemory) {
                    *memory = memory.scaled(1_000.0);
                }
                if planted::has(Bug::LeavesTheGroup) {
                    *group = Group::All;
                }
            }
        }
        let most = start.sockets.saturating_sub(RESERVED) / 2;
        if most == 0 {
            return Err(format!("limits.sockets: {} is too few", start.sockets));
        }
        let forever = Micros::from_millis(86_400_000);
        let limits = servers::Limits {
            dial_timeout: duration(dial_timeout.min(forever)),
            conn_idle: duration(settings.connection_idle.min(forever)),
            connections: most,
        };
        let classes = settings.classes.clone();
        let longest = duration(
            classes
                .iter()
                .map(|class| class.deadline)
                .max()
                .unwrap_or_default(),
        );
        let may_cancel = settings.limits.cancel;
        let pushed = settings.discovery == Listing::Push;
        let router = Router::new(settings, start.seed).map_err(|e| e.to_string())?;
        let names = Rc::new(names);
        let class_names = names.classes.clone();
        let tally = Rc::new(Tally::new(classes.len()));
        let life: Rc<Cell<Life>> = Rc::default();
        let servers = Servers::new(limits, reports, tally.clone(), world.clone());
        let driver = Driver::new(router, servers.clone(), world.clone());
        let discovery = Discovery::new(
            start.discovery,
            names.clone(),
            pushed,
            driver.clone(),
            servers.clone(),
            world.clone(),
        );
        let joiner = Joiner::new(driver.clone(), start.joining, may_cancel, world.clone());
        let large = LargeCommands::of_memory(start.memory);
        let shared = (life.clone(), tally);
        let clients = Clients::new(
            joiner.clone(),
            names,
            classes,
            most,
            shared,
            large,
            world.clone(),
        );
        // Before the first client is answered, so that no request finds an empty ring.
        discovery.known(start.known);
        let life_changed = Notify::new();
        let classes = class_names;
        Ok(Engine {
            world,
            driver,
            servers,
            discovery,
            joiner,
            clients,
            classes,
            life,
            life_changed,
            longest,
        })
    }

    /// How this process stands.
    pub fn life(&self) -> Life {
        if self
            .life
            .get()
            .after(self.driver.now(), LifeEvent::Equipped)
            != self.life.get()
            && self.servers.listed() > 0
        {
            self.live(LifeEvent::Equipped);
        }
        self.life.get()
    }

    /// Something happens to the process.
    fn live(&self, event: LifeEvent) {
        self.life
            .set(self.life.get().after(self.driver.now(), event));
        self.life_changed.notify_one();
        self.clients.look_up();
    }

    /// Empties the router: `PING` says no, and connections are closed as they come to rest. Twice is once.
    pub fn evacuate(&self) {
        self.live(LifeEvent::Evacuate);
    }

    /// The end of that; unasked it changes nothing.
    pub fn rejoin(&self) {
        self.live(LifeEvent::Rejoin);
    }

    /// Nothing more to this server, whatever the list says; false if nobody has told of it.
    pub fn exclude(&self, server: &str) -> bool {
        self.call(server, Word::Out)
    }

    /// Puts it back, cold; false if nobody has told of it.
    pub fn include(&self, server: &str) -> bool {
        self.call(server, Word::Back(self.driver.now()))
    }

    /// Takes a word on a server that is listed, or that operators spoke of while it was; false of another.
    fn call(&self, server: &str, word: Word) -> bool {
        let server = ServerId::from(server);
        let is_listed = self
            .driver
            .standing(&server)
            .is_some_and(|standing| standing != Standing::Gone);
        let is_known = is_listed
            || self
                .driver
                .words()
                .iter()
                .any(|(named, _)| *named == server);
        if is_known {
            self.driver.told(server, word);
        }
        is_known
    }

    /// What operators told another process of this router.
    pub fn told(&self, words: impl IntoIterator<Item = (ServerId, Word)>) {
        if !planted::has(Bug::ForgetsBans) {
            words
                .into_iter()
                .for_each(|(server, word)| self.driver.told(server, word));
        }
    }

    /// All that operators said of servers.
    pub fn words(&self) -> Vec<(ServerId, Word)> {
        self.driver.words()
    }

    /// What the decision module learnt so far.
    pub fn learnt(&self) -> Learnt {
        self.driver.learnt()
    }

    /// What another process of this router learnt; after what operators told it.
    pub fn recall(&self, learnt: Learnt) {
        self.driver.recall(learnt);
    }

    /// Where the list comes from, and how it stands.
    pub fn list(&self) -> (SocketAddr, List) {
        self.discovery.list()
    }

    /// What operators are shown.
    pub fn figures(&self) -> Figures {
        let (ends, tries, in_progress) = self.clients.tally().read();
        let ends = self.classes.iter().cloned().zip(ends).collect();
        let (listed, avoided) = (self.servers.listed(), self.driver.avoided());
        Figures {
            ends,
            tries,
            in_progress,
            listed,
            avoided,
        }
    }

    /// What attempts came to since the start, and what the decision module believes now.
    pub fn attempts(&self) -> (Attempts, View) {
        (self.servers.tally().attempts(), self.driver.view())
    }

    /// Leaves half of the places for connections to cache servers to another process of this router, or takes them
    /// back.
    pub fn share_places(&self, shared: bool) {
        if shared {
            self.servers.cede_half()
        } else {
            self.servers.take_back()
        }
    }

    /// Another process has taken over the listener: connections are given to it as they come to rest.
    pub fn succeeded_by(&self, successor: mpsc::UnboundedSender<Resting<W::Stream>>) {
        self.clients.pass_to(Some(successor));
        self.live(LifeEvent::SuccessorServes);
    }

    /// That other process has gone: this one serves on.
    pub fn successor_lost(&self) {
        self.clients.pass_to(None);
        self.live(LifeEvent::SuccessorLost);
    }

    /// Serves a connection that another process has given up.
    pub fn adopt(&self, resting: Resting<W::Stream>) {
        self.clients.start(resting);
    }

    /// Leaves the watch for one at this address.
    pub fn watch_at(&self, discovery: SocketAddr) {
        self.discovery.move_to(discovery);
    }

    /// What it holds now.
    pub fn holdings(&self) -> Holdings {
        let (clients, idle) = (self.clients.count(), self.servers.idle());
        let (_, waiters, flights) = self.joiner.counters().unwrap_or_default();
        Holdings {
            clients,
            idle,
            waiters,
            flights,
            ..self.driver.holdings()
        }
    }

    /// What joining came to so far, and the age of the oldest flight that is out; `None` where joining is off.
    pub fn joined(&self) -> Option<(Counters, Option<Micros>)> {
        self.joiner
            .counters()
            .map(|(counters, ..)| (counters, self.joiner.oldest()))
    }

    /// Accepts clients whenever this process is to.
    async fn accept(&self, listener: &W::Listener) {
        loop {
            if self.life.get().accepts() {
                tokio::select! {
                    biased;
                    () = self.life_changed.notified() => {}
                    () = self.clients.accept(listener) => {}
                }
            } else {
                self.life_changed.notified().await;
            }
        }
    }

    /// Serves until `stop` returns, and then until nothing is owed or the time for that is over.
    pub async fn run(&self, listener: W::Listener, stop: impl Future<Output = ()>) -> Stopped {
        let world = &self.world;
        world.spawn(self.discovery.clone().run());
        world.spawn(self.driver.clone().run_timers());
        world.spawn(self.joiner.clone().run());
        let driver = self.driver.clone();
        world.spawn(self.servers.clone().retire_idle(move || driver.hold()));
        world.spawn(self.clients.clone().close_resting());
        tokio::select! {
            biased;
            () = stop => {}
            () = self.accept(&listener) => {}
        }
        // Those that come now are served too: the front hears of the end only by and by.
        let start = world.now();
        if !self.life.get().is_succeeded() {
            let _ = world.timeout(STILL_ACCEPTING, self.accept(&listener)).await;
            if !self.life.get().is_succeeded() {
                self.clients.accept_rest(&listener).await;
            }
        }
        drop(listener);
        self.live(LifeEvent::Terminate);
        let killed = start + self.longest.min(LONGEST_COUNTED) + KILL_MARGIN;
        let mut stopped = Stopped {
            failed: 0,
            unanswered: 0,
            until: killed - EXIT_EARLY,
        };
        if world
            .timeout_at(killed - LAST_CALL, self.clients.all_ended())
            .await
            .is_err()
        {
            stopped.failed = self.driver.holdings().owed;
            if !planted::has(Bug::DropsOwedAtTheEnd) {
                self.driver.fail_all();
            }
            self.clients.finish();
            let _ = world
                .timeout_at(stopped.until, self.clients.all_ended())
                .await;
            stopped.unanswered = self.driver.holdings().owed;
        }
        // Nothing more is passed on.
        self.clients.pass_to(None);
        stopped
    }
}
