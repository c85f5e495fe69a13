//! What a router believes that a server bears, and how far a request may draw on it.
//!
//! Guards against two mistakes of a router that sees a server once in some seconds. It took one late answer
//! for the server's state until it saw the next, half a minute later: here a belief falls back to what the
//! settings alone tell as it ages. And it refused two of three where half was meant, since a least gap
//! between requests that come at random loses each pause: here what was not used is saved, up to a bound, and
//! what is worth more draws ahead of what is worth less. Hurts where a server differs from the others for
//! long and is seen seldom: each look at it is nearly a new one.

use crate::api::Micros;

/// How far one slow answer cuts a limit, and as a share of it under one; a whole round of them about halves
/// it.
pub(crate) const CUT: f64 = 0.5;
/// The share of slow answers at which a limit rests: some requests are heavy, and no server is at fault.
pub(crate) const SLOW_TOLERATED: f64 = 0.1;
/// An observation counts for about so long: troubles of a server last some tens of seconds.
const MEMORY: Micros = Micros::from_millis(30_000);
/// Observations, less what their age takes off, that make a belief the router's own knowledge.
const WELL_SEEN: f64 = 3.0;
/// Requests that may be saved up at a limit under one, and drawn ahead by what is worth most.
const SAVED: f64 = 3.0;

/// An adaptive concurrency limit: quick answers raise it a little while it is in use, slow ones cut it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Gauge {
    pub in_flight: u32,
    /// As of `seen`.
    pub limit: f64,
    /// Where the limit starts, and drifts back to when unused.
    pub first: f64,
    /// Observations, each less what its age took off, as of `seen`.
    weight: f64,
    seen: Micros,
    /// The server itself said so, by turning requests away: that holds until it says otherwise.
    told: bool,
    /// Up to when the limit's allowance is used, where it spaces requests out.
    paid: Micros,
    /// When the last request went out.
    drawn: Micros,
}

impl Gauge {
    /// One that has seen nothing.
    pub fn new(in_flight: u32, first: f64) -> Gauge {
        Gauge {
            in_flight,
            limit: first,
            first,
            ..Gauge::default()
        }
    }

    /// `chance` in [0, 1) lets part of the requests through where the limit is under one.
    pub fn has_room(&self, stretch: f64, chance: f64) -> bool {
        let limit = self.limit * stretch;
        let at_once = if self.limit < 1.0 { self.first } else { limit };
        f64::from(self.in_flight) < at_once && chance < limit
    }

    /// What is left at `now` of the weight that observations had.
    fn left(&self, now: Micros) -> f64 {
        if self.told {
            1.0
        } else {
            (-now.since(self.seen).as_secs_f64() / MEMORY.as_secs_f64()).exp()
        }
    }

    /// The limit at `now`: what was seen by what is left of it, the start for the rest.
    pub fn believed(&self, now: Micros) -> f64 {
        self.first * (self.limit / self.first).powf(self.left(now))
    }

    /// Whether the belief is this router's own knowledge, not a hunch; what is at work there counts too, and
    /// so does the server's own word.
    pub fn is_well_seen(&self, now: Micros) -> bool {
        self.told || self.weight * self.left(now) + f64::from(self.in_flight) >= WELL_SEEN
    }

    /// The limit is what another process of this router knew, as if it had been seen just now.
    pub fn recalled(&mut self, now: Micros) {
        (self.weight, self.seen, self.told) = (1.0, now, false);
    }

    /// An answer came, slow or not.
    pub fn learn(&mut self, now: Micros, slow: bool, least: f64) {
        self.limit = self.believed(now);
        self.weight = self.weight * self.left(now) + 1.0;
        self.told = false;
        self.seen = now;
        if slow {
            self.limit = (self.limit - CUT * self.limit.min(1.0)).max(least.min(self.limit));
            // What was saved was saved for a server that was well.
            self.paid = self.paid.max(self.drawn);
        } else if f64::from(self.in_flight + 1) * 2.0 >= self.limit {
            self.limit += CUT * SLOW_TOLERATED / (1.0 - SLOW_TOLERATED);
        } else if self.limit > self.first {
            self.limit -= CUT * SLOW_TOLERATED;
        }
    }

    /// The server turned one away.
    pub fn turned_away(&mut self, now: Micros, least: f64) {
        self.learn(now, true, least);
        self.told = true;
    }

    /// Whether one more is due, at one every `gap`, if it ranks at `rank` among what was asked for lately (0
    /// least worth, 1 most).
    pub fn is_due(&self, now: Micros, gap: Micros, rank: f64) -> bool {
        let ahead = SAVED * (2.0 * rank - 1.0);
        self.paid.plus(gap.scaled((1.0 - ahead).max(0.0)))
            <= now.plus(gap.scaled((ahead - 1.0).max(0.0)))
    }

    /// One went out, at one every `gap`; 0 where nothing spaces them out.
    pub fn draw(&mut self, now: Micros, gap: Micros) {
        self.drawn = now;
        let saved = Micros(now.0.saturating_sub(gap.scaled(SAVED + 1.0).0));
        self.paid = if gap == Micros(0) {
            now
        } else {
            self.paid.max(saved).plus(gap)
        };
    }
}
