//! Clients that disconnect while their requests are waiting: nothing is sent upstream for them
//! afterwards. Runs the router binary against fake peers on loopback sockets. Each test forces the
//! order of events through a fake peer.

use test_support::*;

/// Returns the request ids of all commands that a server has received.
fn received_ids(server: &CacheServer) -> Vec<String> {
    server
        .commands()
        .into_iter()
        .map(|arguments| arguments[2].clone())
        .collect()
}

fn encode_read(key: &str, id: &str) -> Vec<u8> {
    encode_command(&["C.GET", key, id, "c=read,t=acme,d=15000"])
}

const KEY: &str = "7f3a9c21e0b4d655";

/// Starts a router with one server, to which connections cannot be established until the returned
/// backlog connections are dropped.
fn start_router_with_unresponsive_server() -> (
    RouterProcess,
    Discovery,
    std::net::TcpListener,
    Vec<std::net::TcpStream>,
) {
    let (silent_listener, backlog_connections) = unresponsive_listener();
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(
        discovery.addr,
        &[endpoint_entry(
            "s-a",
            silent_listener.local_addr().unwrap(),
            "up",
        )],
    );
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 20.0.into();
    }
    let router =
        RouterProcess::start_with_operator_file(&config, "[summary]\nevery_second = true\n");
    (router, discovery, silent_listener, backlog_connections)
}

#[test]
fn a_connection_established_after_the_disconnect_is_pooled_unused() {
    let (router, discovery, silent_listener, backlog_connections) =
        start_router_with_unresponsive_server();
    let mut leaving = router.client();
    leaving.write(&encode_command(&["PING"]));
    assert_eq!(leaving.read_reply().as_deref(), Some("+PONG\r\n"));
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    let before = router.descriptors();
    leaving.write(&encode_read(KEY, "left"));
    wait_until("the router connects to the server", || {
        router.descriptors() > before
    });
    // The router detects the disconnect before the connection can be established.
    leaving.disconnect();
    drop(backlog_connections);
    let server = CacheServer::start_on("s-a", silent_listener);
    wait_until("the connection is established", || {
        router.log_contains(" opened=1 ")
    });
    let mut client = router.client();
    client.write(&encode_read(KEY, "stayed"));
    assert!(client.read_reply().unwrap().contains("s-a"));
    assert_eq!(received_ids(&server), ["stayed"]);
    wait_until("the request was written to that connection", || {
        router.log_contains(" written=1 ")
    });
    assert_eq!(
        router
            .log
            .lock()
            .unwrap()
            .iter()
            .filter(|line| line.contains(" opened="))
            .count(),
        1
    );
}

#[test]
fn a_request_waiting_for_a_connection_slot_is_not_sent_after_the_disconnect() {
    let server = CacheServer::start("s-a");
    server.set_default_behavior(Behavior::StaySilent);
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    // Connection slots for two clients and two connections to cache servers.
    config["limits"]["sockets"] = 52.into();
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 20.0.into();
    }
    let router = RouterProcess::start(&config);
    let mut client = router.client();
    client.send("once", KEY, 15_000);
    client.send("once", KEY, 15_000);
    wait_until("both connection slots are in use", || {
        server.commands().len() == 2
    });
    let mut leaving = router.client();
    leaving.write(&encode_read(KEY, "left"));
    leaving.disconnect();
    server.set_default_behavior(Behavior::Serve);
    server.close_connections();
    assert!(
        client.read_reply().unwrap().starts_with("-ERR")
            && client.read_reply().unwrap().starts_with("-ERR")
    );
    client.write(&encode_read(KEY, "stayed"));
    assert!(client.read_reply().unwrap().contains("s-a"));
    assert!(
        !received_ids(&server).contains(&"left".to_string()),
        "{:?}",
        received_ids(&server)
    );
}

#[test]
fn a_connection_to_a_replaced_server_is_not_reused_for_its_replacement() {
    let (server, new) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let Fleet { router, discovery } = start_router(&[&server]);
    server.set_behavior(KEY, Behavior::ServeOnceGateOpens);
    let mut client = router.client();
    client.write(&encode_read(KEY, "before"));
    wait_until("the server has received the request", || {
        server.commands().len() == 1
    });
    let restarted = server
        .entry("up")
        .replace(r#""born_ms":0"#, r#""born_ms":1700000000000"#);
    discovery.write_to_watch(&format!(
        "{}\n",
        endpoint_list(8, false, &[restarted, new.entry("up")])
    ));
    // Requests for different keys, until a reply of the new server shows that the list is applied.
    let (mut other, mut key) = (router.client(), 0);
    wait_until("the router has applied the list", || {
        key += 1;
        let probe_key = format!("{key:016x}");
        // A reply of the other server shows nothing.
        server.set_behavior(&probe_key, Behavior::Reply(value_reply("old")));
        other.request("read", &probe_key).contains("s-b")
    });
    let opened = server.connections().accepted;
    server.open_gate();
    assert!(client.read_reply().unwrap().contains("s-a"));
    let connection_of = |id: &str| {
        server
            .recorded_commands()
            .into_iter()
            .find(|command| command.arguments[2] == id)
            .expect("the server has not received the command")
            .connection
    };
    // Longer than a connection has to be quiet before it returns to the pool.
    std::thread::sleep(std::time::Duration::from_millis(100));
    // More concurrent requests than there are pooled connections.
    for number in 0..=opened {
        client.write(&encode_read("000000000000aaaa", &format!("after-{number}")));
        client.write(&encode_read(KEY, &format!("same-{number}")));
    }
    for _ in 0..=opened {
        assert!(client.read_reply().is_some() && client.read_reply().is_some());
    }
    let before = connection_of("before");
    assert!(
        server
            .recorded_commands()
            .iter()
            .all(|command| command.connection != before || command.arguments[2] == "before")
    );
}

/// The end of the stream follows commands that the router does not read while the pipeline is full.
#[test]
fn a_disconnect_behind_a_full_pipeline_is_detected() {
    let (router, _discovery, silent_listener, backlog_connections) =
        start_router_with_unresponsive_server();
    let mut leaving = router.client();
    (0..100).for_each(|number| leaving.write(&encode_read(KEY, &format!("left-{number}"))));
    // Returns long before the deadline of the first request, without a reply.
    leaving.disconnect();
    drop(backlog_connections);
    let server = CacheServer::start_on("s-a", silent_listener);
    // A cancelled request counts against the server's concurrency limit until its connection is
    // established.
    let mut client = router.client();
    wait_until("the server serves again", || {
        client.request("read", KEY).contains("s-a")
    });
    assert!(
        received_ids(&server)
            .iter()
            .all(|id| !id.starts_with("left")),
        "{:?}",
        received_ids(&server)
    );
}

/// The error reply is still sent, but the requests before it are cancelled.
#[test]
fn a_disconnect_after_a_malformed_command_is_detected() {
    let (router, _discovery, silent_listener, backlog_connections) =
        start_router_with_unresponsive_server();
    let mut leaving = router.client();
    leaving.write(&encode_read(KEY, "left"));
    leaving.write(b"what?\r\n");
    let start = std::time::Instant::now();
    leaving.shutdown_write();
    assert_eq!(
        leaving.read_to_end(),
        b"-ERR failed\r\n-ERR protocol error\r\n"
    );
    assert!(
        start.elapsed().as_secs() < 10,
        "the request was not cancelled before its deadline"
    );
    drop(backlog_connections);
    let server = CacheServer::start_on("s-a", silent_listener);
    let mut client = router.client();
    client.write(&encode_read(KEY, "stayed"));
    assert!(client.read_reply().unwrap().contains("s-a"));
    assert_eq!(received_ids(&server), ["stayed"]);
}
