//! Connections to cache servers: connecting, pooling, closing and loss. Runs the router binary
//! against fake peers on loopback sockets.

use std::time::Instant;
use test_support::*;

#[test]
fn connecting_has_its_own_timeout() {
    let (silent_listener, _backlog_connections) = unresponsive_listener();
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let router = RouterProcess::start(&configuration(
        discovery.addr,
        &[endpoint_entry(
            "s-a",
            silent_listener.local_addr().unwrap(),
            "up",
        )],
    ));
    let start = Instant::now();
    // Rejected as not executed, long before the client's deadline of 4 s.
    assert!(
        router
            .client()
            .request("once", "7f3a9c21e0b4d655")
            .starts_with("-BUSY")
    );
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
}

/// Guards against requests to a server after its drain grace: nothing is sent on a connection that
/// is established after the router has learned of the drain.
#[test]
fn nothing_reaches_a_server_that_drains_while_connecting() {
    let (silent_listener, backlog_connections) = unresponsive_listener();
    let other = CacheServer::start("s-b");
    let addr = silent_listener.local_addr().unwrap();
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[endpoint_entry("s-a", addr, "up")]);
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 20.0.into();
    }
    let router = RouterProcess::start(&config);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    let mut client = router.client();
    client.send("once", "7f3a9c21e0b4d655", 16_000);
    client.write(&encode_command(&["PING"]));
    let update = endpoint_list(
        8,
        false,
        &[endpoint_entry("s-a", addr, "draining"), other.entry("up")],
    );
    discovery.write_to_watch(&format!("{update}\n"));
    let mut second = router.client();
    wait_until("the router has applied the drain", || {
        second.request("read", "00000000000000aa").contains("s-b")
    });
    drop(backlog_connections);
    let drained = CacheServer::start_on("s-a", silent_listener);
    // The request was not sent there, so it is retried at the other server.
    assert!(client.read_reply().unwrap().contains("s-b"));
    assert!(drained.commands().is_empty(), "{:?}", drained.commands());
}

/// Guards against a reset of a request that may have run, which happens if the server closes an
/// idle connection first.
#[test]
fn idle_connections_are_closed_before_the_server_closes_them() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["limits"]["conn_idle"] = 1.0.into();
    let router = RouterProcess::start(&config);
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    wait_until("the router closes the idle connection", || {
        server.connections()
            == ConnectionCounts {
                accepted: 1,
                closed: 1,
            }
    });
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().accepted, 2);
}

/// Guards against an unbounded number of idle connections: a connection is closed when keeping it
/// costs more than opening a new one.
#[test]
fn an_idle_connection_is_closed_once_it_costs_more_than_a_new_one() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["deductions"] = serde_json::json!({"connection": 0.08, "handshake": 0.001});
    let router = RouterProcess::start(&config);
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    wait_until("the router closes the idle connection", || {
        server.connections()
            == ConnectionCounts {
                accepted: 1,
                closed: 1,
            }
    });
}

#[test]
fn a_connection_that_ended_while_idle_is_not_written_to() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    assert!(client.request("once", "00000000000000aa").contains("s-a"));
    server.close_connections();
    wait_until("the idle connection is closed", || {
        server.connections()
            == ConnectionCounts {
                accepted: 1,
                closed: 1,
            }
    });
    // A request that must not run twice would fail on the closed connection.
    assert!(client.request("once", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().accepted, 2);
}

/// Asserts that a server's behavior on the connections of one key does not close the connections
/// that are used for another key.
fn assert_other_connections_stay_open(behavior: Behavior) {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    server.set_behavior("00000000000000aa", behavior);
    for _ in 0..2 {
        // The connection of the next request has been idle before.
        assert!(client.request("once", "00000000000000bb").contains("s-a"));
        std::thread::sleep(std::time::Duration::from_millis(50));
        assert!(
            client
                .request("once", "00000000000000aa")
                .starts_with("-ERR")
        );
    }
    let before = server.connections().accepted;
    for _ in 0..10 {
        assert!(client.request("once", "00000000000000bb").contains("s-a"));
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(
        server.connections().accepted <= before + 1,
        "{} additional connections",
        server.connections().accepted - before
    );
}

/// A malformed reply says nothing about idle connections, so they stay open.
#[test]
fn a_malformed_reply_closes_no_other_connection() {
    assert_other_connections_stay_open(Behavior::Reply(b"what?\r\n".to_vec()));
}

/// A connection that is lost right after its last use was not closed for idleness, so the other
/// connections stay open.
#[test]
fn a_connection_lost_in_use_closes_no_other_connection() {
    assert_other_connections_stay_open(Behavior::ReplyAndClose(Vec::new()));
}

/// The time of a handshake is not part of a server's latency: a server with slow new connections
/// and quick replies on open ones gets as many requests as before.
#[test]
fn slow_handshakes_do_not_reduce_a_servers_share() {
    let server = CacheServer::start("s-a");
    // Longer than half of the latency objective, which would be slow for a reply.
    server.set_default_behavior(Behavior::ServeSlowlyOnNewConnection(300));
    let Fleet { router, .. } = start_router(&[&server]);
    let mut clients: Vec<Client> = (0..12).map(|_| router.client()).collect();
    for round in 0..4 {
        let sent = clients.iter_mut().enumerate();
        sent.for_each(|(key, client)| client.send("read", &format!("{key:016x}"), 4_000));
        for client in &mut clients {
            let answer = client.read_reply().unwrap();
            assert!(answer.contains("s-a"), "round {round}: {answer}");
        }
        server.close_connections();
        let accepted = server.connections().accepted;
        wait_until("all connections are closed", || {
            server.connections()
                == ConnectionCounts {
                    accepted,
                    closed: accepted,
                }
        });
    }
    assert_eq!(
        server.connections().accepted,
        48,
        "a request did not use a new connection"
    );
}

/// A stale connection says nothing about its server: the request is sent to the same server on
/// another connection, and no request is rejected however often this happens.
#[test]
fn a_stale_connection_neither_diverts_the_key_nor_uses_a_retry() {
    let key = "7f3a9c21e0b4d655";
    // One of many routers starts with a small retry budget.
    let TwoServerFleet {
        owner,
        other,
        router,
        ..
    } = start_router_with_two_servers_and_settings(key, |settings| {
        settings["peers_total"] = 12.into()
    });
    let mut client = router.client();
    // The router learns the latency of the owner's replies: an attempt that fails much sooner has
    // done no work.
    owner.set_default_behavior(Behavior::ReplyAfter(100, value_reply(&owner.name)));
    let pause = || std::thread::sleep(std::time::Duration::from_millis(20));
    for _ in 0..12 {
        pause();
        assert!(client.request("read", key).contains(&owner.name));
    }
    owner.set_default_behavior(Behavior::CloseOnReuse);
    let before = owner.connections().accepted;
    for round in 0..20 {
        pause();
        let answer = client.request("read", key);
        assert!(answer.contains(&owner.name), "round {round}: {answer}");
    }
    assert!(
        owner.connections().accepted >= before + 20,
        "a request did not use a new connection"
    );
    assert!(other.commands().is_empty(), "{:?}", other.commands());
    // A request that must not run twice may have run, so it fails.
    pause();
    assert!(client.request("once", key).starts_with("-ERR"));
}
