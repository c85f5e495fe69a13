//! Replacement of a router process by another one, on a listening socket that the platform holds.
//! Runs the router binary against fake peers on loopback sockets.

use hot_restart::message::{Message, VERSION};
use hot_restart::rendezvous::RendezvousSocket;
use test_support::*;

/// Starts a cache server and a discovery service, and returns them with the configuration of a
/// router for them.
fn start_fleet() -> (CacheServer, Discovery, serde_json::Value) {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let config = configuration(discovery.addr, &[server.entry("up")]);
    (server, discovery, config)
}

#[test]
fn the_listener_is_the_descriptor_that_the_platform_holds() {
    let (_server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let router = platform.start(&config);
    assert_eq!(router.addr, platform.addr());
    assert!(
        router
            .client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn an_unusable_descriptor_prevents_the_start_with_a_one_line_error() {
    let (_server, _discovery, config) = start_fleet();
    for (before, expected) in [
        (
            "export GW_FD=three;",
            "GW_FD: 'three' is not a file descriptor number",
        ),
        ("export GW_FD=-1;", "GW_FD: descriptor -1: "),
        ("export GW_FD=999;", "GW_FD: descriptor 999: "),
        (
            "exec 3</dev/null; export GW_FD=3;",
            "GW_FD: descriptor 3: is no listening TCP socket",
        ),
    ] {
        let Exit { status, log } = run_to_end_with_shell_commands(&config.to_string(), before);
        assert_eq!(status.code(), Some(2), "{log}");
        assert!(
            log.starts_with(&format!("asterport: {expected}")) && log.lines().count() == 1,
            "{log}"
        );
    }
}

/// Returns the configuration with a separate address for the admin API, and that address.
fn with_admin_address(config: &serde_json::Value) -> (serde_json::Value, std::net::SocketAddr) {
    let (mut config, admin) = (config.clone(), unused_addr());
    config["admin"] = admin.to_string().into();
    (config, admin)
}

fn is_ready(admin: std::net::SocketAddr) -> bool {
    std::net::TcpStream::connect(admin).is_ok()
        && http_request(admin, "GET", "/api/ready", "").status == 200
}

#[test]
fn clients_keep_their_connections_over_ten_replacements() {
    let (server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let mut old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    let mut clients: Vec<Client> = (0..8).map(|_| old.client()).collect();
    for _ in 0..10 {
        let (next, admin) = with_admin_address(&config);
        let new = platform.start(&next);
        wait_until("the new process is ready", || is_ready(admin));
        old.terminate();
        for client in &mut clients {
            assert!(client.request("read", "00000000000000aa").contains("s-a"));
        }
        assert_eq!(old.wait().code(), Some(0));
        for client in &mut clients {
            assert!(client.request("read", "00000000000000aa").contains("s-a"));
        }
        old = new;
    }
    assert!(server.commands().len() >= 160);
}

#[test]
fn connections_with_an_incomplete_command_or_a_pending_reply_are_handed_over() {
    let (server, _discovery, config) = start_fleet();
    server.set_behavior("00000000000000cc", Behavior::ServeOnceGateOpens);
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let mut old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    let (mut half, mut pending) = (old.client(), old.client());
    let text = encode_command(&["C.GET", "00000000000000aa", "id-half", "c=read,d=4000"]);
    let (begin, end) = text.split_at(20);
    half.write(begin);
    pending.send("read", "00000000000000cc", 4_000);
    wait_until("the server has received the request", || {
        !server.commands().is_empty()
    });
    let (next, admin) = with_admin_address(&config);
    let new = platform.start(&next);
    wait_until("the new process is ready", || is_ready(admin));
    old.terminate();
    half.write(end);
    assert!(half.read_reply().is_some_and(|text| text.contains("s-a")));
    server.open_gate();
    assert!(
        pending
            .read_reply()
            .is_some_and(|text| text.contains("s-a"))
    );
    assert_eq!(old.wait().code(), Some(0));
    assert!(pending.request("read", "00000000000000aa").contains("s-a"));
    assert!(new.log_contains("2 connections taken over"));
}

#[test]
fn a_successor_that_dies_returns_the_service_to_its_predecessor() {
    let (_server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    let (next, new_admin) = with_admin_address(&config);
    let new = platform.start(&next);
    wait_until("the new process is ready", || is_ready(new_admin));
    // Kills the new process.
    drop(new);
    wait_until("the old process serves again", || is_ready(admin));
    assert!(
        old.client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
    // A further process takes over from the old one.
    let (next, new_admin) = with_admin_address(&config);
    let _new = platform.start(&next);
    wait_until("the new process is ready", || is_ready(new_admin));
    assert!(!is_ready(admin));
}

#[test]
fn an_override_survives_a_replacement_and_later_ones_reach_both_processes() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let config = configuration(discovery.addr, &[a.entry("up"), b.entry("up")]);
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let mut old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    let post_override = |admin, path: &str, host: &str| {
        assert_eq!(
            http_request(admin, "POST", path, &format!(r#"{{"host":"{host}"}}"#)).status,
            200
        );
    };
    let has_disabled_server = |admin| {
        http_request(admin, "GET", "/api/telemetry", "")
            .body
            .contains("router_skipped_cache_servers 1")
    };
    post_override(admin, "/api/exclude", "s-a");
    let (next, new_admin) = with_admin_address(&config);
    let new = platform.start(&next);
    wait_until("the new process is ready", || is_ready(new_admin));
    assert!(has_disabled_server(new_admin));
    let mut client = new.client();
    for i in 0..20 {
        assert!(client.request("read", &format!("{i:016x}")).contains("s-b"));
    }
    // While both processes run, an override in one also applies in the other.
    post_override(new_admin, "/api/include", "s-a");
    wait_until("the old process has applied the override", || {
        !has_disabled_server(admin)
    });
    post_override(admin, "/api/exclude", "s-b");
    wait_until("the new process has applied the override", || {
        has_disabled_server(new_admin)
    });
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    // After a kill and a new start, the overrides are read from disk.
    drop(new);
    let (next, admin) = with_admin_address(&config);
    let last = platform.start(&next);
    wait_until("the process is ready", || is_ready(admin));
    assert!(has_disabled_server(admin));
    assert!(
        last.client()
            .request("read", "00000000000000aa")
            .contains("s-a")
    );
}

/// Guards against losing an acknowledged override in a kill because its write failed once and was
/// not retried.
#[test]
fn an_override_that_could_not_be_written_at_first_survives_a_kill() {
    let (_server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let path = platform.directory.join("asterport-n1.state");
    // A directory in place of the temporary file makes every write fail.
    let obstacle = path.with_extension("state.new");
    std::fs::create_dir(&obstacle).expect("failed to create a directory");
    let (first, admin) = with_admin_address(&config);
    let router = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    assert_eq!(
        http_request(admin, "POST", "/api/exclude", r#"{"host":"s-a"}"#).status,
        200
    );
    assert!(!path.exists());
    std::fs::remove_dir(&obstacle).expect("failed to remove the directory");
    wait_until("the state file is written", || path.exists());
    drop(router);
    let (next, admin) = with_admin_address(&config);
    let _next = platform.start(&next);
    wait_until("the process is ready", || is_ready(admin));
    let metrics = http_request(admin, "GET", "/api/telemetry", "").body;
    assert!(
        metrics.contains("router_skipped_cache_servers 1"),
        "{metrics}"
    );
}

#[test]
fn an_unusable_state_file_is_logged_and_the_router_starts() {
    let (_server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let path = platform.directory.join("asterport-n1.state");
    let (first, admin) = with_admin_address(&config);
    let router = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    assert_eq!(
        http_request(admin, "POST", "/api/exclude", r#"{"host":"s-a"}"#).status,
        200
    );
    drop(router);
    let good = std::fs::read(&path).expect("failed to read the state file");
    let mut corrupted = good.clone();
    corrupted[10] ^= 1;
    for (bytes, expected) in [
        (&good[..good.len() - 1], "cut off"),
        (&good[..3], "cut off"),
        (&corrupted, "checksum"),
    ] {
        std::fs::write(&path, bytes).expect("failed to write");
        let (config, admin) = with_admin_address(&config);
        let router = platform.start(&config);
        wait_until("the process is ready", || is_ready(admin));
        assert!(
            router.log_contains(expected),
            "{:?}",
            router.log.lock().unwrap()
        );
        assert!(
            router
                .client()
                .request("read", "00000000000000aa")
                .contains("s-a")
        );
    }
}

#[test]
fn a_drain_is_handed_over() {
    let (_server, _discovery, config) = start_fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let mut old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    assert_eq!(http_request(admin, "POST", "/api/evacuate", "").status, 200);
    let (next, admin) = with_admin_address(&config);
    let new = platform.start(&next);
    wait_until("the new process is ready", || is_ready(admin));
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    let mut health_check = new.client();
    health_check.write(&encode_command(&["PING"]));
    assert!(
        health_check
            .read_reply()
            .is_some_and(|text| text.starts_with("-ERR"))
    );
    assert_eq!(http_request(admin, "POST", "/api/rejoin", "").status, 200);
    let mut health_check = new.client();
    health_check.write(&encode_command(&["PING"]));
    assert_eq!(health_check.read_reply().as_deref(), Some("+PONG\r\n"));
}

/// The connection of a pending request stays with the old process, which does not read from it. The
/// old process detects a disconnect nevertheless.
#[test]
fn a_disconnect_during_a_hand_over_is_detected() {
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
    let platform = Platform::new();
    let (first, admin) = with_admin_address(&config);
    let old = platform.start(&first);
    wait_until("the process is ready", || is_ready(admin));
    let mut leaving = old.client();
    leaving.write(&encode_command(&[
        "C.GET",
        "00000000000000aa",
        "left",
        "c=read,t=acme,d=15000",
    ]));
    leaving.write(&encode_command(&["PING"]));
    let (next, next_admin) = with_admin_address(&config);
    let new = platform.start(&next);
    wait_until("the new process serves", || {
        is_ready(next_admin) && !is_ready(admin)
    });
    // Returns long before the request's deadline, without a reply.
    leaving.disconnect();
    drop(backlog_connections);
    let server = CacheServer::start_on("s-a", silent_listener);
    let mut client = new.client();
    wait_until("the new process reaches the server", || {
        client.request("read", "00000000000000aa").contains("s-a")
    });
    assert!(
        server
            .commands()
            .iter()
            .all(|arguments| arguments[2] != "left"),
        "{:?}",
        server.commands()
    );
}

/// Guards against a process that still ends while its successor has been replaced itself, and then takes
/// the place at which new processes look for the one that serves: a drain is gone with the next one.
#[test]
fn a_drain_lasts_when_a_process_outlives_its_successor() {
    const HANGING_KEY: &str = "00000000000000ee";
    let (server, _discovery, config) = start_fleet();
    server.set_behavior(HANGING_KEY, Behavior::StaySilent);
    let platform = Platform::new();
    let start_next = || {
        let (next, admin) = with_admin_address(&config);
        let process = platform.start(&next);
        wait_until("the process is ready", || is_ready(admin));
        (process, admin)
    };
    let (first, _) = start_next();
    let mut hanging = first.client();
    hanging.send("once", HANGING_KEY, 4_000);
    wait_until("the server hangs", || !server.commands().is_empty());
    let (mut second, _) = start_next();
    first.terminate();
    let (mut third, admin) = start_next();
    second.terminate();
    second.wait();
    wait_until(
        "the first process notices that its successor has ended",
        || first.log_contains("connection to the successor process lost"),
    );
    let drained = http_request(admin, "POST", "/api/evacuate", "");
    assert_eq!(drained.status, 200);
    let (next, admin) = with_admin_address(&config);
    let fourth = platform.start(&next);
    wait_until("the process is ready", || is_ready(admin));
    third.terminate();
    third.wait();
    let mut client = fourth.client();
    client.write(&encode_command(&["PING"]));
    assert_eq!(client.read_reply().as_deref(), Some("-ERR drained\r\n"));
}

/// Number of listed servers of which the state is longer than a socket buffers.
const LONG_LIST_SERVERS: usize = 8_000;

/// Guards against an override that the new process never hears of, since an operator set it while the state was
/// on its way.
#[tokio::test]
async fn an_override_that_is_set_while_the_state_is_sent_reaches_the_new_process() {
    let (server, _discovery, mut config) = start_fleet();
    let mut known = vec![server.entry("up")];
    known.extend((0..LONG_LIST_SERVERS).map(|number| {
        let addr = std::net::SocketAddr::from(([127, 9, 0, 1], 1_000 + number as u16));
        endpoint_entry(&format!("s-{number}"), addr, "draining")
    }));
    let known = endpoint_list(7, true, &known);
    config["known"] = serde_json::from_str(&known).expect("malformed endpoint list");
    let platform = Platform::new();
    let (config, admin) = with_admin_address(&config);
    let _router = platform.start(&config);
    wait_until("the process is ready", || is_ready(admin));
    let socket = RendezvousSocket::new(&platform.directory, "n1");
    let channel = socket.connect().await.expect("no rendezvous socket");
    let hello = Message::Hello {
        version: VERSION,
        name: "n1".into(),
    };
    channel.send(&hello, None).await.expect("failed to send");
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let exclude = http_request(admin, "POST", "/api/exclude", r#"{"host":"s-a"}"#);
    assert_eq!(exclude.status, 200);
    let (state, _) = channel.receive().await.expect("failed to receive");
    let state = state.into_state("n1").expect("no state");
    let is_known = !state.overrides.is_empty();
    let is_told = async {
        let next = channel.receive();
        tokio::time::timeout(std::time::Duration::from_secs(1), next)
            .await
            .is_ok()
    };
    assert!(is_known || is_told.await, "the override is lost");
}
