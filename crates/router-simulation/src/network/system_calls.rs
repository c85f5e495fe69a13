//! System calls of a simulated process that fail, as Linux documents for them.

use super::Network;
use crate::executor::Node;
use crate::rng::SeededRng;
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

/// So many calls on end fail at most.
const MAX_FAILURE_BURST: u64 = 4;
/// What accept(2) fails with for a moment.
const ACCEPT_ERRORS: [i32; 8] = [
    libc::ECONNABORTED,
    libc::EINTR,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENETUNREACH,
    libc::EHOSTUNREACH,
    libc::ETIMEDOUT,
];
/// What connect(2) fails with for a moment, on this machine or in the network.
const CONNECT_ERRORS: [i32; 7] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::ENFILE,
    libc::EINTR,
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
];

/// The failures of a machine's calls.
#[derive(Default)]
pub(super) struct SystemCallFailures {
    /// The error numbers of the next calls, each used once.
    accept: VecDeque<i32>,
    connect: VecDeque<i32>,
    /// Later calls fail by chance.
    random_failures: Option<RandomFailures>,
}

/// Calls that fail by chance, in bursts as a shortage has them.
struct RandomFailures {
    rng: SeededRng,
    ratio: f64,
}

impl RandomFailures {
    /// The error numbers of this call and those behind it; none if it succeeds.
    fn draw(&mut self, call: SystemCall) -> Vec<i32> {
        if !self.rng.chance(self.ratio) {
            return Vec::new();
        }
        let errors: &[i32] = match call {
            SystemCall::Accept => &ACCEPT_ERRORS,
            SystemCall::Connect => &CONNECT_ERRORS,
        };
        let error = errors[self.rng.index(errors.len())];
        vec![error; self.rng.range(1, MAX_FAILURE_BURST) as usize]
    }
}

impl SystemCallFailures {
    /// The error number of this call, if it is to fail.
    fn next(&mut self, call: SystemCall) -> Option<i32> {
        if self.queue(call).is_empty()
            && let Some(random_failures) = &mut self.random_failures
        {
            let errors = random_failures.draw(call);
            self.queue(call).extend(errors);
        }
        self.queue(call).pop_front()
    }

    fn queue(&mut self, call: SystemCall) -> &mut VecDeque<i32> {
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
            machine.system_call_failures.queue(call).extend(errors)
        });
    }

    /// From now on this ratio of the calls of this machine's processes begin to fail, drawn from a seed.
    pub fn fail_system_calls_randomly(&self, node: Node, ratio: f64, rng: SeededRng) {
        let random_failures = RandomFailures { rng, ratio };
        self.with_machine(node, |machine| {
            machine.system_call_failures.random_failures = Some(random_failures);
        });
    }

    /// The failure of this call, if it is to fail.
    pub(super) fn check_system_call(&self, node: Node, call: SystemCall) -> io::Result<()> {
        let error = self.with_machine(node, |machine| machine.system_call_failures.next(call));
        error.map_or(Ok(()), |error| Err(io::Error::from_raw_os_error(error)))
    }
}
