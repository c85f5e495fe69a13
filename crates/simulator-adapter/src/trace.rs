//! What all routers of one process believe and do, a line a second, for finding out how a jam begins and what keeps
//! it. Counts are of the second before; beliefs are means over the routers.

use load_balancer::{Action, CacheStatus, CandidateVerdict, Diagnostics, Event, Micros, Outcome};
use std::fs::File;
use std::io::{self, BufWriter, Write};

/// The time between two lines.
const STEP: Micros = Micros::from_millis(1_000);

/// What happened since the last line.
#[derive(Default)]
struct Counts {
    asked: u32,
    again: u32,
    sent: u32,
    served: u32,
    missed: u32,
    errors: u32,
    full: u32,
    late: u32,
    refused: u32,
}

pub struct Trace {
    to: BufWriter<File>,
    due: Micros,
    counts: Counts,
    /// Verdicts of all routers up to the last line.
    verdicts: [u64; CandidateVerdict::ALL.len()],
}

impl Trace {
    pub fn create(path: &str) -> io::Result<Trace> {
        let mut to = BufWriter::new(File::create(path)?);
        let verdicts = CandidateVerdict::ALL
            .map(|verdict| format!("{verdict:?}"))
            .join(" ");
        writeln!(
            to,
            "second asked again sent served missed errors full late refused | held fetches limit misses latefail \
             tokens usual_ms at_work least mean most ready ease | {verdicts}"
        )?;
        Ok(Trace {
            to,
            due: Micros(0),
            counts: Counts::default(),
            verdicts: Default::default(),
        })
    }

    pub fn event(&mut self, event: &Event) {
        let counts = &mut self.counts;
        match event {
            Event::Request(ask) => {
                counts.asked += 1;
                counts.again += u32::from(ask.retry);
            }
            Event::AttemptEnded(end) => {
                counts.missed += u32::from(matches!(
                    end.cache_status,
                    Some(CacheStatus::Miss | CacheStatus::MissPending)
                ));
                match end.outcome {
                    Outcome::Success => counts.served += 1,
                    Outcome::Failure => counts.errors += 1,
                    Outcome::Overloaded => counts.full += 1,
                    Outcome::TimedOut => counts.late += 1,
                    _ => {}
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Send { .. } => self.counts.sent += 1,
            Action::Reject { .. } | Action::Fail { .. } => self.counts.refused += 1,
            _ => {}
        }
    }

    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.due
    }

    pub fn line(
        &mut self,
        now: Micros,
        views: impl Iterator<Item = Diagnostics>,
    ) -> io::Result<()> {
        let views: Vec<Diagnostics> = views.collect();
        self.due = now.plus(STEP);
        let c = std::mem::take(&mut self.counts);
        let mean = |of: fn(&Diagnostics) -> f64| {
            views.iter().map(of).sum::<f64>() / views.len().max(1) as f64
        };
        let before = std::mem::take(&mut self.verdicts);
        let sum = |i: usize| views.iter().map(|v| v.verdicts[i]).sum::<u64>();
        self.verdicts = std::array::from_fn(sum);
        let now_and_before = self.verdicts.iter().zip(&before);
        let verdicts: String = now_and_before
            .map(|(now, old)| format!(" {:5}", now.saturating_sub(*old)))
            .collect();
        writeln!(
            self.to,
            "{:6.1} {:5} {:5} {:5} {:5} {:5} {:5} {:4} {:4} {:5} | {:5.1} {:5.1} {:5.2} {:4.2} {:4.2} {:4.1} {:5.0} \
             {:5.1} {:5.2} {:5.2} {:5.2} {:4.1} {:4.1} |{}",
            now.as_secs_f64(),
            c.asked,
            c.again,
            c.sent,
            c.served,
            c.missed,
            c.errors,
            c.full,
            c.late,
            c.refused,
            mean(|v| v.pending_requests as f64),
            mean(|v| f64::from(v.fetches_in_flight)),
            mean(|v| v.fetch_limit),
            mean(|v| v.miss_ratio),
            mean(|v| v.late_failure_ratio),
            mean(|v| v.retry_tokens),
            mean(|v| v.typical_hit_latency.as_secs_f64() * 1e3),
            mean(|v| f64::from(v.attempts_in_flight)),
            mean(|v| v.limit_min),
            mean(|v| v.limit_mean),
            mean(|v| v.limit_max),
            mean(|v| v.accepting as f64),
            mean(|v| v.spare_capacity_reported as f64),
            verdicts,
        )?;
        self.to.flush()
    }
}
