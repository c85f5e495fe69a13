//! Do requests wait at a server?
//!
//! Inputs: the load reports of the server, how long its answers take (µs), the latency objective (µs), the time
//! (µs). Answer: whether it has a queue, and whether it reports spare capacity. Reason: a server that is slow by
//! nature answers late although nothing waits there; a limit cut for that gives its keys away, and each key that
//! moves is a fetch. Where routers are many, each sees a server too seldom to know that it has capacity.

use crate::latency_baseline::LatencyBaseline;
use crate::load_report::LoadReport;
use crate::time::Micros;

/// How long a load report counts after the answer that brought it: servers refresh it about once a second.
const REPORT_LIFETIME: Micros = Micros::from_millis(2_000);
/// Fewer waiting requests than this are no queue: reports are noisy.
const MIN_QUEUE_LENGTH: f64 = 0.5;
/// A server busier than this share of its cores has no spare capacity, even if nothing waits.
const BUSY_CPU_RATIO: f64 = 0.9;
/// Answers that take this multiple of their minimum show a queue, where there is no report.
const QUEUE_LATENCY_RATIO: f64 = 1.4;
/// Answers that take this multiple of their minimum disprove a report of spare capacity: it is frozen or wrong.
const CONTRADICTING_LATENCY_RATIO: f64 = 3.0;
/// Answers over which their time is averaged.
const LATENCY_SPAN: u64 = 8;
/// Answers over which the minimum of that rises.
const MIN_LATENCY_SPAN: u64 = 256;

/// A load report and when it came.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    at: Micros,
    report: LoadReport,
}

/// What one router knows of the queue at one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEstimate {
    last_report: Option<ReceivedReport>,
    /// How long answers without a fetch take; one that was given up counts twice its time.
    latency: LatencyBaseline,
}

impl QueueEstimate {
    /// Nothing is known.
    pub const fn new() -> QueueEstimate {
        QueueEstimate {
            last_report: None,
            latency: LatencyBaseline::new(LATENCY_SPAN, MIN_LATENCY_SPAN),
        }
    }

    /// Records the load report of an answer.
    pub fn record_report(&mut self, now: Micros, report: LoadReport) {
        self.last_report = Some(ReceivedReport { at: now, report });
    }

    /// Records how long an answer took.
    pub fn record_latency(&mut self, latency: Micros) {
        self.latency.observe(latency);
    }

    /// Whether the server credibly reports that it would begin one more request at once.
    pub fn reports_spare_capacity(&self, now: Micros) -> bool {
        self.reported_spare_capacity(now) == Some(true)
    }

    /// Whether requests wait there, or answers take longer than the objective for whatever reason.
    pub fn has_queue(&self, now: Micros, latency_objective: Micros) -> bool {
        match self.reported_spare_capacity(now) {
            Some(has_spare_capacity) => !has_spare_capacity,
            None => {
                self.latency_exceeds_minimum(QUEUE_LATENCY_RATIO)
                    || self.latency.average() > latency_objective
            }
        }
    }

    /// What the server reports; `None` without a recent and credible report.
    fn reported_spare_capacity(&self, now: Micros) -> Option<bool> {
        let received = self
            .last_report
            .filter(|received| now.since(received.at) < REPORT_LIFETIME)?;
        let report = received.report;
        report.queue_length.or(report.cpu_utilization)?;
        let has_no_queue = report
            .queue_length
            .is_none_or(|queue| queue < MIN_QUEUE_LENGTH);
        let is_not_busy = report
            .cpu_utilization
            .is_none_or(|busy| busy < BUSY_CPU_RATIO);
        let has_spare_capacity = has_no_queue && is_not_busy;
        let is_contradicted =
            has_spare_capacity && self.latency_exceeds_minimum(CONTRADICTING_LATENCY_RATIO);
        (!is_contradicted).then_some(has_spare_capacity)
    }

    fn latency_exceeds_minimum(&self, ratio: f64) -> bool {
        self.latency.average() > self.latency.scaled_minimum(ratio)
    }
}
