//! Schedules the clients' requests, and how clients behave during their faults.

use super::Run;
use crate::clients::ClientBehavior;
use crate::executor::Time;
use crate::fault_plan::{
    CROWD_CONNECTION_COUNT, CROWD_READ_COUNT, Fault, FaultKind, MILLI, PlannedRequest,
};
use std::rc::Rc;

/// How many of the next requests are considered for a pipeline with a request.
const PIPELINE_SEARCH_COUNT: usize = 40;
/// How much later a request may be due to join a pipeline.
const PIPELINE_WINDOW: Time = 400 * MILLI;

/// Pipelined requests whose selector is at most this have no time left, because their clients spent
/// it waiting elsewhere.
const NO_TIME_SELECTOR: f64 = 0.1;

impl Run {
    pub(super) fn schedule_requests(self: &Rc<Self>) {
        let mut is_taken = vec![false; self.plan.requests.len()];
        for first in 0..self.plan.requests.len() {
            if is_taken[first] {
                continue;
            }
            let requests = self.take_pipeline(first, &mut is_taken);
            let request = &self.plan.requests[first];
            let router = request.router;
            let behavior = self.client_behavior(request);
            self.at(request.at, move |run| {
                run.clients[router].send(requests, behavior)
            });
        }
    }

    /// Takes a request and those that are sent with it on one connection: the next ones at its
    /// router while clients pipeline.
    fn take_pipeline(&self, first: usize, is_taken: &mut [bool]) -> Vec<PlannedRequest> {
        is_taken[first] = true;
        let request = &self.plan.requests[first];
        let mut pipeline = vec![request.clone()];
        let Some(fault) = self.active_fault(request, FaultKind::ClientsPipeline) else {
            return pipeline;
        };
        let length = 2 + (fault.severity * 5.0) as usize;
        let later = self.plan.requests.iter().enumerate().skip(first + 1);
        for (index, next) in later.take(PIPELINE_SEARCH_COUNT) {
            let is_near = next.at < request.at + PIPELINE_WINDOW;
            let fits = next.router == request.router && is_near && !is_taken[index];
            if pipeline.len() < length && fits {
                is_taken[index] = true;
                let has_time = next.fault_selector > NO_TIME_SELECTOR;
                pipeline.push(PlannedRequest {
                    at: request.at,
                    timeout: if has_time { next.timeout } else { 0 },
                    ..next.clone()
                });
            }
        }
        pipeline
    }

    /// Schedules the crowds. Reads are spread over the connections of the crowd; each write has its
    /// own connection.
    pub(super) fn schedule_crowds(self: &Rc<Self>) {
        for crowd in &self.plan.crowds {
            let reads = crowd
                .requests
                .chunks(CROWD_READ_COUNT / CROWD_CONNECTION_COUNT);
            for requests in reads.chain(crowd.writes.chunks(1)) {
                let first = &requests[0];
                let router = first.router;
                let behavior = self.client_behavior(first);
                let requests = requests.to_vec();
                self.at(first.at, move |run| {
                    run.clients[router].send_as_crowd(requests, behavior);
                });
            }
        }
    }

    fn client_behavior(&self, request: &PlannedRequest) -> ClientBehavior {
        let selector = request.fault_selector;
        let leaves = self
            .active_fault(request, FaultKind::ClientsDisconnect)
            .is_some_and(|fault| selector < 0.2 + 0.6 * fault.severity);
        let reads_slowly = self
            .active_fault(request, FaultKind::ClientsReadSlowly)
            .is_some();
        let stay = (request.timeout as f64 * selector * selector) as Time;
        let read_delay = (selector * 600.0) as Time * MILLI;
        ClientBehavior {
            disconnect_after: leaves.then_some(stay),
            read_delay: if reads_slowly { read_delay } else { 0 },
        }
    }

    fn active_fault(&self, request: &PlannedRequest, kind: FaultKind) -> Option<&Fault> {
        self.plan
            .faults
            .iter()
            .find(|fault| fault.kind == kind && fault.period().contains(&request.at))
    }
}
