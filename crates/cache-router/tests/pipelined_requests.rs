//! Requests behind a long answer on one connection: each gets its own answer, whatever becomes of the long one. The
//! real binary against stand-ins on loopback sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_support::*;

const LONG_KEY: &str = "00000000000000aa";
const LONG_VALUE_BYTES: usize = 1024 * 1024;
/// Most commands that wait for their answers on one connection.
const MAX_PIPELINE_DEPTH: usize = 64;

fn long_reply() -> Vec<u8> {
    value_reply(&"v".repeat(LONG_VALUE_BYTES))
}

/// Lengths at which a long reply is broken off: in its header, in its value, before its last byte.
fn truncated_lengths() -> [usize; 4] {
    let whole = long_reply().len();
    let end_of_value = whole - value_reply("").len() + "*3\r\n$0\r\n".len();
    [9, 20_000, LONG_VALUE_BYTES / 2, end_of_value - 1]
}

fn read_long(id: &str) -> Vec<u8> {
    encode_command(&["C.GET", LONG_KEY, id, "c=read,t=acme,d=4000"])
}

/// A read or a write of a key of its own.
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

/// The long read, and so many short commands behind it.
fn pipeline(following: usize) -> Vec<u8> {
    let short = (0..following).flat_map(short_command);
    read_long("long").into_iter().chain(short).collect()
}

/// A router that sends the long read to a server that breaks its reply off, once and again.
fn start_fleet_with_truncated_reply(length: usize) -> (CacheServer, Fleet) {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        LONG_KEY,
        Behavior::ReplyAndClose(long_reply()[..length].to_vec()),
    );
    let fleet = start_router(&[&server]);
    (server, fleet)
}

/// Reads the answers of [`pipeline`]: an error for the long read, any answer for each command behind it.
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

/// Guards against requests that are lost with a connection whose streamed answer broke off.
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

/// The same while a long write is under way behind the answer.
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
    wait_until("the long read is at the server", || {
        !server.commands().is_empty()
    });
    std::thread::sleep(Duration::from_millis(100));
    server.set_behavior(LONG_KEY, Behavior::ReplyAndClose(Vec::new()));
    server.close_connections();
    client.write(rest);
    let long = client.read_reply();
    assert!(long.is_some_and(|reply| reply.starts_with('-')));
    assert!(client.read_reply().is_some(), "the write's answer");
}

/// A command that arrives while an answer is streamed stays unread: its client may send it again elsewhere.
#[test]
fn commands_received_during_a_truncated_response_stay_unread() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = TcpStream::connect(router.addr).expect("connected");
    client.set_read_timeout(Some(MAX_WAIT)).expect("a limit");
    client.write_all(&read_long("long")).expect("written");
    let mut prefix = vec![0; 16 * 1024];
    client.read_exact(&mut prefix).expect("the first bytes");
    for number in 0..20 {
        client.write_all(&short_command(number)).expect("written");
    }
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(server.commands().len(), 1, "none is taken meanwhile");
    server.close_connections();
    let end = client.read_to_end(&mut Vec::new());
    // A connection that is closed with bytes unread is reset.
    let error = end.expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(server.commands().len(), 1, "none is taken later");
}

/// What arrived while an answer was streamed is served once that is whole.
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
    let mut client = TcpStream::connect(router.addr).expect("connected");
    client.set_read_timeout(Some(MAX_WAIT)).expect("a limit");
    client.write_all(&read_long("long")).expect("written");
    let mut long = vec![0; bytes.len()];
    client.read_exact(&mut long[..16]).expect("the first bytes");
    for number in 0..20 {
        client.write_all(&short_command(number)).expect("written");
    }
    client.read_exact(&mut long[16..]).expect("the rest");
    assert!(long == bytes);
    let mut reader = std::io::BufReader::new(client);
    for number in 0..20 {
        assert!(read_frame(&mut reader).is_some(), "answer {number}");
    }
}

/// The break comes after SIGTERM.
#[test]
fn requests_behind_a_truncated_response_are_answered_after_sigterm() {
    let server = CacheServer::start("s-a");
    let prefix = long_reply()[..LONG_VALUE_BYTES / 2].to_vec();
    server.set_behavior(LONG_KEY, Behavior::Reply(prefix));
    let Fleet { mut router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.write(&pipeline(20));
    wait_until("the long read is at the server", || {
        !server.commands().is_empty()
    });
    router.terminate();
    std::thread::sleep(Duration::from_millis(200));
    server.set_behavior(LONG_KEY, Behavior::ReplyAndClose(Vec::new()));
    server.close_connections();
    assert_all_answered(&mut client, 20, "after SIGTERM");
    assert_eq!(router.wait().code(), Some(0));
}

/// The break comes while another process takes the router over.
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
    wait_until("the long read is at the server", || {
        !server.commands().is_empty()
    });
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    let _new = platform.start(&config);
    wait_until("the next process serves", || {
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

/// Long values to clients that pipeline, more at once than memory holds.
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
                // Slow at first: all answers are under way before any is read.
                std::thread::sleep(Duration::from_millis(500));
                (0..3).filter(|_| client.read_reply().is_some()).count()
            })
        })
        .collect();
    let mut peak_memory_kb = 0;
    wait_until("all have ended", || {
        peak_memory_kb = peak_memory_kb.max(router.memory_kb());
        readers.iter().all(|reader| reader.is_finished())
    });
    for reader in readers {
        assert_eq!(reader.join().expect("answers"), 3);
    }
    assert!(peak_memory_kb < MEMORY_MB * 1024, "{peak_memory_kb} KB");
}
