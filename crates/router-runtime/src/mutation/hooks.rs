//! The points at which a mutation changes the behaviour of the runtime, one function for each.
//! Without an active mutation they change nothing.

use super::{Mutation, is_active};
use crate::endpoint_list::{Health, ListedEndpoint};
use crate::environment::Environment;
use crate::request::ClientRequest;
use bytes::Bytes;
use load_balancer::{
    Action, AdminOverride, DeduplicationScope, Endpoint, EndpointState, EndpointUpdate, Event,
    Idempotency, Micros, Outcome, ServerId, Settings,
};
use std::time::{Duration, Instant};

/// Longer than any simulated run.
const AFTER_RUN_END: Duration = Duration::from_secs(3_600);

/// The settings that are passed to the decision library.
pub(crate) fn settings(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        let Idempotency::Keyed {
            scope,
            deduplication_window,
        } = &mut class.idempotency
        else {
            continue;
        };
        if is_active(Mutation::RetriesPastDeduplicationWindow) {
            *deduplication_window = deduplication_window.scaled(1_000.0);
        }
        if is_active(Mutation::LeavesDeduplicationScope) {
            *scope = DeduplicationScope::All;
        }
    }
    settings
}

/// An event that is passed to the decision library.
pub(crate) fn event(mut event: Event) -> Event {
    if is_active(Mutation::RetriesNotIdempotent)
        && let Event::AttemptEnded(end) = &mut event
        && end.outcome == Outcome::ConnectionLost
    {
        end.outcome = Outcome::Unreachable;
    }
    event
}

/// An action that the decision library has returned.
pub(crate) fn action(action: Action) -> Action {
    match action {
        Action::Fail { id } if is_active(Mutation::RejectsWhatMayHaveRun) => Action::Reject {
            id,
            retry_after: None,
        },
        action => action,
    }
}

/// The deadline of a new request.
pub(crate) fn deadline(deadline: Micros) -> Micros {
    if is_active(Mutation::DeadlinesLate) {
        deadline.plus(Micros::from_millis(100))
    } else {
        deadline
    }
}

/// The remaining time that an attempt announces to its server, in milliseconds.
pub(crate) fn remaining_time(wait_ms: u64) -> u64 {
    if is_active(Mutation::TellsTooMuchTime) {
        wait_ms + 200
    } else {
        wait_ms
    }
}

/// When to set a timer again that has fired; `None` without a mutation.
pub(crate) fn rearm_fired_timer(now: Instant) -> Option<Instant> {
    is_active(Mutation::LeaksTimers).then(|| now + AFTER_RUN_END)
}

/// Whether to remove a request from memory, given whether it is over.
pub(crate) fn may_remove_request(is_over: bool) -> bool {
    is_over && !is_active(Mutation::LeaksRequests)
}

/// Whether an attempt is still wanted.
pub(crate) fn is_attempt_wanted(is_wanted: bool) -> bool {
    is_wanted || is_active(Mutation::SendsAfterAnswer) || is_active(Mutation::SendsAfterDisconnect)
}

/// Called for each attempt that is sent. A mutation sends a copy; `attempt` makes it.
pub(crate) fn duplicate_attempt<E, A, F>(environment: &E, attempt: A)
where
    E: Environment,
    A: FnOnce() -> F,
    F: Future + 'static,
{
    if is_active(Mutation::SendsAfterAnswer) {
        let copy = attempt();
        let clock = environment.clone();
        environment.spawn(async move {
            clock.sleep(Duration::from_millis(200)).await;
            copy.await;
        });
    }
}

/// The time of a scheduled call of discovery.
pub(crate) fn discovery_call_at(at: Instant) -> Instant {
    if is_active(Mutation::PausesBeforeCalls) {
        at + Duration::from_millis(500)
    } else {
        at
    }
}

/// The time by which a watch has to bring data.
pub(crate) fn silence_deadline(deadline: Instant, is_push: bool, now: Instant) -> Instant {
    if is_active(Mutation::KeepsSilentPush) && is_push {
        now + AFTER_RUN_END
    } else {
        deadline
    }
}

/// The entries of a list to apply now. A mutation passes entries that it delays to `apply_later`.
pub(crate) fn listed_endpoints<E: Environment>(
    environment: &E,
    update: EndpointUpdate,
    mut entries: Vec<ListedEndpoint>,
    apply_later: impl FnOnce(Vec<ListedEndpoint>) + 'static,
) -> Vec<ListedEndpoint> {
    if is_active(Mutation::DrainsLate) && update != EndpointUpdate::Restored {
        let (up, delayed): (Vec<ListedEndpoint>, Vec<ListedEndpoint>) = entries
            .into_iter()
            .partition(|entry| entry.health == Health::Up);
        if !delayed.is_empty() {
            let clock = environment.clone();
            environment.spawn(async move {
                clock.sleep(Duration::from_millis(251)).await;
                apply_later(delayed);
            });
        }
        return up;
    }
    if is_active(Mutation::KeepsRemoved) {
        entries.retain(|entry| entry.health != Health::Removed);
    }
    for entry in &mut entries {
        if is_active(Mutation::SkipsSlowStart) {
            entry.started_ms = 0;
        }
        if is_active(Mutation::MissesRestart) && update == EndpointUpdate::Delta {
            entry.started_ms = 0;
        }
    }
    entries
}

/// Called with the endpoints of each list. A mutation calls `enable` for those that are up.
pub(crate) fn lift_overrides(endpoints: &[Endpoint], mut enable: impl FnMut(&ServerId)) {
    if !is_active(Mutation::ListLiftsOverrides) {
        return;
    }
    for endpoint in endpoints {
        if endpoint.state == EndpointState::Ready {
            enable(&endpoint.server);
        }
    }
}

/// The admin overrides that a new process takes over from its predecessor.
pub(crate) fn admin_overrides(
    overrides: impl IntoIterator<Item = (ServerId, AdminOverride)>,
) -> impl Iterator<Item = (ServerId, AdminOverride)> {
    overrides
        .into_iter()
        .filter(|_| !is_active(Mutation::ForgetsOverrides))
}

/// Calls `fail`, which answers pending requests when the process has to exit.
pub(crate) fn fail_pending(fail: impl FnOnce()) {
    if !is_active(Mutation::DropsPendingAtShutdown) {
        fail();
    }
}

/// Whether a connection leads to the listed process of its server.
pub(crate) fn is_same_process(is_same: bool) -> bool {
    is_same || is_active(Mutation::KeepsOldConnections)
}

/// Drops a connection whose attempt has timed out. A mutation passes it to `reuse`.
pub(crate) fn timed_out_connection<C>(connection: C, reuse: impl FnOnce(C)) {
    if is_active(Mutation::ReusesTimedOut) {
        reuse(connection);
    }
}

/// Closes broken connections. A mutation keeps them open.
pub(crate) struct BrokenConnections<C> {
    #[cfg(feature = "mutations")]
    leaked: std::cell::RefCell<Vec<C>>,
    #[cfg(not(feature = "mutations"))]
    connection: std::marker::PhantomData<C>,
}

impl<C> BrokenConnections<C> {
    /// Without any connection.
    pub(crate) fn new() -> Self {
        BrokenConnections {
            #[cfg(feature = "mutations")]
            leaked: std::cell::RefCell::default(),
            #[cfg(not(feature = "mutations"))]
            connection: std::marker::PhantomData,
        }
    }

    /// Closes a broken connection.
    #[cfg_attr(not(feature = "mutations"), allow(clippy::unused_self))]
    pub(crate) fn close(&self, connection: C) {
        #[cfg(feature = "mutations")]
        if is_active(Mutation::LeaksConnections) {
            self.leaked.borrow_mut().push(connection);
            return;
        }
        drop(connection);
    }
}

/// Whether a command counts as a write for coalescing.
pub(crate) fn is_write(is_write: bool) -> bool {
    is_write && !is_active(Mutation::CoalescesWrites)
}

/// Whether requests of a class are coalesced.
pub(crate) fn is_coalesced(is_coalesced: bool) -> bool {
    is_coalesced || is_active(Mutation::CoalescesWrites)
}

/// Calls `end`, which ends coalescing on the key of a write.
pub(crate) fn end_coalescing(end: impl FnOnce()) {
    if !is_active(Mutation::CoalescesAcrossWrites) {
        end();
    }
}

/// The earliest deadline of any waiter.
pub(crate) fn next_waiter_deadline(deadline: Option<Micros>) -> Option<Micros> {
    deadline.filter(|_| !is_active(Mutation::HoldsWaiters))
}

/// Calls `expire`, which answers waiters whose own deadline has passed.
pub(crate) fn expire_waiters(expire: impl FnOnce()) {
    if !is_active(Mutation::HoldsWaiters) {
        expire();
    }
}

/// The request of a coalesced read, kept with its waiter for a mutation; empty in other builds.
pub(crate) struct WaiterRequest {
    #[cfg(feature = "mutations")]
    request: ClientRequest,
    #[cfg(feature = "mutations")]
    deadline: Micros,
}

impl WaiterRequest {
    /// The request of a new waiter.
    #[cfg_attr(not(feature = "mutations"), allow(unused_variables))]
    pub(crate) fn new(request: &ClientRequest, deadline: Micros) -> Self {
        WaiterRequest {
            #[cfg(feature = "mutations")]
            request: request.clone(),
            #[cfg(feature = "mutations")]
            deadline,
        }
    }

    /// The request that the waiter sends itself after a failed flight; `None` without a mutation.
    #[cfg_attr(
        not(feature = "mutations"),
        allow(unused_variables, clippy::unused_self, clippy::unnecessary_wraps)
    )]
    pub(crate) fn after_failed_flight(self, now: Micros) -> Option<ClientRequest> {
        #[cfg(feature = "mutations")]
        if is_active(Mutation::Stampedes) {
            let timeout = self.deadline.since(now);
            return Some(ClientRequest {
                timeout,
                ..self.request
            });
        }
        None
    }
}

/// Why reading from a connection ends before more input arrives; `None` if it goes on. A mutation
/// returns `drop` for a closing connection with several pending responses.
pub(crate) fn read_end<T>(end: Option<T>, is_closing: bool, pending: usize, drop: T) -> Option<T> {
    if is_active(Mutation::DropsPipelined) && is_closing && pending > 1 {
        Some(drop)
    } else {
        end
    }
}

/// Whether to act on the disconnect of a client that nothing is read from.
pub(crate) fn is_disconnect_noticed(has_disconnected: bool) -> bool {
    has_disconnected && !is_active(Mutation::OverlooksDisconnects)
}

/// The bytes of a response that are written to the client.
pub(crate) fn response_bytes(bytes: Bytes) -> Bytes {
    if is_active(Mutation::AnswersTwice) {
        [&bytes[..], &bytes[..]].concat().into()
    } else {
        bytes
    }
}
