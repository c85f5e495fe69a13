//! Limits how many fetches one router may have outstanding at the origin behind the cache servers.
//!
//! The inputs are how long fetches take beyond the latency of hits (µs), which fetches are late or
//! fail, which attempts turn out to be fetches at all, and the time (µs). The result is whether a
//! request that may be a fetch can be sent now.
//!
//! An origin that cannot keep up with its load answers no request in time. Clients retry, and as
//! cached copies expire ever more requests become fetches. The origin's capacity is not announced
//! and no router observes the fetches of the others, so that each router limits its own. An
//! abandoned fetch still counts, because the origin continues to work on it.

use crate::latency_baseline::LatencyBaseline;
use crate::moving_average::MovingAverage;
use crate::time::Micros;

/// The number of popularity levels of keys: requested once recently, twice, up to four times, and
/// more often.
pub(crate) const POPULARITY_LEVEL_COUNT: usize = 4;
/// The numbers of recent requests for a key above which it belongs to the next level.
const POPULARITY_THRESHOLDS: [f64; POPULARITY_LEVEL_COUNT - 1] = [1.5, 2.5, 4.5];
/// Fetches in flight per server that all routers together may have initially.
const INITIAL_FETCHES_PER_SERVER: f64 = 8.0;
/// How much one late fetch takes off the limit, in fetches; off a limit below one, as a ratio of
/// the limit.
const DECREASE_RATIO: f64 = 0.5;
/// The ratio of late fetches at which the limit stays the same while the origin has a queue.
const TOLERATED_LATE_RATIO: f64 = 0.1;
/// An average latency of this multiple of the usual minimum shows a queue. A single late fetch does
/// not: some fetches are late at any origin.
const QUEUE_LATENCY_RATIO: f64 = 2.0;
/// How much a fetch adds to a limit in use while the origin has no queue, in fetches.
const INCREASE_COUNT: f64 = 0.1;
/// A fetch in time multiplies a limit below one by this ratio. A limit this low is the result of an
/// earlier overload.
const RECOVERY_RATIO: f64 = 2.0;
/// How much each decrease takes off the remembered limit, as a ratio. If the origin stays slow, the
/// lower limit becomes the normal one.
const REMEMBERED_LIMIT_DECAY_RATIO: f64 = 1.0 / 64.0;
/// The ratio of late fetches above which the origin is at fault rather than a server: among a few
/// servers one may hang.
const SLOW_ORIGIN_LATE_RATIO: f64 = 0.3;
/// The ratio of failed fetches above which they decrease the limit. Servers fail some fetches by
/// themselves.
const TOLERATED_FAILURE_RATIO: f64 = 0.2;
/// The lowest limit. It is high enough for a few successful fetches to raise the limit again.
const MIN_LIMIT: f64 = 0.05;
/// While the limit is below one, all routers together send fetches as probes, at no less than this
/// ratio of the rate at which the servers could serve hits one at a time. Otherwise no router would
/// observe that the origin has recovered.
const PROBE_RATIO: f64 = 0.1;
/// The number of fetches over which miss and failure ratios are averaged.
const RATIO_SPAN: f64 = 16.0;
/// The number of fetches over which the ratio of late ones is averaged. It is smaller, because
/// overload builds up within fewer fetches.
const LATE_SPAN: f64 = 8.0;
/// The number of fetches over which their latency is averaged.
const LATENCY_SPAN: u64 = 8;
/// The number of fetches over which the minimum of that average rises.
const MIN_LATENCY_SPAN: u64 = 512;
/// The longest time for which an abandoned fetch is assumed to continue. An origin that stops drops
/// its requests.
const MAX_ABANDONED_FETCH_TIME: Micros = Micros::from_millis(5_000);
/// While the origin has a queue, a fetch that moves a key away from its owner may use this ratio of
/// the limit. It is admitted last, because it evicts another key, which then has to be fetched
/// again too.
const QUEUED_MIGRATION_RATIO: f64 = 0.3;
/// The number of abandoned fetches that are tracked (2 KiB).
const MAX_ABANDONED_COUNT: usize = 256;

/// The popularity level of a key with this many recent requests.
pub(crate) fn popularity_level(recent_requests: f64) -> usize {
    let is_above = |threshold: &&f64| recent_requests > **threshold;
    POPULARITY_THRESHOLDS.iter().filter(is_above).count()
}

/// The part of the limit that a request which may be a fetch can use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchRequest {
    /// The popularity level of the request's key.
    pub popularity: usize,
    /// The multiple of the limit that the request may use.
    pub limit_multiplier: f64,
    /// The time in which the servers together can serve one hit per router.
    pub hit_time_per_router: Micros,
}

/// Whether a request may be an origin fetch, by where it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchPermission {
    /// At the owner of its key.
    pub at_owner: bool,
    /// At another server, where the fetch is extra.
    pub elsewhere: bool,
}

impl FetchPermission {
    /// The permission of a router whose fetches are not limited.
    pub const UNLIMITED: FetchPermission = FetchPermission {
        at_owner: true,
        elsewhere: true,
    };
}

/// One router's limit on origin fetches.
#[derive(Debug)]
pub(crate) struct OriginFetchLimit {
    /// Attempts in flight that are likely to be fetches.
    pub in_flight: u32,
    /// The number of fetches that may be in flight; below one, a pace.
    pub limit: f64,
    /// The limit before recent decreases. Each further decrease reduces it a little.
    remembered_limit: f64,
    /// The limit before any server is known. Below it, requests that hang are attributed to the
    /// origin.
    pub initial: f64,
    /// The ratio of likely fetches that turned out to be fetches, by popularity level.
    miss_ratios: [MovingAverage; POPULARITY_LEVEL_COUNT],
    /// How long fetches take beyond the latency of hits. An abandoned fetch counts with twice its
    /// time.
    latency: LatencyBaseline,
    /// The average latency above which the origin is overloaded: half of the shortest latency at
    /// which an answer is still useful.
    overload_latency: Micros,
    failure_ratio: MovingAverage,
    late_ratio: MovingAverage,
    /// When the latest attempt was sent that is known to have been a fetch.
    last_fetch_at: Micros,
    /// When each abandoned fetch is expected to end.
    abandoned_fetches: Vec<Micros>,
}

impl OriginFetchLimit {
    /// Creates a limit without observations. Fetches that take twice `overload_latency` are of no
    /// use.
    pub fn new(initial: f64, overload_latency: Micros) -> OriginFetchLimit {
        OriginFetchLimit {
            in_flight: 0,
            limit: initial,
            remembered_limit: initial,
            initial,
            miss_ratios: [MovingAverage::new(1.0, RATIO_SPAN); POPULARITY_LEVEL_COUNT],
            latency: LatencyBaseline::new(LATENCY_SPAN, MIN_LATENCY_SPAN),
            overload_latency,
            failure_ratio: MovingAverage::new(0.0, RATIO_SPAN),
            late_ratio: MovingAverage::new(0.0, LATE_SPAN),
            last_fetch_at: Micros(0),
            abandoned_fetches: Vec::new(),
        }
    }

    /// Resets the limit once the first servers are known.
    pub fn initialize(&mut self, ready_servers: usize, router_count: f64) {
        let share = INITIAL_FETCHES_PER_SERVER * ready_servers as f64 / router_count;
        self.limit = self.initial.max(share);
    }

    /// Whether one more fetch may be sent to the owner of its key, and whether to another server.
    /// Of the attempts in flight, those in `undecided` (by popularity level) may still turn out to
    /// be hits; they count by the recent ratio of fetches at their level.
    pub fn permission(
        &mut self,
        now: Micros,
        undecided: &[u32; POPULARITY_LEVEL_COUNT],
        request: &FetchRequest,
    ) -> FetchPermission {
        let at_owner = self.has_capacity(now, undecided, request);
        let migration_ratio = if self.has_queue() {
            QUEUED_MIGRATION_RATIO
        } else {
            1.0
        };
        let migration = FetchRequest {
            limit_multiplier: request.limit_multiplier * migration_ratio,
            ..*request
        };
        FetchPermission {
            at_owner,
            elsewhere: at_owner && self.has_capacity(now, undecided, &migration),
        }
    }

    fn has_capacity(
        &mut self,
        now: Micros,
        undecided: &[u32; POPULARITY_LEVEL_COUNT],
        request: &FetchRequest,
    ) -> bool {
        self.abandoned_fetches.retain(|&end| end > now);
        let undecided_count = undecided.iter().sum::<u32>();
        let expected_fetches: f64 = undecided
            .iter()
            .zip(&self.miss_ratios)
            .map(|(&count, ratio)| f64::from(count) * ratio.value())
            .sum();
        let certain_fetches = self.in_flight.saturating_sub(undecided_count);
        if self.limit >= 1.0 {
            let limit = self.limit * request.limit_multiplier;
            let abandoned = self.abandoned_fetches.len() as f64;
            return f64::from(certain_fetches) + abandoned + expected_fetches < limit;
        }
        let expected_with_this = expected_fetches + self.miss_ratios[request.popularity].value();
        let is_only_expected_fetch = undecided_count == 0 || expected_with_this <= 1.0;
        certain_fetches == 0 && is_only_expected_fetch && self.may_fetch_at_pace(now, request)
    }

    /// A limit below one spaces fetches out, so that many routers together do not overload the
    /// origin.
    fn may_fetch_at_pace(&self, now: Micros, request: &FetchRequest) -> bool {
        let multiplier = request.limit_multiplier.max(MIN_LIMIT);
        let interval = self
            .latency
            .average()
            .max(self.overload_latency)
            .scaled(1.0 / (self.limit * multiplier));
        let max_interval = request
            .hit_time_per_router
            .scaled(1.0 / (PROBE_RATIO * multiplier));
        now.since(self.last_fetch_at) >= interval.min(max_interval)
    }

    /// The ratio of likely fetches that were fetches, by popularity level.
    pub fn miss_ratios(&self) -> [f64; POPULARITY_LEVEL_COUNT] {
        self.miss_ratios.map(|ratio| ratio.value())
    }

    /// Restores the miss ratios of a previous process, unless one of them is not a ratio.
    pub fn restore_miss_ratios(&mut self, ratios: [f64; POPULARITY_LEVEL_COUNT]) {
        if !ratios.iter().all(|ratio| (0.0..=1.0).contains(ratio)) {
            return;
        }
        for (average, ratio) in self.miss_ratios.iter_mut().zip(ratios) {
            average.restore(ratio);
        }
    }

    /// Records whether an attempt at this popularity level turned out to be a fetch.
    pub fn record_cache_status(&mut self, popularity: usize, is_miss: bool) {
        self.miss_ratios[popularity].observe_event(is_miss);
    }

    /// Records a served fetch that took `latency_beyond_hit` longer than a hit.
    pub fn record_served(&mut self, sent_at: Micros, latency_beyond_hit: Micros, is_in_time: bool) {
        self.failure_ratio.observe_event(false);
        self.last_fetch_at = self.last_fetch_at.max(sent_at);
        self.latency.observe(latency_beyond_hit);
        self.adjust(is_in_time, latency_beyond_hit);
    }

    /// Records a fetch that was abandoned `elapsed` after it was sent. It is likely to take the
    /// same time again.
    pub fn record_abandoned(
        &mut self,
        now: Micros,
        elapsed: Micros,
        latency_beyond_hit: Micros,
        is_in_time: bool,
    ) {
        let sent_at = Micros(now.0.saturating_sub(elapsed.0));
        self.last_fetch_at = self.last_fetch_at.max(sent_at);
        self.latency
            .observe(latency_beyond_hit.scaled(2.0).min(MAX_ABANDONED_FETCH_TIME));
        self.record_unfinished(now, elapsed);
        self.adjust(is_in_time, Micros::MAX);
    }

    /// Records that the origin works on a fetch that was given up `elapsed` after it was sent.
    pub fn record_unfinished(&mut self, now: Micros, elapsed: Micros) {
        if self.abandoned_fetches.len() < MAX_ABANDONED_COUNT {
            let end = now.plus(elapsed.min(MAX_ABANDONED_FETCH_TIME));
            self.abandoned_fetches.push(end);
        }
    }

    /// Records a late fetch that is attributed to its server.
    pub fn record_late_at_server(&mut self) {
        self.late_ratio.observe_event(true);
    }

    /// Records a fetch that failed with an error which either cost the origin time or shows that
    /// the origin is at capacity.
    pub fn record_failed(&mut self, sent_at: Micros) {
        self.last_fetch_at = self.last_fetch_at.max(sent_at);
        self.failure_ratio.observe_event(true);
        if self.failure_ratio.value() > TOLERATED_FAILURE_RATIO {
            self.decrease();
        }
    }

    /// Whether many of the latest fetches were late, whatever their server, so that the origin is
    /// at fault.
    pub fn is_slow(&self) -> bool {
        self.late_ratio.value() > SLOW_ORIGIN_LATE_RATIO
    }

    /// Whether the average fetch takes longer than at a healthy origin.
    fn has_queue(&self) -> bool {
        let queue_latency = self.latency.scaled_minimum(QUEUE_LATENCY_RATIO);
        self.latency.average() > queue_latency.min(self.overload_latency.scaled(2.0))
    }

    /// Whether the queue at the origin takes up much of the time in which an answer is useful. If
    /// the minimum latency is low, slow servers alone can raise the average to a multiple of it;
    /// late fetches are then the servers' fault.
    fn is_overloaded(&self) -> bool {
        self.has_queue() && self.latency.average() > self.overload_latency
    }

    fn adjust(&mut self, is_in_time: bool, latency_beyond_hit: Micros) {
        self.late_ratio.observe_event(!is_in_time);
        let is_overloaded = self.is_overloaded();
        if is_overloaded && !is_in_time {
            self.decrease();
        } else if self.limit < 1.0 {
            self.recover(latency_beyond_hit);
        } else if !is_overloaded && self.limit < self.remembered_limit * DECREASE_RATIO {
            self.limit += DECREASE_RATIO;
        } else if f64::from(self.in_flight + 1) * 2.0 >= self.limit {
            self.limit += if is_overloaded {
                DECREASE_RATIO * TOLERATED_LATE_RATIO / (1.0 - TOLERATED_LATE_RATIO)
            } else {
                INCREASE_COUNT
            };
        }
    }

    /// Raises a limit below one. A fetch that met no queue raises it to one at once, because in a
    /// large fleet of routers each sees too few fetches to wait for several.
    fn recover(&mut self, latency_beyond_hit: Micros) {
        let met_no_queue = latency_beyond_hit <= self.latency.scaled_minimum(QUEUE_LATENCY_RATIO);
        self.limit = if met_no_queue {
            1.0
        } else {
            self.limit * RECOVERY_RATIO
        };
    }

    /// Decreases the limit, starting from what is about in use, because a limit far above that
    /// protects nothing. The initial limit is hardly ever in use and is not cut in this way.
    fn decrease(&mut self) {
        self.remembered_limit =
            self.remembered_limit.max(self.limit) * (1.0 - REMEMBERED_LIMIT_DECAY_RATIO);
        let in_use = f64::from(self.in_flight + 1) * 2.0;
        let limit = self.limit.min(in_use.max(self.initial));
        let decreased = limit - DECREASE_RATIO * limit.min(1.0);
        self.limit = decreased.max(MIN_LIMIT.min(self.limit));
    }
}
