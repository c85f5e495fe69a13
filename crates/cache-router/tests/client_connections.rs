//! Client connections: commands, replies, errors and limits. Runs the router binary against fake
//! peers on loopback sockets.

use std::time::Instant;
use test_support::*;

#[test]
fn replies_keep_the_order_of_pipelined_commands() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    server.set_behavior("00000000000000bb", Behavior::Reply(value_reply("second")));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.send("read", "00000000000000aa", 15_000);
    client.send("read", "00000000000000bb", 15_000);
    client.write(&encode_command(&["PING"]));
    // The server replies to the second request while the first is pending: requests of a pipeline
    // do not block each other upstream.
    wait_until("the server has received both requests", || {
        server.commands().len() == 2
    });
    assert_eq!(server.connections().accepted, 2);
    server.open_gate();
    assert!(client.read_reply().unwrap().contains("s-a"));
    assert!(client.read_reply().unwrap().contains("second"));
    assert_eq!(client.read_reply().unwrap(), "+PONG\r\n");
}

#[test]
fn nothing_is_sent_upstream_for_a_disconnected_client() {
    let key = "7f3a9c21e0b4d655";
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers(key);
    owner.set_default_behavior(Behavior::StaySilent);
    let before = owner.commands().len();
    let mut leaving = router.client();
    leaving.write(&encode_command(&[
        "C.GET",
        key,
        "left",
        "c=read,t=acme,d=15000",
    ]));
    wait_until("the server has received the request", || {
        owner.commands().len() > before
    });
    leaving.disconnect();
    let mut client = router.client();
    owner.set_default_behavior(Behavior::ReplyAndClose(Vec::new()));
    owner.close_connections();
    // A request of another client, whose connection is lost later than that of the disconnected
    // client, is retried at the other server.
    assert!(client.request("read", key).contains(&other.name));
    assert!(
        other
            .commands()
            .iter()
            .all(|arguments| arguments[2] != "left"),
        "{:?}",
        other.commands()
    );
}

/// Malformed commands, with a description of each. All but the last ones are sent to their end.
fn malformed_commands() -> Vec<(&'static str, Vec<u8>)> {
    let get = |id: &str, fields: &str| encode_command(&["C.GET", "00000000000000aa", id, fields]);
    let long = "x".repeat(100);
    vec![
        ("no arguments", encode_command(&["C.GET"])),
        (
            "no fields",
            encode_command(&["C.GET", "00000000000000aa", "id"]),
        ),
        (
            "a superfluous value",
            encode_command(&[
                "C.GET",
                "00000000000000aa",
                "id",
                "c=read,t=acme,d=400",
                "v",
            ]),
        ),
        (
            "no value",
            encode_command(&["C.SET", "00000000000000aa", "id", "c=put,t=acme,d=400,k=1"]),
        ),
        ("no class", get("id", "t=acme,d=400")),
        ("an unknown class", get("id", "c=unknown,t=acme,d=400")),
        ("fields without names", get("id", "no fields at all")),
        (
            "a deadline that is not a number",
            get("id", "c=read,t=acme,d=soon"),
        ),
        ("a negative deadline", get("id", "c=read,t=acme,d=-5")),
        ("a deadline with a sign", get("id", "c=read,t=acme,d=+5")),
        ("an empty deadline", get("id", "c=read,t=acme,d=")),
        ("two deadlines", get("id", "c=read,t=acme,d=400,d=400")),
        (
            "a cost hint that is not a number",
            get("id", "c=read,t=acme,d=400,h=much"),
        ),
        ("an empty id", get("", "c=read,t=acme,d=400")),
        ("a long id", get(&long, "c=read,t=acme,d=400")),
        ("an unprintable id", get("a\u{1}b", "c=read,t=acme,d=400")),
        (
            "an id with a line break",
            get("a\r\nb", "c=read,t=acme,d=400"),
        ),
        (
            "no key",
            encode_command(&["C.GET", "", "id", "c=read,t=acme,d=400"]),
        ),
        (
            "no idempotency key",
            encode_command(&["C.SET", "00000000000000aa", "id", "c=put,t=acme,d=400", "v"]),
        ),
        (
            "a large value",
            b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nc=put\r\n$4194305\r\n".to_vec(),
        ),
        ("an empty command name", encode_command(&[""])),
        ("not RESP", b"GET x\r\n".to_vec()),
        (
            "a huge length",
            b"*1\r\n$99999999999999999999999\r\n".to_vec(),
        ),
        ("a huge number of arguments", b"*99999999999\r\n".to_vec()),
        ("a negative length", b"*1\r\n$-9\r\n".to_vec()),
        ("a null array", b"*-1\r\n".to_vec()),
        (
            "a length shorter than the argument",
            b"*1\r\n$2\r\nPING\r\n".to_vec(),
        ),
        ("nested arrays", b"*1\r\n".repeat(50_000)),
        ("an endless line", vec![b'*'; 300_000]),
        (
            "hundreds of malformed commands",
            get("id", "c=unknown,d=1").repeat(500),
        ),
    ]
}

/// Each malformed command is answered promptly with one error and a closed connection, and nothing
/// is forwarded to a cache server.
#[test]
fn a_malformed_command_gets_an_error_and_closes_its_connection() {
    let server = CacheServer::start("s-a");
    let Fleet { mut router, .. } = start_router(&[&server]);
    for (what, bytes) in malformed_commands() {
        let mut client = router.client();
        client.write_until_closed(&bytes);
        let start = Instant::now();
        let rest = client.read_to_end();
        assert!(
            rest.starts_with(b"-ERR") && rest.ends_with(b"\r\n"),
            "{what}: {:?}",
            String::from_utf8_lossy(&rest)
        );
        assert_eq!(
            rest.iter().filter(|&&byte| byte == b'\n').count(),
            1,
            "{what}: not exactly one error line"
        );
        assert!(
            start.elapsed().as_secs() < 3,
            "{what}: {:?}",
            start.elapsed()
        );
    }
    assert!(router.is_running());
    assert!(server.commands().is_empty(), "{:?}", server.commands());
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

/// A huge deadline is limited to that of the class, and causes no overflow in time arithmetic.
#[test]
fn a_huge_deadline_is_capped_by_the_class() {
    let server = CacheServer::start("s-a");
    let Fleet { mut router, .. } = start_router(&[&server]);
    for deadline_ms in [u64::MAX.to_string(), "9".repeat(60)] {
        let mut client = router.client();
        client.write(&encode_command(&[
            "C.GET",
            "00000000000000aa",
            "id",
            &format!("c=read,t=acme,d={deadline_ms}"),
        ]));
        assert!(client.read_reply().unwrap().contains("s-a"));
    }
    for arguments in server.commands() {
        let deadline_ms: u64 = arguments[3].rsplit("d=").next().unwrap().parse().unwrap();
        assert!((1..=4_000).contains(&deadline_ms), "{deadline_ms}");
    }
    assert!(router.is_running());
}

/// A client's retry with less than a millisecond left has `d=0`. Guards against an error for it
/// that closes the connection and loses the other requests of the pipeline.
#[test]
fn an_expired_request_does_not_affect_the_rest_of_its_pipeline() {
    let server = CacheServer::start("s-a");
    let Fleet { mut router, .. } = start_router(&[&server]);
    for (before, after) in [(0, 1), (1, 1), (9, 10), (20, 43)] {
        for late in [
            encode_command(&["C.GET", "00000000000000aa", "late", "c=read,t=acme,d=0"]),
            encode_command(&[
                "C.SET",
                "00000000000000aa",
                "late",
                "c=put,t=acme,d=0,k=1",
                "v",
            ]),
            encode_command(&[
                "C.SET",
                "00000000000000aa",
                "late",
                "c=once,t=acme,d=0",
                "v",
            ]),
        ] {
            let mut client = router.client();
            let mut bytes = Vec::new();
            for number in 0..before + 1 + after {
                match number == before {
                    true => bytes.extend_from_slice(&late),
                    false => bytes.extend(encode_command(&[
                        "C.GET",
                        &format!("{number:016x}"),
                        &format!("id{number}"),
                        "c=read,t=acme,d=4000",
                    ])),
                }
            }
            client.write(&bytes);
            for number in 0..before + 1 + after {
                let reply = client
                    .read_reply()
                    .expect("connection closed without a reply");
                match number == before {
                    true => assert!(reply.starts_with("-BUSY"), "{reply}"),
                    false => assert!(
                        reply.contains("s-a") || reply.starts_with("-BUSY"),
                        "{reply}"
                    ),
                }
            }
            assert!(
                client
                    .request("read", "00000000000000bb")
                    .starts_with(['*', '-'])
            );
        }
    }
    assert!(router.is_running());
    assert!(
        server
            .commands()
            .iter()
            .all(|arguments| arguments[2] != "late")
    );
}

/// A client that sends far more data than the router reads still receives the error.
#[test]
fn the_error_reaches_a_client_that_keeps_sending() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    let mut bytes =
        b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nc=put\r\n$60000000\r\n".to_vec();
    bytes.resize(200_000, b'v');
    client.write_until_closed(&bytes);
    assert_eq!(client.read_to_end(), b"-ERR command too large\r\n");
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn pending_replies_before_an_error_are_still_sent() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.send("read", "00000000000000aa", 4_000);
    client.write(b"what?\r\n");
    client.send("read", "00000000000000bb", 4_000);
    wait_until("the server has received the request", || {
        !server.commands().is_empty()
    });
    server.open_gate();
    assert!(client.read_reply().unwrap().contains("s-a"));
    assert!(client.read_to_end().starts_with(b"-ERR protocol error"));
    assert_eq!(
        server.commands().len(),
        1,
        "a command after the error was read"
    );
}

/// A request with the id of another client's open request gets an error and never that client's
/// reply. The id can be used again after the open request has ended.
#[test]
fn a_duplicate_id_of_an_open_request_is_an_error() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_router(&[&server]);
    let bytes = encode_command(&["C.GET", "00000000000000aa", "same", "c=read,t=acme,d=4000"]);
    let (mut first, mut second) = (router.client(), router.client());
    first.write(&bytes);
    wait_until("the server has received the request", || {
        server.commands().len() == 1
    });
    second.write(&bytes);
    // The requests before and after it on its connection are answered.
    let around = |key: &str, id: &str| encode_command(&["C.GET", key, id, "c=read,t=acme,d=4000"]);
    second.write(&around("00000000000000cc", "before"));
    second.write(&bytes);
    second.write(&around("00000000000000dd", "behind"));
    assert!(second.read_reply().unwrap().starts_with("-ERR"));
    assert!(second.read_reply().unwrap().contains("s-a"));
    assert!(second.read_reply().unwrap().starts_with("-ERR"));
    assert!(second.read_reply().unwrap().contains("s-a"));
    server.open_gate();
    assert!(first.read_reply().unwrap().contains("s-a"));
    assert_eq!(server.commands().len(), 3);
    first.write(&bytes);
    assert!(first.read_reply().unwrap().contains("s-a"));
    // The id is also free after the client has disconnected.
    let mut leaving = router.client();
    server.set_behavior("00000000000000bb", Behavior::StaySilent);
    let left = encode_command(&["C.GET", "00000000000000bb", "left", "c=read,t=acme,d=4000"]);
    leaving.write(&left);
    wait_until("the server has received the request", || {
        server.commands().len() == 5
    });
    drop(leaving);
    server.set_behavior("00000000000000bb", Behavior::Serve);
    wait_until("the id is free again", || {
        let mut client = router.client();
        client.write(&left);
        client.read_reply().unwrap().contains("s-a")
    });
}

/// A client that sends no complete command in time is disconnected. A client that has sent one, and
/// has no incomplete command, keeps its connection.
#[test]
fn clients_that_send_no_complete_command_are_disconnected() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let (mut silent, mut half, mut active, mut stuck) = (
        router.client(),
        router.client(),
        router.client(),
        router.client(),
    );
    half.write(b"*4\r\n$5\r\nC.GET\r\n$16\r\n0000");
    assert!(active.request("read", "00000000000000aa").contains("s-a"));
    assert!(stuck.request("read", "00000000000000bb").contains("s-a"));
    stuck.write(b"*4\r\n$5");
    let start = Instant::now();
    for client in [&mut silent, &mut half, &mut stuck] {
        assert_eq!(client.read_to_end(), b"");
        assert!(start.elapsed().as_secs_f64() < 6.0, "{:?}", start.elapsed());
    }
    assert!(
        start.elapsed().as_secs_f64() > 1.0,
        "disconnected too early: {:?}",
        start.elapsed()
    );
    assert!(active.request("read", "00000000000000aa").contains("s-a"));
}

/// Hundreds of silent connections do not deprive active clients of descriptors or service.
#[test]
fn active_clients_are_served_despite_many_silent_ones() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["limits"]["sockets"] = 96.into();
    let mut router = RouterProcess::start_with_shell_commands(&config, "ulimit -n 96;");
    let mut active: Vec<Client> = (0..4).map(|_| router.client()).collect();
    let mut silent_clients = Vec::new();
    for round in 0..30 {
        silent_clients.extend((0..20).map(|_| router.client()));
        for client in &mut active {
            // A client that the router closed between two requests reconnects.
            client.send("read", "00000000000000aa", 4_000);
            let answer = client.read_reply().unwrap_or_else(|| {
                *client = router.client();
                client.request("read", "00000000000000aa")
            });
            assert!(answer.contains("s-a"), "round {round}: {answer}");
        }
        assert!(router.descriptors() <= 96, "{}", router.descriptors());
    }
    assert!(router.is_running());
    assert!(
        !router.log_contains("accepting a client"),
        "the router ran out of descriptors"
    );
    wait_until("the silent clients are disconnected", || {
        router.descriptors() < 30
    });
}

#[test]
fn a_client_over_the_limit_replaces_the_longest_idle() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["limits"]["sockets"] = 56.into();
    let router = RouterProcess::start(&config);
    let mut clients: Vec<Client> = (0..12).map(|_| router.client()).collect();
    for client in clients.iter_mut().skip(8) {
        assert!(client.request("read", "00000000000000aa").contains("s-a"));
    }
    assert_eq!(
        clients[0].read_reply(),
        None,
        "the longest idle client stayed connected"
    );
}

#[test]
fn running_out_of_descriptors_does_not_stop_the_process() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut router = RouterProcess::start_with_shell_commands(
        &configuration(discovery.addr, &[server.entry("up")]),
        "ulimit -n 24;",
    );
    let mut clients: Vec<Client> = (0..40).map(|_| router.client()).collect();
    wait_until("the router has run out of descriptors", || {
        router.log_contains("accepting a client")
    });
    clients.truncate(2);
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .starts_with(['*', '-'])
    );
    wait_until("the router serves again", || {
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    });
    assert!(router.is_running());
}

/// Several clients connect while idle clients occupy all connection slots. Guards against closing a
/// new client, to make room for the next one, before its first command has arrived.
#[test]
fn new_clients_of_a_full_router_are_served() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    // Slots for 24 clients.
    config["limits"]["sockets"] = 96.into();
    wait_until("a round without a delay of the machine", || {
        let router = RouterProcess::start(&config);
        let mut idle: Vec<Client> = (0..24).map(|_| router.client()).collect();
        let pong = Some("+PONG\r\n");
        for client in &mut idle {
            client.write(&encode_command(&["PING"]));
            assert_eq!(client.read_reply().as_deref(), pong);
        }
        let start = Instant::now();
        let mut new_clients: Vec<Client> = (0..6).map(|_| router.client()).collect();
        // The last client is answered after all new clients have been accepted in place of idle
        // ones.
        let mut last = router.client();
        last.write(&encode_command(&["PING"]));
        let _ = last.read_reply();
        // After a longer delay the time of a new client for its first command may be over. The
        // round is then repeated.
        let in_time = start.elapsed().as_millis() < 80;
        for (number, client) in new_clients.iter_mut().enumerate().filter(|_| in_time) {
            client.write_until_closed(&encode_command(&["PING"]));
            assert_eq!(client.read_reply().as_deref(), pong, "new client {number}");
        }
        in_time
    });
}

/// Clients that send one request and then stay connected do not occupy all connection slots.
#[test]
fn idle_clients_keep_a_quarter_of_the_connection_slots() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    // Slots for 24 clients.
    config["limits"]["sockets"] = 96.into();
    let router = RouterProcess::start(&config);
    let baseline = router.descriptors();
    let mut clients: Vec<Client> = (0..22).map(|_| router.client()).collect();
    for client in &mut clients {
        assert!(client.request("read", "00000000000000aa").contains("s-a"));
    }
    // A few descriptors are connections to the server.
    wait_until("most connection slots are free", || {
        router.descriptors() <= baseline + 6 + 4
    });
    assert_eq!(
        clients[0].read_reply(),
        None,
        "the longest idle client stayed connected"
    );
    // The client with the latest request is still connected.
    assert!(
        clients[21]
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}
