//! One line a second on what this router does, so that a folder of logs can be summed over a fleet by second
//! (`tools/fleet.py`): what one router does is seldom seen to harm, what all of them do together is.

use load_balancer::{CandidateVerdict, Diagnostics};
use router_runtime::tokio_environment::TokioEnvironment;
use router_runtime::{AttemptCounts, OUTCOMES, RouterRuntime};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{MissedTickBehavior, interval};

/// The `[summary]` table of an operator file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SummaryFile {
    /// A line each second.
    pub every_second: bool,
}

/// The name of a verdict in a summary line: operators' scripts read these, so they stay as they are.
fn verdict_name(verdict: CandidateVerdict) -> &'static str {
    match verdict {
        CandidateVerdict::Owner => "Home",
        CandidateVerdict::Diverted => "Moved",
        CandidateVerdict::DivertedWithRetryToken => "MovedPaid",
        CandidateVerdict::AlreadyAttempted => "Tried",
        CandidateVerdict::OutsidePartialArc => "InPart",
        CandidateVerdict::SlowStartLimited => "Cold",
        CandidateVerdict::Unresponsive => "Silent",
        CandidateVerdict::HotKeyReplicaElsewhere => "Hot",
        CandidateVerdict::AtCapacity => "Full",
        CandidateVerdict::FetchLimited => "NoFetch",
        CandidateVerdict::RetainedByOwner => "Stays",
    }
}

/// What only grows, by name.
fn counts(
    engine: &RouterRuntime<TokioEnvironment>,
    (attempts, view): &(AttemptCounts, Diagnostics),
) -> BTreeMap<String, u64> {
    let figures = engine.metrics();
    let mut counts = BTreeMap::from([
        ("opened".to_string(), attempts.opened),
        ("unopened".to_string(), attempts.unopened),
        ("calls".to_string(), attempts.calls),
        ("misses".to_string(), attempts.misses),
        ("full_new".to_string(), attempts.full_new),
        ("written".to_string(), figures.attempts_written),
    ]);
    for ((_, name), count) in OUTCOMES.iter().zip(attempts.outcomes) {
        counts.insert(format!("end.{name}"), count);
    }
    for (verdict, count) in CandidateVerdict::ALL.iter().zip(view.unplaced) {
        counts.insert(format!("unplaced.{}", verdict_name(*verdict)), count);
    }
    for (class, ends) in &figures.requests_by_class {
        counts.insert(format!("passed.{class}"), ends.served);
        counts.insert(format!("dropped.{class}"), ends.rejected);
        counts.insert(format!("bad_gateway.{class}"), ends.failed);
    }
    counts
}

/// What stands at this moment, by name; limits and times in thousandths.
fn levels(
    engine: &RouterRuntime<TokioEnvironment>,
    view: &Diagnostics,
) -> [(&'static str, u64); 10] {
    let resource_usage = engine.resource_usage();
    let thousandths = |value: f64| (value * 1e3) as u64;
    [
        ("idle", resource_usage.idle_upstream_connections as u64),
        ("clients", resource_usage.client_connections as u64),
        ("owed", resource_usage.unanswered_requests as u64),
        ("ready", view.accepting as u64),
        ("fetches_out", u64::from(view.fetches_in_flight)),
        ("fetches_limit_m", thousandths(view.fetch_limit)),
        ("misses_m", thousandths(view.miss_ratio)),
        ("limit_mean_m", thousandths(view.limit_mean)),
        ("tokens_m", thousandths(view.retry_tokens)),
        ("usual_us", view.typical_hit_latency.0),
    ]
}

/// Writes a line a second for as long as the program runs: `summary at=UNIX_SECOND name=count ...`, counts since the line
/// before, levels as they stand; what is 0 is left out.
pub async fn write(engine: Rc<RouterRuntime<TokioEnvironment>>) {
    let mut before = BTreeMap::new();
    let mut ticks = interval(Duration::from_secs(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        let mut line = format!("asterport: summary at={at}");
        let attempts = engine.attempts();
        let now = counts(&engine, &attempts);
        let grown = now
            .iter()
            .map(|(name, count)| (&name[..], count - before.get(name).unwrap_or(&0)));
        for (name, count) in grown
            .chain(levels(&engine, &attempts.1))
            .filter(|(_, count)| *count > 0)
        {
            let _ = write!(line, " {name}={count}");
        }
        eprintln!("{line}");
        before = now;
    }
}
