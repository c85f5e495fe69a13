//! What a router remembers, as plain data. What is done with it is decided in `src/balance.rs`.

use crate::api::*;
use crate::origin::Origin;
use crate::queue::Queue;
use std::collections::HashMap;

/// Work at one place and how much of it is wanted there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauge {
    pub in_flight: u32,
    pub limit: f64,
    /// Where the limit starts, and drifts back to when unused.
    pub first: f64,
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
    /// How often its key was asked for: [`crate::origin::FAMILIAR`].
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
        Held { ask, came, place, slice, attempts, answered, streaming, familiar, missed }
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
    pub member: Member,
    /// Its points on the ring; none for an origin.
    pub points: Vec<u32>,
    pub is_origin: bool,
    /// Was ready after the last list, so that its points are on the ring.
    pub listed: bool,
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
    pub fn new(member: Member, points: Vec<u32>, is_origin: bool, load: Gauge) -> Server {
        Server {
            member,
            points,
            is_origin,
            listed: false,
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

    pub fn is_gone(&self) -> bool {
        self.member.state == ServerState::Gone
    }

    pub fn is_ready(&self) -> bool {
        self.member.state == ServerState::Ready
    }
}

/// The decisions of one router.
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) random: Random,
    pub(crate) now: Micros,
    pub(crate) out: Vec<Action>,
    pub(crate) servers: Vec<Server>,
    pub(crate) by_name: HashMap<ServerId, usize>,
    pub(crate) ring: Vec<(u32, usize)>,
    pub(crate) ready: usize,
    pub(crate) held: HashMap<RequestId, Held>,
    /// Place, class and tenant of requests turned away, and when their clients first asked.
    pub(crate) turned_away: Vec<(u64, Micros)>,
    pub(crate) retry_tokens: f64,
    /// Requests at work that most likely are fetches (where servers fetch for themselves).
    pub(crate) fetches: Origin,
    /// Of the attempts that failed without a word on how, the share that failed late, smoothed.
    pub(crate) late_failures: f64,
    pub(crate) idle: Gauge,
    /// By place: the place and the server that last served it, to tell likely hits from likely misses.
    pub(crate) known: Vec<(u32, usize)>,
    /// How often each place was asked for lately, and all of them together.
    pub(crate) popular: HashMap<u32, f64>,
    pub(crate) asked_for: f64,
    /// Which of a hot key's homes is this router's, in [0, 1).
    pub(crate) corner: f64,
    pub(crate) mean_worth: f64,
    /// Of the ready servers' weights.
    pub(crate) mean_weight: f64,
    /// Each tenant's part of the requests lately.
    pub(crate) mix: Vec<f64>,
    /// How long hits take anywhere, smoothed.
    pub(crate) usual: Micros,
    /// Connections idle for as long as `stale` are not used before `stale_until`.
    pub(crate) stale: Micros,
    pub(crate) stale_until: Micros,
    /// Silence on idle connections lately, less answers.
    pub(crate) doubt: u32,
    /// The time between this router's requests, smoothed, and when the last one came.
    pub(crate) pace: Micros,
    pub(crate) last_came: Micros,
    pub(crate) shortest_aim: Micros,
    pub(crate) asking: Asking,
}

impl Router {
    /// A router that has seen nothing; `gauge` is what it starts with everywhere.
    pub(crate) fn blank(settings: Settings, random: Random, gauge: Gauge) -> Router {
        Router {
            random,
            corner: 0.0,
            popular: HashMap::new(),
            asked_for: 0.0,
            now: Micros(0),
            out: Vec::new(),
            servers: Vec::new(),
            by_name: HashMap::new(),
            ring: Vec::new(),
            ready: 0,
            held: HashMap::new(),
            turned_away: Vec::new(),
            retry_tokens: 0.0,
            fetches: Origin::new(gauge.first, Micros(0)),
            late_failures: 0.0,
            idle: gauge,
            known: Vec::new(),
            mean_worth: 0.0,
            mean_weight: 0.0,
            mix: settings.tenants.iter().map(|t| t.share).collect(),
            usual: Micros(0),
            stale: Micros::MAX,
            doubt: 0,
            pace: Micros(0),
            last_came: Micros(0),
            stale_until: Micros(0),
            shortest_aim: Micros(0),
            asking: Asking::default(),
            settings,
        }
    }

    /// How many requests and how many servers the router remembers, for an embedding program's metrics.
    pub fn remembered(&self) -> (usize, usize) {
        (self.held.len(), self.servers.len())
    }
}

/// Where a router stands with the list that must be asked for.
#[derive(Debug, Default)]
pub(crate) struct Asking {
    pub subscribed: bool,
    pub asked: bool,
    pub failures: u32,
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
