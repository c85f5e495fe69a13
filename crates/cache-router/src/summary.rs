//! Summary lines: one log line a second with what this router did, so that operators' scripts can
//! add up the logs of a fleet by second.
//!
//! The format is `summary at=UNIX_SECOND name=count ...`. A counter is written as its increase
//! since the previous line and a gauge as its current value; zeros are omitted. Scripts such as
//! `tools/fleet.py` parse the names, so the names must not change; this module maps them to the
//! names of this code.

use crate::Runtime;
use load_balancer::{CandidateVerdict, Diagnostics};
use router_runtime::{AttemptReport, OUTCOMES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};

/// Interval between lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The `[summary]` table of an operator file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SummarySettings {
    /// Whether a line is written each second.
    pub every_second: bool,
}

/// Writes summary lines until the future is dropped.
pub async fn write(runtime: Rc<Runtime>) {
    let mut previous = BTreeMap::new();
    let mut ticks = interval(LINE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let report = runtime.attempts();
        let counters = counters(&runtime, &report);
        let gauges = gauges(&runtime, &report.diagnostics);
        eprintln!("{}", summary_line(&previous, &counters, &gauges));
        previous = counters;
    }
}

fn summary_line(
    previous: &BTreeMap<String, u64>,
    counters: &BTreeMap<String, u64>,
    gauges: &[(&str, u64)],
) -> String {
    let unix_second = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    let mut line = format!("asterport: summary at={unix_second}");
    let growth = counters.iter().map(|(name, count)| {
        let growth = count - previous.get(name).unwrap_or(&0);
        (name.as_str(), growth)
    });
    for (name, value) in growth.chain(gauges.iter().copied()) {
        if value > 0 {
            // Writing to a `String` cannot fail.
            let _ = write!(line, " {name}={value}");
        }
    }
    line
}

/// Returns the counters, which only increase, by name.
fn counters(runtime: &Runtime, report: &AttemptReport) -> BTreeMap<String, u64> {
    let metrics = runtime.metrics();
    let attempts = &report.counts;
    let mut counters = BTreeMap::from([
        ("opened".to_string(), attempts.connections_opened),
        ("unopened".to_string(), attempts.connections_failed),
        ("calls".to_string(), attempts.discovery_calls),
        ("misses".to_string(), attempts.misses),
        ("full_new".to_string(), attempts.overloaded_new_connections),
        ("written".to_string(), metrics.attempts_written),
    ]);
    for ((_, name), count) in OUTCOMES.iter().zip(attempts.outcomes) {
        counters.insert(format!("end.{name}"), count);
    }
    for (verdict, count) in CandidateVerdict::ALL
        .iter()
        .zip(report.diagnostics.unplaced)
    {
        counters.insert(format!("unplaced.{}", verdict.label()), count);
    }
    for (class, counts) in &metrics.requests_by_class {
        counters.insert(format!("passed.{class}"), counts.served);
        counters.insert(format!("dropped.{class}"), counts.rejected);
        counters.insert(format!("bad_gateway.{class}"), counts.failed);
    }
    counters
}

/// Returns the gauges by name. A suffix `_m` stands for thousandths, `_us` for microseconds.
fn gauges(runtime: &Runtime, diagnostics: &Diagnostics) -> [(&'static str, u64); 10] {
    let usage = runtime.resource_usage();
    let thousandths = |value: f64| (value * 1e3) as u64;
    [
        ("idle", usage.idle_upstream_connections as u64),
        ("clients", usage.client_connections as u64),
        ("owed", usage.unanswered_requests as u64),
        ("ready", diagnostics.accepting_servers as u64),
        ("fetches_out", u64::from(diagnostics.fetches_in_flight)),
        ("fetches_limit_m", thousandths(diagnostics.fetch_limit)),
        ("misses_m", thousandths(diagnostics.miss_ratio)),
        ("limit_mean_m", thousandths(diagnostics.limit_mean)),
        ("tokens_m", thousandths(diagnostics.retry_tokens)),
        ("usual_us", diagnostics.typical_hit_latency.0),
    ]
}
