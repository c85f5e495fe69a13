//! System calls of a simulated process that fail, as Linux documents for them.

use super::Network;
use crate::executor::Node;
use std::collections::VecDeque;
use std::io;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept`: once a connection waits, which stays in the backlog.
    Accept,
    /// `connect`: at once.
    Connect,
}

/// The error numbers of the next calls, each used once.
#[derive(Default)]
pub(super) struct FailingCalls {
    accept: VecDeque<i32>,
    connect: VecDeque<i32>,
}

impl FailingCalls {
    fn of(&mut self, call: SystemCall) -> &mut VecDeque<i32> {
        match call {
            SystemCall::Accept => &mut self.accept,
            SystemCall::Connect => &mut self.connect,
        }
    }
}

impl Network {
    /// The next calls of this machine's process fail with these error numbers, one after the other.
    pub fn fail_system_calls(&self, node: Node, call: SystemCall, errors: &[i32]) {
        self.with_machine(node, |machine| {
            machine.failing_calls.of(call).extend(errors)
        });
    }

    /// The failure of this call, if it is to fail.
    pub(super) fn system_call(&self, node: Node, call: SystemCall) -> io::Result<()> {
        let error = self.with_machine(node, |machine| machine.failing_calls.of(call).pop_front());
        error.map_or(Ok(()), |error| Err(io::Error::from_raw_os_error(error)))
    }
}
