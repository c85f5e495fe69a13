//! Attempts at cache servers: connections, outcomes, and the bytes on the wire. The real binary against stand-ins on
//! loopback sockets.

use std::time::Instant;
use test_support::*;

#[test]
fn requests_are_forwarded_unchanged_except_for_the_deadline() {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.write(&command(&["PING"]));
    assert_eq!(client.read_reply().unwrap(), "+PONG\r\n");
    client.write(&command(&[
        "C.GET",
        "7f3a9c21e0b4d655",
        "9b1f",
        "c=read,t=acme,d=900,h=1200,size=2.172",
    ]));
    assert_eq!(
        client.read_reply().unwrap().into_bytes(),
        value_reply("s-a")
    );
    // A connection is used again once it has stayed quiet for a moment.
    std::thread::sleep(std::time::Duration::from_millis(100));
    client.write(&command(&[
        "C.SET",
        "7f3a9c21e0b4d655",
        "9b20",
        "c=put,t=acme,d=900,k=5c0f",
        "answers",
    ]));
    assert_eq!(
        client.read_reply().unwrap().into_bytes(),
        value_reply("s-a")
    );
    let commands = server.commands();
    let wait = |fields: &str| {
        fields
            .split(",d=")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    let (read, write) = (&commands[0], &commands[1]);
    assert_eq!(read[..3], ["C.GET", "7f3a9c21e0b4d655", "9b1f"]);
    assert!((1..=900).contains(&wait(&read[3])), "{}", read[3]);
    assert_eq!(
        read[3].replace(&format!("d={}", wait(&read[3])), "d="),
        "c=read,t=acme,d=,h=1200,size=2.172"
    );
    assert_eq!(write[..3], ["C.SET", "7f3a9c21e0b4d655", "9b20"]);
    assert_eq!(write[4], "answers");
    assert!(write[3].ends_with(",k=5c0f"));
    assert_eq!(
        server.connections().accepted,
        1,
        "the second request takes the idle connection"
    );
}

/// Each row of the table of what comes back, with a request that must never run twice: it is declined only where
/// nothing can have run.
#[test]
fn every_row_of_the_outcome_table() {
    let null = b"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n".to_vec();
    let rows = [
        ("a value", Behavior::Serve, "*3"),
        (
            "an error",
            Behavior::Reply(b"-ERR failed\r\n".to_vec()),
            "-ERR",
        ),
        (
            "an error with a load report",
            Behavior::Reply(b"-ERR failed inflight=7,queue=2\r\n".to_vec()),
            "-ERR",
        ),
        ("busy", Behavior::Reply(b"-BUSY\r\n".to_vec()), "-BUSY"),
        (
            "busy with a load report",
            Behavior::Reply(b"-BUSY inflight=7,queue=2\r\n".to_vec()),
            "-BUSY",
        ),
        ("a null", Behavior::Reply(null), "-ERR"),
        ("no value", Behavior::Reply(b"*0\r\n".to_vec()), "-ERR"),
        ("another form", Behavior::Reply(b":7\r\n".to_vec()), "-ERR"),
        ("no RESP", Behavior::Reply(b"what?\r\n".to_vec()), "-ERR"),
        (
            "an end after the command",
            Behavior::ReplyAndClose(Vec::new()),
            "-ERR",
        ),
        (
            "an end within the value",
            Behavior::ReplyAndClose(b"*3\r\n$9\r\nhalf".to_vec()),
            "-ERR",
        ),
        ("nothing", Behavior::StaySilent, "-ERR"),
    ];
    for (what, does, expected) in rows {
        let server = CacheServer::start("s-a");
        server.set_default_behavior(does);
        let Fleet { router, .. } = start_router(&[&server]);
        let mut client = router.client();
        client.send("once", "7f3a9c21e0b4d655", 300);
        let answer = client
            .read_reply()
            .unwrap_or_else(|| panic!("{what}: no answer"));
        assert!(answer.starts_with(expected), "{what}: {answer}");
        assert_eq!(server.commands().len(), 1, "{what}: sent once");
        client.write(&command(&["PING"]));
        assert_eq!(
            client.read_reply().unwrap(),
            "+PONG\r\n",
            "{what}: one answer"
        );
    }
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let server = CacheServer::start("s-a");
    let closed = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let discovery = Discovery::start(list(7, false, &[]));
    let router = RouterProcess::start(&configuration(
        discovery.addr,
        &[entry(&server.name, closed, "up")],
    ));
    let start = Instant::now();
    let answer = router.client().request("once", "7f3a9c21e0b4d655");
    // At once, and with the time in milliseconds after which to retry.
    let retry_after = answer
        .strip_prefix("-BUSY ")
        .unwrap_or_else(|| panic!("{answer}"));
    assert!(
        (1..=1_000).contains(&retry_after.trim_end().parse::<u64>().unwrap()),
        "{answer}"
    );
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
    assert!(server.commands().is_empty());
}

#[test]
fn connecting_has_a_timeout_of_its_own() {
    let (silent, _fillers) = unresponsive_listener();
    let discovery = Discovery::start(list(7, false, &[]));
    let router = RouterProcess::start(&configuration(
        discovery.addr,
        &[entry("s-a", silent.local_addr().unwrap(), "up")],
    ));
    let start = Instant::now();
    // Declined: the proof that nothing ran. And long before the client's 4 s are up.
    assert!(
        router
            .client()
            .request("once", "7f3a9c21e0b4d655")
            .starts_with("-BUSY")
    );
    assert!(start.elapsed().as_millis() < 3_000, "{:?}", start.elapsed());
}

/// Guards the drain grace: a connection that comes up after the notice carries nothing.
#[test]
fn nothing_reaches_a_server_that_drains_while_connecting() {
    let (silent, fillers) = unresponsive_listener();
    let other = CacheServer::start("s-b");
    let addr = silent.local_addr().unwrap();
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[entry("s-a", addr, "up")]);
    config["settings"]["limits"]["dial_timeout"] = 15.0.into();
    for class in config["settings"]["request_classes"]
        .as_array_mut()
        .unwrap()
    {
        class["give_up"] = 20.0.into();
    }
    let router = RouterProcess::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    let mut client = router.client();
    client.send("once", "7f3a9c21e0b4d655", 16_000);
    client.write(&command(&["PING"]));
    let news = list(
        8,
        false,
        &[entry("s-a", addr, "draining"), other.entry("up")],
    );
    discovery.write_to_watch(&format!("{news}\n"));
    let mut second = router.client();
    wait_until("the drain is known", || {
        second.request("read", "00000000000000aa").contains("s-b")
    });
    drop(fillers);
    let drained = CacheServer::on("s-a", silent);
    // It never ran there, so that it may go to the other server.
    assert!(client.read_reply().unwrap().contains("s-b"));
    assert!(drained.commands().is_empty(), "{:?}", drained.commands());
}

#[test]
fn a_keyed_write_that_may_have_run_is_retried_unchanged() {
    let key = "7f3a9c21e0b4d655";
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair(key);
    owner.set_default_behavior(Behavior::ReplyAndClose(Vec::new()));
    let mut client = router.client();
    assert!(client.request("put", key).contains(&other.name));
    let (first, second) = (
        owner.commands().pop().unwrap(),
        other.commands().pop().unwrap(),
    );
    assert_eq!(first[..3], second[..3]);
    assert!(first[3].ends_with(",k=5c0f") && second[3].ends_with(",k=5c0f"));
    assert_eq!(first[4], second[4]);
}

/// Guards a failing origin: on sockets an error does not tell that a fetch failed, only its time does.
#[test]
fn a_failed_fetch_is_not_retried_elsewhere_and_a_quick_error_is() {
    let (a, b) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let error = b"-ERR failed\r\n".to_vec();
    for server in [&a, &b] {
        server.set_behavior("00000000000000aa", Behavior::Reply(error.clone()));
        server.set_behavior("00000000000000bb", Behavior::ReplyAfter(600, error.clone()));
    }
    let Fleet { router, .. } = start_router(&[&a, &b]);
    let mut client = router.client();
    let sent = |key: &str| {
        a.commands()
            .iter()
            .chain(&b.commands())
            .filter(|arguments| arguments[1] == key)
            .count()
    };
    assert!(
        client
            .request("read", "00000000000000aa")
            .starts_with("-BUSY ")
    );
    assert_eq!(sent("00000000000000aa"), 2);
    assert!(
        client
            .request("read", "00000000000000bb")
            .starts_with("-BUSY ")
    );
    assert_eq!(sent("00000000000000bb"), 1);
}

/// Guards against a reset that may have run: connections are retired before the cache server closes them.
#[test]
fn idle_connections_are_retired_in_time() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["limits"]["conn_idle"] = 1.0.into();
    let router = RouterProcess::start(&config);
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    wait_until("the router closes it", || {
        server.connections()
            == ConnectionCounts {
                accepted: 1,
                closed: 1,
            }
    });
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().accepted, 2);
}

/// Guards against tables full of connections at rest: one that costs more than opening it anew is closed.
#[test]
fn an_idle_connection_is_closed_once_it_costs_more_than_a_new_one() {
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(list(7, false, &[]));
    let mut config = configuration(discovery.addr, &[server.entry("up")]);
    config["settings"]["deductions"] = serde_json::json!({"connection": 0.08, "handshake": 0.001});
    let router = RouterProcess::start(&config);
    let mut client = router.client();
    assert!(client.request("read", "00000000000000aa").contains("s-a"));
    wait_until("the router closes it", || {
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
    wait_until("it has ended", || {
        server.connections()
            == ConnectionCounts {
                accepted: 1,
                closed: 1,
            }
    });
    // A request that must never run twice would fail on it.
    assert!(client.request("once", "00000000000000aa").contains("s-a"));
    assert_eq!(server.connections().accepted, 2);
}

/// Guards against answers for the wrong request: a connection with a late answer on it is not used again.
#[test]
fn a_late_reply_is_dropped() {
    let server = CacheServer::start("s-a");
    server.set_behavior("00000000000000aa", Behavior::ServeOnceGateOpens);
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    client.send("once", "00000000000000aa", 200);
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    server.set_behavior("00000000000000bb", Behavior::Reply(value_reply("right")));
    server.open_gate();
    assert!(client.request("read", "00000000000000bb").contains("right"));
    let double = [value_reply("right"), value_reply("stray")].concat();
    server.set_behavior("00000000000000cc", Behavior::Reply(double));
    assert!(client.request("read", "00000000000000cc").contains("right"));
    assert!(client.request("read", "00000000000000dd").contains("s-a"));
}

/// Answers that are none: each may have run, so that a request that must never run twice fails. It fails soon though
/// the cache server leaves the connection open, and nothing is written to that connection again.
#[test]
fn malformed_replies_fail_soon_and_close_their_connection() {
    let says = |text: &str| Behavior::Reply(text.as_bytes().to_vec());
    let kinds = [
        ("a simple string", says("+x\r\n")),
        ("an integer", says(":1\r\n")),
        ("a bulk string", says("$3\r\nabc\r\n")),
        ("a null array", says("*-1\r\n")),
        ("an array of two", says("*2\r\n$1\r\nv\r\n$3\r\nhit\r\n")),
        (
            "an array of four",
            says("*4\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n"),
        ),
        ("a null value", says("*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n")),
        ("an integer value", says("*3\r\n:7\r\n$3\r\nhit\r\n$-1\r\n")),
        (
            "an array within",
            says("*3\r\n*1\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "noise on how it went",
            says("*3\r\n$1\r\nv\r\n$3\r\n\u{1}\u{2}\u{3}\r\n$-1\r\n"),
        ),
        (
            "a length that is short",
            says("*3\r\n$2\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a length that is long",
            says("*3\r\n$50\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a length with a sign",
            says("*3\r\n$+1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a negative length",
            says("*3\r\n$-2\r\nv\r\n$3\r\nhit\r\n$-1\r\n"),
        ),
        (
            "a length past all bounds",
            says("*3\r\n$99999999999999999999999\r\n"),
        ),
        ("another error", says("-SYNTAX no\r\n")),
        ("an error with noise", says("-ERR \u{1}\u{2}\r\n")),
        ("half an answer", says("*3\r\n$5\r\nva")),
        ("half a header", says("*")),
        ("noise", Behavior::Reply(vec![0xFF; 300])),
        (
            "a line without end",
            Behavior::ReplyEndlessly(b"-ERR ".to_vec(), vec![b'x'; 1_000]),
        ),
        (
            "3 GB",
            Behavior::ReplyEndlessly(b"*3\r\n$3221225472\r\n".to_vec(), vec![b'v'; 65_536]),
        ),
    ];
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for (count, (what, does)) in kinds.into_iter().enumerate() {
        server.set_behavior("00000000000000aa", does);
        let start = Instant::now();
        let answer = client.request("once", "00000000000000aa");
        assert!(answer.starts_with("-ERR"), "{what}: {answer}");
        assert!(
            start.elapsed().as_millis() < 3_000,
            "{what}: {:?}",
            start.elapsed()
        );
        wait_until(what, || server.connections().closed == count + 1);
        assert!(
            client.request("once", "00000000000000bb").contains("s-a"),
            "{what}: the next is served"
        );
    }
}

#[test]
fn a_read_with_a_malformed_reply_is_served_elsewhere() {
    let key = "7f3a9c21e0b4d655";
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair(key);
    owner.set_default_behavior(Behavior::Reply(b"what?\r\n".to_vec()));
    assert!(router.client().request("read", key).contains(&other.name));
}

/// A value that is whole is served, whatever comes behind it; its connection carries nothing further.
#[test]
fn a_valid_reply_with_trailing_bytes_is_served() {
    let good = "*3\r\n$5\r\nright\r\n$3\r\nhit\r\n";
    let kinds = [
        ("a second copy", format!("{good}$-1\r\n{good}$-1\r\n")),
        ("noise behind", format!("{good}$-1\r\n\u{1}\u{2}\u{3}")),
        ("a report of noise", format!("{good}\u{1}\u{2}\u{3}\r\n")),
        (
            "an unprintable report",
            format!("{good}$3\r\n\u{1}\u{2}\u{3}\r\n"),
        ),
        ("an integer for a report", format!("{good}:7\r\n")),
        ("a report past all bounds", format!("{good}$99999\r\n")),
        (
            "a report that is too long",
            format!("{good}$3\r\nutil=0.61\r\n"),
        ),
        ("half a report", format!("{good}$30\r\nutil=0.61\r\n")),
        ("no report", good.to_string()),
    ];
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    for (count, (what, bytes)) in kinds.into_iter().enumerate() {
        server.set_behavior("00000000000000aa", Behavior::Reply(bytes.into_bytes()));
        let answer = client.request("once", "00000000000000aa");
        assert_eq!(answer, format!("{good}$-1\r\n"), "{what}");
        wait_until(what, || server.connections().closed == count + 1);
        assert!(
            client.request("once", "00000000000000bb").contains("s-a"),
            "{what}: the next is served"
        );
    }
}

/// Guards against a second copy that comes when the connection is already back in the pool: the next request, which
/// follows at once, must not get it.
#[test]
fn a_duplicate_reply_answers_nobody() {
    let server = CacheServer::start("s-a");
    server.set_behavior(
        "00000000000000aa",
        Behavior::ReplyInTwoParts(value_reply("first"), 3, value_reply("first")),
    );
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    // A fake that slept for longer than it should proves nothing either way.
    let in_time = || {
        server
            .two_part_reply_durations()
            .iter()
            .filter(|gap| gap.as_millis() < 5)
            .count()
    };
    wait_until("copies in time", || {
        let before = (in_time(), server.two_part_reply_durations().len());
        assert!(client.request("read", "00000000000000aa").contains("first"));
        let next = client.request("read", "00000000000000bb");
        wait_until("the copy is out", || {
            server.two_part_reply_durations().len() > before.1
        });
        if in_time() == before.0 {
            // Whatever is on its way on that connection goes with it.
            let accepted = server.connections().accepted;
            server.close_connections();
            wait_until("all have ended", || {
                server.connections()
                    == ConnectionCounts {
                        accepted,
                        closed: accepted,
                    }
            });
        } else {
            assert!(next.contains("s-a"), "{next}");
        }
        in_time() >= 20
    });
}

/// Whatever a server does with one key's connections, those that carry another key are used on.
fn closes_no_other_connection(does: Behavior) {
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router(&[&server]);
    let mut client = router.client();
    server.set_behavior("00000000000000aa", does);
    for _ in 0..2 {
        // The connection that it comes on had been idle.
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
        "{} connections more",
        server.connections().accepted - before
    );
}

/// What a cache server spoils tells nothing of idle connections: the others are not closed for it.
#[test]
fn a_malformed_reply_closes_no_other_connection() {
    closes_no_other_connection(Behavior::Reply(b"what?\r\n".to_vec()));
}

/// A connection that breaks a moment after its last use was not dropped for being idle: the others are used on.
#[test]
fn a_connection_lost_in_use_closes_no_other_connection() {
    closes_no_other_connection(Behavior::ReplyAndClose(Vec::new()));
}

/// A server that hangs keeps neither its arc nor the requests of others waiting; one that recovers gets its arc back.
#[test]
fn an_unresponsive_server_is_avoided_until_it_recovers() {
    let key = "7f3a9c21e0b4d655";
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair(key);
    let mut client = router.client();
    owner.set_default_behavior(Behavior::StaySilent);
    for _ in 0..2 {
        client.send("read", key, 400);
        assert!(client.read_reply().unwrap().starts_with('-'));
    }
    let before = owner.commands().len();
    // Ever new keys, so that none is so popular that it has further homes.
    let mut keys =
        (1_u64..).map(|number| format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
    for key in keys.by_ref().take(20) {
        client.send("read", &key, 400);
        assert!(client.read_reply().unwrap().contains(&other.name));
    }
    assert_eq!(owner.commands().len(), before);
    // One that is tried there now and then goes on to the other when it gets no answer.
    wait_until("a trial", || {
        let answer = client.request("read", &keys.next().unwrap());
        assert!(answer.contains(&other.name), "{answer}");
        std::thread::sleep(std::time::Duration::from_millis(20));
        owner.commands().len() > before
    });
    owner.set_default_behavior(Behavior::Serve);
    let mut again = || {
        client
            .request("read", &keys.next().unwrap())
            .contains(&owner.name)
    };
    wait_until("its arc is its own again", || again() && again() && again());
}

/// A handshake is the connection's: servers whose new connections take long, while they answer at once on those they
/// have, are sent as much as before.
#[test]
fn slow_handshakes_do_not_reduce_a_servers_share() {
    let server = CacheServer::start("s-a");
    // Longer than half of the aim, which would be slow for an answer.
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
        wait_until("all have ended", || {
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
        "each went out on a new connection"
    );
}

/// A kept connection that turns out to be dead is no word from its server: the key stays there, on another connection,
/// and however often that happens, no request is turned away for it.
#[test]
fn a_stale_connection_costs_a_key_neither_its_owner_nor_a_retry() {
    let key = "7f3a9c21e0b4d655";
    // One of many routers starts with few further attempts in hand.
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair_with_settings(key, |settings| settings["peers_total"] = 12.into());
    let mut client = router.client();
    // The router learns how long the owner's answers take: what breaks much sooner did no work.
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
        "a new connection each time"
    );
    assert!(other.commands().is_empty(), "{:?}", other.commands());
    // A request that must never run twice may have run.
    pause();
    assert!(client.request("once", key).starts_with("-ERR"));
}

/// An answer past the aim of 500 ms is worth nothing.
fn without_late_weight(settings: &mut serde_json::Value) {
    settings["request_classes"][0]["late_value"] = 0.0.into();
}

/// Guards against giving up what is about to come: the work would go on, and the next attempt cost as much again.
#[test]
fn a_reply_that_takes_most_of_the_objective_is_waited_for() {
    let key = "7f3a9c21e0b4d655";
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair_with_settings(key, without_late_weight);
    owner.set_behavior(key, Behavior::ReplyAfter(400, value_reply("in time")));
    assert!(router.client().request("read", key).contains("in time"));
    assert!(other.commands().is_empty(), "{:?}", other.commands());
}

/// Guards against a lost answer where all others are quick: it is overdue long before the aim, and another serves.
#[test]
fn an_overdue_reply_is_retried_elsewhere() {
    let key = "7f3a9c21e0b4d655";
    let PairFleet {
        owner,
        other,
        router,
        ..
    } = start_router_and_pair_with_settings(key, without_late_weight);
    let mut client = router.client();
    (0..60).for_each(|i| assert!(client.request("read", &format!("other{i}")).contains("s-")));
    owner.set_behavior(key, Behavior::StaySilent);
    assert!(client.request("read", key).contains(&other.name));
}

/// Guards a jam against clients that come again: past the aim a retry of what was turned away takes no place that others
/// need. A new request for the same key is no retry.
#[test]
fn a_retry_past_its_objective_takes_no_capacity_from_others() {
    let key = "7f3a9c21e0b4d655";
    let waiting_count = 8;
    let server = CacheServer::start("s-a");
    let Fleet { router, .. } = start_router_with_settings(&[&server], without_late_weight);
    server.set_default_behavior(Behavior::ServeOnceGateOpens);
    server.set_behavior(key, Behavior::StaySilent);
    let mut client = router.client();
    client.send("read", key, 100);
    assert!(
        client.read_reply().expect("an answer").starts_with("-BUSY"),
        "its time is up"
    );
    let mut others: Vec<Client> = (0..waiting_count).map(|_| router.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(i, other)| other.send("read", &format!("other{i}"), 4_000));
    wait_until("half of the places are taken", || {
        server.commands().len() == 1 + waiting_count
    });
    std::thread::sleep(std::time::Duration::from_millis(600));
    client.write(&command(&[
        "C.GET",
        key,
        "again",
        "c=read,t=acme,d=3000,r=1",
    ]));
    assert!(
        client.read_reply().expect("an answer").starts_with("-BUSY"),
        "past its aim"
    );
    assert_eq!(
        server.commands().len(),
        1 + waiting_count,
        "it was not sent on"
    );
    server.set_behavior(key, Behavior::Serve);
    client.write(&command(&["C.GET", key, "new", "c=read,t=acme,d=3000"]));
    assert!(client.read_reply().expect("an answer").contains("s-a"));
    server.open_gate();
    others
        .iter_mut()
        .for_each(|other| assert!(other.read_reply().expect("an answer").contains("s-a")));
}

/// Guards routers of many: one of forty spaces out what it sends a server that turned requests away, unless the server
/// says in its answers that it waits for work.
#[test]
fn load_reports_are_used_where_the_settings_name_a_format() {
    let reached = |columns: &str, report: &str| {
        let server = CacheServer::start("s-a");
        server.set_default_behavior(Behavior::Reply(format!("-BUSY {report}\r\n").into_bytes()));
        let Fleet { router, .. } = start_router_with_settings(&[&server], |config| {
            config["peers_total"] = 40.into();
            config["stats"] = serde_json::json!({"how": "inline", "columns": columns});
        });
        let mut client = router.client();
        (0..12).for_each(|_| {
            assert!(
                client
                    .request("read", "7f3a9c21e0b4d655")
                    .starts_with("-BUSY")
            )
        });
        server.commands().len()
    };
    assert_eq!(
        reached("utilization,backlog", "util=0.2,queue=0"),
        12,
        "all are sent"
    );
    assert!(
        reached("utilization,backlog", "util=1.0,queue=9") < 8,
        "a queue"
    );
    assert!(
        reached("utilization,backlog", "util=lots,queue=-3") < 8,
        "no figures"
    );
    assert!(reached("", "util=0.2,queue=0") < 8, "no reports here");
}
