//! Simulated machines: their status, simulated faults, and the descriptors of their processes.

use super::Network;
use super::system_calls::SystemCallFailures;
use crate::executor::{Node, Time};
use std::io;

/// The status of a machine and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineStatus {
    Running,
    /// The process is ending, and its connections are reset.
    ProcessEnding,
    /// The machine is gone and sends no packet.
    Vanished,
}

/// A machine that runs one process.
pub(super) struct Machine {
    pub(super) zone: usize,
    pub(super) status: MachineStatus,
    /// The number of processes that have ended on this machine. A connection of an earlier process
    /// closes without a packet.
    pub(super) incarnation: u32,
    pub(super) descriptor_count: usize,
    descriptor_limit: usize,
    /// Connection attempts to this machine are not answered before this time.
    pub(super) ignores_connects_until: Time,
    /// Connection attempts to this machine are delayed by `connect_delay` until this time.
    pub(super) connects_delayed_until: Time,
    /// The delay of connection attempts, in microseconds.
    pub(super) connect_delay: Time,
    /// The offset of the wall clock from the true time, in microseconds.
    pub(super) clock_offset: i64,
    /// How many bytes are received on a connection before they are read; `None` for the default in
    /// the network's conditions.
    pub(super) receive_window: Option<usize>,
    /// The simulated failures of the process's system calls.
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

/// A file descriptor of a process, released on drop.
pub(super) struct Descriptor {
    network: Network,
    node: Node,
}

impl Descriptor {
    /// Acquires a descriptor for the process on a machine.
    ///
    /// # Errors
    /// The process has reached its descriptor limit.
    pub(super) fn acquire(network: &Network, node: Node) -> io::Result<Descriptor> {
        let has_room = network.with_machine(node, |machine| {
            let has_room = machine.descriptor_count < machine.descriptor_limit;
            machine.descriptor_count += usize::from(has_room);
            has_room
        });
        if !has_room {
            let now = network.executor.now();
            network
                .observer
                .borrow_mut()
                .descriptor_limit_reached(now, node);
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
