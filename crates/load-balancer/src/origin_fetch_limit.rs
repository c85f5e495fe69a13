//! How many fetches the origin behind the cache servers is asked for at a time.
//!
//! Guards against the jam that feeds itself: an origin slower than its load answers nobody in time, clients
//! ask again, and as copies expire ever more requests are fetches. Nobody tells the origin's capacity, and
//! no router sees what the others ask of it. So each router bounds the fetches that it has out, and what was
//! given up still counts: the origin goes on with it. Routes nothing; `src/balance.rs` asks it before it
//! sends what may be a fetch.

use crate::api::Micros;

/// Kinds of keys by how often they were asked for here lately: once, twice, up to four times, more often.
/// What many ask for is likelier to be kept, by another router's fetch.
pub(crate) const FAMILIAR: usize = 4;
/// How far one late fetch cuts the limit, in fetches and, under one, as a share of it.
const CUT: f64 = 0.5;
/// The share of late fetches at which the limit rests while there is a queue.
const TOLERATED: f64 = 0.1;
/// Fetches that take this many times their least show a queue; some are late at any origin, which tells
/// nothing.
const QUEUE: f64 = 2.0;
/// What a fetch adds to a limit in use while there is no queue.
const GROW: f64 = 0.1;
/// A limit under one was cut by a collapse: each fetch that is in time again doubles it.
const REGROW: f64 = 2.0;
/// What each cut takes off the memory of a limit before it: a slow origin of many seconds is the new normal.
const FORGET: f64 = 1.0 / 64.0;
/// The share of late fetches above which the origin is at fault, not a server: one of a few may hang.
const LATE: f64 = 0.3;
/// The share of failed fetches above which they cut the limit: servers fail some by themselves.
const FAILED: f64 = 0.2;
/// However late all fetches are, a limit falls no lower, so that it takes few good ones to grow again.
const LEAST: f64 = 0.05;
/// All routers together try one fetch for every ten hits that the servers could serve one at a time, however
/// slow the origin: else nobody learns that it is well again.
const TRICKLE: f64 = 0.1;
/// Fetches over which shares of them are averaged.
const SPAN: f64 = 16.0;
/// The same for late ones: a jam builds up within fewer.
const LATE_SPAN: f64 = 8.0;
/// The longest that a fetch given up is taken to go on: a stopped origin drops what it holds.
const LONGEST: Micros = Micros::from_millis(5_000);
/// Fetches given up that are remembered, 2 KiB: more would be out only in a flood of writes.
const ABANDONED: usize = 256;

/// What a request that may be a fetch can use of the limit.
pub(crate) struct Claim {
    /// Which kind of key it is for.
    pub familiar: usize,
    /// How much of the limit it may use.
    pub stretch: f64,
    /// The time in which the servers could serve one hit for each router.
    pub round: Micros,
}

/// One router's view of the origin.
#[derive(Debug, Default)]
pub(crate) struct Origin {
    /// Attempts out that most likely are fetches.
    pub out: u32,
    /// How many may be.
    pub limit: f64,
    /// What it was before cuts; forgotten over many of them.
    goal: f64,
    /// Where the limit of a router without servers starts; under it, what hangs is laid to the origin.
    pub first: f64,
    /// The share of such attempts that were fetches, smoothed, by kind of key.
    pub misses: [f64; FAMILIAR],
    /// How long fetches take beyond hits, smoothed; those given up count twice their time.
    time: Micros,
    /// What that is at an origin that is well: the least of it, rising slowly.
    base: Micros,
    /// Half the shortest time in which an answer is of use: at an origin that takes twice this for a fetch
    /// none is, whatever it took at its best.
    useful: Micros,
    /// The share of fetches that fail, smoothed.
    failures: f64,
    /// The share of fetches that are late, smoothed.
    late: f64,
    /// When the latest attempt that was a fetch for sure was sent.
    last: Micros,
    /// When those given up will have ended.
    abandoned: Vec<Micros>,
}

impl Origin {
    /// An origin of which nothing is known; at one that takes twice `useful` for a fetch, none is of use.
    pub fn new(first: f64, useful: Micros) -> Origin {
        Origin {
            limit: first,
            goal: first,
            first,
            misses: [1.0; FAMILIAR],
            useful,
            ..Origin::default()
        }
    }

    /// Whether one more may go out. `young` of those out, by kind of key, may yet turn out to be hits, as
    /// often as such requests did lately.
    pub fn has_room(&mut self, now: Micros, young: &[u32; FAMILIAR], claim: &Claim) -> bool {
        self.abandoned.retain(|&end| end > now);
        let undecided = young.iter().sum::<u32>();
        let likely: f64 = young
            .iter()
            .zip(&self.misses)
            .map(|(&n, &share)| f64::from(n) * share)
            .sum();
        let sure = self.out.saturating_sub(undecided);
        let limit = self.limit * claim.stretch;
        if self.limit >= 1.0 {
            return f64::from(sure) + self.abandoned.len() as f64 + likely < limit;
        }
        // Under one, the limit spaces fetches out, so that many routers together do not crowd the origin.
        let stretch = claim.stretch.max(LEAST);
        let gap = self
            .time
            .max(self.useful)
            .scaled(1.0 / (self.limit * stretch));
        let longest = claim.round.scaled(1.0 / (TRICKLE * stretch));
        let alone = undecided == 0 || likely + self.misses[claim.familiar] <= 1.0;
        sure == 0 && alone && now.since(self.last) >= gap.min(longest)
    }

    /// One of those turned out to be a fetch, or not.
    pub fn told(&mut self, familiar: usize, missed: bool) {
        lean(&mut self.misses[familiar], missed, SPAN);
    }

    /// An attempt, sent at `sent`, was a fetch and was served, `beyond` the time of a hit.
    pub fn fetched(&mut self, sent: Micros, beyond: Micros, in_time: bool) {
        lean(&mut self.failures, false, SPAN);
        self.last = self.last.max(sent);
        self.took(beyond);
        self.learn(in_time, beyond);
    }

    /// One was given up after `took`; what has taken so long most likely takes as long again.
    pub fn gave_up(&mut self, now: Micros, took: Micros, beyond: Micros, in_time: bool) {
        self.last = self.last.max(Micros(now.0.saturating_sub(took.0)));
        self.took(beyond.scaled(2.0).min(LONGEST));
        if self.abandoned.len() < ABANDONED {
            self.abandoned.push(now.plus(took.min(LONGEST)));
        }
        self.learn(in_time, Micros::MAX);
    }

    /// One was late, but as far as is known for its server's fault.
    pub fn late(&mut self) {
        lean(&mut self.late, true, LATE_SPAN);
    }

    /// One, sent at `sent`, ended in an error that cost the origin its time or tells that it is full.
    pub fn failed(&mut self, sent: Micros) {
        self.last = self.last.max(sent);
        lean(&mut self.failures, true, SPAN);
        if self.failures > FAILED {
            self.cut();
        }
    }

    /// Many of the latest fetches were late, wherever they were sent: not one server's doing.
    pub fn is_slow(&self) -> bool {
        self.late > LATE
    }

    /// Fetches take longer on the whole than at an origin that is well.
    pub fn has_queue(&self) -> bool {
        self.time > self.base.scaled(QUEUE).min(self.useful.scaled(2.0))
    }

    fn learn(&mut self, in_time: bool, took: Micros) {
        lean(&mut self.late, !in_time, LATE_SPAN);
        let queue = self.has_queue();
        if queue && !in_time {
            self.cut();
        } else if self.limit < 1.0 {
            // One that took about its least met no queue: routers of many cannot wait for several of them.
            let met_none = took <= self.base.scaled(QUEUE);
            self.limit = if met_none { 1.0 } else { self.limit * REGROW };
        } else if !queue && self.limit < self.goal * CUT {
            self.limit += CUT;
        } else if f64::from(self.out + 1) * 2.0 >= self.limit {
            self.limit += if queue {
                CUT * TOLERATED / (1.0 - TOLERATED)
            } else {
                GROW
            };
        }
    }

    /// A limit far above what is used would take long to come down to where it protects anything. One
    /// that starts low is used little and is no sign of that.
    fn cut(&mut self) {
        self.goal = self.goal.max(self.limit) * (1.0 - FORGET);
        let limit = self
            .limit
            .min((f64::from(self.out + 1) * 2.0).max(self.first));
        self.limit = (limit - CUT * limit.min(1.0)).max(LEAST.min(self.limit));
    }

    fn took(&mut self, took: Micros) {
        if self.base == Micros(0) {
            (self.time, self.base) = (took, took);
        }
        self.time = self.time.toward(took, 8);
        self.base = self.base.toward(self.time, 512).min(self.time);
    }
}

/// Moves a smoothed share toward what was seen.
fn lean(share: &mut f64, seen: bool, span: f64) {
    *share += (f64::from(u8::from(seen)) - *share) / span;
}
