//! The whole asterport router on simulated time and network, with seeded faults and a judge of the four rules.
//!
//! [`fault_plan::Plan::draw`] draws a day from a seed, [`run::play`] plays it: N routers that run the real engine, stand-ins
//! for clients, cache servers, their origin and discovery, on the virtual clock of [`executor`] and the network of [`net`].
//! The [`invariant_checker`] sees what passes on the wire and nothing of the routers. Equal seeds give equal days, step by step.

pub mod campaign;
pub mod clients;
pub mod discovery;
pub mod executor;
pub mod fault_plan;
pub mod fleet;
pub mod invariant_checker;
pub mod net;
pub mod rng;
pub mod run;
pub mod scenario;
pub mod wire;

/// The Unix time at the start of every day, in microseconds.
pub const UNIX_START: u64 = 1_700_000_000_000_000;
