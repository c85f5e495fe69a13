//! Simulates a fleet whose watches all fall silent at once, at a discovery service that is busy for
//! a time and then answers calls one after another.

use super::{Recording, Run};
use crate::discovery::CallQueue;
use crate::executor::{Node, Time};
use crate::fault_plan::{RunPlan, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// When the watches fall silent.
const SILENT_AT: Time = SECOND;

/// The fleet and its discovery service. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct OverloadedDiscovery {
    /// The number of routers.
    pub router_count: usize,
    /// How long discovery takes to answer one call of each router.
    pub fleet_call_time: Time,
    /// How long discovery is busy with other work after the watches fall silent.
    pub busy_time: Time,
    /// How long the run lasts after the watches fall silent.
    pub duration: Time,
}

/// The result of a run with an overloaded discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// When the last router got its answer, counted from when the watches fell silent; `None` if a
    /// router got none.
    pub last_answer_after: Option<Time>,
    /// The number of calls after the watches fell silent.
    pub call_count: usize,
    /// The number of these calls that were answered 503.
    pub rejected_count: usize,
}

impl OverloadedDiscovery {
    /// Simulates it without requests and other faults.
    pub fn simulate(self, seed: u64) -> Recovery {
        let plan = Rc::new(self.plan(seed));
        let run = Run::new(&plan, Recording::Violations);
        let executor = &run.simulation.executor;
        assert!(
            executor.run_until(SILENT_AT),
            "the clock advances until the routers watch"
        );
        let call_time = self.fleet_call_time / self.router_count as Time;
        let queue = Rc::new(CallQueue::new(call_time, SILENT_AT + self.busy_time));
        run.discovery.set_call_queue(queue.clone());
        run.discovery.silence_watches();
        assert!(
            executor.run_until(SILENT_AT + self.duration),
            "the clock advances to the end"
        );
        let recovery = Recovery {
            last_answer_after: self.last_answer(&run.discovery.answered_at()),
            call_count: queue.call_count.get(),
            rejected_count: queue.rejected_count.get(),
        };
        executor.end();
        recovery
    }

    fn plan(&self, seed: u64) -> RunPlan {
        let mut plan = RunPlan::draw(seed, &[]);
        plan.routers = vec![0; self.router_count];
        plan.requests.clear();
        plan.faults.clear();
        plan.operator_actions.clear();
        plan
    }

    fn last_answer(&self, answered_at: &BTreeMap<Node, Time>) -> Option<Time> {
        let is_complete = answered_at.len() == self.router_count;
        let last = answered_at.values().max().copied();
        last.filter(|_| is_complete).map(|last| last - SILENT_AT)
    }
}
