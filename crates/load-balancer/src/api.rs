//! The interface of the decision module: settings, events and actions as plain data.
//!
//! Nothing here decides anything. An embedding router fills in [`Settings`], feeds [`Event`]s with the time at
//! which they happened, and carries out the [`Action`]s it gets back.

use crate::load_report::LoadReport;
use std::fmt;
use std::sync::Arc;

/// A point in time or a length of time, in whole microseconds. Points count from any fixed origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest time that can be stated.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis.saturating_mul(1_000))
    }

    /// Seconds, rounded to the nearest microsecond; negative and not-a-number count as zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Micros((secs * 1e6).round() as u64)
    }

    /// The same in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// `self + other`, held at the largest value.
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// `self - earlier`, zero when `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This time moved by one part in `parts` toward `other`.
    pub fn toward(self, other: Micros, parts: u64) -> Micros {
        Micros(self.0 - self.0 / parts.max(1) + other.0 / parts.max(1))
    }

    /// A multiple of this time; negative factors count as zero.
    pub fn scaled(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

/// A request, as named by the embedding router; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Attempts of one request are numbered from 0 in the order of their [`Action::Send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A cache server's stable name; its bytes place it on the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// So that a name is looked up without a copy of it.
impl std::borrow::Borrow<str> for ServerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ServerId {
    fn from(name: &str) -> Self {
        ServerId(Arc::from(name))
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId(pub usize);

/// A zone, by any number the embedding router gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneId(pub usize);

/// A kind of machine, by any number the embedding router gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub usize);

/// A cell: a few servers that share which keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellId(pub u64);

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// Carries an idempotency key: the servers of one scope drop repeats within the window.
    Keyed {
        /// Which servers share the record of keys.
        scope: DeduplicationScope,
        /// How long after the first attempt repeats are dropped.
        deduplication_window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time earn the full worth.
    pub latency_objective: Micros,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, within its share.
    pub quota_per_s: f64,
    /// Its part of the service.
    pub share: f64,
}

/// Who asks the origin for what a cache server lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// The cache server itself.
    Through,
    /// The router, as a further attempt; writes go to the origin too.
    Aside {
        /// Servers of this kind are the origin and stay off the ring.
        origin: KindId,
    },
}

/// What a [`Endpoint::weight`] tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing, or something that varies from list to list.
    #[default]
    Unknown,
    /// The size of the machine, roughly: cores rather than speed.
    Rough,
    /// The registered size, the speed of its cores included.
    Nominal,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Push,
    /// Changes come while subscribed; a router without a subscription that has not asked for `ask_within` (four
    /// times that after a failed call) counts as told of the list as it stood that long ago.
    Subscribe {
        /// See above.
        poll_within: Micros,
    },
}

/// The figures of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this much after the client's time is up.
    pub answer_grace: Micros,
    /// New work to a draining or gone server must end this soon after the router was told.
    pub drain_grace: Micros,
    /// A server starts with at least this share of its capacity.
    pub initial_capacity_ratio: f64,
    /// A started server is warm after this at most.
    pub slow_start_duration: Micros,
    /// A cold server sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_duration: Micros,
    /// Idle connections to a draining server must be closed this soon after the notice or the last use; `None`
    /// where no such rule holds.
    pub drain_close: Option<Micros>,
}

/// What the router may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be out together.
    pub hedging: bool,
    /// Clients hear advice on when to retry.
    pub retry_after: bool,
    /// The longest such advice that is followed.
    pub max_retry_after: Micros,
}

/// What a router is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers that share the fleet, this one included.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's quota is worth, as a share.
    pub over_quota_weight: f64,
    /// Who asks the origin.
    pub mode: CacheMode,
    /// How the list arrives.
    pub discovery: Discovery,
    /// What the weights on it tell.
    pub weights: Weights,
    /// The figures of the four rules.
    pub rules: Rules,
    /// What the router may do.
    pub limits: Limits,
    /// Idle connections are closed after this long.
    pub connection_idle: Micros,
    /// What connections cost.
    pub connection_costs: ConnectionCosts,
    /// An origin that is sent too much for too long stops for some seconds.
    pub origin_collapses_under_overload: bool,
}

/// What connections cost a deployment, as shares of the worth of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionCosts {
    /// A hundred open connections to each server, all the time; 0 where they cost nothing.
    pub connection: f64,
    /// A new connection for each request.
    pub handshake: f64,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting's path, such as `classes.0.aim`.
    pub setting: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl AttemptEnd {
    /// An end of which no more is known: the client still has no answer, no note came, nothing had begun to come back, and
    /// the connection is unknown.
    pub fn new(id: RequestId, attempt: AttemptNumber, outcome: Outcome, elapsed: Micros) -> Self {
        let (complete, cache_status, response_started, connection_use, load) =
            (false, None, false, ConnectionUse::Unknown, None);
        AttemptEnd {
            id,
            attempt,
            outcome,
            complete,
            elapsed,
            cache_status,
            response_started,
            connection_use,
            load,
        }
    }
}

impl Settings {
    /// Checks every value and names the first that cannot be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fail = |setting: String, problem| Err(SettingsError { setting, problem });
        let finite = |v: f64| v.is_finite() && v >= 0.0;
        if self.routers == 0 {
            return fail("routers".into(), "must be at least 1");
        }
        if self.classes.is_empty() {
            return fail("classes".into(), "at least one class is needed");
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.latency_objective == Micros(0) {
                return fail(format!("classes.{i}.aim"), "must be above zero");
            }
            if class.deadline == Micros(0) {
                return fail(format!("classes.{i}.deadline"), "must be above zero");
            }
            if !finite(class.priority_weight) {
                return fail(
                    format!("classes.{i}.worth"),
                    "must be a number of at least zero",
                );
            }
            if !finite(class.late_weight) {
                return fail(
                    format!("classes.{i}.late_worth"),
                    "must be a number of at least zero",
                );
            }
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            if !finite(tenant.quota_per_s) {
                return fail(
                    format!("tenants.{i}.quota_per_s"),
                    "must be a number of at least zero",
                );
            }
            if !finite(tenant.share) {
                return fail(
                    format!("tenants.{i}.share"),
                    "must be a number of at least zero",
                );
            }
        }
        if !finite(self.over_quota_weight) {
            return fail(
                "over_quota_worth".into(),
                "must be a number of at least zero",
            );
        }
        if !(0.0..=1.0).contains(&self.rules.initial_capacity_ratio) {
            return fail("rules.cold_share".into(), "must lie between 0 and 1");
        }
        if !finite(self.rules.overload_multiple) {
            return fail(
                "rules.fall_multiple".into(),
                "must be a number of at least zero",
            );
        }
        if self.limits.max_attempts == 0 {
            return fail("limits.max_attempts".into(), "must be at least 1");
        }
        Ok(())
    }
}

/// The state of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub server: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: Option<ZoneId>,
    /// Its cell.
    pub cell: CellId,
    /// What kind of machine it is.
    pub kind: Option<KindId>,
    /// When it last started; zero means long ago.
    pub started: Micros,
    /// Its size against that of others.
    pub weight: f64,
}

/// Which part of the endpoint list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as this router last held it; possibly stale.
    Restored,
    /// A poll failed or the watch broke; no entries.
    WatchLost,
}

/// A new request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Who sends it.
    pub tenant: Option<TenantId>,
    /// The cache key.
    pub key: Option<u64>,
    /// When the client gives up on this try.
    pub expires: Micros,
    /// Rough cost, as time on a standard core.
    pub cost_hint: Option<Micros>,
    /// Whether the client says that it is a repeat.
    pub retry: bool,
    /// Whether it is a write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; it may have run.
    Failure,
    /// Turned away unseen; it never ran.
    Overloaded,
    /// No answer in time; it may have run or run still.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled by the router; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing is kept there for this key; it never ran.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent | Outcome::Miss
        )
    }
}

/// How a server came by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// It had the object.
    Hit,
    /// It lacked the object.
    Miss,
    /// It lacked the object and has told another request to fetch it.
    MissPending,
}

/// The connection that an attempt went out on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The embedding program cannot tell.
    #[default]
    Unknown,
    /// It was opened for this attempt, whose time holds the handshake.
    New,
    /// It had carried others, and had been idle for so long since the last.
    Reused(Micros),
}

/// The end of an attempt; each gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the client has its final answer by now.
    pub complete: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// How the server came by the answer.
    pub cache_status: Option<CacheStatus>,
    /// Something of an answer came back: whatever the outcome, the connection was alive. False where that is not
    /// known.
    pub response_started: bool,
    /// The connection that it went out on.
    pub connection_use: ConnectionUse,
    /// What the server said of itself, where answers bring that.
    pub load: Option<LoadReport>,
}

/// What happens to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsChanged {
        /// Which part of the list the entries are.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// An operator took a server out of use: nothing new to it, whatever the list says. Twice is once.
    ServerDisabled {
        /// The server; one that the list does not name yet is out as soon as it does.
        server: ServerId,
    },
    /// An operator put a server back: one call back ends any number of calls out, and it is met as cold.
    ServerEnabled {
        /// The server.
        server: ServerId,
        /// When that was: before now where it is told by another process.
        at: Micros,
    },
    /// A request arrived; exactly one final answer is owed.
    Request(Request),
    /// A streamed answer has started; deadlines stop.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// One more client waits for the answer of this request, and is owed it elsewhere: the embedding program joins
    /// reads that ask for the same.
    Coalesced {
        /// The request.
        id: RequestId,
        /// Who joins it: it counts as having asked, and the most entitled of all decides how the request fares.
        tenant: Option<TenantId>,
        /// The request's time is up no sooner than this.
        expires: Micros,
    },
    /// Of those who wait for this request's answer the one with the most time has left.
    DeadlineShortened {
        /// The request.
        id: RequestId,
        /// When the time of all others is up.
        expires: Micros,
    },
    /// A timer set by [`Action::SetTimer`] is due.
    Timer {
        /// As it was set.
        token: u64,
    },
}

/// What the router wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Give up on the attempt after this time; `None` is the client's own limit.
        timeout: Option<Micros>,
        /// Its last byte must be written within this time, or it is not to be sent at all ([`Outcome::NotSent`]): a
        /// repeat that waits for its connection may outlast the memory that makes it harmless. `None`: no such end.
        start_within: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: AttemptNumber,
    },
    /// Final answer: declined; trying again does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice on how long to stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with nothing promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Micros,
        /// Given back unchanged.
        token: u64,
    },
    /// Close the connections to a server that carry nothing.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

impl Default for Settings {
    /// One router, no tenants, a pushed list and a `through` fleet; classes must be filled in.
    fn default() -> Self {
        Settings {
            routers: 1,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            mode: CacheMode::Through,
            discovery: Discovery::Push,
            weights: Weights::Unknown,
            rules: Rules {
                answer_grace: Micros::from_millis(20),
                drain_grace: Micros::from_millis(250),
                initial_capacity_ratio: 0.1,
                slow_start_duration: Micros::from_millis(30_000),
                overload_multiple: 2.0,
                overload_duration: Micros::from_millis(1_000),
                drain_close: None,
            },
            limits: Limits {
                max_attempts: 3,
                cancel: false,
                hedging: false,
                retry_after: false,
                max_retry_after: Micros::from_millis(1_000),
            },
            connection_idle: Micros::from_millis(15_000),
            connection_costs: ConnectionCosts::default(),
            origin_collapses_under_overload: true,
        }
    }
}

impl Endpoint {
    /// A ready server of usual size that started long ago.
    pub fn ready(server: ServerId) -> Self {
        Endpoint {
            server,
            state: EndpointState::Ready,
            zone: None,
            cell: CellId(0),
            kind: None,
            started: Micros(0),
            weight: 1.0,
        }
    }
}
