//! How the memory of a process is divided.
//!
//! Question: how much may be held for clients and cache servers. Inputs: the memory limit of the
//! process and the number of its connections. Answer: the limits of each budget. Reason: the process
//! is killed beyond its memory limit, so all that peers can make it hold has to fit at the same time.

use crate::resp::MAX_VALUE_BYTES;

/// What the process itself needs: the program, the endpoint list and the state of the decision library.
const PROCESS_BYTES: usize = 8 * 1024 * 1024;
/// What a client connection and a connection to a cache server take beside what is counted: their
/// tasks, an unfinished command head, the request that each client may always have in progress, the
/// digests of replies, and two reads of a streamed value.
const CONNECTION_PAIR_BYTES: usize = 20 * 1024;
/// Pipelined requests get the memory beyond that, divided by this.
const REQUEST_DIVISOR: usize = 16;
/// Each budget for values gets the memory beyond the process and its connections divided by this, if
/// the rest has room for what may exceed the budgets.
const VALUE_DIVISOR: usize = 3;
/// What is left beside the budgets is divided by this and lent with what is idle in them.
const SPARE_DIVISOR: usize = 2;
/// The smallest limits, so that requests pass one after another however little memory there is.
const MIN_BUDGET_BYTES: usize = 64 * 1024;

/// The memory of a process, and what it has to suffice for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// The memory limit, in bytes.
    pub bytes: usize,
    /// The connection limit of clients, and likewise of cache servers.
    pub connections: usize,
}

/// The limits of the budgets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Of each budget for values, in bytes.
    pub budget_bytes: usize,
    /// Of both budgets with what is lent, in bytes.
    pub total_bytes: usize,
    /// Of pipelined requests, in bytes.
    pub request_bytes: usize,
}

impl Limits {
    /// Divides the memory of a process. The oldest value of each budget may exceed it by a value of
    /// maximum size.
    pub fn of(memory: ProcessMemory) -> Limits {
        let reserved_bytes = PROCESS_BYTES + memory.connections * CONNECTION_PAIR_BYTES;
        let available = memory.bytes.saturating_sub(reserved_bytes);
        let request_bytes = available / REQUEST_DIVISOR;
        let for_values = available
            .saturating_sub(request_bytes)
            .saturating_sub(2 * MAX_VALUE_BYTES);
        let budget_bytes = (available / VALUE_DIVISOR).min(for_values / 2);
        let spare_bytes = (for_values - 2 * budget_bytes) / SPARE_DIVISOR;
        Limits::new(budget_bytes, spare_bytes, request_bytes)
    }

    /// Budgets of `budget_bytes` each, and memory beyond them that is only lent.
    pub fn new(budget_bytes: usize, spare_bytes: usize, request_bytes: usize) -> Limits {
        let budget_bytes = budget_bytes.max(MIN_BUDGET_BYTES);
        Limits {
            budget_bytes,
            total_bytes: 2 * budget_bytes + spare_bytes,
            request_bytes: request_bytes.max(MIN_BUDGET_BYTES),
        }
    }
}
