//! What is asked for lately at this router: how often each key, by which class and tenant, how fast. A measure only: what
//! follows from it is decided in `src/balance.rs`.

use crate::api::{Micros, Settings, TenantId};
use std::collections::HashMap;

/// Requests over which the mix of tenants and of keys and the mean worth are averaged.
pub(crate) const MIX_SPAN: f64 = 200.0;
/// Longer gaps between requests are a pause and tell nothing of this router's pace.
const LONGEST_GAP: Micros = Micros::from_millis(1_000);
/// Requests over which the pace is averaged.
const PACE_SPAN: u64 = 32;

/// See the module.
#[derive(Debug)]
pub(crate) struct Demand {
    /// How often each place was asked for lately, and all of them together.
    pub popular: HashMap<u32, f64>,
    pub asked_for: f64,
    pub mean_worth: f64,
    /// Each class's part of the requests lately.
    pub asked: Vec<f64>,
    /// Each tenant's part of them.
    pub mix: Vec<f64>,
    /// The time between this router's requests, smoothed, and when the last one came.
    pub pace: Micros,
    last_came: Micros,
}

impl Demand {
    /// Before the first request: what the settings alone tell.
    pub fn new(settings: &Settings) -> Demand {
        let classes = settings.classes.len();
        Demand {
            popular: HashMap::new(),
            asked_for: 0.0,
            mean_worth: settings
                .classes
                .iter()
                .map(|c| c.priority_weight)
                .fold(f64::INFINITY, f64::min),
            asked: vec![1.0 / classes.max(1) as f64; classes],
            mix: settings.tenants.iter().map(|t| t.share).collect(),
            pace: Micros(0),
            last_came: Micros(0),
        }
    }

    /// A request of this class came for a place; how often it was asked for lately, this time included.
    pub fn came(&mut self, now: Micros, (class, worth): (usize, f64), place: u32) -> f64 {
        self.mean_worth += (worth - self.mean_worth) / MIX_SPAN;
        for (other, share) in self.asked.iter_mut().enumerate() {
            *share += (f64::from(u8::from(other == class)) - *share) / MIX_SPAN;
        }
        let gap = now.since(self.last_came).min(LONGEST_GAP);
        (self.pace, self.last_came) = (self.pace.toward(gap, PACE_SPAN), now);
        if self.asked_for >= MIX_SPAN {
            self.asked_for *= 0.5;
            self.popular.values_mut().for_each(|count| *count *= 0.5);
            self.popular.retain(|_, count| *count >= 0.5);
        }
        self.asked_for += 1.0;
        let count = self.popular.entry(place).or_insert(0.0);
        *count += 1.0;
        *count
    }

    /// It came for this tenant.
    pub fn came_of(&mut self, tenant: Option<TenantId>) {
        for (i, part) in self.mix.iter_mut().enumerate().filter(|_| tenant.is_some()) {
            *part += (f64::from(u8::from(tenant == Some(TenantId(i)))) - *part) / MIX_SPAN;
        }
    }

    /// The share of all that goes to a place; asked for once is no evidence.
    pub fn share(&self, place: u32) -> f64 {
        let count = self
            .popular
            .get(&place)
            .map_or(0.0, |count| count - 1.0)
            .max(0.0);
        count / (self.asked_for + MIX_SPAN / 8.0)
    }

    /// A place is likelier to be hot than its share here tells.
    pub fn seems_hot(&mut self, place: u32) {
        self.popular.entry(place).and_modify(|count| *count += 1.0);
    }
}
