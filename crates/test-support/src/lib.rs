//! Fake peers on loopback sockets for tests that run the router binary.
//!
//! A test starts [`CacheServer`]s and a [`Discovery`] service on ephemeral ports, a
//! [`RouterProcess`] that is configured with them, and [`Client`]s that connect to it. Each fake
//! runs on its own threads, which end with the test process. A router is killed when its handle is
//! dropped. An error in a fake panics and fails the test.

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
pub use cache_server::{
    Behavior, CacheServer, ConnectionCounts, PacedReply, RecordedCommand, RepeatedReply,
};
pub use client::Client;
pub use configuration::configuration;
pub use discovery::{Discovery, endpoint_entry, endpoint_list};
pub use fleet::{
    Fleet, TwoServerFleet, start_router, start_router_with_settings, start_router_with_two_servers,
    start_router_with_two_servers_and_settings,
};
pub use network::{connect_with_receive_buffer, unresponsive_listener, unused_addr};
pub use platform::Platform;
pub use resp::{encode_command, read_frame, value_reply};
pub use router_process::{
    Exit, RouterProcess, run_to_end, run_to_end_with_operator_file, run_to_end_with_shell_commands,
};
pub use wait::{MAX_WAIT, wait_until};
