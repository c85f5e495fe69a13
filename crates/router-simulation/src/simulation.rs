//! The executor, the network and the invariant checker of a run.

use crate::executor::{Executor, Node};
use crate::invariant_checker::{InvariantChecker, Role};
use crate::network::{Network, NetworkConditions, Observer};
use crate::rng::SeededRng;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// A handle to the executor, the network and the checker, which all parts of a run share.
#[derive(Clone)]
pub struct Simulation {
    /// The executor, which holds the clock and the tasks.
    pub executor: Executor,
    /// The network.
    pub network: Network,
    /// The checker, which observes the network.
    pub checker: Rc<RefCell<InvariantChecker>>,
}

impl Simulation {
    /// Creates a simulation at time 0 without machines. `order` determines the order of tasks and
    /// timers that are due at the same time, `network` the latencies and losses.
    pub fn new(
        checker: InvariantChecker,
        conditions: NetworkConditions,
        order: SeededRng,
        network: SeededRng,
    ) -> Simulation {
        let executor = Executor::new(order);
        let checker = Rc::new(RefCell::new(checker));
        let observer: Rc<RefCell<dyn Observer>> = checker.clone();
        Simulation {
            network: Network::new(executor.clone(), observer, conditions, network),
            executor,
            checker,
        }
    }

    /// Adds a machine with this role to a zone.
    pub fn add_machine(&self, role: Role, zone: usize, descriptor_limit: usize) -> Node {
        self.checker.borrow_mut().add_machine(role);
        self.network.add_machine(zone, descriptor_limit)
    }
}

/// The subnets of a simulation's machines.
#[derive(Clone, Copy)]
pub(crate) enum Subnet {
    Servers = 1,
    Discovery = 2,
    Routers = 3,
}

/// The address of the machine with this number in a subnet.
pub(crate) fn address(subnet: Subnet, number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, subnet as u8, high, low), port))
}
