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
pub use discovery::{Discovery, endpoint_entry, endpoint_list};
pub use fleet::{
    Fleet, TwoServerFleet, start_router, start_router_with_settings, start_router_with_two_servers,
    start_router_with_two_servers_and_settings,
};
pub use network::{unresponsive_listener, unused_addr};
pub use platform::Platform;
pub use resp::{encode_command, read_frame, value_reply};
pub use router_process::{
    Exit, RouterProcess, run_to_end, run_to_end_with_operator_file, run_to_end_with_shell_commands,
};
pub use wait::{MAX_WAIT, wait_until};
