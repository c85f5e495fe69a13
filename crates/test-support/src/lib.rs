//! Stand-ins on loopback sockets for the tests of the router's real binary.
//!
//! A test starts [`CacheServer`]s and a [`Discovery`] on ephemeral ports, a [`RouterProcess`] that knows them, and
//! [`Client`]s of that. Each stand-in runs on threads of its own, which end with the test's process; a router is
//! killed when its handle is dropped. Whatever a stand-in cannot do is a panic: the test has failed.

mod admin;
mod cache_server;
mod client;
mod configuration;
mod discovery;
mod fleet;
mod network;
mod platform;
mod resp;
mod router_process;
mod wait;

pub use admin::{HttpResponse, http_request, http_request_raw};
pub use cache_server::{Behavior, CacheServer, ConnectionCounts, RecordedCommand};
pub use client::Client;
pub use configuration::configuration;
pub use discovery::{Discovery, entry, list};
pub use fleet::{
    Fleet, PairFleet, start_router, start_router_and_pair, start_router_and_pair_with_settings,
    start_router_with_settings,
};
pub use network::{unresponsive_listener, unused_addr};
pub use platform::Platform;
pub use resp::{command, read_frame, value_reply};
pub use router_process::{
    Exit, RouterProcess, run_to_end, run_to_end_after, run_to_end_with_operator_file,
};
pub use wait::{MAX_WAIT, wait_until};
