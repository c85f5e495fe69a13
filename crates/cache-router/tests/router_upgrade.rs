//! One process of the router after another, on a listening socket that the platform holds. The real binary against
//! fake peers on loopback sockets.

use test_support::*;

/// A server, its discovery, and the configuration of a router that knows it.
fn fleet() -> (Server, Discovery, serde_json::Value) {
    let server = Server::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let config = config(discovery.addr, &[server.entry("up")]);
    (server, discovery, config)
}

#[test]
fn the_listener_is_the_descriptor_that_the_platform_holds() {
    let (_server, _discovery, config) = fleet();
    let platform = Platform::new();
    let router = platform.start(&config);
    assert_eq!(router.addr, platform.addr());
    assert!(
        router
            .client()
            .ask("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn a_descriptor_that_is_no_such_listener_is_one_plain_line() {
    let (_server, _discovery, config) = fleet();
    for (before, expected) in [
        ("export GW_FD=three;", "GW_FD: 'three' is not a descriptor"),
        ("export GW_FD=-1;", "GW_FD: descriptor -1: "),
        ("export GW_FD=999;", "GW_FD: descriptor 999: "),
        (
            "exec 3</dev/null; export GW_FD=3;",
            "GW_FD: descriptor 3: is no listening TCP socket",
        ),
    ] {
        let (status, log) = run_to_end_after(&config.to_string(), before);
        assert_eq!(status.code(), Some(2), "{log}");
        assert!(
            log.starts_with(&format!("asterport: {expected}")) && log.lines().count() == 1,
            "{log}"
        );
    }
}

/// The configuration with another address for operators.
fn with_admin(config: &serde_json::Value) -> (serde_json::Value, std::net::SocketAddr) {
    let (mut config, admin) = (config.clone(), free_addr());
    config["admin"] = admin.to_string().into();
    (config, admin)
}

fn is_ready(admin: std::net::SocketAddr) -> bool {
    std::net::TcpStream::connect(admin).is_ok() && call(admin, "GET", "/api/ready", "").0 == 200
}

#[test]
fn clients_keep_their_connections_over_ten_replacements() {
    let (server, _discovery, config) = fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let mut old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    let mut clients: Vec<Client> = (0..8).map(|_| old.client()).collect();
    for _ in 0..10 {
        let (next, admin) = with_admin(&config);
        let new = platform.start(&next);
        wait_until("the next is ready", || is_ready(admin));
        old.terminate();
        for client in &mut clients {
            assert!(client.ask("read", "00000000000000aa").contains("s-a"));
        }
        assert_eq!(old.wait().code(), Some(0));
        for client in &mut clients {
            assert!(client.ask("read", "00000000000000aa").contains("s-a"));
        }
        old = new;
    }
    assert!(server.commands().len() >= 160);
}

#[test]
fn a_half_written_command_and_one_that_is_owed_an_answer_go_over() {
    let (server, _discovery, config) = fleet();
    server.does("00000000000000cc", Does::ServesLater);
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let mut old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    let (mut half, mut owed) = (old.client(), old.client());
    let text = command(&["C.GET", "00000000000000aa", "id-half", "c=read,d=4000"]);
    let (begin, end) = text.split_at(20);
    half.write(begin);
    owed.send("read", "00000000000000cc", 4_000);
    wait_until("it is at the server", || !server.commands().is_empty());
    let (next, admin) = with_admin(&config);
    let new = platform.start(&next);
    wait_until("the next is ready", || is_ready(admin));
    old.terminate();
    half.write(end);
    assert!(half.answer().is_some_and(|text| text.contains("s-a")));
    server.open_gate();
    assert!(owed.answer().is_some_and(|text| text.contains("s-a")));
    assert_eq!(old.wait().code(), Some(0));
    assert!(owed.ask("read", "00000000000000aa").contains("s-a"));
    assert!(new.log_has("2 connections taken over"));
}

#[test]
fn a_process_that_dies_after_it_took_over_leaves_the_service_to_the_old_one() {
    let (_server, _discovery, config) = fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    let (next, new_admin) = with_admin(&config);
    let new = platform.start(&next);
    wait_until("the next is ready", || is_ready(new_admin));
    // Killed.
    drop(new);
    wait_until("the old one serves again", || is_ready(admin));
    assert!(old.client().ask("read", "00000000000000aa").contains("s-a"));
    // And the one after that takes over from it.
    let (next, new_admin) = with_admin(&config);
    let _new = platform.start(&next);
    wait_until("the next is ready", || is_ready(new_admin));
    assert!(!is_ready(admin));
}

#[test]
fn a_ban_holds_over_a_replacement_and_both_processes_hear_of_the_next() {
    let (a, b) = (Server::start("s-a"), Server::start("s-b"));
    let discovery = Discovery::start(list(7, false, &[]));
    let config = config(discovery.addr, &[a.entry("up"), b.entry("up")]);
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let mut old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    let ban = |admin, path: &str, host: &str| {
        assert_eq!(
            call(admin, "POST", path, &format!(r#"{{"host":"{host}"}}"#)).0,
            200
        );
    };
    let skipped = |admin| {
        call(admin, "GET", "/api/telemetry", "")
            .1
            .contains("router_skipped_cache_servers 1")
    };
    ban(admin, "/api/exclude", "s-a");
    let (next, new_admin) = with_admin(&config);
    let new = platform.start(&next);
    wait_until("the next is ready", || is_ready(new_admin));
    assert!(skipped(new_admin));
    let mut client = new.client();
    for i in 0..20 {
        assert!(client.ask("read", &format!("{i:016x}")).contains("s-b"));
    }
    // Both run: what one is told holds at the other.
    ban(new_admin, "/api/include", "s-a");
    wait_until("the old one has heard", || !skipped(admin));
    ban(admin, "/api/exclude", "s-b");
    wait_until("the new one has heard", || skipped(new_admin));
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    // Killed, and started anew: the word is on disk.
    drop(new);
    let (next, admin) = with_admin(&config);
    let last = platform.start(&next);
    wait_until("it is ready", || is_ready(admin));
    assert!(skipped(admin));
    assert!(
        last.client()
            .ask("read", "00000000000000aa")
            .contains("s-a")
    );
}

#[test]
fn a_state_file_that_cannot_be_used_is_one_line_and_the_router_starts() {
    let (_server, _discovery, config) = fleet();
    let platform = Platform::new();
    let path = platform.folder.join("asterport-n1.state");
    let (first, admin) = with_admin(&config);
    let router = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    assert_eq!(
        call(admin, "POST", "/api/exclude", r#"{"host":"s-a"}"#).0,
        200
    );
    drop(router);
    let good = std::fs::read(&path).expect("the file");
    let mut spoilt = good.clone();
    spoilt[10] ^= 1;
    for (bytes, expected) in [
        (&good[..good.len() - 1], "cut off"),
        (&good[..3], "cut off"),
        (&spoilt, "checksum"),
    ] {
        std::fs::write(&path, bytes).expect("written");
        let (config, admin) = with_admin(&config);
        let router = platform.start(&config);
        wait_until("it is ready", || is_ready(admin));
        assert!(router.log_has(expected), "{:?}", router.log.lock().unwrap());
        assert!(
            router
                .client()
                .ask("read", "00000000000000aa")
                .contains("s-a")
        );
    }
}

#[test]
fn a_drain_goes_over_to_the_next_process() {
    let (_server, _discovery, config) = fleet();
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let mut old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    assert_eq!(call(admin, "POST", "/api/evacuate", "").0, 200);
    let (next, admin) = with_admin(&config);
    let new = platform.start(&next);
    wait_until("the next is ready", || is_ready(admin));
    old.terminate();
    assert_eq!(old.wait().code(), Some(0));
    let mut front = new.client();
    front.write(&command(&["PING"]));
    assert!(front.answer().is_some_and(|text| text.starts_with("-ERR")));
    assert_eq!(call(admin, "POST", "/api/rejoin", "").0, 200);
    let mut front = new.client();
    front.write(&command(&["PING"]));
    assert_eq!(front.answer().as_deref(), Some("+PONG\r\n"));
}

/// What is owed on a connection keeps it here, unread: its client's end is seen all the same.
#[test]
fn a_client_that_leaves_during_a_hand_over_has_left() {
    let (silent, fillers) = silent_listener();
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = config(
        discovery.addr,
        &[entry("s-a", silent.local_addr().unwrap(), "up")],
    );
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 20.0.into();
    }
    let platform = Platform::new();
    let (first, admin) = with_admin(&config);
    let old = platform.start(&first);
    wait_until("it is ready", || is_ready(admin));
    let mut leaving = old.client();
    leaving.write(&command(&[
        "C.GET",
        "00000000000000aa",
        "left",
        "c=read,t=acme,d=15000",
    ]));
    leaving.write(&command(&["PING"]));
    let (next, next_admin) = with_admin(&config);
    let new = platform.start(&next);
    wait_until("the next serves", || {
        is_ready(next_admin) && !is_ready(admin)
    });
    // Long before its time is up, without an answer.
    leaving.leave();
    drop(fillers);
    let server = Server::on("s-a", silent);
    let mut client = new.client();
    wait_until("the server is there", || {
        client.ask("read", "00000000000000aa").contains("s-a")
    });
    assert!(
        server.commands().iter().all(|words| words[2] != "left"),
        "{:?}",
        server.commands()
    );
}
