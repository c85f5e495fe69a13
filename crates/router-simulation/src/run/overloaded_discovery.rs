//! A fleet whose watches all fall silent at once, and a discovery that is busy and then works their calls in turn.

use super::{Recording, Run};
use crate::discovery::CallQueue;
use crate::executor::{Node, Time};
use crate::fault_plan::{RunPlan, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// When the watches fall silent.
const SILENT_AT: Time = SECOND;

/// The fleet and its discovery; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct OverloadedDiscovery {
    /// How many routers there are.
    pub router_count: usize,
    /// How long discovery takes for one call of each router.
    pub fleet_call_time: Time,
    /// How long after the silence began it is busy with other work.
    pub busy_time: Time,
    /// How long after the silence began the run ends.
    pub duration: Time,
}

/// How discovery came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// How long after the silence began the last router's call was answered; `None` if one never was.
    pub last_answer_after: Option<Time>,
    /// Calls after the silence began.
    pub call_count: usize,
    /// Those of them that were answered 503.
    pub rejected_count: usize,
}

impl OverloadedDiscovery {
    /// Plays it, without requests and other faults.
    pub fn simulate(self, seed: u64) -> Recovery {
        let plan = Rc::new(self.plan(seed));
        let run = Run::new(&plan, Recording::Violations);
        let executor = &run.simulation.executor;
        assert!(executor.run_until(SILENT_AT), "the routers watch");
        let call_time = self.fleet_call_time / self.router_count as Time;
        let queue = Rc::new(CallQueue::new(call_time, SILENT_AT + self.busy_time));
        run.discovery.set_call_queue(queue.clone());
        run.discovery.silence_watches();
        assert!(executor.run_until(SILENT_AT + self.duration), "no livelock");
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
