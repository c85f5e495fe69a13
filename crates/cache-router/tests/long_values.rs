//! Long values: responses are streamed as they arrive, and writes share one memory budget. Runs the
//! router binary against fake peers on loopback sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use test_support::*;

const VALUE_BYTES: usize = 4 * 1024 * 1024;
const KEY: &str = "00000000000000aa";

fn long_reply() -> Vec<u8> {
    value_reply(&"v".repeat(VALUE_BYTES))
}

fn read_command(id: &str) -> Vec<u8> {
    encode_command(&["C.GET", KEY, id, "c=read,t=acme,d=4000"])
}

/// Starts a router with an admin API and this memory limit.
fn start_router_with_memory_limit(
    server: &CacheServer,
    memory_mb: usize,
) -> (RouterProcess, Discovery, std::net::SocketAddr) {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    config["limits"]["memory_mb"] = memory_mb.into();
    (RouterProcess::start(&config), discovery, admin)
}

fn in_progress(admin: std::net::SocketAddr) -> usize {
    let text = http_request(admin, "GET", "/api/telemetry", "").body;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("router_in_progress "))
        .expect("no such metric");
    line.parse().expect("not a number")
}

fn connect(router: &RouterProcess) -> TcpStream {
    let stream = TcpStream::connect(router.addr).expect("failed to connect");
    stream
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the timeout");
    stream
}

#[test]
fn a_long_value_arrives_complete_and_its_connection_is_reused() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::Reply(long_reply()));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for _ in 0..3 {
        let answer = client.request("read", KEY);
        assert!(answer.as_bytes() == long_reply(), "{} bytes", answer.len());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(server.connections().accepted, 1);
}

#[test]
fn first_bytes_are_forwarded_before_the_rest_arrives() {
    let server = CacheServer::start("s-a");
    let bytes = long_reply();
    let (first, rest) = bytes.split_at(10_000);
    server.set_behavior(
        KEY,
        Behavior::ReplyInTwoParts(first.to_vec(), 1_500, rest.to_vec()),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = connect(&router);
    client
        .write_all(&read_command("a"))
        .expect("failed to write");
    let mut prefix = vec![0; 10_000];
    client
        .read_exact(&mut prefix)
        .expect("failed to read the first bytes");
    assert!(
        server.two_part_reply_durations().is_empty(),
        "the first bytes arrived only after the rest had been written"
    );
    let mut remainder = vec![0; bytes.len() - 10_000];
    client
        .read_exact(&mut remainder)
        .expect("failed to read the remaining bytes");
    assert!(prefix == first && remainder == rest);
}

#[test]
fn a_truncated_value_closes_the_connection_and_counts_as_failed() {
    let server = CacheServer::start("s-a");
    let (router, _discovery, admin) = start_router_with_memory_limit(&server, 192);
    let bytes = long_reply();
    // Truncated near the start of the value, in its middle, and before its last byte.
    for length in [8_000, VALUE_BYTES / 2, bytes.len() - 20] {
        server.set_behavior(KEY, Behavior::ReplyAndClose(bytes[..length].to_vec()));
        let mut client = connect(&router);
        client
            .write_all(&read_command("a"))
            .expect("failed to write");
        let mut got = Vec::new();
        let _ = client.read_to_end(&mut got);
        assert!(got.len() <= length, "{length}: {}", got.len());
    }
    // A missing load report is not a failure: the router sends an empty one.
    server.set_behavior(
        KEY,
        Behavior::ReplyAndClose(bytes[..bytes.len() - 1].to_vec()),
    );
    assert!(router.client().request("read", KEY).as_bytes() == bytes);
    let text = http_request(admin, "GET", "/api/telemetry", "").body;
    assert!(
        text.contains("router_bad_gateway_total{category=\"read\"} 3"),
        "{text}"
    );
    server.set_behavior(KEY, Behavior::Serve);
    assert!(router.client().request("read", KEY).contains("s-a"));
}

#[test]
fn slow_readers_use_little_memory_and_delay_no_other_client() {
    let server = CacheServer::start("s-a");
    server.set_behavior(KEY, Behavior::Reply(long_reply()));
    let (router, _discovery, admin) = start_router_with_memory_limit(&server, 48);
    let clients: Vec<TcpStream> = (0..100)
        .map(|i| {
            let mut client = connect(&router);
            let mut has_started = false;
            wait_until("the response has started", || {
                client
                    .write_all(&read_command(&format!("id{i}")))
                    .expect("failed to write");
                let mut first = [0; 16];
                let count = client
                    .read(&mut first)
                    .expect("failed to read the first bytes");
                // Requests are rejected while the server is busy with those of the other clients.
                has_started = first[..count].starts_with(b"*3");
                has_started || !first.starts_with(b"-BUSY")
            });
            assert!(
                has_started,
                "the response is neither a value nor a rejection"
            );
            client
        })
        .collect();
    assert_eq!(in_progress(admin), 100);
    // Responses of 400 MiB in total are in flight.
    assert!(router.memory_kb() < 32 * 1024, "{} KB", router.memory_kb());
    let mut other = router.client();
    wait_until("another client is served", || {
        other.request("read", "00000000000000bb").contains("s-a")
    });
    // All clients disconnect in the middle of their responses.
    drop(clients);
    wait_until("no request is in progress", || in_progress(admin) == 0);
}

#[test]
fn concurrent_long_writes_beyond_the_memory_limit_are_all_served() {
    let server = CacheServer::start("s-a");
    let (router, _discovery, admin) = start_router_with_memory_limit(&server, 48);
    let writers: Vec<_> = (0..24)
        .map(|i| {
            let text = encode_command(&[
                "C.SET",
                &format!("{i:016x}"),
                &format!("id{i}"),
                &format!("c=put,t=acme,d=4000,k=k{i}"),
                &"w".repeat(VALUE_BYTES),
            ]);
            let mut client = connect(&router);
            client
                .set_write_timeout(Some(MAX_WAIT))
                .expect("failed to set the timeout");
            std::thread::spawn(move || {
                // Written in pieces, so that all writes are in progress before any is complete.
                for piece in text.chunks(256 * 1024) {
                    client.write_all(piece).expect("failed to write");
                    std::thread::sleep(Duration::from_millis(5));
                }
                let mut answer = [0; 4];
                client
                    .read_exact(&mut answer)
                    .expect("connection closed without an answer");
                client
                    .shutdown(Shutdown::Both)
                    .expect("failed to shut down the connection");
                answer
            })
        })
        .collect();
    let mut peak_memory_kb = 0;
    wait_until("all writers have finished", || {
        peak_memory_kb = peak_memory_kb.max(router.memory_kb());
        writers.iter().all(|writer| writer.is_finished())
    });
    for writer in writers {
        assert!(writer.join().expect("a writer panicked").starts_with(b"*3"));
    }
    assert!(peak_memory_kb < 48 * 1024, "{peak_memory_kb} KB");
    assert_eq!(in_progress(admin), 0);
    let longest = server
        .commands()
        .iter()
        .map(|arguments| arguments.last().map_or(0, String::len))
        .max();
    assert_eq!(longest, Some(VALUE_BYTES));
}

/// Guards against a write that is treated as not begun, and dropped at shutdown, while the received
/// part of its value is still buffered.
#[test]
fn a_partially_received_long_write_is_completed_after_sigterm() {
    const PIECE_BYTES: usize = 64 * 1024;
    let server = CacheServer::start("s-a");
    let text = encode_command(&[
        "C.SET",
        KEY,
        "id",
        "c=put,t=acme,d=4000,k=1",
        &"w".repeat(4 * PIECE_BYTES),
    ]);
    let header_length = text.len() - 4 * PIECE_BYTES - 2;
    let mut runs = Vec::new();
    for sent_bytes in [
        header_length + 10,
        header_length + PIECE_BYTES,
        header_length + 3 * PIECE_BYTES,
        text.len() - 1,
    ] {
        let (server, text) = (server.clone(), text.clone());
        runs.push(std::thread::spawn(move || {
            let Fleet { mut router, .. } = start_router(&[&server]);
            let mut client = connect(&router);
            client
                .write_all(&text[..sent_bytes])
                .expect("failed to write");
            std::thread::sleep(Duration::from_millis(200));
            router.terminate();
            // New connections are accepted until 0.55 s after SIGTERM; then idle connections are
            // closed.
            std::thread::sleep(Duration::from_millis(1_000));
            client
                .write_all(&text[sent_bytes..])
                .expect("failed to write");
            let mut answer = [0; 4];
            client
                .read_exact(&mut answer)
                .expect("connection closed without an answer");
            assert!(answer.starts_with(b"*3"), "{sent_bytes}: {answer:?}");
            assert_eq!(router.wait().code(), Some(0));
        }));
    }
    for run in runs {
        run.join().expect("a case panicked");
    }
}

/// A wrong length is detected before any byte is forwarded, and another server serves the read.
#[test]
fn a_short_value_with_an_oversized_length_is_not_forwarded() {
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(KEY);
    let corrupted = b"*3\r\n$1048576\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n".to_vec();
    owner.set_default_behavior(Behavior::Reply(corrupted));
    assert!(router.client().request("read", KEY).contains(&other.name));
}

/// After the client's deadline the router waits for a server that is still sending, because closing
/// the connection would lose the value.
#[test]
fn a_slow_value_is_forwarded_whole_after_the_deadline() {
    let server = CacheServer::start("s-a");
    let bytes = value_reply(&"v".repeat(100_000));
    let (first, rest) = bytes.split_at(10_000);
    server.set_behavior(
        KEY,
        Behavior::ReplyInTwoParts(first.to_vec(), 1_500, rest.to_vec()),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.write(&encode_command(&[
        "C.GET",
        KEY,
        "id",
        "c=read,t=acme,d=500",
    ]));
    let answer = client
        .read_reply()
        .expect("connection closed without an answer");
    assert!(answer.as_bytes() == bytes, "{} bytes", answer.len());
}
