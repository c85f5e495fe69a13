//! Operators' commands: overrides, drains and metrics. Runs the router binary against fake peers on
//! loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use test_support::*;

/// Returns keys of which each of two servers owns some.
fn keys() -> impl Iterator<Item = String> {
    (0..40).map(|i| format!("{i:016x}"))
}

/// Starts a router with these servers and an admin API.
fn start_router_with_admin(servers: &[&CacheServer]) -> (RouterProcess, Discovery, SocketAddr) {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    let mut config = configuration(discovery.addr, &known);
    let admin = unused_addr();
    config["admin"] = admin.to_string().into();
    let router = RouterProcess::start(&config);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    (router, discovery, admin)
}

fn post_server_command(admin: SocketAddr, path: &str, host: &str) -> u16 {
    http_request(admin, "POST", path, &format!(r#"{{"host":"{host}"}}"#)).status
}

fn metric_value(admin: SocketAddr, name: &str) -> f64 {
    let text = http_request(admin, "GET", "/api/telemetry", "").body;
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{name} ")));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_else(|| panic!("{name} in {text}"))
}

#[test]
fn a_disabled_server_gets_no_requests_until_it_is_enabled() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let (router, discovery, admin) = start_router_with_admin(&[&a, &b]);
    let mut client = router.client();
    let count_served_by_a = |client: &mut Client| {
        keys()
            .filter(|key| client.request("read", key).contains("s-a"))
            .count()
    };
    let served_before = count_served_by_a(&mut client);
    assert!(served_before > 0 && served_before < 40);
    assert_eq!(post_server_command(admin, "/api/exclude", "s-a"), 200);
    assert_eq!(count_served_by_a(&mut client), 0);
    // The override holds regardless of the endpoint list.
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, true, &[a.entry("up"), b.entry("up")])
    ));
    wait_until("the router has applied the list", || {
        metric_value(admin, "router_skipped_cache_servers") == 1.0
    });
    assert_eq!(
        (
            count_served_by_a(&mut client),
            metric_value(admin, "router_known_cache_servers")
        ),
        (0, 2.0)
    );
    assert_eq!(
        (
            post_server_command(admin, "/api/exclude", "s-a"),
            post_server_command(admin, "/api/include", "s-a")
        ),
        (200, 200)
    );
    assert_eq!(metric_value(admin, "router_skipped_cache_servers"), 0.0);
    wait_until("the server is used again", || {
        count_served_by_a(&mut client) > 0
    });
}

#[test]
fn an_invalid_command_is_rejected_with_one_line_and_changes_nothing() {
    let a = CacheServer::start("s-a");
    let (router, _discovery, admin) = start_router_with_admin(&[&a]);
    let named = r#"{"host":"s-a"}"#;
    let long = format!(r#"{{"host":"{}"}}"#, "s".repeat(1 << 20));
    for (method, path, body, expected) in [
        ("GET", "/", "", 404),
        ("GET", "/api/ready/", "", 404),
        ("POST", "/api/ready", "", 405),
        ("GET", "/api/exclude", named, 405),
        ("POST", "/api/exclude", "", 400),
        ("POST", "/api/exclude", "{", 400),
        ("POST", "/api/exclude", r#"{"host":7}"#, 400),
        ("POST", "/api/exclude", r#"{"host":""}"#, 400),
        ("POST", "/api/exclude", r#"{"host":"s-x"}"#, 404),
        ("POST", "/api/include", r#"{"host":"s-x"}"#, 404),
        ("POST", "/api/exclude", &long, 413),
    ] {
        let HttpResponse { status, body: text } = http_request(admin, method, path, body);
        assert_eq!(status, expected, "{method} {path}: {text}");
        assert!(
            text.starts_with("{\"error\":") && text.lines().count() == 1,
            "{method} {path}: {text}"
        );
    }
    assert_eq!(http_request_raw(admin, b"nonsense\r\n\r\n").status, 400);
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn silent_connections_and_slow_requests_delay_no_others() {
    let a = CacheServer::start("s-a");
    let (_router, _discovery, admin) = start_router_with_admin(&[&a]);
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(admin).expect("failed to connect"))
        .collect();
    assert_eq!(http_request(admin, "GET", "/api/ready", "").status, 200);
    let mut slow = TcpStream::connect(admin).expect("failed to connect");
    for byte in b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n" {
        slow.write_all(&[*byte]).expect("failed to write");
        assert_eq!(http_request(admin, "GET", "/api/ready", "").status, 200);
    }
    let mut answer = String::new();
    slow.read_to_string(&mut answer)
        .expect("connection closed without an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(silent);
}

#[test]
fn metrics_match_what_the_peers_saw() {
    let a = CacheServer::start("s-a");
    a.set_behavior(
        "00000000000000bb",
        Behavior::Reply(b"-ERR failed\r\n".to_vec()),
    );
    a.set_behavior("00000000000000cc", Behavior::ServeOnceGateOpens);
    let (router, _discovery, admin) = start_router_with_admin(&[&a]);
    let mut client = router.client();
    for _ in 0..3 {
        assert!(client.request("read", "00000000000000aa").contains("s-a"));
    }
    assert!(
        client
            .request("once", "00000000000000bb")
            .contains("-ERR failed")
    );
    let mut waiting = router.client();
    waiting.send("read", "00000000000000cc", 4_000);
    wait_until("the server has received the request", || {
        a.commands().len() == 5
    });
    assert_eq!(metric_value(admin, "router_in_progress"), 1.0);
    a.open_gate();
    assert!(waiting.read_reply().is_some());
    for (name, count) in [
        ("router_passed_total{category=\"read\"}", 4.0),
        ("router_passed_total{category=\"put\"}", 0.0),
        ("router_dropped_total{category=\"read\"}", 0.0),
        ("router_bad_gateway_total{category=\"once\"}", 1.0),
        ("router_upstream_tries_total", 5.0),
        ("router_in_progress", 0.0),
        ("router_known_cache_servers", 1.0),
        ("router_skipped_cache_servers", 0.0),
    ] {
        assert_eq!(metric_value(admin, name), count, "{name}");
    }
}

#[test]
fn a_drained_router_reports_unhealthy_and_closes_all_clients() {
    let a = CacheServer::start("s-a");
    a.set_behavior("00000000000000cc", Behavior::ServeOnceGateOpens);
    a.set_behavior("00000000000000ce", Behavior::ServeOnceGateOpens);
    let (router, _discovery, admin) = start_router_with_admin(&[&a]);
    let (mut idle, mut busy, mut pipelined) = (router.client(), router.client(), router.client());
    assert!(idle.request("read", "00000000000000aa").contains("s-a"));
    busy.send("read", "00000000000000cc", 4_000);
    pipelined.send("read", "00000000000000ce", 4_000);
    wait_until("the server has received both requests", || {
        a.commands().len() == 3
    });
    assert_eq!(http_request(admin, "POST", "/api/evacuate", "").status, 200);
    assert_eq!(idle.read_reply(), None);
    let mut health_check = router.client();
    health_check.write(&encode_command(&["PING"]));
    assert!(
        health_check
            .read_reply()
            .is_some_and(|text| text.starts_with("-ERR"))
    );
    assert_eq!(
        health_check.read_reply(),
        None,
        "the connection of the health check stayed open"
    );
    // A client that connects during the drain is served once and then closed.
    let mut late = router.client();
    assert!(late.request("read", "00000000000000aa").contains("s-a"));
    assert_eq!(late.read_reply(), None);
    assert_eq!(
        router.client().read_reply(),
        None,
        "a silent client stayed connected"
    );
    pipelined.send("read", "00000000000000dd", 4_000);
    a.open_gate();
    assert!(busy.read_reply().is_some_and(|text| text.contains("s-a")));
    assert_eq!(busy.read_reply(), None);
    assert!(
        pipelined
            .read_reply()
            .is_some_and(|text| text.contains("s-a"))
    );
    assert!(
        pipelined
            .read_reply()
            .is_some_and(|text| text.contains("s-a"))
    );
    assert_eq!(pipelined.read_reply(), None);
    // The process keeps running, and serves again after `rejoin`.
    assert_eq!(http_request(admin, "GET", "/api/ready", "").status, 200);
    assert_eq!(http_request(admin, "POST", "/api/rejoin", "").status, 200);
    let mut health_check = router.client();
    health_check.write(&encode_command(&["PING"]));
    assert_eq!(health_check.read_reply().as_deref(), Some("+PONG\r\n"));
    assert!(
        health_check
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn a_client_that_is_never_idle_is_closed_by_a_drained_router() {
    let a = CacheServer::start("s-a");
    a.set_default_behavior(Behavior::ReplyAfter(60, value_reply("s-a")));
    let (router, _discovery, admin) = start_router_with_admin(&[&a]);
    let mut client = router.client();
    client.send("read", "00000000000000aa", 4_000);
    client.send("read", "00000000000000ab", 4_000);
    assert_eq!(http_request(admin, "POST", "/api/evacuate", "").status, 200);
    let start = std::time::Instant::now();
    let mut sent = 2;
    // One more request than replies at all times.
    while client.read_reply().is_some() {
        client.write_until_closed(&encode_command(&[
            "C.GET",
            "00000000000000ac",
            &format!("id{sent}"),
            "c=read,d=4000",
        ]));
        sent += 1;
        assert!(
            start.elapsed().as_secs() < 4,
            "the drained router still reads requests"
        );
    }
    assert!(sent > 3);
}

#[test]
fn sigterm_while_drained_ends_the_process() {
    let a = CacheServer::start("s-a");
    let (mut router, _discovery, admin) = start_router_with_admin(&[&a]);
    assert_eq!(http_request(admin, "POST", "/api/evacuate", "").status, 200);
    router.terminate();
    assert_eq!(router.wait().code(), Some(0));
}
