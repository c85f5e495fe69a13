//! Deliberate defects for mutation testing: the simulation has to detect each of them.
//!
//! Production code calls the functions of `hooks`. Without the feature `mutations`, which
//! production builds leave out, no defect can be activated.

pub(crate) mod hooks;

/// A defect that can be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Each response is written twice.
    AnswersTwice,
    /// After SIGTERM, connections on which several responses are pending are dropped.
    DropsPipelined,
    /// Deadlines of requests are extended by 100 ms.
    DeadlinesLate,
    /// Each attempt announces 200 ms more to its server than the client still waits.
    TellsTooMuchTime,
    /// Each attempt is followed by a copy that the decision library has not asked for.
    SendsAfterAnswer,
    /// An attempt that waited for its connection is sent even if its client has disconnected.
    SendsAfterDisconnect,
    /// A connection to the previous process of a server is reused for its current process.
    KeepsOldConnections,
    /// A connection on which a response is still outstanding is reused for the next request.
    ReusesTimedOut,
    /// A connection lost after the last byte of a command counts as proof that it was not executed.
    RetriesNotIdempotent,
    /// A request that may have been executed is rejected instead of failed.
    RejectsWhatMayHaveRun,
    /// Keyed requests are retried as if their deduplication window never ended.
    RetriesPastDeduplicationWindow,
    /// Keyed requests are retried outside their deduplication scope, such as their zone.
    LeavesDeduplicationScope,
    /// Drains and removals of servers are applied 251 ms late.
    DrainsLate,
    /// Disconnects of clients are not noticed while nothing is read from them.
    OverlooksDisconnects,
    /// Requests that are pending when the process has to exit get no response.
    DropsPendingAtShutdown,
    /// Scheduled calls of discovery are made 500 ms late.
    PausesBeforeCalls,
    /// A silent watch in push mode is not replaced.
    KeepsSilentPush,
    /// Servers that the list reports as removed are kept.
    KeepsRemoved,
    /// All servers count as started long ago, so that slow start is skipped.
    SkipsSlowStart,
    /// A restarted server that a change of the list names is not recognized as a new process.
    MissesRestart,
    /// Timers that have fired are set again, one hour later.
    LeaksTimers,
    /// Broken connections are not closed.
    LeaksConnections,
    /// Finished requests are not removed from memory.
    LeaksRequests,
    /// A list that reports a server as up clears its admin override.
    ListLiftsOverrides,
    /// A new process ignores the admin overrides of its predecessor.
    ForgetsOverrides,
    /// Writes of any class are coalesced like reads.
    CoalescesWrites,
    /// A write does not end coalescing on its key.
    CoalescesAcrossWrites,
    /// Waiters of a flight wait for its end, even past their own deadlines.
    HoldsWaiters,
    /// After a failed flight, each of its waiters sends a request of its own.
    Stampedes,
}

impl Mutation {
    /// The mutations that randomly drawn runs have to detect. Scenarios detect the others, since
    /// the faults that reveal them are too rare in drawn runs: [`Mutation::PausesBeforeCalls`],
    /// [`Mutation::KeepsSilentPush`], [`Mutation::DropsPendingAtShutdown`],
    /// [`Mutation::KeepsOldConnections`] and [`Mutation::OverlooksDisconnects`].
    pub const CAUGHT_BY_DRAWN_RUNS: [Mutation; 24] = [
        Mutation::AnswersTwice,
        Mutation::DropsPipelined,
        Mutation::DeadlinesLate,
        Mutation::TellsTooMuchTime,
        Mutation::SendsAfterAnswer,
        Mutation::SendsAfterDisconnect,
        Mutation::ReusesTimedOut,
        Mutation::RetriesNotIdempotent,
        Mutation::RejectsWhatMayHaveRun,
        Mutation::RetriesPastDeduplicationWindow,
        Mutation::LeavesDeduplicationScope,
        Mutation::DrainsLate,
        Mutation::KeepsRemoved,
        Mutation::SkipsSlowStart,
        Mutation::MissesRestart,
        Mutation::LeaksTimers,
        Mutation::LeaksConnections,
        Mutation::LeaksRequests,
        Mutation::ListLiftsOverrides,
        Mutation::ForgetsOverrides,
        Mutation::CoalescesWrites,
        Mutation::CoalescesAcrossWrites,
        Mutation::HoldsWaiters,
        Mutation::Stampedes,
    ];

    /// Whether the defect has an effect only where reads are coalesced.
    pub fn requires_coalescing(self) -> bool {
        use Mutation::{CoalescesAcrossWrites, CoalescesWrites, HoldsWaiters, Stampedes};
        matches!(
            self,
            CoalescesWrites | CoalescesAcrossWrites | HoldsWaiters | Stampedes
        )
    }
}

#[cfg(feature = "mutations")]
std::thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Activates a mutation in all routers of this thread, or none.
#[cfg(feature = "mutations")]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Whether this mutation is active.
#[cfg(feature = "mutations")]
fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Whether this mutation is active: never.
#[cfg(not(feature = "mutations"))]
const fn is_active(_mutation: Mutation) -> bool {
    false
}
