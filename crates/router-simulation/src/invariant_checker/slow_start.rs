//! Rule 4: no server in slow start is overloaded by routers that know of its start.
//!
//! A server's capacity rises linearly from its start to the end of the slow start. The server fails
//! when the work of the last `overload_duration` exceeds `overload_multiple` times its mean
//! capacity in that time.

use super::rule::RuleParameters;
use crate::executor::Time;
use std::collections::VecDeque;

/// The start of a cache server's process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessStart {
    /// Unix time in milliseconds; 0 for a process that has always run.
    pub born_ms: u64,
    /// The ratio of its full capacity with which it starts, from 0 to 1.
    pub starting_capacity_ratio: f64,
    /// How long it takes to reach its full capacity, in microseconds.
    pub slow_start_duration: Time,
}

impl ProcessStart {
    /// Returns the ratio of its full capacity that a server has at an age in microseconds.
    pub fn capacity_ratio(&self, age: Time) -> f64 {
        if age >= self.slow_start_duration {
            return 1.0;
        }
        let rise = 1.0 - self.starting_capacity_ratio;
        self.starting_capacity_ratio + rise * age as f64 / self.slow_start_duration as f64
    }
}

/// Work that a router sends to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkArrival {
    pub(super) at: Time,
    /// In microseconds at the server's full capacity.
    pub(super) work: f64,
    pub(super) router: usize,
}

/// A cache server's process.
#[derive(Debug, Default)]
pub(super) struct ServerProcess {
    start: ProcessStart,
    started_at: Time,
    /// Work that arrived in slow start within the last `overload_duration`.
    arrivals: VecDeque<WorkArrival>,
    has_failed: bool,
}

/// The failure of a server under its work. Work is in microseconds.
pub(super) struct Overload {
    age: Time,
    duration: Time,
    work: f64,
    limit: f64,
    informed_work: f64,
}

impl ServerProcess {
    pub(super) fn started(now: Time, start: ProcessStart) -> ServerProcess {
        ServerProcess {
            start,
            started_at: now,
            ..ServerProcess::default()
        }
    }

    fn is_in_slow_start(&self, now: Time) -> bool {
        let age = now.saturating_sub(self.started_at);
        !self.has_failed && self.start.born_ms != 0 && age < self.start.slow_start_duration
    }

    fn capacity_ratio(&self, at: Time) -> f64 {
        self.start
            .capacity_ratio(at.saturating_sub(self.started_at))
    }

    /// Returns the work of the last `overload_duration` that the process withstands.
    fn work_limit(&self, now: Time, parameters: &RuleParameters) -> f64 {
        let window = parameters.overload_duration;
        let since = self.started_at.max(now.saturating_sub(window));
        let mean_capacity = (self.capacity_ratio(since) + self.capacity_ratio(now)) / 2.0;
        let limit = parameters.overload_multiple * mean_capacity * window as f64;
        limit + parameters.overload_slack.beyond(limit)
    }

    /// Takes in work from a router. Returns the overload if the process fails under it.
    /// `knows_start` tells whether a router knows of this start of the process.
    pub(super) fn add_work(
        &mut self,
        parameters: &RuleParameters,
        arrival: WorkArrival,
        knows_start: impl Fn(usize, u64) -> bool,
    ) -> Option<Overload> {
        let now = arrival.at;
        if !self.is_in_slow_start(now) {
            return None;
        }
        self.arrivals.push_back(arrival);
        let is_old = |arrival: &WorkArrival| arrival.at + parameters.overload_duration < now;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        let limit = self.work_limit(now, parameters);
        let work = sum_work(&self.arrivals, |_| true);
        if work <= limit {
            return None;
        }
        self.has_failed = true;
        let arrivals = std::mem::take(&mut self.arrivals);
        let is_informed = |arrival: &WorkArrival| knows_start(arrival.router, self.start.born_ms);
        Some(Overload {
            age: now.saturating_sub(self.started_at),
            duration: parameters.overload_duration,
            work,
            limit,
            informed_work: sum_work(&arrivals, is_informed),
        })
    }
}

fn sum_work(arrivals: &VecDeque<WorkArrival>, counts: impl Fn(&WorkArrival) -> bool) -> f64 {
    let counted = arrivals.iter().filter(|arrival| counts(arrival));
    counted.map(|arrival| arrival.work).sum()
}

impl Overload {
    /// Returns the violation if at least two thirds of the work came from routers that knew of the
    /// start.
    pub(super) fn check(&self, server: usize) -> Option<String> {
        let two_thirds = self.work * 2.0 / 3.0;
        (self.informed_work >= two_thirds).then(|| {
            format!(
                "server {server}, {} ms after its start: {:.0} ms of work within {} ms \
                 where it withstands {:.0} ms, {:.0} ms of it from routers that knew of the start",
                self.age / 1_000,
                self.work / 1e3,
                self.duration / 1_000,
                self.limit / 1e3,
                self.informed_work / 1e3
            )
        })
    }
}
