//! Deliberate defects for mutation testing: the simulation has to catch each of them. Without the feature `mutations`,
//! which service builds leave out, there are none and every query is answered at compile time.

/// A defect that can be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Each answer is written twice.
    AnswersTwice,
    /// At SIGTERM, connections on which several answers are owed are dropped.
    DropsPipelined,
    /// Clients are thought to wait 100 ms longer than they say.
    DeadlinesLate,
    /// Each attempt is followed by a copy that nobody asked for.
    SendsAfterAnswer,
    /// What waited for its connection is sent although its client has left.
    SendsAfterDeparture,
    /// A connection to the process before is kept for the one that the list names now.
    KeepsOldConnections,
    /// A connection on which an answer is still to come is used for the next request.
    ReusesTimedOut,
    /// A reset after the last byte counts as proof that nothing ran.
    RepeatsUnsafe,
    /// What may have run is refused as harmless.
    RefusesWhatRan,
    /// Keyed requests are repeated as if they were remembered for ever.
    RepeatsPastMemory,
    /// Keyed requests of a zone are repeated in other zones.
    LeavesTheGroup,
    /// Drains and removals reach the decisions 251 ms after they came.
    DrainsLate,
    /// Clients that leave while they are not read on are not noticed.
    OverlooksDepartures,
    /// What is owed when the process has to end is left without an answer.
    DropsOwedAtTheEnd,
    /// A watch on which lists are pushed is kept although it has fallen silent.
    KeepsSilentPush,
    /// Servers that the list removes are kept.
    KeepsRemoved,
    /// All servers count as started long ago.
    ForgetsColdness,
    /// A server that comes back counts as the process that it was.
    MissesRestart,
    /// Timers that have fired are set once more, for an hour later.
    LeaksTimers,
    /// Connections that broke are kept.
    LeaksConnections,
    /// Requests are not forgotten when they are over.
    LeaksRequests,
    /// A list that names a server as up lifts the operators' ban.
    ListLiftsBans,
    /// A process that is started anew does not take up the bans.
    ForgetsBans,
    /// Writes of any class are joined like reads.
    JoinsWrites,
    /// A write does not end joining on its key.
    JoinsAcrossWrites,
    /// Those who wait for a flight wait for its end, also past their own deadlines.
    HoldsWaiters,
    /// After a failed flight each of its waiters is sent on alone.
    Stampedes,
}

impl Mutation {
    /// Those that drawn days show. Orders that are too rare for that are scenes: a silent push watch that is kept, owed
    /// answers dropped at the end, a connection of the old process that is kept, a departure that is overlooked.
    pub const ALL: [Mutation; 23] = [
        Mutation::AnswersTwice,
        Mutation::DropsPipelined,
        Mutation::DeadlinesLate,
        Mutation::SendsAfterAnswer,
        Mutation::SendsAfterDeparture,
        Mutation::ReusesTimedOut,
        Mutation::RepeatsUnsafe,
        Mutation::RefusesWhatRan,
        Mutation::RepeatsPastMemory,
        Mutation::LeavesTheGroup,
        Mutation::DrainsLate,
        Mutation::KeepsRemoved,
        Mutation::ForgetsColdness,
        Mutation::MissesRestart,
        Mutation::LeaksTimers,
        Mutation::LeaksConnections,
        Mutation::LeaksRequests,
        Mutation::ListLiftsBans,
        Mutation::ForgetsBans,
        Mutation::JoinsWrites,
        Mutation::JoinsAcrossWrites,
        Mutation::HoldsWaiters,
        Mutation::Stampedes,
    ];
}

impl Mutation {
    /// Whether it shows only where reads are joined.
    pub fn is_of_joining(self) -> bool {
        use Mutation::{HoldsWaiters, JoinsAcrossWrites, JoinsWrites, Stampedes};
        matches!(
            self,
            JoinsWrites | JoinsAcrossWrites | HoldsWaiters | Stampedes
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
pub(crate) fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Whether this mutation is active: never.
#[cfg(not(feature = "mutations"))]
pub(crate) const fn is_active(_bug: Mutation) -> bool {
    false
}
