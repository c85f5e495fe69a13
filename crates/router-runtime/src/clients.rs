//! The set of clients' connections: the listener, who has a place, who is closed for another or passed on. What is said
//! on each is [`conversation`]'s.

mod conversation;

use crate::environment::Environment;
use crate::metrics::RouterMetrics;
use crate::stage::RequestStage;
use crate::write_memory_budget::LargeCommands;
use bytes::BytesMut;
use conversation::End;
use load_balancer::deployment::Names;
use load_balancer::*;
use process_lifecycle::Lifecycle;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// A client that has sent no whole command for this long since it connected, or since a command's first byte, is
/// closed: it takes the place of others.
const COMMAND_LIMIT: Duration = Duration::from_secs(2);
/// A client that has not asked for so long since its last answer rests.
const RESTING: Duration = Duration::from_millis(100);
/// How often those that rest are counted.
const RESTING_ROUND: Duration = Duration::from_millis(50);
/// A client that has said nothing so soon after it connected may be about to.
const YOUNG: Duration = Duration::from_millis(500);
/// One that connected within this time has its command on the way most likely: closed now it would lose it, where one
/// that was answered before loses nothing and may come anew.
const ARRIVING: Duration = Duration::from_millis(100);
/// What stands in the listener's queue is there within this time.
const AT_ONCE: Duration = Duration::from_millis(1);
/// How long to leave the listener alone after it failed, out of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub struct Clients<E: Environment> {
    environment: E,
    requests: Rc<dyn RequestStage>,
    names: Rc<Names>,
    classes: Vec<Class>,
    most: usize,
    /// In the order in which they came, so that equal days go alike.
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    last: Cell<u64>,
    lifecycle: Rc<Cell<Lifecycle>>,
    metrics: Rc<RouterMetrics>,
    /// Taken off the listener and not begun, for want of a place.
    arrived: RefCell<Option<E::Stream>>,
    /// Who takes the connections that are passed on.
    successor: RefCell<Option<mpsc::UnboundedSender<IdleConnection<E::Stream>>>>,
    ended: Notify,
    /// The process ends: nothing more is read.
    finishing: Cell<bool>,
    large: Rc<LargeCommands>,
}

/// A client's connection on which nothing is owed, to be served by another process.
#[derive(Debug)]
pub struct IdleConnection<S> {
    /// The connection; what the client has sent since is still to be read.
    pub stream: S,
    /// What was read of a command that is not whole yet.
    pub unread: BytesMut,
    /// It has sent a whole command before.
    pub has_sent_command: bool,
}

/// What a connection's two halves and the listener share.
struct Client {
    /// Asked to close as soon as nothing is owed on it.
    closing: Cell<bool>,
    changed: Notify,
    /// Answers owed and not yet written.
    owed: Cell<usize>,
    /// Has sent a whole command.
    has_sent_command: Cell<bool>,
    /// When a command began to arrive that is not whole yet.
    begun: Cell<Option<Instant>>,
    /// Commands so far that are not for a router.
    unknown: Cell<u32>,
    /// When it connected or was last read from or written to.
    used: Cell<Instant>,
    waiting: RefCell<BTreeSet<RequestId>>,
    /// Never at rest while the router is drained: once nothing is owed it is closed.
    stopped: Cell<bool>,
    /// Its place is wanted for another: whatever it has sent of a command is not waited for.
    evicted: Cell<bool>,
}

impl<E: Environment> Clients<E> {
    pub fn new(
        requests: Rc<dyn RequestStage>,
        names: Rc<Names>,
        classes: Vec<Class>,
        most: usize,
        (lifecycle, metrics): (Rc<Cell<Lifecycle>>, Rc<RouterMetrics>),
        large: Rc<LargeCommands>,
        environment: E,
    ) -> Rc<Self> {
        Rc::new(Clients {
            environment,
            requests,
            names,
            classes,
            most,
            open: RefCell::default(),
            last: Cell::new(0),
            lifecycle,
            metrics,
            arrived: RefCell::default(),
            successor: RefCell::default(),
            ended: Notify::new(),
            finishing: Cell::new(false),
            large,
        })
    }

    /// Accepts clients, for as long as it is polled and this process is to. Past the limit the next ones wait until
    /// there is room. Left off at any moment, it loses nobody.
    pub async fn accept(self: &Rc<Self>, listener: &E::Listener) {
        let mut failing = false;
        loop {
            if self.arrived.borrow().is_some() {
                while self.open.borrow().len() >= self.most {
                    self.make_room();
                    let _ = self
                        .environment
                        .timeout(ACCEPT_PAUSE, self.ended.notified())
                        .await;
                }
                self.start_arrived();
            }
            match self.environment.accept(listener).await {
                Ok(stream) => {
                    failing = false;
                    *self.arrived.borrow_mut() = Some(stream);
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        self.environment
                            .log(format_args!("accepting a client: {error}"));
                    }
                    self.make_room();
                    self.environment.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Takes what stands in the listener's queue, before that is closed: the machine has accepted it, and would reset it.
    /// There may be some more than there are places for, as long as there are descriptors: nobody comes behind them.
    pub async fn accept_rest(self: &Rc<Self>, listener: &E::Listener) {
        self.start_arrived();
        while let Ok(Ok(stream)) = self
            .environment
            .timeout(AT_ONCE, self.environment.accept(listener))
            .await
        {
            self.start(IdleConnection {
                stream,
                unread: BytesMut::new(),
                has_sent_command: false,
            });
        }
    }

    /// The process ends: nothing more is read, and connections are closed as soon as what is owed on them is written.
    pub fn finish(&self) {
        self.finishing.set(true);
        self.look_up();
    }

    /// Begins the one that was taken off the listener, if there is one.
    fn start_arrived(self: &Rc<Self>) {
        if let Some(stream) = self.arrived.take() {
            self.start(IdleConnection {
                stream,
                unread: BytesMut::new(),
                has_sent_command: false,
            });
        }
    }

    /// Serves a connection that this process has accepted or another one has passed on.
    pub fn start(self: &Rc<Self>, idle_connection: IdleConnection<E::Stream>) {
        let id = self.last.get() + 1;
        self.last.set(id);
        let client = Rc::new(Client {
            closing: Cell::new(false),
            changed: Notify::new(),
            owed: Cell::new(0),
            has_sent_command: Cell::new(idle_connection.has_sent_command),
            begun: Cell::new(None),
            unknown: Cell::new(0),
            used: Cell::new(self.environment.now()),
            waiting: RefCell::default(),
            stopped: Cell::new(false),
            evicted: Cell::new(false),
        });
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        self.environment.spawn(async move {
            clients.serve(idle_connection, &client).await;
            for id in client.waiting.take() {
                clients.requests.client_disconnected(id);
            }
            clients.open.borrow_mut().remove(&id);
            clients.ended.notify_one();
        });
    }

    /// Makes room for another client by closing one that is owed nothing: one that had its time to ask and did not,
    /// else one that has not asked for long, else one that says nothing or rests between commands, and one that only
    /// just came last of all. Guards against crowds that connect at once: while many clients rest between commands,
    /// each newcomer would be closed for the next, before its first command is read. Hurts clients that rest when
    /// hundreds connect and say nothing: they must connect again.
    fn make_room(&self) {
        let now = self.environment.now();
        let rank = |client: &Client| {
            let since = client.begun.get().unwrap_or(client.used.get());
            let silent = !client.has_sent_command.get() || client.begun.get().is_some();
            let class = match (silent, now.saturating_duration_since(since)) {
                (true, age) if age > YOUNG => 0,
                (false, age) if age > COMMAND_LIMIT => 1,
                (true, age) if age > ARRIVING => 2,
                (false, _) => 3,
                (true, _) => 4,
            };
            (class, since)
        };
        let open = self.open.borrow();
        let closing = open
            .values()
            .any(|client| client.closing.get() && client.owed.get() == 0);
        let idle = open
            .values()
            .filter(|client| client.owed.get() == 0 && !client.closing.get());
        if let Some(client) = idle.min_by_key(|client| rank(client)).filter(|_| !closing) {
            client.evict();
        }
    }

    /// Sees to it, for as long as the program runs, that clients that rest between commands hold no more than a
    /// quarter of the places: those that asked longest ago are closed. Guards against clients that ask once and keep
    /// their connection: a front or the clients' own limits may allow fewer connections than there are places, and
    /// then nobody can come to ask for one. Hurts clients that keep many connections and use them by turns: the
    /// router has them connect again, which loses no request.
    pub async fn close_resting(self: Rc<Self>) {
        loop {
            self.environment.sleep(RESTING_ROUND).await;
            let (open, now) = (self.open.borrow(), self.environment.now());
            let rests = |client: &&Rc<Client>| {
                let idle =
                    client.owed.get() == 0 && client.begun.get().is_none() && !client.closing.get();
                client.has_sent_command.get()
                    && idle
                    && now.saturating_duration_since(client.used.get()) > RESTING
            };
            let mut idle_connection: Vec<_> = open.values().filter(rests).collect();
            idle_connection.sort_by_key(|client| client.used.get());
            let excess = idle_connection.len().saturating_sub(self.most / 4);
            idle_connection
                .iter()
                .take(excess)
                .for_each(|client| client.close());
        }
    }

    /// The lifecycle of the process has changed: each connection looks what it gets now.
    pub fn look_up(&self) {
        self.open
            .borrow()
            .values()
            .for_each(|client| client.changed.notify_one());
    }

    /// Who takes what comes to rest, where the lifecycle of the process says that it is passed on.
    pub fn pass_to(
        self: &Rc<Self>,
        successor: Option<mpsc::UnboundedSender<IdleConnection<E::Stream>>>,
    ) {
        *self.successor.borrow_mut() = successor;
        self.start_arrived();
    }

    /// Gives a connection at rest to the successor; back if there is none.
    fn pass_on(
        &self,
        idle_connection: IdleConnection<E::Stream>,
    ) -> Result<(), IdleConnection<E::Stream>> {
        match &*self.successor.borrow() {
            Some(successor) => successor.send(idle_connection).map_err(|back| back.0),
            None => Err(idle_connection),
        }
    }

    /// The counts of this process.
    pub fn metrics(&self) -> &Rc<RouterMetrics> {
        &self.metrics
    }

    /// Returns when all connections are closed or passed on.
    pub async fn all_ended(&self) {
        while !self.open.borrow().is_empty() {
            self.ended.notified().await;
        }
    }

    async fn serve(&self, mut idle_connection: IdleConnection<E::Stream>, client: &Client) {
        loop {
            let IdleConnection { stream, unread, .. } = idle_connection;
            let (stream, end) = self.serve_until_rest(stream, unread, client).await;
            let unread = match end {
                End::Left | End::Done => return,
                End::Error => return self.drain(stream).await,
                End::Finished => return self.part(stream).await,
                End::Rests(unread) => unread,
            };
            match self.pass_on(IdleConnection {
                stream,
                unread,
                has_sent_command: client.has_sent_command.get(),
            }) {
                Ok(()) => return,
                Err(back) => idle_connection = back,
            }
            // The successor has gone in this moment, and the lifecycle of this process says so soon.
            self.environment.sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

impl Client {
    fn evict(&self) {
        self.evicted.set(true);
        self.close();
    }

    fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }
}
