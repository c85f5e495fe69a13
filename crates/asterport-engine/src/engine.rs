//! One router from its start to its end: what runs beside what, and what SIGTERM means.

use crate::clients::Clients;
use crate::discovery::{Discovery, List};
use crate::driver::{Driver, duration};
use crate::joiner::Joiner;
use crate::planted::{self, Bug};
use crate::seam::World;
use crate::servers::{self, Servers};
use asterport_joining::{Counters, Rules};
use onyxpick::params::Deployment;
use onyxpick::{Discovery as Listing, Effect, Group, Micros, Router};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors that are neither clients' nor cache servers': standard streams, the runtime's, the listener's,
/// discovery's, and some to spare.
const RESERVED: usize = 48;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The program ends this long before.
const EXIT_EARLY: Duration = Duration::from_millis(80);

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

/// One router.
pub struct Engine<W: World> {
    world: W,
    driver: Rc<Driver<W>>,
    servers: Rc<Servers<W>>,
    discovery: Rc<Discovery<W>>,
    joiner: Rc<Joiner<W>>,
    clients: Rc<Clients<W>>,
    longest: Duration,
}

impl<W: World> Engine<W> {
    /// A router that has read its settings and its last list, and listens to nobody yet.
    ///
    /// # Errors
    /// One plain sentence on the setting that cannot be used.
    pub fn new(world: W, start: Start) -> Result<Engine<W>, String> {
        let Deployment { mut settings, names, dial_timeout, reports } = start.deployment;
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
        let longest = duration(classes.iter().map(|class| class.deadline).max().unwrap_or_default());
        let may_cancel = settings.limits.cancel;
        let pushed = settings.discovery == Listing::Push;
        let router = Router::new(settings, start.seed).map_err(|e| e.to_string())?;
        let names = Rc::new(names);
        let servers = Servers::new(limits, reports, world.clone());
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
        let clients = Clients::new(joiner.clone(), names, classes, most, world.clone());
        // Before the first client is answered, so that no request finds an empty ring.
        discovery.known(start.known);
        Ok(Engine { world, driver, servers, discovery, joiner, clients, longest })
    }

    /// Leaves the watch for one at this address.
    pub fn watch_at(&self, discovery: SocketAddr) {
        self.discovery.move_to(discovery);
    }

    /// What it holds now.
    pub fn holdings(&self) -> Holdings {
        let (clients, idle) = (self.clients.count(), self.servers.idle());
        let (_, waiters, flights) = self.joiner.counters().unwrap_or_default();
        Holdings { clients, idle, waiters, flights, ..self.driver.holdings() }
    }

    /// What joining came to so far, and the age of the oldest flight that is out; `None` where joining is off.
    pub fn joined(&self) -> Option<(Counters, Option<Micros>)> {
        self.joiner.counters().map(|(counters, ..)| (counters, self.joiner.oldest()))
    }

    /// Serves until `stop` returns, and then until nothing is owed or the time for that is over; how many requests
    /// were left without an answer.
    pub async fn run(&self, listener: W::Listener, stop: impl Future<Output = ()>) -> usize {
        let world = &self.world;
        world.spawn(self.discovery.clone().run());
        world.spawn(self.driver.clone().run_timers());
        world.spawn(self.joiner.clone().run());
        world.spawn(self.servers.clone().retire_idle());
        world.spawn(self.clients.clone().close_resting());
        tokio::select! {
            biased;
            () = stop => {}
            () = self.clients.accept(&listener) => {}
        }
        // Those that come now are served too: the front hears of the end only by and by.
        let _ = world.timeout(STILL_ACCEPTING, self.clients.accept(&listener)).await;
        drop(listener);
        let left = (self.longest + KILL_MARGIN).saturating_sub(STILL_ACCEPTING + EXIT_EARLY);
        match world.timeout(left, self.clients.close()).await {
            Ok(()) => 0,
            Err(_) => self.driver.holdings().owed,
        }
    }
}
