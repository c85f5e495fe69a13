//! Trace of all routers of the process, one line per second, for analyzing how overload begins and
//! what sustains it.
//!
//! Counts cover the time since the previous line and are totals over the routers; state columns are
//! means over the routers. Scripts read the column names.

use load_balancer::{Action, CacheStatus, CandidateVerdict, Diagnostics, Event, Micros, Outcome};
use std::fs::File;
use std::io::{self, BufWriter, Write};

/// Minimum interval between two lines.
const LINE_INTERVAL: Micros = Micros::from_millis(1_000);

const MS_PER_S: f64 = 1e3;

/// Counts of events and actions since the last line.
#[derive(Default)]
struct Counts {
    requests: u32,
    retries: u32,
    sent: u32,
    served: u32,
    missed: u32,
    failed: u32,
    overloaded: u32,
    timed_out: u32,
    rejected: u32,
}

/// Trace file and the counts for its next line.
pub struct Trace {
    file: BufWriter<File>,
    next_line_at: Micros,
    counts: Counts,
    /// Total verdicts of all routers at the last line, by kind.
    verdicts: [u64; CandidateVerdict::ALL.len()],
}

impl Trace {
    /// Creates the file and writes the column names.
    pub fn create(path: &str) -> io::Result<Trace> {
        let mut file = BufWriter::new(File::create(path)?);
        let verdicts = CandidateVerdict::ALL.map(CandidateVerdict::label).join(" ");
        writeln!(
            file,
            "second asked again sent served missed errors full late refused | held fetches limit misses latefail \
             tokens usual_ms at_work least mean most ready ease | {verdicts}"
        )?;
        Ok(Trace {
            file,
            next_line_at: Micros(0),
            counts: Counts::default(),
            verdicts: Default::default(),
        })
    }

    /// Counts an event.
    pub fn record_event(&mut self, event: &Event) {
        let counts = &mut self.counts;
        match event {
            Event::Request(request) => {
                counts.requests += 1;
                counts.retries += u32::from(request.retry);
            }
            Event::AttemptEnded(end) => {
                counts.missed += u32::from(matches!(
                    end.cache_status,
                    Some(CacheStatus::Miss | CacheStatus::MissPending)
                ));
                match end.outcome {
                    Outcome::Success => counts.served += 1,
                    Outcome::Failure => counts.failed += 1,
                    Outcome::Overloaded => counts.overloaded += 1,
                    Outcome::TimedOut => counts.timed_out += 1,
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// Counts an action.
    pub fn record_action(&mut self, action: &Action) {
        match action {
            Action::Send { .. } => self.counts.sent += 1,
            Action::Reject { .. } | Action::Fail { .. } => self.counts.rejected += 1,
            _ => {}
        }
    }

    /// Whether it is time for the next line.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_line_at
    }

    /// Writes a line with the counts and the state of all routers, and resets the counts.
    pub fn write_line(
        &mut self,
        now: Micros,
        diagnostics: impl Iterator<Item = Diagnostics>,
    ) -> io::Result<()> {
        let diagnostics: Vec<Diagnostics> = diagnostics.collect();
        self.next_line_at = now.plus(LINE_INTERVAL);
        let counts = std::mem::take(&mut self.counts);
        let mean = |value: fn(&Diagnostics) -> f64| {
            diagnostics.iter().map(value).sum::<f64>() / diagnostics.len().max(1) as f64
        };
        let verdicts = self.verdict_columns(&diagnostics);
        writeln!(
            self.file,
            "{:6.1} {:5} {:5} {:5} {:5} {:5} {:5} {:4} {:4} {:5} | {:5.1} {:5.1} {:5.2} {:4.2} {:4.2} {:4.1} {:5.0} \
             {:5.1} {:5.2} {:5.2} {:5.2} {:4.1} {:4.1} |{}",
            now.as_secs_f64(),
            counts.requests,
            counts.retries,
            counts.sent,
            counts.served,
            counts.missed,
            counts.failed,
            counts.overloaded,
            counts.timed_out,
            counts.rejected,
            mean(|v| v.pending_requests as f64),
            mean(|v| f64::from(v.fetches_in_flight)),
            mean(|v| v.fetch_limit),
            mean(|v| v.miss_ratio),
            mean(|v| v.late_failure_ratio),
            mean(|v| v.retry_tokens),
            mean(|v| v.typical_hit_latency.as_secs_f64() * MS_PER_S),
            mean(|v| f64::from(v.attempts_in_flight)),
            mean(|v| v.limit_min),
            mean(|v| v.limit_mean),
            mean(|v| v.limit_max),
            mean(|v| v.accepting_servers as f64),
            mean(|v| v.servers_with_spare_capacity as f64),
            verdicts,
        )?;
        self.file.flush()
    }

    /// Formats the number of verdicts since the last line, by kind.
    fn verdict_columns(&mut self, diagnostics: &[Diagnostics]) -> String {
        let total = |kind: usize| diagnostics.iter().map(|d| d.verdicts[kind]).sum::<u64>();
        let before = std::mem::replace(&mut self.verdicts, std::array::from_fn(total));
        self.verdicts
            .iter()
            .zip(&before)
            .map(|(now, before)| format!(" {:5}", now.saturating_sub(*before)))
            .collect()
    }
}
