//! Simulated machines: whether they run, what connects to them, and the descriptors of their processes.

use super::Network;
use super::system_calls::SystemCallFailures;
use crate::executor::{Node, Time};
use std::io;

/// Whether a machine and its process run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineStatus {
    Running,
    /// Its process is ending: its connections are reset.
    ProcessEnding,
    /// The machine has vanished.
    Vanished,
}

/// One machine with one process.
pub(super) struct Machine {
    pub(super) zone: usize,
    pub(super) status: MachineStatus,
    /// Counts its processes: a connection of an earlier one ends without a packet.
    pub(super) incarnation: u32,
    pub(super) descriptor_count: usize,
    descriptor_limit: usize,
    /// Connects to it are not answered until then.
    pub(super) ignores_connects_until: Time,
    /// Connects to it are delayed until `connects_delayed_until` ...
    pub(super) connects_delayed_until: Time,
    /// ... by this time, in microseconds.
    pub(super) connect_delay: Time,
    /// Its wall clock less the true time, in microseconds.
    pub(super) clock_offset: i64,
    /// Bytes that it takes without their being read; `None`: as the network's conditions have it.
    pub(super) receive_window: Option<usize>,
    /// System calls of its process that are to fail.
    pub(super) system_call_failures: SystemCallFailures,
}

impl Machine {
    pub(super) fn new(zone: usize, descriptor_limit: usize) -> Machine {
        Machine {
            zone,
            status: MachineStatus::Running,
            incarnation: 0,
            descriptor_count: 0,
            descriptor_limit,
            ignores_connects_until: 0,
            connects_delayed_until: 0,
            connect_delay: 0,
            clock_offset: 0,
            receive_window: None,
            system_call_failures: SystemCallFailures::default(),
        }
    }
}

/// One descriptor of a process, given back when dropped.
pub(super) struct Descriptor {
    network: Network,
    node: Node,
}

impl Descriptor {
    /// Takes a descriptor of a machine's process.
    ///
    /// # Errors
    /// The process has as many as it may.
    pub(super) fn acquire(network: &Network, node: Node) -> io::Result<Descriptor> {
        let has_room = network.with_machine(node, |machine| {
            let has_room = machine.descriptor_count < machine.descriptor_limit;
            machine.descriptor_count += usize::from(has_room);
            has_room
        });
        if !has_room {
            let now = network.executor.now();
            network.observer.borrow_mut().out_of_descriptors(now, node);
            return Err(io::Error::other("too many open files"));
        }
        Ok(Descriptor {
            network: network.clone(),
            node,
        })
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        self.network.with_machine(self.node, |machine| {
            machine.descriptor_count = machine.descriptor_count.saturating_sub(1);
        });
    }
}
