//! The whole asterport router on simulated time and network, with seeded faults and a judge of the four rules.
//!
//! [`plan::Plan::draw`] draws a day from a seed, [`play::play`] plays it: N routers that run the real engine, stand-ins
//! for clients, cache servers, their origin and discovery, on the virtual clock of [`exec`] and the network of [`net`].
//! The [`judge`] sees what passes on the wire and nothing of the routers. Equal seeds give equal days, step by step.

pub mod clients;
pub mod dice;
pub mod discovery;
pub mod exec;
pub mod fleet;
pub mod judge;
pub mod net;
pub mod plan;
pub mod play;
pub mod rounds;
pub mod scene;
pub mod wire;

/// The Unix time at the start of every day, in microseconds.
pub const UNIX_START: u64 = 1_700_000_000_000_000;
