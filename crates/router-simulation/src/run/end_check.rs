//! Checks the end of a run: every router runs and holds no state of any request, and service has
//! recovered.

use super::Run;
use super::routers::RouterProcess;
use crate::invariant_checker::{Rule, ServiceAfterFaults};

/// The served ratio after the faults is checked from this number of requests on.
const MIN_JUDGED_REQUEST_COUNT: u64 = 20;
/// The lowest ratio of served requests at which service counts as recovered.
const MIN_SERVED_RATIO: f64 = 0.1;
/// The timer of the load balancer's poll of the endpoint list may always be set.
const IDLE_TIMER_COUNT: usize = 1;
/// A router's watch at discovery is an open connection that the runtime does not count.
const WATCH_CONNECTION_COUNT: usize = 1;

impl Run {
    /// Checks the end of the run, when every deadline has passed.
    pub(super) fn check_end(&self) {
        for router in &self.routers {
            self.check_router_is_idle(router);
        }
        self.check_service_has_recovered();
    }

    fn check_router_is_idle(&self, router: &RouterProcess) {
        let number = router.number;
        let Some(runtime) = router.runtime.borrow().clone() else {
            self.record_violation(
                Rule::Liveness,
                format!("router {number} does not run at the end"),
            );
            return;
        };
        let usage = runtime.resource_usage();
        let requests = usage.unanswered_requests
            + usage.open_requests
            + usage.tracked_requests
            + usage.coalesced_waiters
            + usage.coalesced_flights;
        if requests > 0 || usage.timers > IDLE_TIMER_COUNT {
            let text = format!("router {number} still holds {usage:?} at the end");
            self.record_violation(Rule::ResourceLimits, text);
        }
        let open = self.simulation.network.open_connections(router.node);
        let reported = usage.client_connections + usage.idle_upstream_connections;
        if open > reported + WATCH_CONNECTION_COUNT {
            let text = format!("router {number} has {open} open connections and reports {usage:?}");
            self.record_violation(Rule::ResourceLimits, text);
        }
    }

    fn check_service_has_recovered(&self) {
        let after_faults = self
            .simulation
            .checker
            .borrow()
            .after_faults
            .unwrap_or_default();
        let ServiceAfterFaults {
            accepted, served, ..
        } = after_faults;
        let required = MIN_SERVED_RATIO * accepted as f64;
        if accepted >= MIN_JUDGED_REQUEST_COUNT && (served as f64) < required {
            let text = format!("only {served} of {accepted} requests were served after the faults");
            self.record_violation(Rule::Liveness, text);
        }
    }
}
