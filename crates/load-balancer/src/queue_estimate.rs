//! Whether requests wait at a server.
//!
//! Guards against two mistakes. A server that is slow by nature answers late by the clients' aims although
//! nothing waits there: a limit cut for that gives its keys away for nothing, and each key that moves is a
//! fetch and drives out another. And where routers are many, each sees a server too seldom to know that it
//! has room. A server that reports its load tells both; for others the time that its answers take, against
//! the least of it, has to do.

use crate::api::Micros;
use crate::load_report::LoadReport;

/// A report counts for so long after the answer that brought it: servers refresh it about once a second.
const FRESH: Micros = Micros::from_millis(2_000);
/// Fewer waiting requests than this are none: reports are noisy.
const NO_QUEUE: f64 = 0.5;
/// Cores busier than this have no room, even if nothing waits at that moment.
const ROOM: f64 = 0.9;
/// Answers that take this many times their least show a queue, where nobody tells.
const QUEUE: f64 = 1.4;
/// And so long that a server that says otherwise is not believed: a frozen or a lying report.
const DISBELIEF: f64 = 3.0;
/// Answers over which their time is averaged; the least of it rises as slowly as over so many.
const TIME_SPAN: u64 = 8;
const LEAST_SPAN: u64 = 256;

/// What one router knows of the queue at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Queue {
    /// What the server said last, and when that came.
    said: Option<(Micros, LoadReport)>,
    /// How long answers without a fetch take, smoothed; what was given up counts twice its time.
    time: Micros,
    /// The least of that, rising slowly.
    least: Micros,
}

impl Queue {
    /// An answer brought this report.
    pub fn said(&mut self, now: Micros, load: LoadReport) {
        self.said = Some((now, load));
    }

    /// An answer took so long.
    pub fn took(&mut self, took: Micros) {
        if self.least == Micros(0) {
            (self.time, self.least) = (took, took);
        }
        self.time = self.time.toward(took, TIME_SPAN);
        self.least = self.least.toward(self.time, LEAST_SPAN).min(self.time);
    }

    /// By its own word of late, and nothing speaks against it, the server would begin one more at once.
    pub fn is_at_ease(&self, now: Micros) -> bool {
        self.word(now) == Some(true)
    }

    /// Requests wait there, or answers take longer than an aim whatever the reason.
    pub fn is_there(&self, now: Micros, latency_objective: Micros) -> bool {
        match self.word(now) {
            Some(at_ease) => !at_ease,
            None => self.takes(QUEUE) || self.time > latency_objective,
        }
    }

    /// What it said of itself; `None` where it said nothing lately, or what cannot be.
    fn word(&self, now: Micros) -> Option<bool> {
        let (_, load) = self.said.filter(|&(at, _)| now.since(at) < FRESH)?;
        load.queue_length.or(load.cpu_utilization)?;
        let at_ease = load.queue_length.is_none_or(|queue| queue < NO_QUEUE)
            && load.cpu_utilization.is_none_or(|busy| busy < ROOM);
        (!at_ease || !self.takes(DISBELIEF)).then_some(at_ease)
    }

    fn takes(&self, times: f64) -> bool {
        self.time > self.least.scaled(times)
    }
}
