//! Clients leave while a cache server pauses within their long answers. The real binary against stand-ins on loopback
//! sockets.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_support::*;

const KEY: &str = "00000000000000aa";
const OTHER_KEY: &str = "00000000000000bb";
const VALUE_BYTES: usize = 256 * 1024;
/// How much of an answer comes before the pause.
const FIRST_PART_BYTES: usize = 100_000;
/// How long the cache server pauses.
const PAUSE_MS: u64 = 8_000;
/// Connections to cache servers that the router may have.
const UPSTREAM_SLOTS: usize = 12;
/// Descriptors that the router reserves; of the others cache servers get half.
const RESERVED_DESCRIPTORS: usize = 48;
/// How soon after the clients have left others are served.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(1);

/// A router whose connections to cache servers run out, and a cache server that pauses within the answers for [`KEY`].
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

/// Sends reads of [`KEY`] on one connection, all at once.
fn send_reads(router: &RouterProcess, client: usize, count: usize) -> TcpStream {
    let mut stream = TcpStream::connect(router.addr).expect("connected");
    stream.set_read_timeout(Some(MAX_WAIT)).expect("a limit");
    let commands: Vec<u8> = (0..count)
        .flat_map(|read| {
            let id = format!("id{client}x{read}");
            encode_command(&["C.GET", KEY, &id, "c=read,t=acme,d=4000"])
        })
        .collect();
    stream.write_all(&commands).expect("written");
    stream
}

fn assert_other_clients_are_served(router: &RouterProcess, since: Instant) {
    let answer = router.client().request("read", OTHER_KEY);
    assert!(answer.contains("s-a"), "{answer}");
    let elapsed = since.elapsed();
    assert!(elapsed < MAX_RELEASE_TIME, "{elapsed:?}");
}

/// Guards against streamed answers that hold their connections for clients that have left, until none is free.
#[test]
fn connections_of_streamed_responses_are_released_after_client_disconnects() {
    let (server, _discovery, router) = start();
    let mut clients: Vec<TcpStream> = (0..UPSTREAM_SLOTS)
        .map(|client| send_reads(&router, client, 1))
        .collect();
    for client in &mut clients {
        let mut prefix = [0; FIRST_PART_BYTES / 2];
        client.read_exact(&mut prefix).expect("the first bytes");
    }
    assert_eq!(server.commands().len(), UPSTREAM_SLOTS);
    drop(clients);
    assert_other_clients_are_served(&router, Instant::now());
}

/// Guards against answers that are held until they are whole, for clients that have left.
#[test]
fn connections_of_buffered_responses_are_released_after_client_disconnects() {
    let (server, _discovery, router) = start();
    let clients: Vec<TcpStream> = (0..UPSTREAM_SLOTS / 2)
        .map(|client| send_reads(&router, client, 2))
        .collect();
    wait_until("all reads have been sent on", || {
        server.commands().len() == UPSTREAM_SLOTS
    });
    // The first parts arrive.
    std::thread::sleep(Duration::from_millis(200));
    drop(clients);
    assert_other_clients_are_served(&router, Instant::now());
}
