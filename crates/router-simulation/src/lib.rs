//! The whole asterport router on simulated time and network, with seeded faults and a checker of the protocol's rules.
//!
//! [`fault_plan::RunPlan::draw`] draws the plan of a run from a seed, [`run::simulate`] carries it out: routers that run the
//! real runtime, and models of clients, cache servers, their origin and discovery, on the virtual clock of [`executor`]
//! and the network of [`network`]. The [`invariant_checker`] sees what passes on the wire and nothing of the routers.
//! Equal seeds give equal runs, step by step.

pub mod campaign;
pub mod clients;
mod deployment;
pub mod discovery;
pub mod executor;
pub mod fault_plan;
pub mod fleet;
pub mod invariant_checker;
pub mod network;
pub mod rng;
pub mod run;
pub mod scenario;
pub mod simulation;
pub mod wire;

/// The Unix time at the start of every run, in microseconds.
pub const UNIX_START: u64 = 1_700_000_000_000_000;
