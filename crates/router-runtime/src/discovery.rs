//! Discovery: the list and the watch on it, as membership events.

use crate::dispatcher::Dispatcher;
use crate::endpoint_list::{EndpointList, Health, Host, ListError, Lists};
use crate::environment::{Elapsed, Environment};
use crate::mutation::{self, Mutation};
use crate::servers::Servers;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use load_balancer::deployment::Names;
use load_balancer::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// An empty line comes every 2 s at the least. Where an agent has the lists, a watch that misses one is broken: what it misses
/// counts as told 6 s after it fell silent, and by then a new one must have been answered, also where the first call hangs.
const SILENCE_PUSHED: Duration = Duration::from_millis(2_900);
/// Where discovery is asked, a watch that misses two is. Guards against routers that all come back at once to a discovery that
/// has too many callers: 2.9 s and calls in quick succession cost 0.04 of G there. Hurts where the first call then hangs: it
/// is answered 7 s after the silence began.
const SILENCE_ASKED: Duration = Duration::from_millis(4_500);
/// A call that is not connected by then has failed ...
const CONNECT_LIMIT: Duration = Duration::from_millis(1_200);
/// ... and one that is not answered by then; discovery itself gives one up after 2 s.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// After a new configuration, and when an agent's watch has fallen silent, calls that fail are repeated for this long, the
/// first after the pause and each later one after twice the pause before: the module's own back-off may have grown long with
/// the old address.
const RELOAD_WINDOW: Duration = Duration::from_millis(3_500);
const RELOAD_PAUSE: Duration = Duration::from_millis(100);
/// Where lists are pushed: how soon the agent is asked again.
const REDIAL: Duration = Duration::from_millis(500);

/// Why a watch ended.
#[derive(Debug)]
enum WatchError {
    Io(std::io::Error),
    Http(hyper::Error),
    Status(StatusCode),
    List(ListError),
    Request(hyper::http::Error),
    Ended,
    Silent,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Io(error) => write!(f, "{error}"),
            WatchError::Http(error) => write!(f, "{error}"),
            WatchError::Status(status) => write!(f, "answered {status}"),
            WatchError::List(problem) => write!(f, "{problem}"),
            WatchError::Request(problem) => write!(f, "cannot be asked for: {problem}"),
            WatchError::Ended => f.write_str("ended"),
            WatchError::Silent => f.write_str("silent for too long"),
        }
    }
}

impl From<hyper::Error> for WatchError {
    fn from(error: hyper::Error) -> Self {
        WatchError::Http(error)
    }
}

pub struct Discovery<W: Environment> {
    world: W,
    addr: Cell<SocketAddr>,
    names: Rc<Names>,
    /// Lists come unasked: the module does not subscribe.
    pushed: bool,
    driver: Rc<Dispatcher<W>>,
    servers: Rc<Servers<W>>,
    /// The version of the list that the router has, as counted by the discovery at `addr`.
    seq: Cell<u64>,
    /// That list, for a successor.
    hosts: RefCell<BTreeMap<String, Host>>,
    /// The module waits for the answer to its call or counts as subscribed: it is owed the news of a loss.
    follows: Cell<bool>,
    moved: Notify,
}

/// What is left of the time in which calls are urgent: after a new configuration, or when an agent's watch has fallen silent.
struct Urgent {
    until: Instant,
    pause: Duration,
}

impl Urgent {
    fn from(now: Instant) -> Option<Urgent> {
        Some(Urgent {
            until: now + RELOAD_WINDOW,
            pause: RELOAD_PAUSE,
        })
    }

    /// When to call again after a failed call, if that is still urgent.
    fn next(&mut self, now: Instant) -> Option<Instant> {
        let at = now + self.pause;
        self.pause *= 2;
        (at < self.until).then_some(at)
    }
}

impl<W: Environment> Discovery<W> {
    pub fn new(
        addr: SocketAddr,
        names: Rc<Names>,
        pushed: bool,
        driver: Rc<Dispatcher<W>>,
        servers: Rc<Servers<W>>,
        world: W,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            world,
            addr: Cell::new(addr),
            names,
            pushed,
            driver,
            servers,
            seq: Cell::new(0),
            hosts: RefCell::default(),
            follows: Cell::new(false),
            moved: Notify::new(),
        })
    }

    /// Feeds the list that the router had before its start.
    pub fn known(&self, list: EndpointList) {
        self.take(list, Some(EndpointUpdate::Restored));
    }

    /// Where the list comes from, and how it stands there.
    pub fn list(&self) -> (SocketAddr, EndpointList) {
        let hosts = self.hosts.borrow().values().cloned().collect();
        (
            self.addr.get(),
            EndpointList {
                seq: self.seq.get(),
                whole: true,
                hosts,
            },
        )
    }

    /// Leaves the watch for a new one at this address, at once. What the old one counted means nothing there.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.seq.set(0);
        self.moved.notify_one();
    }

    /// Watches whenever the module subscribes or the address has moved, for as long as the program runs.
    pub async fn run(self: Rc<Self>) {
        let mut lost_before = false;
        let mut urgent: Option<Urgent> = None;
        // When to call without being asked by the module.
        let mut next: Option<Instant> = None;
        loop {
            let due = async {
                match next {
                    Some(at) => self.world.sleep_until(at).await,
                    None if self.pushed => self.world.sleep(REDIAL).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.moved.notified() => urgent = Urgent::from(self.world.now()),
                () = self.driver.subscribe.notified() => {
                    self.follows.set(true);
                    if next.is_some() {
                        continue;
                    }
                }
                () = due => {}
            }
            let told = Cell::new(false);
            next = match self.watch_until_moved(&told).await {
                None => {
                    urgent = Urgent::from(self.world.now());
                    Some(self.world.now())
                }
                Some(error) => {
                    // One line for each outage, not for each call during one.
                    if told.get() || !lost_before {
                        self.world.log(format_args!("discovery: watch {error}"));
                    }
                    lost_before = true;
                    if self.pushed && told.get() && matches!(error, WatchError::Silent) {
                        urgent = Urgent::from(self.world.now());
                        next = Some(self.world.now());
                        continue;
                    }
                    urgent
                        .as_mut()
                        .filter(|_| !told.get())
                        .and_then(|urgent| urgent.next(self.world.now()))
                }
            };
            if next.is_none() {
                urgent = None;
                if self.follows.replace(false) {
                    self.driver
                        .endpoints_changed(EndpointUpdate::WatchLost, Vec::new());
                }
            }
        }
    }

    /// One watch until it is lost, or until the address has moved: then none.
    async fn watch_until_moved(&self, told: &Cell<bool>) -> Option<WatchError> {
        let watch = self.watch(told);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                biased;
                () = self.moved.notified() => return None,
                // The module asks while a call that it did not ask for is out: its first line answers both.
                () = self.driver.subscribe.notified() => self.follows.set(true),
                Err(error) = &mut watch => return Some(error),
            }
        }
    }

    /// One watch, from its call to its end. Its first line answers the subscription.
    async fn watch(&self, told: &Cell<bool>) -> Result<std::convert::Infallible, WatchError> {
        let late = |Elapsed| WatchError::Silent;
        let addr = self.addr.get();
        self.servers.tally().called();
        let answered_by = self.world.now() + CALL_LIMIT;
        let dial = self.world.timeout(CONNECT_LIMIT, self.world.connect(addr));
        let stream = dial.await.map_err(late)?.map_err(WatchError::Io)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        // The connection ends with this watch, however it ends.
        let lines = self.lines(sender, addr, answered_by, told);
        tokio::pin!(lines);
        tokio::select! {
            biased;
            end = &mut lines => return end,
            _ = connection => {}
        }
        // What came before the connection's end is still to be read.
        lines.await
    }

    /// The call on a connection, and the lines of its answer.
    async fn lines(
        &self,
        mut sender: SendRequest<Empty<Bytes>>,
        addr: SocketAddr,
        answered_by: Instant,
        told: &Cell<bool>,
    ) -> Result<std::convert::Infallible, WatchError> {
        let late = |Elapsed| WatchError::Silent;
        let request = Request::get(format!("/api/targets?watch=1&after={}", self.seq.get()))
            .header(header::HOST, addr.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(WatchError::Request)?;
        let answer = self
            .world
            .timeout_at(answered_by, sender.send_request(request))
            .await
            .map_err(late)??;
        if answer.status() != StatusCode::OK {
            return Err(WatchError::Status(answer.status()));
        }
        let mut body = answer.into_body();
        let mut lists = Lists::default();
        let mut heard = self.world.now();
        loop {
            let is_pushed_silence = mutation::is_active(Mutation::KeepsSilentPush) && self.pushed;
            let limit = match told.get() {
                _ if is_pushed_silence => self.world.now() + Duration::from_secs(3_600),
                false => answered_by,
                true if self.pushed => heard + SILENCE_PUSHED,
                true => heard + SILENCE_ASKED,
            };
            let frame = self
                .world
                .timeout_at(limit, body.frame())
                .await
                .map_err(late)?;
            let frame = frame.ok_or(WatchError::Ended)??;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            lists.feed(&data);
            let mut came = false;
            while let Some(list) = lists.next().map_err(WatchError::List)? {
                came = true;
                self.take(list, None);
                self.is_told(told);
            }
            if !lists.is_midway() && !told.get() {
                // Nothing has changed since the version that was named: that answers the call too.
                self.driver
                    .endpoints_changed(EndpointUpdate::Delta, Vec::new());
                self.is_told(told);
            }
            // An empty line inside of a list is no word.
            if came || !lists.is_midway() || !data.trim_ascii().is_empty() {
                heard = self.world.now();
            }
        }
    }

    /// The call has its answer.
    fn is_told(&self, told: &Cell<bool>) {
        if !told.replace(true) {
            self.follows.set(!self.pushed);
        }
    }

    /// Keeps the list as it stands, for a successor.
    fn remember(&self, whole: bool, hosts: &[Host]) {
        let mut kept = self.hosts.borrow_mut();
        if whole {
            kept.clear();
        }
        for host in hosts {
            if host.health == Health::Removed {
                kept.remove(&host.host);
            } else {
                kept.insert(host.host.clone(), host.clone());
            }
        }
    }

    /// What a mutation holds back.
    fn take_late(&self, hosts: Vec<Host>) {
        if hosts.is_empty() {
            return;
        }
        let (driver, servers, world) = (
            self.driver.clone(),
            self.servers.clone(),
            self.world.clone(),
        );
        self.world.spawn(async move {
            world.sleep(Duration::from_millis(251)).await;
            let mut members = Vec::new();
            for host in hosts {
                let state = if host.health == Health::Draining {
                    EndpointState::Draining
                } else {
                    EndpointState::Removed
                };
                let server = ServerId::from(host.host.as_str());
                servers.list(&server, host.dial, state, host.born_ms);
                let started = Micros::from_millis(host.born_ms);
                members.push(Endpoint {
                    state,
                    started,
                    cell: CellId(host.block),
                    ..Endpoint::ready(server)
                });
            }
            driver.endpoints_changed(EndpointUpdate::Delta, members);
        });
    }

    /// Takes a list: first the addresses, so that the module's actions find them.
    fn take(&self, list: EndpointList, kind: Option<EndpointUpdate>) {
        let whole = list.whole || kind == Some(EndpointUpdate::Restored);
        self.remember(whole, &list.hosts);
        let mut members = Vec::with_capacity(list.hosts.len());
        let (mut late, hosts) = (Vec::new(), list.hosts);
        for mut host in hosts {
            let is_out = host.health != Health::Up;
            if mutation::is_active(Mutation::DrainsLate)
                && is_out
                && kind != Some(EndpointUpdate::Restored)
            {
                late.push(host);
                continue;
            }
            if mutation::is_active(Mutation::KeepsRemoved) && host.health == Health::Removed {
                continue;
            }
            if mutation::is_active(Mutation::ForgetsColdness)
                || mutation::is_active(Mutation::MissesRestart) && host.born_ms != 0
            {
                host.born_ms = if mutation::is_active(Mutation::ForgetsColdness) {
                    0
                } else {
                    1
                };
            }
            let state = match host.health {
                Health::Up => EndpointState::Ready,
                Health::Draining => EndpointState::Draining,
                Health::Removed => EndpointState::Removed,
            };
            let server = ServerId::from(host.host.as_str());
            self.servers.list(&server, host.dial, state, host.born_ms);
            if mutation::is_active(Mutation::ListLiftsBans) && state == EndpointState::Ready {
                self.driver.apply_admin_override(
                    server.clone(),
                    AdminOverride::EnabledAt(self.driver.now()),
                );
            }
            let among = |names: &[String], name: Option<String>| {
                names.iter().position(|n| Some(n) == name.as_ref())
            };
            members.push(Endpoint {
                server,
                state,
                zone: among(&self.names.zones, host.site).map(ZoneId),
                cell: CellId(host.block),
                kind: among(&self.names.kinds, host.class).map(KindId),
                started: Micros::from_millis(host.born_ms),
                weight: if host.share.is_finite() && host.share >= 0.0 {
                    host.share
                } else {
                    1.0
                },
            });
        }
        if whole {
            let listed: HashSet<&ServerId> = members.iter().map(|member| &member.server).collect();
            self.servers.keep_only(|server| listed.contains(server));
        }
        self.seq.set(list.seq);
        let told = if whole {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.driver.endpoints_changed(kind.unwrap_or(told), members);
        self.take_late(late);
    }
}
