//! What a router remembers, as plain data. What is done with it is decided in `src/balance.rs`.

use crate::admin_overrides::Words;
use crate::api::*;
use crate::concurrency_limit::Gauge;
use crate::idle_connection_lifetime::{Fleet, Links};
use crate::key_locations::Known;
use crate::origin_fetch_limit::Origin;
use crate::queue_estimate::Queue;
use crate::rejected_requests::TurnedAway;
use crate::stale_connections::Kept;
use crate::subscription::Asking;
use crate::traffic_estimate::Demand;
use std::collections::HashMap;

/// What one candidate server was to a request: it took the request, or the reason why it was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateVerdict {
    /// Takes the request: the ring owner, or this router's replica of a hot key.
    Owner,
    /// Takes the request in place of an owner that is left out, or because the key is known to be cached there.
    Diverted,
    /// Takes the request as an extra origin fetch, paid for with one retry token.
    DivertedWithRetryToken,
    /// Left out: an earlier attempt of this request went there.
    AlreadyAttempted,
    /// Left out: it serves only part of its arc, being slow or warming up, and this key lies outside that part.
    OutsidePartialArc,
    /// Left out: it is warming up, and its slow-start allowance is used up.
    SlowStartLimited,
    /// Left out: it does not respond.
    Unresponsive,
    /// Left out: the key is hot, and this router's replica of it lies further along the ring.
    HotKeyReplicaElsewhere,
    /// Left out: its concurrency limit is used up.
    AtCapacity,
    /// Left out: the request would most likely be an origin fetch, and those are limited.
    FetchLimited,
    /// Left out: the key stays with its owner although that one is at capacity.
    RetainedByOwner,
}

impl CandidateVerdict {
    /// All of them, in the order of [`crate::Diagnostics::verdicts`].
    pub const ALL: [CandidateVerdict; 11] = [
        CandidateVerdict::Owner,
        CandidateVerdict::Diverted,
        CandidateVerdict::DivertedWithRetryToken,
        CandidateVerdict::AlreadyAttempted,
        CandidateVerdict::OutsidePartialArc,
        CandidateVerdict::SlowStartLimited,
        CandidateVerdict::Unresponsive,
        CandidateVerdict::HotKeyReplicaElsewhere,
        CandidateVerdict::AtCapacity,
        CandidateVerdict::FetchLimited,
        CandidateVerdict::RetainedByOwner,
    ];

    /// Whether the request went there.
    pub fn is_taken(self) -> bool {
        matches!(
            self,
            CandidateVerdict::Owner
                | CandidateVerdict::Diverted
                | CandidateVerdict::DivertedWithRetryToken
        )
    }
}

/// One walk over the candidates of a request: what holds for all of them, and what was met so far.
#[derive(Debug)]
pub(crate) struct Walk {
    /// How much of a limit it may use.
    pub stretch: f64,
    /// How it ranks by worth, 0 to 1.
    pub rank: f64,
    /// May be a fetch where its key belongs, and elsewhere.
    pub fetch: bool,
    pub move_off: bool,
    /// The largest part of their arcs that servers have.
    pub most: f64,
    /// Attempts at work, and all limits together.
    pub used: f64,
    pub limits: f64,
    /// How much of further homes of a hot key is left to pass.
    pub passed_on: f64,
    /// No candidate was met yet; none that was not left out.
    pub owner: bool,
    pub near: bool,
    /// The owner is left out, or may give keys away.
    pub may_move: bool,
    /// The first of the homes passed that was fit.
    pub earlier: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRan,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub server: usize,
    pub sent: Micros,
    pub fate: Fate,
    /// Counted as a fetch from the origin.
    pub fetch: bool,
    /// How often its key was asked for: [`crate::origin_fetch_limit::FAMILIAR`].
    pub familiar: usize,
    /// How long the connection it went out on had been idle; `None` for a new or a busy one.
    pub idle: Option<Micros>,
    /// It met a kept connection that was dead already: its server may be tried again.
    pub unmet: bool,
}

/// A request, until it is answered and its last attempt has ended.
#[derive(Debug)]
pub(crate) struct Held {
    pub ask: Request,
    pub came: Micros,
    /// Place on the ring: point 0 of the key's digest.
    pub place: u32,
    /// Point 1 as a share: which part of an arc the key belongs to, the same at every router.
    pub slice: f64,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    pub familiar: usize,
    /// A cache answered that it lacks the key.
    pub missed: bool,
}

impl Held {
    pub fn new(ask: Request, came: Micros, place: u32, slice: f64, familiar: usize) -> Held {
        let (attempts, answered, streaming, missed) = (Vec::new(), false, false, false);
        Held {
            ask,
            came,
            place,
            slice,
            attempts,
            answered,
            streaming,
            familiar,
            missed,
        }
    }

    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }

    /// Attempts that met their server.
    pub fn met(&self) -> usize {
        self.attempts.iter().filter(|a| !a.unmet).count()
    }

    /// The first attempt that may have run or may yet.
    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.fate != Fate::NeverRan)
    }
}

#[derive(Debug)]
pub(crate) struct Server {
    pub member: Endpoint,
    /// Its points on the ring; none for an origin.
    pub points: Vec<u32>,
    pub is_origin: bool,
    /// Was ready when that last changed, so that its points are on the ring.
    pub listed: bool,
    /// Called out by an operator.
    pub is_out: bool,
    pub load: Gauge,
    /// How long its hits and time-outs take, smoothed.
    pub usual: Micros,
    /// When it last turned out to be down: it comes back cold, before the list says so.
    pub down_at: Micros,
    pub last_sent: Micros,
    /// When something was last sent there or came back.
    pub last_used: Micros,
    /// Attempts in a row that ended with no word from it.
    pub unheard: u32,
    /// Since its last word: when the first attempt was sent that needed no fetch, if one was.
    pub waiting_since: Option<Micros>,
    /// While it is cold: how much of a request its budget must cover before the next goes there.
    pub due: f64,
    /// Whether requests wait there.
    pub queue: Queue,
}

impl Server {
    /// A process of which nothing is known yet.
    pub fn new(member: Endpoint, points: Vec<u32>, is_origin: bool, load: Gauge) -> Server {
        Server {
            member,
            points,
            is_origin,
            listed: false,
            is_out: false,
            load,
            usual: Micros(0),
            down_at: Micros(0),
            last_sent: Micros(0),
            last_used: Micros(0),
            unheard: 0,
            waiting_since: None,
            due: 1.0,
            queue: Queue::default(),
        }
    }
}

/// How much a [`Router`] keeps state for; for metrics and tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Requests without a final answer, or with an attempt in flight.
    pub requests: usize,
    /// Servers, those included that left the list a short time ago.
    pub servers: usize,
}

/// The decisions of one router.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Micros,
    pub(crate) out: Vec<Action>,
    pub(crate) servers: Vec<Server>,
    pub(crate) by_name: HashMap<ServerId, usize>,
    /// What the operators said of servers.
    pub(crate) words: Words,
    pub(crate) ring: Vec<(u32, usize)>,
    pub(crate) ready: usize,
    pub(crate) held: HashMap<RequestId, Held>,
    /// Since when clients have asked that were turned away.
    pub(crate) turned_away: TurnedAway,
    pub(crate) retry_tokens: f64,
    /// Requests at work that most likely are fetches (where servers fetch for themselves).
    pub(crate) fetches: Origin,
    /// Of the attempts that failed without a word on how, the share that failed late, smoothed.
    pub(crate) late_failures: f64,
    pub(crate) idle: Gauge,
    /// Verdicts so far, by kind.
    pub(crate) verdicts: [u64; CandidateVerdict::ALL.len()],
    /// Requests that found no server, by the verdict that stood in their way.
    pub(crate) unplaced: [u64; CandidateVerdict::ALL.len()],
    /// Which server last served a key.
    pub(crate) known: Known,
    /// What is asked for lately.
    pub(crate) demand: Demand,
    /// Which of a hot key's homes is this router's, in [0, 1).
    pub(crate) corner: f64,
    /// Of the ready servers' weights.
    pub(crate) mean_weight: f64,
    /// How long hits take anywhere, smoothed.
    pub(crate) usual: Micros,
    /// Which kept connections are too old to use.
    pub(crate) kept: Kept,
    /// How connections fare, and how long they are kept.
    pub(crate) links: Links,
    pub(crate) shortest_aim: Micros,
    pub(crate) asking: Asking,
}

impl Router {
    /// A router that has seen nothing; `gauge` is what it starts with everywhere.
    pub(crate) fn blank(settings: Settings, random: Random, gauge: Gauge) -> Router {
        Router {
            random,
            corner: 0.0,
            now: Micros(0),
            out: Vec::new(),
            servers: Vec::new(),
            by_name: HashMap::new(),
            words: Words::default(),
            ring: Vec::new(),
            ready: 0,
            held: HashMap::new(),
            turned_away: TurnedAway::new(),
            retry_tokens: 0.0,
            fetches: Origin::new(gauge.first, Micros(0)),
            late_failures: 0.0,
            idle: gauge,
            verdicts: [0; CandidateVerdict::ALL.len()],
            unplaced: [0; CandidateVerdict::ALL.len()],
            known: Known::new(),
            demand: Demand::new(&settings),
            mean_weight: 0.0,
            usual: Micros(0),
            kept: Kept::new(),
            links: Links::new(),
            shortest_aim: Micros(0),
            asking: Asking::default(),
            settings,
        }
    }

    /// How long a connection to a server may rest before it is closed.
    pub fn idle_connection_lifetime(&self) -> Micros {
        let (routers, servers) = (f64::from(self.settings.routers), self.ready as f64);
        self.links.hold(
            self.settings.connection_costs,
            &Fleet {
                routers,
                servers,
                pace: self.demand.pace,
            },
        )
    }

    /// How many requests and servers the router keeps state for.
    pub fn tracked_counts(&self) -> TrackedCounts {
        TrackedCounts {
            requests: self.held.len(),
            servers: self.servers.len(),
        }
    }
}

/// SplitMix64.
#[derive(Debug)]
pub(crate) struct Random(pub u64);

impl Random {
    /// A number in [0, 1).
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
