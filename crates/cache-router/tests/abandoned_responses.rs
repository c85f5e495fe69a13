//! Clients that disconnect while a cache server pauses in the middle of a long response: the router
//! has to release the connection to the server. Runs the router binary against fake peers on
//! loopback sockets.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_support::*;

const KEY: &str = "00000000000000aa";
const OTHER_KEY: &str = "00000000000000bb";
const VALUE_BYTES: usize = 256 * 1024;
/// Bytes of a response that the cache server sends before the pause.
const FIRST_PART_BYTES: usize = 100_000;
/// Pause of the cache server within a response.
const PAUSE_MS: u64 = 8_000;
/// Maximum number of the router's connections to cache servers.
const UPSTREAM_SLOTS: usize = 12;
/// Descriptors that the router reserves. Half of the remaining ones are for cache servers.
const RESERVED_DESCRIPTORS: usize = 48;
/// Other clients have to be served within this time after the disconnects.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(1);

/// Starts a router with few connections to cache servers, and a cache server that pauses within its
/// responses for [`KEY`].
fn start() -> (CacheServer, Discovery, RouterProcess) {
    let server = CacheServer::start("s-a");
    let bytes = value_reply(&"v".repeat(VALUE_BYTES));
    let (first, rest) = bytes.split_at(FIRST_PART_BYTES);
    let paused = Behavior::ReplyInTwoParts(first.to_vec(), PAUSE_MS, rest.to_vec());
    server.set_behavior(KEY, paused);
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["limits"]["sockets"] = (RESERVED_DESCRIPTORS + 2 * UPSTREAM_SLOTS).into();
    let router = RouterProcess::start(&config);
    (server, discovery, router)
}

/// Pipelines reads of [`KEY`] on one connection.
fn send_reads(router: &RouterProcess, client: usize, count: usize) -> TcpStream {
    let mut stream = TcpStream::connect(router.addr).expect("failed to connect");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the timeout");
    let commands: Vec<u8> = (0..count)
        .flat_map(|read| {
            let id = format!("id{client}x{read}");
            encode_command(&["C.GET", KEY, &id, "c=read,t=acme,d=4000"])
        })
        .collect();
    stream.write_all(&commands).expect("failed to write");
    stream
}

fn assert_other_clients_are_served(router: &RouterProcess, since: Instant) {
    let answer = router.client().request("read", OTHER_KEY);
    assert!(answer.contains("s-a"), "{answer}");
    let elapsed = since.elapsed();
    assert!(elapsed < MAX_RELEASE_TIME, "{elapsed:?}");
}

/// Guards against streamed responses that keep their connections for disconnected clients until no
/// connection is free.
#[test]
fn connections_of_streamed_responses_are_released_after_client_disconnects() {
    let (server, _discovery, router) = start();
    let mut clients: Vec<TcpStream> = (0..UPSTREAM_SLOTS)
        .map(|client| send_reads(&router, client, 1))
        .collect();
    for client in &mut clients {
        let mut prefix = [0; FIRST_PART_BYTES / 2];
        client
            .read_exact(&mut prefix)
            .expect("failed to read the first bytes");
    }
    assert_eq!(server.commands().len(), UPSTREAM_SLOTS);
    drop(clients);
    assert_other_clients_are_served(&router, Instant::now());
}

/// Guards against responses that are buffered until they are complete for disconnected clients. The
/// router buffers them because the reads are pipelined.
#[test]
fn connections_of_buffered_responses_are_released_after_client_disconnects() {
    let (server, _discovery, router) = start();
    let clients: Vec<TcpStream> = (0..UPSTREAM_SLOTS / 2)
        .map(|client| send_reads(&router, client, 2))
        .collect();
    wait_until("the server has received all reads", || {
        server.commands().len() == UPSTREAM_SLOTS
    });
    // Time for the first parts to arrive.
    std::thread::sleep(Duration::from_millis(200));
    drop(clients);
    assert_other_clients_are_served(&router, Instant::now());
}
