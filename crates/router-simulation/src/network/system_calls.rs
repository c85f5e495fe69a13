//! Simulated system call failures, with the error numbers that Linux documents for each call.

use super::Network;
use crate::executor::Node;
use crate::rng::SeededRng;
use std::collections::VecDeque;
use std::io;

/// A system call whose failure can be simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept`, which fails when a connection is pending. The connection stays in the backlog.
    Accept,
    /// `connect`, which fails immediately.
    Connect,
}

/// The largest number of consecutive calls that one random failure covers.
const MAX_FAILURE_BURST: u64 = 4;
/// Transient errors of accept(2).
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
/// Transient errors of connect(2), local or of the network.
const CONNECT_ERRORS: [i32; 7] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENOBUFS,
    libc::ENFILE,
    libc::EINTR,
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
];

/// The simulated failures of a machine's system calls.
#[derive(Default)]
pub(super) struct SystemCallFailures {
    /// The error numbers of the next `accept` calls, each used once.
    accept: VecDeque<i32>,
    /// The error numbers of the next `connect` calls, each used once.
    connect: VecDeque<i32>,
    /// Random failures of the calls after those.
    random_failures: Option<RandomFailures>,
}

/// Random failures, in bursts such as a resource shortage causes.
struct RandomFailures {
    rng: SeededRng,
    ratio: f64,
}

impl RandomFailures {
    /// Draws the error numbers of this call and the ones that follow it; empty if it succeeds.
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
    /// The error number of the current call; `None` if it succeeds.
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
    /// Makes the next calls of this machine's process fail with these error numbers in turn.
    pub fn fail_system_calls(&self, node: Node, call: SystemCall, errors: &[i32]) {
        self.with_machine(node, |machine| {
            machine.system_call_failures.queue(call).extend(errors)
        });
    }

    /// Makes calls of this machine's processes fail at random from now on. `ratio` is the chance
    /// that a call starts a burst of failures.
    pub fn fail_system_calls_randomly(&self, node: Node, ratio: f64, rng: SeededRng) {
        let random_failures = RandomFailures { rng, ratio };
        self.with_machine(node, |machine| {
            machine.system_call_failures.random_failures = Some(random_failures);
        });
    }

    /// Returns the simulated failure of a call.
    ///
    /// # Errors
    /// This call is simulated to fail.
    pub(super) fn check_system_call(&self, node: Node, call: SystemCall) -> io::Result<()> {
        let error = self.with_machine(node, |machine| machine.system_call_failures.next(call));
        error.map_or(Ok(()), |error| Err(io::Error::from_raw_os_error(error)))
    }
}
