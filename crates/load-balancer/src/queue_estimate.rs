//! Estimates whether requests wait in a queue at a server.
//!
//! The inputs are the server's load reports, how long its answers take (µs), the latency objective
//! (µs) and the time (µs). The results are whether the server has a queue, and whether it reports
//! spare capacity.
//!
//! A server that is slow by nature answers late although no request waits there. Reducing its limit
//! for that would divert its keys, and each diverted key is an origin fetch. In a large fleet of
//! routers each router sees a server too seldom to know by itself whether it has capacity; there
//! the load reports show it.

use crate::latency_baseline::LatencyBaseline;
use crate::load_report::LoadReport;
use crate::time::Micros;

/// How long a load report is valid after the answer that carried it. Servers refresh their reports
/// about once a second.
const REPORT_LIFETIME: Micros = Micros::from_millis(2_000);
/// Fewer waiting requests than this are not a queue, because reports are noisy.
const MIN_QUEUE_LENGTH: f64 = 0.5;
/// A server whose CPU utilization is at least this has no spare capacity, even if no request waits.
const BUSY_CPU_RATIO: f64 = 0.9;
/// Without a report, an average latency of this multiple of the minimum shows a queue.
const QUEUE_LATENCY_RATIO: f64 = 1.4;
/// An average latency of this multiple of the minimum contradicts a report of spare capacity: the
/// report is outdated or wrong.
const CONTRADICTING_LATENCY_RATIO: f64 = 3.0;
/// The number of answers over which their latency is averaged.
const LATENCY_SPAN: u64 = 8;
/// The number of answers over which the minimum of that average rises.
const MIN_LATENCY_SPAN: u64 = 256;

/// A load report and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    at: Micros,
    report: LoadReport,
}

/// One router's estimate of the queue at one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEstimate {
    last_report: Option<ReceivedReport>,
    /// The latency of answers without a fetch. An answer that was given up counts with twice its
    /// time.
    latency: LatencyBaseline,
}

impl QueueEstimate {
    /// Creates an estimate without observations.
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

    /// Records the latency of an answer.
    pub fn record_latency(&mut self, latency: Micros) {
        self.latency.observe(latency);
    }

    /// The average latency of answers when nothing waits at the server; 0 without observations.
    pub fn fastest_average(&self) -> Micros {
        self.latency.scaled_minimum(1.0)
    }

    /// Whether the server credibly reports that it could start one more request at once.
    pub fn reports_spare_capacity(&self, now: Micros) -> bool {
        self.reported_spare_capacity(now) == Some(true)
    }

    /// Whether requests wait at the server, or its answers take longer than the objective for
    /// whatever reason.
    pub fn has_queue(&self, now: Micros, latency_objective: Micros) -> bool {
        match self.reported_spare_capacity(now) {
            Some(has_spare_capacity) => !has_spare_capacity,
            None => {
                self.latency_exceeds_minimum(QUEUE_LATENCY_RATIO)
                    || self.latency.average() > latency_objective
            }
        }
    }

    /// Whether the server reports spare capacity; `None` without a recent and credible report.
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
