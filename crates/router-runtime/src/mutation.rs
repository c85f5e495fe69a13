//! Deliberate defects for mutation testing: the simulation has to catch each of them.
//!
//! Production code calls the functions of `hooks`. Without the feature `mutations`, which service builds leave out,
//! each of them is the identity.

pub(crate) mod hooks;

/// A defect that can be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Each response is written twice.
    AnswersTwice,
    /// At SIGTERM, connections on which several responses are pending are dropped.
    DropsPipelined,
    /// Deadlines of clients count as 100 ms later.
    DeadlinesLate,
    /// Each attempt tells its server 200 ms more than is left to its client.
    TellsTooMuchTime,
    /// Each attempt is followed by an unrequested copy.
    SendsAfterAnswer,
    /// An attempt that waited for its connection is sent although its client has disconnected.
    SendsAfterDisconnect,
    /// A connection to the previous process of a server is kept for the process that the list names now.
    KeepsOldConnections,
    /// A connection whose response is still to come is used for the next request.
    ReusesTimedOut,
    /// A reset after the last byte counts as proof that the request did not run.
    RetriesNotIdempotent,
    /// A request that may have run is rejected instead of failed.
    RejectsWhatMayHaveRun,
    /// Keyed requests are retried as if their deduplication window never ended.
    RetriesPastDeduplicationWindow,
    /// Keyed requests of a zone are retried in other zones.
    LeavesDeduplicationScope,
    /// Drains and removals reach the decision library 251 ms late.
    DrainsLate,
    /// Disconnects of clients that are not being read are not noticed.
    OverlooksDisconnects,
    /// Requests that are pending when the process has to end get no response.
    DropsPendingAtShutdown,
    /// A pause stands before each call of discovery.
    PausesBeforeCalls,
    /// A silent watch in push mode is kept.
    KeepsSilentPush,
    /// Servers that the list removes are kept.
    KeepsRemoved,
    /// All servers count as started long ago: none is warmed up.
    SkipsSlowStart,
    /// A restarted server counts as the same process.
    MissesRestart,
    /// Fired timers are set once more, for an hour later.
    LeaksTimers,
    /// Broken connections are kept open.
    LeaksConnections,
    /// Finished requests are kept in memory.
    LeaksRequests,
    /// A list that names a server as up lifts the operators' override.
    ListLiftsOverrides,
    /// A restarted process ignores the operators' overrides.
    ForgetsOverrides,
    /// Writes of any class are coalesced like reads.
    CoalescesWrites,
    /// A write does not end coalescing on its key.
    CoalescesAcrossWrites,
    /// Waiters of a flight wait for its end, also past their own deadlines.
    HoldsWaiters,
    /// After a failed flight each of its waiters sends a request of its own.
    Stampedes,
}

impl Mutation {
    /// The mutations that randomly drawn runs catch. Scenarios catch the others, whose faults are too rare in drawn
    /// runs: [`Mutation::PausesBeforeCalls`], [`Mutation::KeepsSilentPush`], [`Mutation::DropsPendingAtShutdown`], [`Mutation::KeepsOldConnections`] and
    /// [`Mutation::OverlooksDisconnects`].
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

    /// Whether the defect shows only where reads are coalesced.
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
