//! Requests that are pipelined behind a long response: each gets its own reply, even if the long
//! response is truncated. Runs the router binary against fake peers on loopback sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_support::*;

const LONG_KEY: &str = "00000000000000aa";
const LONG_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum number of commands that wait for their replies on one connection.
const MAX_PIPELINE_DEPTH: usize = 64;

fn long_reply() -> Vec<u8> {
    value_reply(&"v".repeat(LONG_VALUE_BYTES))
}

/// Lengths to which a long reply is truncated: in its header, in its value, and before the end of
/// the value.
fn truncated_lengths() -> [usize; 4] {
    let whole = long_reply().len();
    let end_of_value = whole - value_reply("").len() + "*3\r\n$0\r\n".len();
    [9, 20_000, LONG_VALUE_BYTES / 2, end_of_value - 1]
}

fn read_long(id: &str) -> Vec<u8> {
    encode_command(&["C.GET", LONG_KEY, id, "c=read,t=acme,d=4000"])
}

/// Returns a read or a write of a separate key.
fn short_command(number: usize) -> Vec<u8> {
    let (key, id) = (format!("{number:016x}"), format!("short{number}"));
    match number % 3 {
        0 => encode_command(&[
            "C.SET",
            &key,
            &id,
            &format!("c=put,t=acme,d=4000,k=k{number}"),
            "v",
        ]),
        _ => encode_command(&["C.GET", &key, &id, "c=read,t=acme,d=4000"]),
    }
}

/// Returns a pipeline of the long read and this many short commands.
fn pipeline(following: usize) -> Vec<u8> {
    let short = (0..following).flat_map(short_command);
    read_long("long").into_iter().chain(short).collect()
}

/// Starts a router and a server that truncates every reply to the long read to this length.
fn start_fleet_with_truncated_reply(length: usize) -> (CacheServer, Fleet) {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        LONG_KEY,
        Behavior::ReplyAndClose(long_reply()[..length].to_vec()),
    );
    let fleet = start_router(&[&server]);
    (server, fleet)
}

/// Reads the replies to [`pipeline`] and asserts an error for the long read and any reply for each
/// following command.
fn assert_all_answered(client: &mut Client, following: usize, what: &str) {
    let long = client.read_reply();
    assert!(
        long.as_deref().is_some_and(|reply| reply.starts_with('-')),
        "{what}: {:?}",
        long.map(|reply| reply.len())
    );
    for number in 0..following {
        assert!(client.read_reply().is_some(), "{what}: answer {number}");
    }
}

/// Guards against requests that are lost with the connection of a truncated streamed response.
#[test]
fn requests_behind_a_truncated_response_are_answered() {
    for length in truncated_lengths() {
        let (_server, fleet) = start_fleet_with_truncated_reply(length);
        for following in [1, 19, MAX_PIPELINE_DEPTH - 1, 2 * MAX_PIPELINE_DEPTH] {
            let mut client = fleet.router.client();
            client.write(&pipeline(following));
            assert_all_answered(
                &mut client,
                following,
                &format!("{length} bytes, {following} following"),
            );
            assert!(client.request("read", "00000000000000ff").contains("s-a"));
        }
    }
}

/// Guards against losing a long write that is being received while the response before it is
/// truncated.
#[test]
fn a_long_write_behind_a_truncated_response_is_answered() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    let value = "w".repeat(LONG_VALUE_BYTES);
    let fields = "c=put,t=acme,d=4000,k=1";
    let write = encode_command(&["C.SET", "00000000000000bb", "write", fields, &value]);
    let (first, rest) = write.split_at(write.len() / 2);
    client.write(&[read_long("long"), first.to_vec()].concat());
    wait_until("the server has received the long read", || {
        !server.commands().is_empty()
    });
    std::thread::sleep(Duration::from_millis(100));
    server.set_behavior(LONG_KEY, Behavior::ReplyAndClose(Vec::new()));
    server.close_connections();
    client.write(rest);
    let long = client.read_reply();
    assert!(long.is_some_and(|reply| reply.starts_with('-')));
    assert!(client.read_reply().is_some(), "no reply to the write");
}

/// Commands that arrive while a response is streamed stay unread. If the response is then
/// truncated, the client may safely send them again to another router.
#[test]
fn commands_received_during_a_truncated_response_stay_unread() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = TcpStream::connect(router.addr).expect("failed to connect");
    client
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the timeout");
    client
        .write_all(&read_long("long"))
        .expect("failed to write");
    let mut prefix = vec![0; 16 * 1024];
    client
        .read_exact(&mut prefix)
        .expect("failed to read the first bytes");
    for number in 0..20 {
        client
            .write_all(&short_command(number))
            .expect("failed to write");
    }
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(
        server.commands().len(),
        1,
        "a command was read while the response was streamed"
    );
    server.close_connections();
    let end = client.read_to_end(&mut Vec::new());
    // The kernel resets a connection that is closed with unread bytes.
    let error = end.expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(
        server.commands().len(),
        1,
        "a command was read after the response was truncated"
    );
}

/// Commands that arrive while a response is streamed are served when it is complete.
#[test]
fn commands_received_during_a_streamed_response_are_served_after_it() {
    let server = CacheServer::start("s-a");
    let bytes = long_reply();
    let (first, rest) = bytes.split_at(20_000);
    server.set_behavior(
        LONG_KEY,
        Behavior::ReplyInTwoParts(first.to_vec(), 300, rest.to_vec()),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = TcpStream::connect(router.addr).expect("failed to connect");
    client
        .set_read_timeout(Some(MAX_WAIT))
        .expect("failed to set the timeout");
    client
        .write_all(&read_long("long"))
        .expect("failed to write");
    let mut long = vec![0; bytes.len()];
    client
        .read_exact(&mut long[..16])
        .expect("failed to read the first bytes");
    for number in 0..20 {
        client
            .write_all(&short_command(number))
            .expect("failed to write");
    }
    client
        .read_exact(&mut long[16..])
        .expect("failed to read the remaining bytes");
    assert!(long == bytes);
    let mut reader = std::io::BufReader::new(client);
    for number in 0..20 {
        assert!(read_frame(&mut reader).is_some(), "answer {number}");
    }
}

/// The response is truncated after SIGTERM.
#[test]
fn requests_behind_a_truncated_response_are_answered_after_sigterm() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let Fleet { mut router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.write(&pipeline(20));
    wait_until("the server has received the long read", || {
        !server.commands().is_empty()
    });
    router.terminate();
    std::thread::sleep(Duration::from_millis(200));
    server.set_behavior(LONG_KEY, Behavior::ReplyAndClose(Vec::new()));
    server.close_connections();
    assert_all_answered(&mut client, 20, "after SIGTERM");
    assert_eq!(router.wait().code(), Some(0));
}

/// The response is truncated while another process takes over the router.
#[test]
fn requests_behind_a_truncated_response_are_answered_during_a_takeover() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    let platform = Platform::new();
    let mut old = platform.start(&config);
    let mut client = old.client();
    client.write(&pipeline(20));
    wait_until("the server has received the long read", || {
        !server.commands().is_empty()
    });
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    let _new = platform.start(&config);
    wait_until("the new process serves", || {
        TcpStream::connect(admin).is_ok()
            && http_request(admin, "GET", "/api/ready", "").status == 200
    });
    old.terminate();
    server.set_behavior(LONG_KEY, Behavior::ReplyAndClose(Vec::new()));
    server.close_connections();
    assert_all_answered(&mut client, 20, "during a takeover");
    assert_eq!(old.wait().code(), Some(0));
    assert!(client.request("read", "00000000000000ff").contains("s-a"));
}

/// Long values for pipelining clients, which exceed the memory limit in total.
#[test]
fn long_values_for_pipelining_clients_stay_within_the_memory_limit() {
    const CLIENT_COUNT: usize = 24;
    const MEMORY_MB: usize = 48;
    let server = CacheServer::start("s-a");
    let value = value_reply(&"v".repeat(4 * 1024 * 1024));
    for number in 0..CLIENT_COUNT {
        server.set_behavior(&format!("{number:016x}"), Behavior::Reply(value.clone()));
    }
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    let router = RouterProcess::start(&config);
    let readers: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            let mut client = router.client();
            for attempt in 0..3 {
                client.write(&encode_command(&[
                    "C.GET",
                    &format!("{number:016x}"),
                    &format!("id{number}-{attempt}"),
                    "c=read,t=acme,d=4000",
                ]));
            }
            std::thread::spawn(move || {
                // Reads start late, so that all responses are in progress before any is read.
                std::thread::sleep(Duration::from_millis(500));
                (0..3).filter(|_| client.read_reply().is_some()).count()
            })
        })
        .collect();
    let mut peak_memory_kb = 0;
    wait_until("all readers have finished", || {
        peak_memory_kb = peak_memory_kb.max(router.memory_kb());
        readers.iter().all(|reader| reader.is_finished())
    });
    for reader in readers {
        assert_eq!(reader.join().expect("a reader panicked"), 3);
    }
    assert!(peak_memory_kb < MEMORY_MB * 1024, "{peak_memory_kb} KB");
}
