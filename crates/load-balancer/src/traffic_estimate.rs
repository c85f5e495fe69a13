//! What is requested at this router lately: how often each key, by which class and tenant, how fast. A measure only.

use crate::ids::{ClassId, TenantId};
use crate::moving_average::MovingAverage;
use crate::settings::Settings;
use crate::time::Micros;
use std::collections::HashMap;

/// Requests over which the mix of tenants, classes and keys is averaged.
const TRAFFIC_SPAN: f64 = 200.0;
/// Requests for unknown keys that are assumed besides, so that a small sample makes no key hot.
const PRIOR_REQUEST_COUNT: f64 = TRAFFIC_SPAN / 8.0;
/// A longer gap between requests is a pause and tells nothing of their pace.
const MAX_INTERARRIVAL: Micros = Micros::from_millis(1_000);
/// Requests over which their pace is averaged.
const INTERARRIVAL_SPAN: u64 = 32;
/// What is left of all counts of requests once they add up to the span.
const COUNT_DECAY_RATIO: f64 = 0.5;
/// A key with fewer decayed requests than this is forgotten.
const MIN_KEY_COUNT: f64 = 0.5;

/// How often a key is requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyCount {
    /// Ring position of the key.
    pub ring_position: u32,
    /// Recent requests, decayed.
    pub count: f64,
}

/// The recent traffic of one router.
#[derive(Debug)]
pub(crate) struct TrafficEstimate {
    /// Recent requests by ring position of the key.
    key_counts: HashMap<u32, f64>,
    /// All of them together.
    total_count: f64,
    mean_priority_weight: MovingAverage,
    /// Share of each class in the requests.
    class_shares: Vec<MovingAverage>,
    /// Share of each tenant in the requests.
    tenant_shares: Vec<MovingAverage>,
    /// The time between requests.
    mean_interarrival: Micros,
    last_arrived_at: Micros,
}

impl TrafficEstimate {
    /// What the settings alone tell, before the first request.
    pub fn new(settings: &Settings) -> TrafficEstimate {
        let class_count = settings.classes.len();
        let equal_share = 1.0 / class_count.max(1) as f64;
        let min_weight = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(f64::INFINITY, f64::min);
        let tenant_share = |share: f64| MovingAverage::new(share, TRAFFIC_SPAN);
        TrafficEstimate {
            key_counts: HashMap::new(),
            total_count: 0.0,
            mean_priority_weight: MovingAverage::new(min_weight, TRAFFIC_SPAN),
            class_shares: vec![MovingAverage::new(equal_share, TRAFFIC_SPAN); class_count],
            tenant_shares: settings
                .tenants
                .iter()
                .map(|tenant| tenant_share(tenant.share))
                .collect(),
            mean_interarrival: Micros(0),
            last_arrived_at: Micros(0),
        }
    }

    /// Records a request and returns how often its key was requested lately, this time included.
    pub fn record_request(
        &mut self,
        now: Micros,
        class: ClassId,
        priority_weight: f64,
        ring_position: u32,
    ) -> f64 {
        self.mean_priority_weight.observe(priority_weight);
        for (other, share) in self.class_shares.iter_mut().enumerate() {
            share.observe_event(other == class.0);
        }
        let interarrival = now.since(self.last_arrived_at).min(MAX_INTERARRIVAL);
        self.mean_interarrival = self
            .mean_interarrival
            .toward(interarrival, INTERARRIVAL_SPAN);
        self.last_arrived_at = now;
        if self.total_count >= TRAFFIC_SPAN {
            self.decay_counts();
        }
        self.total_count += 1.0;
        let count = self.key_counts.entry(ring_position).or_insert(0.0);
        *count += 1.0;
        *count
    }

    fn decay_counts(&mut self) {
        self.total_count *= COUNT_DECAY_RATIO;
        self.key_counts.retain(|_, count| {
            *count *= COUNT_DECAY_RATIO;
            *count >= MIN_KEY_COUNT
        });
    }

    /// Records a request of a tenant.
    pub fn record_tenant(&mut self, tenant: Option<TenantId>) {
        let Some(tenant) = tenant else {
            return;
        };
        for (other, share) in self.tenant_shares.iter_mut().enumerate() {
            share.observe_event(other == tenant.0);
        }
    }

    /// Records that a key is likelier to be hot than its share here tells.
    pub fn record_hot_key(&mut self, ring_position: u32) {
        if let Some(count) = self.key_counts.get_mut(&ring_position) {
            *count += 1.0;
        }
    }

    /// The share of a key in all requests, 0 to 1. A single request is no evidence.
    pub fn key_share(&self, ring_position: u32) -> f64 {
        let repeats = self
            .key_counts
            .get(&ring_position)
            .map_or(0.0, |count| count - 1.0);
        repeats.max(0.0) / (self.total_count + PRIOR_REQUEST_COUNT)
    }

    /// The mean priority weight of requests.
    pub fn mean_priority_weight(&self) -> f64 {
        self.mean_priority_weight.value()
    }

    /// The mean time between requests.
    pub fn mean_interarrival(&self) -> Micros {
        self.mean_interarrival
    }

    /// The share of each class in the requests, in the order of the settings.
    pub fn class_shares(&self) -> impl Iterator<Item = f64> {
        self.class_shares.iter().map(MovingAverage::value)
    }

    /// The share of each tenant in the requests, in the order of the settings.
    pub fn tenant_shares(&self) -> impl Iterator<Item = f64> {
        self.tenant_shares.iter().map(MovingAverage::value)
    }

    /// The share of one tenant; `None` for one that the settings do not name.
    pub fn tenant_share(&self, tenant: TenantId) -> Option<f64> {
        self.tenant_shares.get(tenant.0).map(MovingAverage::value)
    }

    /// Recent requests of each key, by ring position.
    pub fn key_counts(&self) -> Vec<KeyCount> {
        let counts = self.key_counts.iter();
        let mut counts: Vec<KeyCount> = counts
            .map(|(&ring_position, &count)| KeyCount {
                ring_position,
                count,
            })
            .collect();
        counts.sort_unstable_by_key(|key| key.ring_position);
        counts
    }

    /// All recent requests.
    pub fn total_count(&self) -> f64 {
        self.total_count
    }

    /// Takes over the requests of each key of a previous process.
    pub fn restore_key_counts(&mut self, counts: impl Iterator<Item = KeyCount>) {
        self.key_counts = counts.map(|key| (key.ring_position, key.count)).collect();
    }

    /// Takes over the count of all requests of a previous process.
    pub fn restore_total_count(&mut self, count: f64) {
        self.total_count = count;
    }

    /// Takes over the mean priority weight of a previous process.
    pub fn restore_mean_priority_weight(&mut self, weight: f64) {
        self.mean_priority_weight.restore(weight);
    }

    /// Takes over the shares of classes of a previous process, if they fit the settings.
    pub fn restore_class_shares(&mut self, shares: &[f64]) {
        restore_shares(&mut self.class_shares, shares);
    }

    /// Takes over the shares of tenants of a previous process, if they fit the settings.
    pub fn restore_tenant_shares(&mut self, shares: &[f64]) {
        restore_shares(&mut self.tenant_shares, shares);
    }
}

fn restore_shares(averages: &mut [MovingAverage], shares: &[f64]) {
    let is_share = |share: &f64| (0.0..=1.0).contains(share);
    if shares.len() != averages.len() || !shares.iter().all(is_share) {
        return;
    }
    for (average, share) in averages.iter_mut().zip(shares) {
        average.restore(*share);
    }
}
