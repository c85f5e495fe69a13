//! Counts of the coalescer's decisions, for operators.

use std::fmt;

/// How much state the coalescer currently keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Reads that wait for a flight.
    pub waiters: usize,
    /// Flights that reads wait for.
    pub flights: usize,
}

/// Counts since the start of the process. The text form is stable, as operators read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flights opened, replacements included.
    pub flights: u64,
    /// Reads that joined a flight.
    pub joined: u64,
    /// Reads that bypassed coalescing; `alone` in the text form.
    pub bypassed: u64,
    /// Flights opened to replace a hung one; `second` in the text form.
    pub replacements: u64,
    /// Flights closed to further reads by a write.
    pub closed: u64,
    /// Flights cancelled when their last waiter left.
    pub withdrawn: u64,
    /// Waiters rejected at their own deadline.
    pub expired: u64,
    /// Waiters rejected because a retry of their flight could not end in time for them; `outrun` in
    /// the text form.
    pub retry_too_late: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            flights,
            joined,
            bypassed,
            replacements,
            closed,
            withdrawn,
            expired,
            retry_too_late,
        } = self;
        write!(
            f,
            "{flights} flights, {joined} joined, {bypassed} alone, {replacements} second, {closed} closed, {withdrawn} withdrawn, {expired} expired, {retry_too_late} outrun"
        )
    }
}
