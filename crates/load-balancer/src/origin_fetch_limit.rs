//! How many fetches may one router have outstanding at the origin behind the cache servers?
//!
//! Inputs: how long fetches take beyond hits (µs), which are late or fail, which attempts turn out to be fetches at
//! all, the time (µs). Answer: whether a request that may be a fetch can be sent now. Reason: an origin slower than
//! its load answers nobody in time, clients retry, and as cached copies expire ever more requests are fetches.
//! Nobody announces the origin's capacity and no router sees the others' fetches, so each bounds its own; a fetch
//! that was given up still counts, since the origin goes on with it.

use crate::latency_baseline::LatencyBaseline;
use crate::moving_average::MovingAverage;
use crate::time::Micros;

/// Levels of popularity: keys requested once lately, twice, up to four times, more often.
pub(crate) const POPULARITY_LEVEL_COUNT: usize = 4;
/// Recent requests for a key above which it belongs to the next level.
const POPULARITY_THRESHOLDS: [f64; POPULARITY_LEVEL_COUNT - 1] = [1.5, 2.5, 4.5];
/// Fetches for each server that all routers without observations may have in flight.
const INITIAL_FETCHES_PER_SERVER: f64 = 8.0;
/// How much one late fetch takes off the limit, in fetches; below one, as a ratio of the limit.
const DECREASE_RATIO: f64 = 0.5;
/// Ratio of late fetches at which the limit rests while the origin has a queue.
const TOLERATED_LATE_RATIO: f64 = 0.1;
/// Fetches that take this multiple of their usual minimum show a queue; some are late at any origin.
const QUEUE_LATENCY_RATIO: f64 = 2.0;
/// What a fetch adds to a limit in use while there is no queue, in fetches.
const INCREASE_COUNT: f64 = 0.1;
/// A fetch in time multiplies a limit below one by this: such a limit is left over from a collapse.
const RECOVERY_RATIO: f64 = 2.0;
/// What each decrease takes off the remembered limit: an origin that stays slow is the new normal.
const REMEMBERED_LIMIT_DECAY_RATIO: f64 = 1.0 / 64.0;
/// Ratio of late fetches above which the origin is at fault, not a server: one of a few may hang.
const SLOW_ORIGIN_LATE_RATIO: f64 = 0.3;
/// Ratio of failed fetches above which they decrease the limit: servers fail some by themselves.
const TOLERATED_FAILURE_RATIO: f64 = 0.2;
/// The lowest limit, so that few good fetches suffice to raise it again.
const MIN_LIMIT: f64 = 0.05;
/// All routers together try at least one fetch for this ratio of the hits that the servers could serve one at a
/// time; else nobody learns that the origin is well again.
const PROBE_RATIO: f64 = 0.1;
/// Fetches over which miss and failure ratios are averaged.
const RATIO_SPAN: f64 = 16.0;
/// The same for late fetches: overload builds up within fewer.
const LATE_SPAN: f64 = 8.0;
/// Fetches over which their time is averaged.
const LATENCY_SPAN: u64 = 8;
/// Fetches over which the minimum of that rises.
const MIN_LATENCY_SPAN: u64 = 512;
/// The longest that an abandoned fetch is taken to go on: a stopped origin drops what it holds.
const MAX_ABANDONED_FETCH_TIME: Micros = Micros::from_millis(5_000);
/// While the origin has a queue, a fetch that moves a key away from its owner may use this ratio of the limit: it
/// evicts another key, which is fetched again too, and is served last.
const QUEUED_MIGRATION_RATIO: f64 = 0.3;
/// Abandoned fetches that are remembered (2 KiB).
const MAX_ABANDONED_COUNT: usize = 256;

/// The popularity level of a key with so many recent requests.
pub(crate) fn popularity_level(recent_requests: f64) -> usize {
    let is_above = |threshold: &&f64| recent_requests > **threshold;
    POPULARITY_THRESHOLDS.iter().filter(is_above).count()
}

/// What a request that may be a fetch can use of the limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchRequest {
    /// Popularity level of its key.
    pub popularity: usize,
    /// How much of the limit it may use, as a multiple.
    pub limit_multiplier: f64,
    /// The time in which the servers can serve one hit for each router.
    pub hit_time_per_router: Micros,
}

/// Whether a request may be an origin fetch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchPermission {
    /// Where its key belongs.
    pub at_owner: bool,
    /// At another server.
    pub elsewhere: bool,
}

impl FetchPermission {
    /// Where no limit holds.
    pub const UNLIMITED: FetchPermission = FetchPermission {
        at_owner: true,
        elsewhere: true,
    };
}

/// One router's limit on fetches from the origin.
#[derive(Debug)]
pub(crate) struct OriginFetchLimit {
    /// Attempts in flight that most likely are fetches.
    pub in_flight: u32,
    /// How many may be, in fetches; below one it is a pace.
    pub limit: f64,
    /// The limit before decreases; forgotten over many of them.
    remembered_limit: f64,
    /// The limit of a router that knows no servers yet; below it, hanging requests are the origin's fault.
    pub initial: f64,
    /// Ratio of such attempts that were fetches, by popularity level.
    miss_ratios: [MovingAverage; POPULARITY_LEVEL_COUNT],
    /// How long fetches take beyond hits; an abandoned one counts twice its time.
    latency: LatencyBaseline,
    /// Half the shortest time in which an answer is of use.
    overload_latency: Micros,
    failure_ratio: MovingAverage,
    late_ratio: MovingAverage,
    /// When the latest attempt was sent that was a fetch for sure.
    last_fetch_at: Micros,
    /// When the abandoned fetches will have ended.
    abandoned_fetches: Vec<Micros>,
}

impl OriginFetchLimit {
    /// A limit without observations. At an origin that takes twice `overload_latency` for a fetch, none is of use.
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

    /// Starts the limit anew, once the first servers are known.
    pub fn initialize(&mut self, ready_servers: usize, router_count: f64) {
        let share = INITIAL_FETCHES_PER_SERVER * ready_servers as f64 / router_count;
        self.limit = self.initial.max(share);
    }

    /// Whether one more may be sent, to the owner of its key and elsewhere. Of the attempts in flight, `undecided` (by
    /// popularity level) may yet turn out to be hits, as often as such requests did lately.
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

    /// Below one, the limit spaces fetches out, so that many routers together do not crowd the origin.
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

    /// Ratio of fetches by popularity level.
    pub fn miss_ratios(&self) -> [f64; POPULARITY_LEVEL_COUNT] {
        self.miss_ratios.map(|ratio| ratio.value())
    }

    /// Takes over the miss ratios of a previous process, unless one is no ratio.
    pub fn restore_miss_ratios(&mut self, ratios: [f64; POPULARITY_LEVEL_COUNT]) {
        if !ratios.iter().all(|ratio| (0.0..=1.0).contains(ratio)) {
            return;
        }
        for (average, ratio) in self.miss_ratios.iter_mut().zip(ratios) {
            average.restore(ratio);
        }
    }

    /// Records that an attempt of a popularity level turned out to be a fetch, or not.
    pub fn record_cache_status(&mut self, popularity: usize, is_miss: bool) {
        self.miss_ratios[popularity].observe_event(is_miss);
    }

    /// Records a fetch that was served, `latency_beyond_hit` more than the time of a hit.
    pub fn record_served(&mut self, sent_at: Micros, latency_beyond_hit: Micros, is_in_time: bool) {
        self.failure_ratio.observe_event(false);
        self.last_fetch_at = self.last_fetch_at.max(sent_at);
        self.latency.observe(latency_beyond_hit);
        self.adjust(is_in_time, latency_beyond_hit);
    }

    /// Records a fetch that was abandoned `elapsed` after it was sent; it most likely takes as long again.
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
        if self.abandoned_fetches.len() < MAX_ABANDONED_COUNT {
            let end = now.plus(elapsed.min(MAX_ABANDONED_FETCH_TIME));
            self.abandoned_fetches.push(end);
        }
        self.adjust(is_in_time, Micros::MAX);
    }

    /// Records a late fetch that is laid to its server.
    pub fn record_late_at_server(&mut self) {
        self.late_ratio.observe_event(true);
    }

    /// Records a fetch that ended in an error which cost the origin its time or tells that it is full.
    pub fn record_failed(&mut self, sent_at: Micros) {
        self.last_fetch_at = self.last_fetch_at.max(sent_at);
        self.failure_ratio.observe_event(true);
        if self.failure_ratio.value() > TOLERATED_FAILURE_RATIO {
            self.decrease();
        }
    }

    /// Whether many of the latest fetches were late, at whichever server: the origin is at fault.
    pub fn is_slow(&self) -> bool {
        self.late_ratio.value() > SLOW_ORIGIN_LATE_RATIO
    }

    /// Whether fetches take longer on the whole than at an origin that is well.
    fn has_queue(&self) -> bool {
        let queue_latency = self.latency.scaled_minimum(QUEUE_LATENCY_RATIO);
        self.latency.average() > queue_latency.min(self.overload_latency.scaled(2.0))
    }

    /// Whether the queue at the origin takes up much of the time in which an answer is of use. Where the minimum is
    /// short, slow servers alone lift the average to a multiple of it, and late fetches are then theirs.
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

    /// Raises a limit below one: to one after a fetch that met no queue, since where routers are many each sees
    /// too few fetches to wait for several.
    fn recover(&mut self, latency_beyond_hit: Micros) {
        let met_no_queue = latency_beyond_hit <= self.latency.scaled_minimum(QUEUE_LATENCY_RATIO);
        self.limit = if met_no_queue {
            1.0
        } else {
            self.limit * RECOVERY_RATIO
        };
    }

    /// Decreases the limit, first to near what is in use: a limit far above that protects nothing. An initial
    /// limit is hardly in use and stays.
    fn decrease(&mut self) {
        self.remembered_limit =
            self.remembered_limit.max(self.limit) * (1.0 - REMEMBERED_LIMIT_DECAY_RATIO);
        let in_use = f64::from(self.in_flight + 1) * 2.0;
        let limit = self.limit.min(in_use.max(self.initial));
        let decreased = limit - DECREASE_RATIO * limit.min(1.0);
        self.limit = decreased.max(MIN_LIMIT.min(self.limit));
    }
}
