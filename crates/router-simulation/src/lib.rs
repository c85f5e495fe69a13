//! The whole asterport router on simulated time and network, with seeded faults and a invariant checker of the four rules.
//!
//! [`fault_plan::RunPlan::draw`] draws a run from a seed, [`run::simulate`] plays it: N routers that run the real runtime, stand-ins
//! for clients, cache servers, their origin and discovery, on the virtual clock of [`executor`] and the network of [`network`].
//! The [`invariant_checker`] sees what passes on the wire and nothing of the routers. Equal seeds give equal runs, step by step.

pub mod campaign;
pub mod clients;
pub mod discovery;
pub mod executor;
pub mod fault_plan;
pub mod fleet;
pub mod invariant_checker;
pub mod network;
pub mod rng;
pub mod run;
pub mod scenario;
pub mod wire;

/// The Unix time at the start of every run, in microseconds.
pub const UNIX_START: u64 = 1_700_000_000_000_000;
