//! One line a second on what this router does, so that a folder of logs can be summed over a fleet by second
//! (`tools/fleet.py`): what one router does is seldom seen to harm, what all of them do together is.

use load_balancer::{Verdict, View};
use router_runtime::service::Service;
use router_runtime::{Attempts, Engine, OUTCOMES};
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

/// What only grows, by name.
fn counts(engine: &Engine<Service>, (attempts, view): &(Attempts, View)) -> BTreeMap<String, u64> {
    let figures = engine.figures();
    let mut counts = BTreeMap::from([
        ("opened".to_string(), attempts.opened),
        ("unopened".to_string(), attempts.unopened),
        ("calls".to_string(), attempts.calls),
        ("misses".to_string(), attempts.misses),
        ("full_new".to_string(), attempts.full_new),
        ("written".to_string(), figures.tries),
    ]);
    for ((_, name), count) in OUTCOMES.iter().zip(attempts.outcomes) {
        counts.insert(format!("end.{name}"), count);
    }
    for (verdict, count) in Verdict::ALL.iter().zip(view.unplaced) {
        counts.insert(format!("unplaced.{verdict:?}"), count);
    }
    for (class, ends) in &figures.ends {
        counts.insert(format!("passed.{class}"), ends.passed);
        counts.insert(format!("dropped.{class}"), ends.dropped);
        counts.insert(format!("bad_gateway.{class}"), ends.bad_gateway);
    }
    counts
}

/// What stands at this moment, by name; limits and times in thousandths.
fn levels(engine: &Engine<Service>, view: &View) -> [(&'static str, u64); 10] {
    let holdings = engine.holdings();
    let thousandths = |value: f64| (value * 1e3) as u64;
    [
        ("idle", holdings.idle as u64),
        ("clients", holdings.clients as u64),
        ("owed", holdings.owed as u64),
        ("ready", view.ready as u64),
        ("fetches_out", u64::from(view.fetches.0)),
        ("fetches_limit_m", thousandths(view.fetches.1)),
        ("misses_m", thousandths(view.misses)),
        ("limit_mean_m", thousandths(view.limits.1)),
        ("tokens_m", thousandths(view.tokens)),
        ("usual_us", view.usual.0),
    ]
}

/// Writes a line a second for as long as the program runs: `summary at=UNIX_SECOND name=count ...`, counts since the line
/// before, levels as they stand; what is 0 is left out.
pub async fn write(engine: Rc<Engine<Service>>) {
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
