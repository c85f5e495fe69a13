//! What all routers of one process believe and do, a line a second, for finding out how a jam begins and what keeps
//! it. Counts are of the second before; beliefs are means over the routers.

use load_balancer::{Action, CacheNote, Event, Micros, Outcome, Verdict, View};
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
    verdicts: [u64; Verdict::ALL.len()],
}

impl Trace {
    pub fn create(path: &str) -> io::Result<Trace> {
        let mut to = BufWriter::new(File::create(path)?);
        let verdicts = Verdict::ALL.map(|verdict| format!("{verdict:?}")).join(" ");
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
            Event::Ended(end) => {
                counts.missed += u32::from(matches!(
                    end.note,
                    Some(CacheNote::Miss | CacheNote::MissPending)
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
            Action::Refuse { .. } | Action::Fail { .. } => self.counts.refused += 1,
            _ => {}
        }
    }

    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.due
    }

    pub fn line(&mut self, now: Micros, views: impl Iterator<Item = View>) -> io::Result<()> {
        let views: Vec<View> = views.collect();
        self.due = now.plus(STEP);
        let c = std::mem::take(&mut self.counts);
        let mean =
            |of: fn(&View) -> f64| views.iter().map(of).sum::<f64>() / views.len().max(1) as f64;
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
            mean(|v| v.held as f64),
            mean(|v| f64::from(v.fetches.0)),
            mean(|v| v.fetches.1),
            mean(|v| v.misses),
            mean(|v| v.late_failures),
            mean(|v| v.tokens),
            mean(|v| v.usual.as_secs_f64() * 1e3),
            mean(|v| f64::from(v.at_work)),
            mean(|v| v.limits.0),
            mean(|v| v.limits.1),
            mean(|v| v.limits.2),
            mean(|v| v.ready as f64),
            mean(|v| v.at_ease as f64),
            verdicts,
        )?;
        self.to.flush()
    }
}
