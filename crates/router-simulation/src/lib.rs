//! Deterministic simulation of the asterport router, with seeded faults and a checker of the
//! protocol's rules.
//!
//! [`fault_plan::RunPlan::draw`] draws the plan of a run from a seed, and [`run::simulate`]
//! executes it. The routers run the real runtime. Clients, cache servers, their origin and
//! discovery are models. All of them run on the virtual clock of [`executor`] and communicate over
//! the network of [`network`]. The [`invariant_checker`] observes the network traffic and has no
//! access to the routers' state. The same seed always gives the same run, step by step.

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

/// The Unix time at which every run starts, in microseconds.
pub const UNIX_START: u64 = 1_700_000_000_000_000;
