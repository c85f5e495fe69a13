//! A model of the cache servers and their origin, as PROTOCOL specifies them, with the faults that
//! a run's plan injects.

mod origin;
mod server;

pub use server::{Server, ServerFaults};

use crate::executor::{Node, Time};
use crate::fault_plan::{PlannedRequest, RunPlan};
use crate::rng::SeededRng;
use crate::simulation::Simulation;
use crate::wire;
use origin::Origin;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The cost of a request at a server.
#[derive(Clone, Copy, Debug)]
struct RequestCost {
    /// Microseconds on a core of speed 1.
    work: f64,
    /// The size of the value in bytes.
    value_size: usize,
}

/// The state that all servers of a run share.
pub struct FleetState {
    simulation: Simulation,
    plan: Rc<RunPlan>,
    rng: RefCell<SeededRng>,
    /// The origin from which servers fetch values that they have not cached.
    pub(crate) origin: Origin,
    /// When each idempotency key was executed, by deduplication scope: a zone, or [`ALL_ZONES`].
    executed_keys: RefCell<BTreeMap<(usize, String), Time>>,
    costs: BTreeMap<u32, RequestCost>,
    /// The number of the router on each router's machine.
    routers: RefCell<BTreeMap<Node, usize>>,
}

/// The deduplication scope that spans all servers.
const ALL_ZONES: usize = usize::MAX;

impl FleetState {
    /// Creates the shared state of a plan's servers.
    pub fn new(simulation: Simulation, plan: Rc<RunPlan>) -> Rc<FleetState> {
        let crowds = plan.crowds.iter();
        let crowd_requests = crowds.flat_map(|crowd| crowd.requests.iter().chain(&crowd.writes));
        let cost = |request: &PlannedRequest| RequestCost {
            work: request.work,
            value_size: request.value_size,
        };
        let requests = plan.requests.iter().chain(crowd_requests);
        Rc::new(FleetState {
            costs: requests
                .map(|request| (request.number, cost(request)))
                .collect(),
            rng: RefCell::new(SeededRng::new(plan.seed, 4)),
            origin: Origin::new(simulation.executor.clone(), plan.origin_slots),
            executed_keys: RefCell::default(),
            routers: RefCell::default(),
            simulation,
            plan,
        })
    }

    /// Registers a machine as that of a router.
    pub fn register_router(&self, node: Node, router: usize) {
        self.routers.borrow_mut().insert(node, router);
    }

    fn router_at(&self, node: Node) -> usize {
        self.routers.borrow().get(&node).copied().unwrap_or(0)
    }

    fn cost(&self, request_id: u64) -> Option<RequestCost> {
        self.costs.get(&wire::request_number(request_id)).copied()
    }

    /// Whether an idempotency key was executed within the deduplication window. If not, records it
    /// as executed now.
    fn is_duplicate(&self, scope: usize, key: &str, now: Time) -> bool {
        let mut executed_keys = self.executed_keys.borrow_mut();
        let key = (scope, key.to_string());
        let window = self.plan.deduplication_window;
        if executed_keys.get(&key).is_some_and(|&at| at + window > now) {
            return true;
        }
        executed_keys.insert(key, now);
        false
    }

    /// Starts a fetch from the origin. Returns when it completes on the origin's clock, or `None`
    /// if the origin rejects it.
    fn start_fetch(&self) -> Option<Time> {
        let factor = self.rng.borrow_mut().between(0.6, 1.5);
        let duration = (self.plan.origin_time as f64 * factor) as Time;
        self.origin.start_fetch(duration)
    }
}
